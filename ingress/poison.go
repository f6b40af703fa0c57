package ingress

import (
	"context"
	"strconv"
	"time"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/poison"
)

// reasonTrial is of a request that waited for its run on trial for as long as it may.
const reasonTrial placement.Reason = "on trial, replicas ended under it"

const (
	trialWait  = 600 * time.Millisecond // for a run on trial: the question for it takes 0.17 s between regions, a guilty request elsewhere is known for one after some 0.4 s
	trialCheck = 40 * time.Millisecond  // between two looks
	trialRetry = time.Second            // a replica survives the run within 2 s; the caller waited for some of it
)

// reasonPoison is of a request that is turned away since replicas ended under it.
const reasonPoison placement.Reason = "ends its replicas"

// survivesAfter is how long a replica must have gone on with an answer to have survived its
// request. Requests that end their replicas do so some 0.1 s after they begin to run; of the
// streams that are cut with them most have run for longer.
const survivesAfter = 2 * time.Second

// Poison is what a box knows of requests under which replicas ended. Its fields are seams.
type Poison struct {
	Quarantined func(content *poison.Content) (left time.Duration, quarantined bool)                // no replica may get the request, for so long
	Cut         func(c *placement.Choice, content *poison.Content, took time.Duration, closed bool) // a replica got the request and gave no whole answer; closed says that it closed the connection
	Survived    func(c *placement.Choice, content *poison.Content, took time.Duration)              // a replica gave the request a whole answer, or has gone on with one for long
	OnTrial     func(content *poison.Content) bool                                                  // one run of the request at a time may be under way, over all boxes
	TakeTrial   func(content *poison.Content) bool                                                  // asks to make that run now
	EndTrial    func(c *placement.Choice, content *poison.Content)                                  // it is over
}

// takeContent keeps what the request asks, once its body is read.
func (c *call) takeContent() {
	c.content = poison.Content{
		Method: c.r.Method,
		Host:   c.r.Host,
		Target: c.r.RequestURI,
		Caller: c.caller(),
		Body:   c.body,
	}
}

// isQuarantined says whether the request may go to no replica any more. It is asked before each
// try: the request may have been quarantined since the last.
func (c *call) isQuarantined() bool {
	left, quarantined := c.server.core.Poison.Quarantined(&c.content)
	if quarantined {
		c.reason = reasonPoison
		c.wait = left
	}
	return quarantined
}

// awaitTrial waits, where the request is on trial, until it may run, and says whether it may. One
// that another box passed on was allowed there.
func (c *call) awaitTrial(ctx context.Context) bool {
	p := &c.server.core.Poison
	until := clock.Now().Add(trialWait)
	for !c.trial && p.OnTrial(&c.content) {
		if c.relay != nil || p.TakeTrial(&c.content) {
			c.trial = true
			break
		}
		if c.isQuarantined() || c.isLate() || ctx.Err() != nil {
			return false
		}
		if clock.Until(until) <= 0 && !c.held() {
			c.reason = reasonTrial
			c.wait = trialRetry
			return false
		}
		sleep.For(ctx, trialCheck)
	}
	return true
}

// endTrial takes in that the run on trial is over. One that reached no replica may be made
// still.
func (a *attempt) endTrial(e ended) {
	c := a.call
	if !c.trial {
		return
	}
	c.server.core.Poison.EndTrial(&a.target.Choice, &c.content)
	c.trial = e == unsent
}

// tellOutcome tells what the try says of the request.
func (a *attempt) tellOutcome(e ended) {
	c := a.call
	p := &c.server.core.Poison
	timeUp := e == abandoned && a.why == whyTime && a.begun.Load() > 0
	switch {
	case a.survived:
	case a.result == placement.Answered:
		p.Survived(&a.target.Choice, &c.content, clock.Since(a.sent))
	case a.result == placement.Silent, timeUp:
		p.Cut(&a.target.Choice, &c.content, clock.Since(a.sent), !timeUp && a.why != whySilent)
	}
}

// noteSurvived tells, once, that the replica has gone on with its answer for long.
func (a *attempt) noteSurvived(since time.Duration) {
	if a.survived || a.first == 0 || since-a.first < survivesAfter {
		return
	}
	a.survived = true
	a.call.server.core.Poison.Survived(&a.target.Choice, &a.call.content, since)
}

// refusePoison turns a request away that ends its replicas. It would only be turned away
// again before the time is over.
func (c *call) refusePoison() {
	c.w.Header().Set("Retry-After", strconv.FormatFloat(c.wait.Seconds(), 'f', 0, 64))
	c.turnAway(reasonPoison)
}
