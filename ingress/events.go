package ingress

import (
	"bytes"
	"context"
	"fmt"
	"io"
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

const heardEvery = 100 * time.Millisecond // between two words that a replica goes on; a seventh of quietStream

// errCaller says that the caller of a stream has left.
var errCaller = errors.New("ingress: caller left")

// passEvents passes a stream on, whole events only, so that it can go on at
// another replica after any of them.
func (a *attempt) passEvents(ctx context.Context, answer *exchange.Answer, body io.Reader) ended {
	c := a.call
	if c.state != begun {
		c.openStream(answer)
	} else {
		c.server.core.Meter.Resumed(c.service)
	}
	c.fromBox = a.target.Box != ""
	in := events.NewReader(body)
	defer in.Close()
	err := c.copyEvents(in)
	switch {
	case errors.Is(err, errCaller):
		a.why = whyLeft
		c.reason = reasonLeft
		return abandoned
	case errors.Is(err, io.EOF):
		return a.endStream(in.Rest())
	}
	return a.broke(ctx)
}

// heard is an answer whose bytes show that the replica goes on.
type heard struct {
	attempt *attempt
	answer  *exchange.Answer
}

// Read reads from the answer.
func (h *heard) Read(p []byte) (int, error) {
	n, err := h.answer.Read(p)
	if n > 0 {
		h.attempt.noteHeard()
	}
	return n, err
}

// noteHeard says that the replica goes on, not for every event.
func (a *attempt) noteHeard() {
	now := max(clock.Since(a.sent), 1)
	if last := time.Duration(a.heard.Load()); last > 0 && now-last < heardEvery {
		return
	}
	a.heard.Store(int64(now))
	if a.target.Choice.Replica != "" {
		a.call.server.core.Heard(&a.target.Choice)
		a.noteSurvived(now)
	}
}

// openStream passes the head of a stream on.
func (c *call) openStream(answer *exchange.Answer) {
	c.setHeader(head{
		status: answer.Status(),
		header: answer.Header(),
	})
	c.w.WriteHeader(answer.Status())
	c.flush()
	c.state = begun
}

// endStream ends a stream that came to its end. Bytes after the last whole event
// belong to it too, for a stream may lack the empty line at its end.
func (a *attempt) endStream(rest []byte) ended {
	c := a.call
	a.result = placement.Answered
	if len(rest) > 0 {
		if _, err := c.w.Write(rest); err != nil {
			return abandoned
		}
	}
	if c.sent == 1 && c.facts.LastEvent == "" {
		c.server.core.Streamed(c.service, c.events, c.facts.Guess)
	}
	c.finished(decision.Served, http.StatusOK, "")
	return served
}

// copyEvents passes whole events on until the stream ends, and returns why it did.
func (c *call) copyEvents(in *events.Reader) error {
	passed := false
	for {
		event, err := in.Next()
		if err != nil {
			return err
		}
		did, err := c.passEvent(event)
		if err != nil {
			return errors.Mark(err, errCaller)
		}
		passed = passed || did
		if passed && !in.More() {
			passed = false
			c.flush()
			c.notePause(clock.Now())
		}
	}
}

// passEvent passes an event on. One that the caller has already is left out.
func (c *call) passEvent(event []byte) (passed bool, err error) {
	if n, ok := sentEvent(event); ok && c.fromBox {
		c.sent = n
		c.told.Store(int64(c.sent))
		return false, nil
	}
	id := events.ID(event)
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
		c.unresumable.Store(true) // another run would begin with it, or before it
	}
	return true, nil
}

// sentPrefix begins a comment by which a box tells another in the middle of a
// stream to how many replicas the request was sent by now.
const sentPrefix = ":rudder-sent "

// tellSent says so before the stream goes on at one more replica, and when that one was
// not reached. When it was said with the first event from there, the other box could give
// this one up meanwhile and send the request to one replica too many.
func (c *call) tellSent(sent int) {
	if c.relay == nil || c.state != begun {
		return
	}
	_, _ = fmt.Fprintf(c.w, "%s%d\n\n", sentPrefix, sent) // the other box has gone when this fails
	c.flush()
}

// sentEvent reads what tellSent wrote.
func sentEvent(event []byte) (int, bool) {
	value, ok := bytes.CutPrefix(event, []byte(sentPrefix))
	if !ok {
		return 0, false
	}
	n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
	return n, err == nil
}

// notePause keeps the longest pause between events.
func (c *call) notePause(now time.Time) {
	if c.lastAt.IsZero() {
		c.firstAt = now.Sub(c.start)
	} else {
		c.pause = max(c.pause, now.Sub(c.lastAt))
	}
	c.lastAt = now
}

// flush sends what was written.
func (c *call) flush() {
	_ = http.NewResponseController(c.w).Flush() // a caller that has left is found by the next write
}
