package ingress

import (
	"context"
	"math"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/exchange"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/poison"
	"github.com/havenrudder/havenrudder/queue"
)

const (
	deadlineGrace      = 40 * time.Millisecond // time for a replica to report at its deadline that it has stopped
	maxRounds          = 24
	maxWaitFraction    = 0.2                    // of the latency target, for a replica with free capacity
	minWait            = 5 * time.Millisecond   // between two rounds
	resumePollInterval = 100 * time.Millisecond // between two queries for a replica that can resume a stream
	receiverRetryDelay = time.Second            // before a stream may resume at a replica that interrupted it
	maxDialTimeout     = 2 * time.Second        // on a congested link
	maxUrgency         = 9                      // last urgency level that replicas receive; 0 is the first
	outputPerGuess     = 1.3                    // callers underestimate long outputs
)

// state is what is known about the execution of a request.
type state int

const (
	stateNotRun   state = iota // no replica has run it
	stateMaybeRan              // a replica may have run it, and the response is lost
	stateStarted               // part of a response was forwarded
)

type call struct {
	server   *Server
	w        http.ResponseWriter
	r        *http.Request
	relay    *relay
	start    time.Time
	deadline time.Time

	facts   Facts
	route   *catalog.Route
	service string
	version int
	rank    float64 // of its priority among the requests of the service
	urgency int     // sent to replicas; 0 is first

	keyed        bool   // the request needs a key, which is not forwarded
	organisation string // owner of the caller's key; empty for none
	reserved     bool   // the cost was taken from the quota
	cost         float64
	body         []byte
	content      poison.Content
	trial        bool          // the next attempt is the run on trial
	retriesPart  bool          // the next attempt is to show whether replicas survive a quarantined part
	suspectPart  poison.Digest // for which the request is quarantined

	state           state
	left            bool              // the caller was found to have closed its connection
	sent            int               // number of replicas that the request was sent to
	announcedSent   int               // of them, those of this box that were announced to the box that forwarded the request
	sends           int               // number of times that this box wrote it to a replica or box
	carriers        exchange.Carriers // connections to replicas that carried it
	reportedSent    atomic.Int64      // the same as last reported by the box that the request was forwarded to
	received        bool              // some replica received it
	tried           []string          // replicas
	triedBoxes      []string
	noRegions       []string // regions that refused the request or were unreachable
	receivers       []string // replicas of tried that received the request
	rejected        []string // replicas of tried that reported that they did not run it
	entry           *queue.Entry
	ahead           int           // requests that preceded it where it last waited for capacity
	expected        time.Duration // wait that was expected there
	refusedByQueue  bool          // its last target was a final refusal
	failedDials     int
	budgetCounted   bool
	retryGranted    atomic.Bool   // the retry budget has granted the next attempt
	unsentRetry     atomic.Int64  // uptime in ns before the retry was taken that the next attempt needs; 0 for none; the stall watch sets it too
	lastEvent       string        // ID of the last forwarded event
	build           atomic.Uint64 // catalog.BuildID at which the stream began; 0 while any may begin it
	unframed        bool          // the replica's body has neither a length nor chunks
	events          int
	viaBox          bool          // another box forwards the stream
	firstEventAfter time.Duration // until the first event or byte was forwarded
	lastEventAt     time.Time
	progressAt      atomic.Int64 // nanoseconds until the stream of this attempt last showed progress; 0 before its head
	interruptedAt   time.Time
	retryReceivers  bool          // the next target is one that interrupted the stream
	unresumable     atomic.Bool   // another replica can't continue the forwarded part of the response
	maxGap          time.Duration // longest gap between two events
	done            bool
	failure         *response        // a replica's response that reports its own failure
	failureMemory   reservation      // of its body
	reason          placement.Reason // why there is no further target
	retryAfter      time.Duration    // until there may be a target
	blockedBy       string           // replica that may be the target then; empty for none
}

// run sends the request to one target after another until the caller has a response.
func (c *call) run(ctx context.Context) {
	for rounds := 0; rounds < maxRounds && ctx.Err() == nil; {
		if !c.waitsUntilDeadline() { // the deadline alone limits the rounds of a started stream
			rounds++
		}
		clock.Check()
		if c.deadlinePassed() || c.isQuarantined() || !c.awaitTrial(ctx) || !c.keyStillValid() || !c.reserve(ctx) {
			break
		}
		if c.endsAfterStop() {
			c.reason = ReasonStopping
			break
		}
		target := c.place(ctx)
		if c.isPoison() {
			break // it was quarantined while it waited
		}
		if target.Waited > 0 && target.Reason == placement.None && c.changedWhileWaiting(ctx) {
			c.server.core.AttemptEnded(&target.Choice, placement.Unsent, 0)
			continue
		}
		if target.Reason != placement.None {
			if !target.Final && c.waitFor(ctx, target) {
				continue
			}
			c.reason = target.Reason
			c.retryAfter = target.RetryAfter
			c.blockedBy = target.Choice.Blocked
			break
		}
		c.recordPlacement(target)
		c.sendSentCount(c.sent + 1)
		c.unsentRetry.Store(0)
		if c.attempt(ctx, target) {
			break
		}
		c.retriesPart = false
		c.sendSentCount(c.sent)
		if !c.mayRetry(ctx) {
			break
		}
	}
	c.returnUnsentRetry()
	c.finish(ctx)
}

// takeRetry takes a retry from the budget.
func (c *call) takeRetry() bool {
	at := max(c.server.core.Uptime(), 1)
	if !c.server.core.TakeRetry(c.service) {
		return false
	}
	c.unsentRetry.Store(int64(at))
	return true
}

// returnUnsentRetry takes back a retry after which no attempt began: its queue refused the request,
// or its caller left.
func (c *call) returnUnsentRetry() {
	if at := time.Duration(c.unsentRetry.Swap(0)); at > 0 {
		c.server.core.ReturnRetry(c.service, at)
	}
}

// deadlinePassed reports whether the deadline has passed. The context does not suffice: its
// timer stops while the machine is suspended.
func (c *call) deadlinePassed() bool { return clock.Until(c.deadline) <= 0 }

// callerLeft reports whether the caller is known to have left.
func (c *call) callerLeft() bool { return c.left || c.r.Context().Err() != nil }

// detectLeft looks at the caller's connection and reports whether the caller has left. net/http notices that in
// a goroutine of its own, which runs late while the box lacks processor time, and not at all after bytes beyond
// the request.
func (c *call) detectLeft() bool {
	nc, ok := c.r.Context().Value(connKey{}).(net.Conn)
	c.left = c.left || (ok && exchange.ClosedByPeer(nc))
	return c.callerLeft()
}

// place returns the next target. A stream that has started waits until there is one, for it
// would be interrupted otherwise.
func (c *call) place(ctx context.Context) Target {
	t := c.query(ctx)
	for t.Reason != placement.None && t.Reason != placement.NoBuild && c.waitsUntilDeadline() && ctx.Err() == nil && !c.isQuarantined() {
		if c.retryReceivers {
			t = c.placeAmongReceivers(ctx)
			continue
		}
		sleep.For(ctx, c.resumeWait(t))
		t = c.placeAgain(ctx)
	}
	return t
}

func (c *call) query(ctx context.Context) Target {
	asked := clock.Now()
	t := c.server.core.Place(ctx, c.newQuery())
	t.asked = asked.Add(t.Waited)
	c.noteWait(&t)
	return t
}

// resumeWait returns how long a started stream waits before the next query for a target.
func (c *call) resumeWait(t Target) time.Duration {
	if c.failedDials > 0 {
		return resumePollInterval
	}
	return min(max(t.RetryAfter, minWait), resumePollInterval)
}

// waitsUntilDeadline reports whether the request waits for a target until its deadline: a
// started stream, unless another box forwarded it, which may have another target.
func (c *call) waitsUntilDeadline() bool { return c.state == stateStarted && c.relay == nil }

// placeAgain queries again, including targets that the request did not reach: the link of
// this box may have been congested, or they may have been starting.
func (c *call) placeAgain(ctx context.Context) Target {
	c.tried = slices.Clone(c.receivers)
	c.triedBoxes = nil
	c.noRegions = nil
	c.retryReceivers = clock.Since(c.interruptedAt) > receiverRetryDelay
	return c.query(ctx)
}

// placeAmongReceivers queries for a replica that interrupted the stream, after all others have
// refused it.
func (c *call) placeAmongReceivers(ctx context.Context) Target {
	c.retryReceivers = false
	c.tried = slices.DeleteFunc(slices.Clone(c.tried), func(replica string) bool { return slices.Contains(c.receivers, replica) })
	return c.query(ctx)
}

// noteFailedDial records a failed connection. If an earlier replica received the request, the
// next attempt takes no further retry from the budget.
func (c *call) noteFailedDial() {
	c.failedDials++
	c.retryGranted.Store(c.received)
}

// dialTimeout returns the timeout of the next connection. It grows after two failed ones if a
// started stream waits, or if nothing was received from anyone recently, for the link of this
// box may be congested. Without a started stream the extension stays within the latency target.
func (c *call) dialTimeout(base time.Duration) time.Duration {
	if c.failedDials < 2 || (!c.waitsUntilDeadline() && c.server.receivedWithin("", receivedWindow)) {
		return base
	}
	extended := base
	for range c.failedDials - 1 {
		extended = min(2*extended, maxDialTimeout)
	}
	if c.waitsUntilDeadline() {
		return extended
	}
	return max(base, min(extended, c.route.LatencyTarget.Duration()-clock.Since(c.start)))
}

func (c *call) recordPlacement(t Target) {
	var w Weighing
	if t.Weighing != nil {
		w = *t.Weighing
	}
	c.record(decision.Event{
		Kind:     decision.Place,
		Upstream: t.Choice.Incarnation + t.Box,
		Build:    t.Choice.Build,
		Resumes:  c.facts.Resumes,
		Region:   t.Region,
		Tokens:   t.Choice.Missing,
		Prompt:   c.facts.PromptTokens,
		InFlight: t.Choice.Load.Requests,
		Memory:   t.Choice.Load.Tokens,
		Unread:   t.Choice.Load.PendingPrefill,
		Sharers:  t.Choice.SharingBoxes,
		Limit:    t.Choice.Limit.PerSecond,
		CopyFrom: t.Choice.CopyFrom,
		AgeMs:    t.AgeMs,
		TookMs:   t.Choice.Expect.Milliseconds(),
		WaitedMs: t.Waited.Milliseconds(),
		Ahead:    t.Ahead,
		Urgency:  c.loggedUrgency(t.Waited > 0),
		Flow:     c.loggedFlow(t.Waited > 0),
		Speed:    math.Round(100*t.Choice.Speed.Ratio) / 100,

		SpeedAgeMs:  t.Choice.Speed.Age.Milliseconds(),
		SpeedSource: string(t.Choice.Speed.Source),

		LastEvent: c.facts.LastEventID,

		LossHere:    math.Round(w.LossHere),
		LossThere:   math.Round(w.LossThere),
		LinkCost:    math.Round(w.LinkCost),
		CallersCost: math.Round(w.CallersCost),
		AwayShare:   math.Round(100*w.Share) / 100,
		LinkBytes:   w.Bytes,
	})
}

// sharedSegments returns the prompt segments that other requests may have too.
func (c *call) sharedSegments() []PromptSegment {
	n := len(c.facts.Segments)
	if n == 0 {
		return nil
	}
	return c.facts.Segments[:n-1]
}

func (c *call) newQuery() TargetQuery {
	out := int(outputPerGuess * float64(c.facts.ExpectedOutputTokens))
	if out == 0 || (c.facts.MaxOutputTokens > 0 && out > c.facts.MaxOutputTokens) {
		out = c.facts.MaxOutputTokens
	}
	var trial *poison.Digest
	if c.trial {
		d := c.content.Digest()
		trial = &d
	}
	return TargetQuery{
		Trial: trial,
		Request: placement.Request{
			Service:      c.service,
			Key:          c.facts.ID,
			Segments:     c.sharedSegments(),
			Prompt:       c.facts.PromptTokens,
			AnswerTokens: out,
			GapTarget:    c.route.GapTarget.Duration(),
			Build:        c.streamBuild(),
			Tried:        c.tried,
			Rank:         c.rank,
			Urgency:      c.urgency,
		},
		Route:           c.route,
		TimeLeft:        clock.Until(c.deadline),
		LatencyTarget:   c.route.LatencyTarget.Duration() - clock.Since(c.start),
		Forwarded:       c.relay != nil,
		TriedBoxes:      c.triedBoxes,
		ExcludedRegions: c.noRegions,

		MayWait:  c.mayWait(),
		Level:    c.urgency,
		Flow:     c.flow(),
		Bytes:    len(c.body) + waitingOverhead,
		Body:     len(c.body),
		Entry:    c.entry,
		Rejected: c.rejected,
	}
}

// waitFor waits for a replica that will soon have capacity, for at most a fraction of the
// route's latency target.
func (c *call) waitFor(ctx context.Context, t Target) bool {
	if t.RetryAfter <= 0 || c.state == stateStarted || c.relay != nil {
		return false // a box that forwarded the request may have another target
	}
	limit := time.Duration(maxWaitFraction * float64(c.route.LatencyTarget.Duration()))
	wait := max(t.RetryAfter, minWait)
	if clock.Since(c.start)+wait > limit {
		return false
	}
	sleep.For(ctx, wait)
	return ctx.Err() == nil
}

func (c *call) mayRetry(ctx context.Context) bool {
	if ctx.Err() != nil || c.deadlinePassed() {
		return false
	}
	if c.state != stateNotRun && !c.route.Repeatable() {
		return false
	}
	if c.state == stateStarted && (c.route.Kind != catalog.Stream || c.unresumable.Load()) {
		return false
	}
	if c.sent >= c.route.Attempts {
		return false
	}
	return !c.received || c.retryGranted.Swap(false) || c.awaitRetryBudget(ctx)
}

// awaitRetryBudget takes a retry from the budget; a started stream waits for one.
func (c *call) awaitRetryBudget(ctx context.Context) bool {
	for !c.takeRetry() {
		if !c.waitsUntilDeadline() {
			return false
		}
		sleep.For(ctx, budgetPollInterval)
		if ctx.Err() != nil {
			return false
		}
	}
	return true
}

type attemptOutcome int

const (
	served      attemptOutcome = iota // the caller has the response
	unsent                            // no replica received the request
	notRun                            // a replica received it and reports that it did not run it
	unknown                           // a replica may have run it
	interrupted                       // part of the response was forwarded
	abandoned                         // the caller has left, or the deadline has passed
)

// attempt sends the request to a target. It returns true if the request needs no further
// attempt.
func (c *call) attempt(ctx context.Context, t Target) bool {
	var e attemptOutcome
	if t.Choice.Incarnation != "" {
		e = c.attemptReplica(ctx, t)
	} else {
		e = c.attemptBox(ctx, t)
	}
	switch e {
	case served:
		c.done = true
		return true
	case abandoned:
		return true
	case unknown:
		c.state = max(c.state, stateMaybeRan)
	case interrupted:
		c.state = stateStarted
		c.interruptedAt = clock.Now()
	case unsent, notRun:
	}
	return false
}

// noteReceiver counts a replica that received the request. One that rejected it before is counted
// once: Route.Attempts bounds the replicas.
func (c *call) noteReceiver(replica string) {
	if !slices.Contains(c.receivers, replica) || !slices.Contains(c.rejected, replica) {
		c.sent++
	}
	c.received = true
	c.receivers = append(c.receivers, replica)
	if !slices.Contains(c.tried, replica) {
		c.tried = append(c.tried, replica)
	}
}

// noteSent counts the request for the retry budget, once.
func (c *call) noteSent() {
	if c.budgetCounted {
		return
	}
	c.budgetCounted = true
	c.server.core.CountRequest(c.service)
}

func (c *call) record(e decision.Event) {
	e.Request = c.facts.ID
	e.Service = c.service
	e.Version = int64(c.version)
	e.Organisation = c.organisation
	if c.route != nil {
		e.Route = c.route.Name
	}
	c.server.core.Record(e)
}
