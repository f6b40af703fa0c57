package ingress

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/exchange"
	"github.com/havenrudder/havenrudder/placement"
)

const (
	eventBuffer = 4 << 10                // bytes read at once
	maxEvent    = 1 << 20                // bytes of one event
	heardEvery  = 100 * time.Millisecond // between two words that a replica goes on; a seventh of quietStream
)

var (
	idField = []byte("id:")

	// buffers are for reading events.
	buffers = sync.Pool{
		New: func() any {
			b := make([]byte, eventBuffer)
			return &b
		},
	}
)

// passEvents passes a stream on, whole events only, so that it can go on at
// another replica after any of them.
func (a *attempt) passEvents(ctx context.Context, answer *exchange.Answer) ended {
	c := a.call
	if c.state != begun {
		c.openStream(answer)
	} else {
		c.server.core.Meter.Resumed(c.service)
		c.tellSent()
	}
	c.fromBox = a.target.Box != ""
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	var held []byte // the beginning of an event whose end has not come
	for {
		n, err := answer.Read(*buf)
		if n > 0 {
			a.noteHeard()
			held = append(held, (*buf)[:n]...)
			var failed error
			if held, failed = c.passComplete(held); failed != nil {
				return abandoned
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return a.endStream(held)
		case err != nil || len(held) > maxEvent:
			return a.broke(ctx)
		}
	}
}

// noteHeard says that the replica goes on, not for every event.
func (a *attempt) noteHeard() {
	if a.target.Choice.Replica == "" || time.Since(a.heard) < heardEvery {
		return
	}
	a.heard = time.Now()
	a.call.server.core.Heard(&a.target.Choice)
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
	c.finished(decision.Served, http.StatusOK, "")
	return served
}

// passComplete passes the whole events in held on and returns the rest. An event
// that the caller has already is left out.
func (c *call) passComplete(held []byte) ([]byte, error) {
	passed := false
	for {
		end := eventEnd(held)
		if end < 0 {
			break
		}
		event := held[:end]
		if n, ok := sentEvent(event); ok && c.fromBox {
			c.sent = max(c.sent, n)
			held = held[len(event):]
			continue
		}
		if id := eventID(event); id == "" || !notAfter(id, c.lastEvent) {
			if _, err := c.w.Write(event); err != nil {
				return nil, err
			}
			passed = true
			if id != "" {
				c.lastEvent = id
			}
		}
		held = held[len(event):]
	}
	if passed {
		c.flush()
		c.notePause(time.Now())
	}
	return held, nil
}

// sentPrefix begins a comment by which a box tells another in the middle of a
// stream to how many replicas the request was sent by now.
const sentPrefix = ":rudder-sent "

// tellSent says so when the stream goes on at one more replica.
func (c *call) tellSent() {
	if c.relay == nil {
		return
	}
	_, _ = fmt.Fprintf(c.w, "%s%d\n\n", sentPrefix, c.sent) // the other box has gone when this fails
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

// eventEnd returns where the first event in held ends: after an empty line. It is
// below 0 when there is none.
func eventEnd(held []byte) int {
	for at := 0; ; {
		n := bytes.IndexByte(held[at:], '\n')
		if n < 0 {
			return -1
		}
		at += n + 1
		rest := bytes.TrimPrefix(held[at:], []byte("\r"))
		if len(rest) > 0 && rest[0] == '\n' {
			return len(held) - len(rest) + 1
		}
	}
}

// eventID returns the id of an event, empty for none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// notAfter says whether event id a does not come after b; ids are rising numbers.
func notAfter(a, b string) bool {
	x, errA := strconv.ParseInt(a, 10, 64)
	y, errB := strconv.ParseInt(b, 10, 64)
	return errA == nil && errB == nil && x <= y
}

// flush sends what was written.
func (c *call) flush() {
	_ = http.NewResponseController(c.w).Flush() // a caller that has left is found by the next write
}
