package ingress

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/exchange"
	"github.com/havenrudder/havenrudder/placement"
)

const (
	maxBufferedBody    = 256 << 10   // longer responses are forwarded before they are complete; failures lose their body
	failureBodyTimeout = time.Second // for the body of a failure; 256 KiB take 14 ms on a link of 150 Mbit/s
)

// errFailureBody ends an attempt whose replica reports a failure, but doesn't complete its body.
var errFailureBody = errors.New("ingress: body of a failure without an end")

type responseHead struct {
	status  int
	header  http.Header
	framing exchange.Framing
}

type response struct {
	responseHead
	body blocks
}

func (a *attempt) pass(ctx context.Context, answer *exchange.Response) attemptOutcome {
	c := a.call
	a.framing = a.framingOf(answer)
	status := answer.Status()
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	if success && !c.server.codec.FromReplica(answer.Header()) {
		c.record(decision.Event{
			Kind:     decision.Try,
			Upstream: a.target.Choice.Incarnation,
			Outcome:  decision.Crossed,
			Reason:   "not a replica's answer",
			Status:   status,
		})
		return a.bodyInterrupted(ctx)
	}
	if !success && c.state == stateStarted {
		a.result = placement.Failed
		return interrupted // it does not continue the stream
	}
	body := a.newProgressReader(answer)
	if success && c.route.Kind == catalog.Stream {
		return a.passEvents(ctx, answer, body)
	}
	if !success {
		return a.passFailure(ctx, answer, body)
	}
	return a.passComplete(ctx, answer, body)
}

// passComplete reads a complete response before it forwards it.
func (a *attempt) passComplete(ctx context.Context, answer *exchange.Response, body io.Reader) attemptOutcome {
	c := a.call
	start, whole, err := a.buffer(answer, body)
	if err != nil || (whole && a.brokenByCrash(ctx)) {
		return a.bodyInterrupted(ctx)
	}
	buffered := response{
		responseHead: a.headOf(answer),
		body:         start,
	}
	a.completed(placement.Answered)
	if !whole {
		return a.passLong(ctx, answer, body, buffered)
	}
	c.recordTime()
	c.answer(buffered, placement.None)
	return served
}

// passFailure reads a response that reports a failure, and retries the request or forwards it. A body
// that is too long or too slow is left out: the failure is known from the head.
func (a *attempt) passFailure(ctx context.Context, answer *exchange.Response, body io.Reader) attemptOutcome {
	c := a.call
	timer := time.AfterFunc(failureBodyTimeout, func() { a.cancel(errFailureBody) })
	start, whole, err := a.buffer(answer, body)
	timer.Stop()
	tooSlow := err != nil && errors.Is(context.Cause(ctx), errFailureBody)
	if (err != nil && !tooSlow) || (whole && a.brokenByCrash(ctx)) {
		return a.bodyInterrupted(ctx)
	}
	buffered := response{
		responseHead: a.headOf(answer),
		body:         start,
	}
	if !whole {
		buffered.dropBody()
		a.memory.release()
	}
	a.completed(placement.Failed)
	switch {
	case impliesNotRun(buffered.status):
		return unknown // the request may have run, and callers would conclude that it did not
	case c.shouldRetryFailure(buffered.status):
		c.failure = &buffered
		c.failureMemory.take(&a.memory)
		c.tried = nil // the same replica may succeed next time; its selection considers its failure rate
		return unknown
	}
	c.answer(buffered, reasonReplicaFailure)
	return served
}

// dropBody makes the response one with an empty body.
func (r *response) dropBody() {
	r.body = blocks{}
	r.framing = exchange.FramedByLength
	r.header = r.header.Clone()
	for name := range r.header {
		if strings.HasPrefix(name, "Content-") {
			delete(r.header, name)
		}
	}
}

func (a *attempt) headOf(answer *exchange.Response) responseHead {
	return responseHead{
		status:  answer.Status(),
		header:  answer.Header(),
		framing: a.framing,
	}
}

// impliesNotRun reports whether callers conclude from the status that the request has not
// run. Responses of replicas that did not run it are handled before.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// shouldRetryFailure reports whether to retry instead of forwarding a replica's failure.
func (c *call) shouldRetryFailure(status int) bool {
	return status >= http.StatusInternalServerError && c.state != stateStarted && c.route.Repeatable() &&
		c.sent < c.route.Attempts && status != http.StatusGatewayTimeout
}

// passLong forwards a response that is too long to be buffered; prefix is what was read
// of it.
func (a *attempt) passLong(ctx context.Context, answer *exchange.Response, body io.Reader, prefix response) attemptOutcome {
	c := a.call
	length, _ := answer.BodyLength()
	c.setHeader(prefix.responseHead)
	c.frame(a.framing, length)
	c.w.WriteHeader(prefix.status)
	c.state = stateStarted
	c.unresumable.Store(true)
	if err := prefix.body.writeTo(c.w); err != nil {
		return abandoned
	}
	prefix.body = blocks{}
	a.memory.release()
	if _, err := io.Copy(c.w, body); err != nil || a.brokenByCrash(ctx) {
		return a.bodyInterrupted(ctx)
	}
	a.completed(a.result)
	c.endBody()
	c.recordEnd(decision.Served, prefix.status, "")
	return served
}

// bodyInterrupted returns the outcome of an incomplete response. It is not the replica's
// failure if the caller has left.
func (a *attempt) bodyInterrupted(ctx context.Context) attemptOutcome {
	c := a.call
	left := ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled)
	a.setWhy(ctx, nil)
	if left {
		c.state = max(c.state, stateMaybeRan)
		return abandoned
	}
	a.result = placement.NoResponse
	if c.state == stateStarted {
		return interrupted
	}
	return unknown
}

// notAnAnswer returns the outcome of a stream that this box gives up, since its bytes are no events.
func (a *attempt) notAnAnswer(why string) attemptOutcome {
	a.why = why
	a.result = placement.NoResponse
	return interrupted
}

// answer sends a complete response to the caller.
func (c *call) answer(resp response, reason placement.Reason) {
	c.setHeader(resp.responseHead)
	c.frame(resp.framing, int64(resp.body.len()))
	c.w.WriteHeader(resp.status)
	_ = resp.body.writeTo(c.w) // fails only if the caller has left
	c.endBody()
	c.recordEnd(decision.Served, resp.status, string(reason))
}

func (c *call) setHeader(head responseHead) {
	h := c.w.Header()
	closing := h.Get("Connection")
	for name, values := range endToEndHeaders(head.header) {
		if name == headerResult || name == headerSent || name == headerBuild || name == headerFraming {
			continue
		}
		h[name] = values
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	c.setRelayResult(resultAnswer)
}

func (c *call) recordEnd(o decision.Outcome, status int, reason string) {
	took := clock.Since(c.start)
	c.server.core.Meter.Request(c.service, string(o), took)
	digest := "" // identifies the crashes for which the request is refused
	switch placement.Reason(reason) {
	case reasonPoison:
		digest = c.content.Digest().String()
	case reasonPoisonPart:
		digest = c.suspectPart.String()
	}
	c.record(decision.Event{
		Kind:     decision.End,
		Digest:   digest,
		Upstream: c.blockedUpstream(o, reason),
		Outcome:  o,
		Status:   status,
		Reason:   reason,
		Tries:    c.sent,
		TookMs:   took.Milliseconds(),
		FirstMs:  c.firstEventAfter.Milliseconds(),
		PauseMs:  c.maxGap.Milliseconds(),

		LastEvent: c.facts.LastEventID,

		Ahead:      c.loggedAhead(),
		Urgency:    c.loggedUrgency(c.refusedByQueue),
		ExpectedMs: c.loggedExpected().Milliseconds(),
	})
}

// blockedUpstream returns the replica whose own reports were the reason of a refusal.
func (c *call) blockedUpstream(o decision.Outcome, reason string) string {
	if o != decision.Refused {
		return ""
	}
	switch placement.Reason(reason) {
	case placement.Limited, placement.Deferring:
		return c.blockedBy
	}
	return ""
}
