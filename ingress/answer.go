package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/exchange"
	"github.com/havenrudder/havenrudder/placement"
)

const heldAnswer = 256 << 10 // bytes of an answer that are held until it is whole

// head is the head of an answer.
type head struct {
	status int
	header http.Header
}

// kept is a whole answer.
type kept struct {
	head
	body []byte
}

// pass passes a replica's answer on, whether it came from the replica or by way
// of another box.
func (a *attempt) pass(ctx context.Context, answer *exchange.Answer) ended {
	c := a.call
	status := answer.Status()
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	if success && !c.server.codec.Genuine(answer.Header()) {
		c.record(decision.Event{
			Kind:     decision.Try,
			Upstream: a.target.Choice.Replica,
			Outcome:  decision.Crossed,
			Reason:   "not a replica's answer",
			Status:   status,
		})
		return a.broke(ctx)
	}
	if !success && c.state == begun {
		a.result = placement.Failed
		return torn // it doesn't go on with the stream
	}
	body := &heard{
		attempt: a,
		answer:  answer,
	}
	if success && c.route.Kind == catalog.Stream {
		return a.passEvents(ctx, answer, body)
	}
	return a.passWhole(ctx, answer, body, success)
}

// passWhole reads an answer to its end and then passes it on.
func (a *attempt) passWhole(ctx context.Context, answer *exchange.Answer, body io.Reader, success bool) ended {
	c := a.call
	var buf bytes.Buffer
	n, err := io.Copy(&buf, io.LimitReader(body, heldAnswer+1))
	if err != nil {
		return a.broke(ctx)
	}
	whole := kept{
		head: head{
			status: answer.Status(),
			header: answer.Header(),
		},
		body: buf.Bytes(),
	}
	long := n > heldAnswer
	if success {
		a.result = placement.Answered
	} else {
		a.result = placement.Failed
	}
	switch {
	case !success && promises(whole.status):
		return unknown // it may have run, so its word can't be passed on
	case !success && !long && c.worthAnother(whole.status):
		c.failure = &whole
		c.tried = nil // a failure of its own may be of this run alone; how often a replica fails counts when it is chosen again
		return unknown
	case long:
		return a.passLong(ctx, answer, body, whole)
	}
	if !success {
		c.answer(whole, reasonFailure)
		return served
	}
	c.answer(whole, placement.None)
	return served
}

// promises says whether callers take a status for word that the request has not
// run. A replica that says so in its own way has been heard before.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// worthAnother says whether a replica's failure is kept back because another
// replica may do better.
func (c *call) worthAnother(status int) bool {
	return status >= http.StatusInternalServerError && c.state != begun && c.route.Repeatable() &&
		c.sent < c.route.Attempts && status != http.StatusGatewayTimeout
}

// passLong passes on an answer that is too long to be held; begin is what was read
// of it.
func (a *attempt) passLong(ctx context.Context, answer *exchange.Answer, body io.Reader, begin kept) ended {
	c := a.call
	length, chunked := answer.Framed()
	c.setHeader(begin.head)
	if !chunked && length >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.w.WriteHeader(begin.status)
	c.state = begun
	c.unresumable.Store(true)
	if _, err := c.w.Write(begin.body); err != nil {
		return abandoned
	}
	if _, err := io.Copy(c.w, body); err != nil {
		return a.broke(ctx)
	}
	c.finished(decision.Served, begin.status, "")
	return served
}

// broke says what it means that an answer did not come to its end. A caller that
// has left says nothing against the replica.
func (a *attempt) broke(ctx context.Context) ended {
	c := a.call
	left := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errQuiet)
	a.ending(ctx, nil)
	if left {
		c.state = max(c.state, maybeRan)
		return abandoned
	}
	a.result = placement.Silent
	if c.state == begun {
		return torn
	}
	return unknown
}

// answer gives the caller a whole answer.
func (c *call) answer(k kept, reason placement.Reason) {
	c.setHeader(k.head)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(k.body)))
	c.w.WriteHeader(k.status)
	_, _ = c.w.Write(k.body) // the caller has left when this fails
	c.finished(decision.Served, k.status, string(reason))
}

// setHeader sets the headers of a replica's answer.
func (c *call) setHeader(a head) {
	h := c.w.Header()
	closing := h.Get("Connection")
	for name, values := range onward(a.header) {
		if name == headerResult || name == headerSent {
			continue
		}
		h[name] = values
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	c.relayResult(resultAnswer)
}

// finished writes down what the caller got.
func (c *call) finished(o decision.Outcome, status int, reason string) {
	took := clock.Since(c.start)
	c.server.core.Meter.Request(c.service, string(o), took)
	digest := ""
	if reason == string(reasonPoison) {
		digest = c.content.Digest().String() // leads to the ends for which it is turned away
	}
	c.record(decision.Event{
		Kind:    decision.End,
		Digest:  digest,
		Outcome: o,
		Status:  status,
		Reason:  reason,
		Tries:   c.sent,
		TookMs:  took.Milliseconds(),
		FirstMs: c.firstAt.Milliseconds(),
		PauseMs: c.pause.Milliseconds(),
	})
}
