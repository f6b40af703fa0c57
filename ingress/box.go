package ingress

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/exchange"
)

const (
	boxDial  = 400 * time.Millisecond // between regions, two round trips of 160 ms and some
	boxBorne = 30 * time.Second       // silence of a box in the middle of an answer, as watchSilence looks at it
)

// tryBox passes the request on to a box of another region.
func (c *call) tryBox(ctx context.Context, t Target) ended {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{
		call:   c,
		target: &t,
		sent:   clock.Now(),
		cancel: cancel,
	}
	c.triedBoxes = append(c.triedBoxes, t.Box)
	stop := a.watchSilence(ctx)
	e := a.box(ctx)
	stop()
	c.trial = c.trial && e == unsent
	if e == unsent || e == notRun {
		c.noRegions = append(c.noRegions, t.Region) // its other boxes would say the same
	}
	if e != abandoned && e != notRun {
		c.server.core.Crossed(t.Box, t.Region, e == served)
	}
	c.server.core.Meter.Forward(t.Region, string(outcomes[e]))
	a.report(e)
	return e
}

// box makes the attempt at a box.
func (a *attempt) box(ctx context.Context) ended {
	c := a.call
	h := c.onward()
	h.Set(headerRelay, c.relayed().encode())
	answer, err := c.server.boxes.Do(ctx, exchange.Request{
		Addr:        a.target.BoxAddr,
		Method:      c.r.Method,
		Target:      c.r.RequestURI,
		Host:        c.r.Host,
		Header:      h,
		Body:        c.body,
		Begin:       a.begin,
		DialTimeout: c.dialTime(boxDial),
	})
	if err != nil {
		return a.boxFailed(ctx, err)
	}
	defer func() { _ = answer.Close() }()
	a.first = clock.Since(a.sent)
	a.noteHeard()
	answer.LimitUnacked(boxBorne)
	there := sentThere(answer.Header())
	c.sent += there
	c.told.Store(int64(c.sent))
	c.counted = c.counted || there > 0
	c.arrived = c.arrived || there > 0
	switch answer.Header().Get(headerResult) {
	case resultAnswer:
		return a.pass(ctx, answer)
	case resultNotRun:
		if there > 0 {
			return notRun
		}
		return unsent
	}
	return unknown
}

// boxFailed says what it means that a box gave no answer.
func (a *attempt) boxFailed(ctx context.Context, err error) ended {
	c := a.call
	a.ending(ctx, err)
	var e *exchange.Error
	if errors.As(err, &e) && !e.Sent() {
		if ctx.Err() != nil {
			return abandoned
		}
		c.server.core.BoxLost(a.target.Box)
		c.noteFailedDial()
		return unsent
	}
	c.sent++ // the box may have sent it on
	c.counted = true
	c.arrived = true
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errQuiet) {
		c.state = max(c.state, maybeRan)
		return abandoned
	}
	return unknown
}
