package ingress

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/poison"
)

// reasonTrial is the reason for refusing a request that waited too long for its run on trial.
const reasonTrial placement.Reason = "on trial, replicas ended under it"

const (
	trialWaitTimeout  = 600 * time.Millisecond // the request for a run takes 0.17 s between regions
	trialPollInterval = 40 * time.Millisecond
	trialRetryAfter   = time.Second // a replica survives the run within 2 s, some of which the caller has waited
)

const (
	reasonPoison     placement.Reason = "ends its replicas"
	reasonPoisonPart placement.Reason = "a part of its prompt ends its replicas"
)

// survivalTime is how long a replica must have streamed a response to count as having
// survived its request.
const survivalTime = 2 * time.Second

// PoisonHooks holds the functions that report crashes of replicas and query the state of suspect
// requests.
type PoisonHooks struct {
	Quarantined func(content *poison.Content) (left time.Duration, quarantined bool)                // no replica may receive the request for the time left
	PartVerdict func(content *poison.Content) poison.PartVerdict                                    // the same for the parts of its prompt
	Interrupted func(c *placement.Choice, content *poison.Content, took time.Duration, closed bool) // a replica received the request and sent no complete response; closed: it closed the connection
	Survived    func(c *placement.Choice, content *poison.Content, took time.Duration)              // a replica sent a complete response, or has streamed one for survivalTime
	OnTrial     func(content *poison.Content) bool                                                  // the request may run once at a time, over all boxes
	TakeTrial   func(content *poison.Content) bool                                                  // requests permission for that run
	EndTrial    func(c *placement.Choice, content *poison.Content)                                  // the run is over
}

// setContent sets the content that identifies the request; the body must have been read.
func (c *call) setContent() {
	c.content = poison.Content{
		Method: c.r.Method,
		Host:   c.r.Host,
		Target: c.r.RequestURI,
		Caller: c.callerIdentity(),
		Body:   c.body,
	}
	for _, s := range c.sharedSegments() {
		c.content.Parts = append(c.content.Parts, s.ID)
	}
}

// partIDs returns the IDs of the shared parts of the prompt, for the log.
func (c *call) partIDs() string { return strings.Join(c.content.Parts, ",") }

// isQuarantined reports whether no replica may receive the request any more. It is checked
// before each attempt.
func (c *call) isQuarantined() bool {
	left, quarantined := c.server.core.Poison.Quarantined(&c.content)
	if quarantined {
		c.reason = reasonPoison
		c.retryAfter = left
	}
	return quarantined || c.isPartQuarantined()
}

// isPartQuarantined is isQuarantined for the parts of the prompt. One attempt may be granted to retry them.
func (c *call) isPartQuarantined() bool {
	if c.retriesPart {
		return false
	}
	v := c.server.core.Poison.PartVerdict(&c.content)
	c.retriesPart = v.Retried
	if v.Left <= 0 {
		return false
	}
	c.reason = reasonPoisonPart
	c.retryAfter = v.Left
	c.suspectPart = v.Part
	return true
}

// isPoison reports whether the request was found to be quarantined.
func (c *call) isPoison() bool { return c.reason == reasonPoison || c.reason == reasonPoisonPart }

// awaitTrial waits until a request on trial may run, and reports whether it may. The box
// that forwarded a request has permission for it.
func (c *call) awaitTrial(ctx context.Context) bool {
	p := &c.server.core.Poison
	until := clock.Now().Add(trialWaitTimeout)
	for !c.trial && p.OnTrial(&c.content) {
		if c.relay != nil || p.TakeTrial(&c.content) {
			c.trial = true
			break
		}
		if c.isQuarantined() || c.deadlinePassed() || ctx.Err() != nil {
			return false
		}
		if clock.Until(until) <= 0 && !c.waitsUntilDeadline() {
			c.reason = reasonTrial
			c.retryAfter = trialRetryAfter
			return false
		}
		sleep.For(ctx, trialPollInterval)
	}
	return true
}

// endTrial reports the end of a run on trial. If no replica received the request, the
// permission stays valid for the next attempt.
func (a *attempt) endTrial(e attemptOutcome) {
	c := a.call
	if !c.trial {
		return
	}
	c.server.core.Poison.EndTrial(&a.target.Choice, &c.content)
	c.trial = e == unsent
}

// reportPoisonOutcome reports whether the replica survived the request.
func (a *attempt) reportPoisonOutcome(e attemptOutcome) {
	c := a.call
	p := &c.server.core.Poison
	timeUp := e == abandoned && a.why == whyDeadline && a.writtenAfter.Load() > 0
	switch {
	case a.survived:
	case a.result == placement.Answered:
		p.Survived(&a.target.Choice, &c.content, clock.Since(a.sent))
	case a.hasNoResponse(), timeUp:
		p.Interrupted(&a.target.Choice, &c.content, clock.Since(a.sent), !timeUp && !a.endedHere())
	}
}

// endedHere reports whether this box gave the attempt up while the replica kept its connection open.
func (a *attempt) endedHere() bool {
	return a.why == whySilent || a.why == whyNoEvent || a.why == whyEventTooLong || a.why == whyAnswerTooLong
}

// reportSurvived reports once that the replica has streamed a response for survivalTime.
func (a *attempt) reportSurvived(since time.Duration) {
	if a.survived || a.headAfter == 0 || since-a.headAfter < survivalTime {
		return
	}
	a.survived = true
	a.call.server.core.Poison.Survived(&a.target.Choice, &a.call.content, since)
}

func (c *call) refusePoison() {
	c.w.Header().Set("Retry-After", strconv.FormatFloat(c.retryAfter.Seconds(), 'f', 0, 64))
	c.refuseUnavailable(c.reason)
}
