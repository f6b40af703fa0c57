package ingress

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/common/events"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/exchange"
	"github.com/havenrudder/havenrudder/placement"
)

// maxAnswerBytes bounds an answer that announces no length: 60 s on a link of 150 Mbit/s.
const maxAnswerBytes = 1 << 30

const receivedInterval = 100 * time.Millisecond // between two reports that a replica is sending

var (
	errCallerLeft    = errors.New("ingress: caller left")
	errAnswerTooLong = errors.New("ingress: answer too long")
)

// passEvents forwards a stream in complete events, so that it can resume at another replica
// after any of them.
func (a *attempt) passEvents(ctx context.Context, answer *exchange.Response, body io.Reader) attemptOutcome {
	c := a.call
	if !c.pinBuild(a.build(answer)) {
		return a.bodyInterrupted(ctx)
	}
	if c.state != stateStarted {
		c.noteBegun()
		c.startStream(a.headOf(answer))
	} else {
		c.server.core.Meter.Resumed(c.service)
	}
	c.viaBox = a.target.Box != ""
	in := events.NewReader(body, events.WithMaxIdle(a.maxIdleBytes()), events.WithResize(a.memory.resize))
	defer in.Close()
	c.noteProgress()
	err := c.copyEvents(in)
	a.rest = len(in.Rest())
	switch {
	case errors.Is(err, errCallerLeft):
		a.why = whyCallerLeft
		c.reason = reasonCallerLeft
		return abandoned
	case errors.Is(err, events.ErrNoEvent):
		return a.notAnAnswer(whyNoEvent)
	case errors.Is(err, events.ErrTooLong):
		return a.notAnAnswer(whyEventTooLong)
	case !errors.Is(err, io.EOF), events.Inside(in.Rest()), a.brokenByCrash(ctx):
		return a.bodyInterrupted(ctx)
	}
	return a.endStream(in.Rest())
}

// progressReader reads a response and records that the replica is sending.
type progressReader struct {
	attempt *attempt
	answer  *exchange.Response
	left    int64 // bytes that may still be read
}

// newProgressReader returns a reader of a body. A body that announces no length is bounded.
func (a *attempt) newProgressReader(answer *exchange.Response) *progressReader {
	left := a.call.server.maxAnswer
	if length, _ := answer.BodyLength(); length >= 0 {
		left = math.MaxInt64
	}
	return &progressReader{
		attempt: a,
		answer:  answer,
		left:    left,
	}
}

// Read reads from the response.
func (h *progressReader) Read(p []byte) (int, error) {
	if h.left <= 0 {
		h.attempt.tooLong = true
		return 0, errAnswerTooLong
	}
	n, err := h.answer.Read(p)
	h.left -= int64(n)
	h.attempt.receivedBytes += n
	if n > 0 {
		h.attempt.noteReceived()
	}
	return n, err
}

// noteReceived records that the replica is sending, at most once per receivedInterval.
func (a *attempt) noteReceived() {
	now := max(clock.Since(a.sent), 1)
	if last := time.Duration(a.lastReceived.Load()); last > 0 && now-last < receivedInterval {
		return
	}
	a.lastReceived.Store(int64(now))
	if a.target.Choice.Incarnation != "" {
		a.call.server.core.DataReceived(&a.target.Choice)
		a.reportSurvived(now)
	}
}

func (c *call) startStream(head responseHead) {
	c.setHeader(head)
	c.frame(head.framing, -1)
	c.w.WriteHeader(head.status)
	c.flush()
	c.state = stateStarted
}

// endStream completes a stream. It forwards the empty lines and comments after the last event too.
func (a *attempt) endStream(rest []byte) attemptOutcome {
	c := a.call
	if a.framing == exchange.FramedByClose && !c.unframed {
		a.why = whyEndUnknown // the response has begun in chunks, whose end would say that it is complete
		return interrupted
	}
	a.completed(placement.Answered)
	if len(rest) > 0 {
		if _, err := c.w.Write(rest); err != nil {
			return abandoned
		}
	}
	c.endBody()
	c.recordTime()
	if c.sent == 1 && c.facts.LastEventID == "" && a.framing != exchange.FramedByClose {
		c.server.core.StreamCompleted(c.service, c.events, c.facts.ExpectedOutputTokens)
	}
	c.recordEnd(decision.Served, http.StatusOK, "")
	return served
}

// copyEvents forwards complete events until the stream ends, and returns why it ended.
func (c *call) copyEvents(in *events.Reader) error {
	passed := false
	seen := ""
	for {
		event, err := in.Next()
		if err != nil {
			return err
		}
		id := events.ID(event)
		if c.isProgress(event, id, seen) {
			seen = cmp.Or(id, seen)
			in.Progressed()
			c.noteProgress()
		}
		did, err := c.passEvent(event, id)
		if err != nil {
			return errors.Mark(err, errCallerLeft)
		}
		passed = passed || did
		if passed && !in.More() {
			passed = false
			c.flush()
			c.noteGap(clock.Now())
		}
	}
}

// passEvent forwards an event unless the caller has already received it.
func (c *call) passEvent(event []byte, id string) (passed bool, err error) {
	if n, ok := parseSentCount(event); ok && c.viaBox {
		c.sent = n
		c.reportedSent.Store(int64(c.sent))
		return false, nil
	}
	if id != "" && events.NotAfter(id, c.lastEvent) {
		return false, nil
	}
	if _, err := c.w.Write(event); err != nil {
		return false, err
	}
	if id != "" {
		c.lastEvent = id
		c.events++
		return true, nil
	}
	for range events.Data(event) {
		c.unresumable.Store(true) // without an ID another run can't resume after it
	}
	return true, nil
}

// sentCountPrefix starts a comment in a stream by which a box reports to another how many
// replicas the request was sent to so far.
const sentCountPrefix = ":rudder-sent "

// sendSentCount reports the number before the request is sent to one more replica. A stream that
// resumes reports it again if that one was not reached. If it came with the first event from there,
// the other box could meanwhile retry and exceed the limit of attempts.
func (c *call) sendSentCount(sent int) {
	if c.relay == nil {
		return
	}
	if c.state != stateStarted {
		c.announceSent(sent)
		return
	}
	_, _ = fmt.Fprintf(c.w, "%s%d\n\n", sentCountPrefix, sent) // fails only if the other box has closed the connection
	c.flush()
}

func parseSentCount(event []byte) (int, bool) {
	value, ok := bytes.CutPrefix(event, []byte(sentCountPrefix))
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
	return n, err == nil
}

func (c *call) noteGap(now time.Time) {
	if c.lastEventAt.IsZero() {
		c.firstEventAfter = now.Sub(c.start)
	} else {
		c.maxGap = max(c.maxGap, now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
}

func (c *call) flush() {
	_ = http.NewResponseController(c.w).Flush() // the next write returns an error if the caller has left
}
