package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/exchange"
)

const (
	boxDialTimeout    = 400 * time.Millisecond // covers two round trips of 160 ms between regions
	boxUnackedTimeout = 30 * time.Second       // for unacknowledged data in the middle of a response
)

func (c *call) attemptBox(ctx context.Context, t Target) attemptOutcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{
		call:   c,
		target: &t,
		sent:   clock.Now(),
		cancel: cancel,
		memory: c.server.memory.reservation(),
	}
	defer a.memory.release()
	c.progressAt.Store(0)
	c.triedBoxes = append(c.triedBoxes, t.Box)
	stop := a.watchStall(ctx)
	e := a.forward(ctx)
	stop()
	c.server.core.ForwardBytes(&t, c.service, a.forwardedBytes, a.receivedBytes)
	c.trial = c.trial && e == unsent
	if e == unsent || e == notRun {
		c.noRegions = append(c.noRegions, t.Region) // its other boxes would refuse too
	}
	if e != abandoned && e != notRun {
		c.server.core.ForwardEnded(t.Box, t.Region, e == served)
	}
	c.server.core.Meter.Forward(t.Region, string(loggedOutcomes[e]))
	a.report(e)
	return e
}

// forward sends the request to the box and returns the response to the caller.
func (a *attempt) forward(ctx context.Context) attemptOutcome {
	c := a.call
	h := c.endToEndHeaders()
	answer, err := c.server.boxes.Do(ctx, exchange.Request{
		Addr:        a.target.BoxAddr,
		Method:      c.r.Method,
		Target:      c.r.RequestURI,
		Host:        c.r.Host,
		Header:      h,
		Body:        c.body,
		DialTimeout: c.dialTimeout(boxDialTimeout),
		OnWrite: func(unread func() bool) error {
			h.Set(headerRelay, c.newRelay().encode()) // with the time left after the dial
			a.forwardedBytes = headerBytes(h) + len(c.body)
			return a.beforeWrite(unread)
		},

		OnInformational: a.noteAnnouncedSent,
	})
	if err != nil {
		return a.forwardFailed(ctx, err)
	}
	defer func() { _ = answer.Close() }()
	a.receivedBytes += headerBytes(answer.Header())
	a.noteHead(answer)
	a.noteReceived()
	answer.SetUserTimeout(boxUnackedTimeout)
	remoteSent := remoteSentCount(answer.Header())
	c.sent += remoteSent
	c.reportedSent.Store(int64(c.sent))
	c.budgetCounted = c.budgetCounted || remoteSent > 0
	c.received = c.received || remoteSent > 0
	switch answer.Header().Get(headerResult) {
	case resultAnswer:
		return a.pass(ctx, answer)
	case resultNotRun:
		if remoteSent > 0 {
			return notRun
		}
		return unsent
	}
	return unknown
}

// forwardFailed returns the outcome of an attempt without a response from the box.
func (a *attempt) forwardFailed(ctx context.Context, err error) attemptOutcome {
	c := a.call
	a.setWhy(ctx, err)
	var e *exchange.Error
	if errors.As(err, &e) && !e.Sent() {
		a.forwardedBytes = 0
		a.uncountSend()
		if ctx.Err() != nil || isSkipped(err) {
			return abandoned
		}
		c.server.core.BoxUnreachable(a.target.Box)
		c.noteFailedDial()
		return unsent
	}
	c.sent += max(a.announcedSent, 1) // the box may have sent it to a replica, and announces each further one
	c.budgetCounted = true
	c.received = true
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled) {
		c.state = max(c.state, stateMaybeRan)
		return abandoned
	}
	return unknown
}

// headerBytes returns the bytes of headers, without the first line.
func headerBytes(h http.Header) (n int) {
	const separators = len(": ") + len("\r\n")
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}
