package ingress

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/placement"
)

const (
	callStallFraction  = 0.4                    // of the latency target of a call
	streamStallTimeout = 700 * time.Millisecond // engines send an event every 300 ms at least
	stallPerExpected   = 3                      // multiple of the expected latency
	boxStallTimeout    = 2 * time.Second        // longer than streamStallTimeout, for boxes resume streams themselves
	minEventTimeout    = 2 * time.Second        // of the wait for an event while keep-alives arrive
	stallPollInterval  = 50 * time.Millisecond
	budgetPollInterval = 250 * time.Millisecond // requests that allow a retry come several times a second
	reachabilityTTL    = time.Second            // of a successful probe, which shows that the link of this box is free
	receivedWindow     = 250 * time.Millisecond // the same for bytes received from others; at most half of the stall timeout
)

var errStalled = errors.New("ingress: replica silent")

// watchStall cancels the attempt if its replica or box has stalled or sends no events, the next target is
// reachable and the retry budget grants an attempt there. Otherwise it waits: the replica may be
// busy, or the link of this box congested. If only the retry is missing, it still reports the
// replica as silent, so that no further requests are sent there.
func (a *attempt) watchStall(ctx context.Context) (stop func()) {
	c := a.call
	mayCancel := c.route.Repeatable() && c.sent+1 < c.route.Attempts
	if !mayCancel && a.target.Box != "" {
		return func() {}
	}
	query := c.newQuery()
	if replica := a.target.Choice.Incarnation; replica != "" {
		query.Request.Tried = append(slices.Clone(query.Request.Tried), replica)
	}
	watch := stallWatch{
		attempt:      a,
		query:        query,
		initialQuery: query,
		mayCancel:    mayCancel,
		timeout:      a.stallTimeout(),
		eventTimeout: a.eventTimeout(),
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		watch.run(ctx)
	}()
	return func() {
		cancel()
		<-done
		watch.reportUnreachable()
	}
}

type stallWatch struct {
	attempt      *attempt
	query        TargetQuery // for the next target
	initialQuery TargetQuery // the query without the targets that failed a probe
	mayCancel    bool
	timeout      time.Duration
	eventTimeout time.Duration // between two events
	reachedAt    time.Time     // when another target was last reachable
	unreachable  []Target      // targets that failed a probe before
	cancelled    bool
}

// reportUnreachable excludes the unreachable targets from the retry and reports them. It does so
// only after another target was reachable: else the link of this box may be the cause.
func (s *stallWatch) reportUnreachable() {
	if !s.cancelled {
		return
	}
	c := s.attempt.call
	c.tried = s.query.Request.Tried
	c.triedBoxes = s.query.TriedBoxes
	for _, t := range s.unreachable {
		if t.Box != "" {
			c.server.core.BoxUnreachable(t.Box)
			continue
		}
		c.server.core.AttemptEnded(&t.Choice, placement.Unreachable, replicaDialTimeout)
	}
}

func (s *stallWatch) run(ctx context.Context) {
	timer := time.NewTimer(s.timeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		wait, over := s.check(ctx)
		if over {
			return
		}
		timer.Reset(wait)
	}
}

// check returns when to check again, or that the watch is over.
func (s *stallWatch) check(ctx context.Context) (wait time.Duration, over bool) {
	c := s.attempt.call
	if s.mayCancel && (int(c.reportedSent.Load()) >= c.route.Attempts || c.unresumable.Load()) {
		return 0, true // no attempts are left, or the stream can't be resumed
	}
	left := min(s.timeout-s.idleTime(), s.eventTimeout-c.sinceProgress())
	if left >= 0 {
		return max(left, stallPollInterval), false
	}
	if s.attempt.hasUnread() {
		return stallPollInterval, false // this box is slow, not the replica
	}
	s.query.Request.Build = c.streamBuild() // the stream may have begun since
	other, found := c.server.core.PeekTarget(s.query)
	switch {
	case !found: // start over with all targets
		s.query = s.initialQuery
		s.unreachable = nil
		return stallPollInterval, false
	case clock.Since(s.reachedAt) > reachabilityTTL:
		s.probe(ctx, other)
		return stallPollInterval, false // the response may have arrived meanwhile
	case ctx.Err() != nil:
		return 0, true // the attempt has ended
	case !s.mayCancel:
		s.reportSilent()
		return 0, true
	case !c.takeRetry():
		s.reportSilent()
		return budgetPollInterval, false
	}
	s.cancelled = true
	c.retryGranted.Store(true)
	s.attempt.cancel(errStalled)
	return 0, true
}

// reportSilent reports once that the replica is silent while its request keeps waiting.
func (s *stallWatch) reportSilent() {
	a := s.attempt
	if a.target.Choice.Incarnation != "" && !a.reportedSilent.Swap(true) {
		a.call.server.core.ReplicaSilent(&a.target.Choice)
	}
}

// idleTime returns the time since the request was written or bytes last arrived.
func (s *stallWatch) idleTime() time.Duration {
	a := s.attempt
	writtenAfter := a.writtenAfter.Load()
	if writtenAfter == 0 {
		return 0 // the connection is slow, not the replica
	}
	if a.target.Box != "" {
		return a.boxIdleTime()
	}
	return a.call.server.core.IdleTime(&a.target.Choice, a.sent.Add(time.Duration(writtenAfter)))
}

// boxIdleTime returns the time since a box last sent bytes. It is 0 before the head of the
// response, for until then the number of attempts by that box is unknown.
func (a *attempt) boxIdleTime() time.Duration {
	lastReceived := a.lastReceived.Load()
	if lastReceived == 0 {
		return 0
	}
	return clock.Since(a.sent) - time.Duration(lastReceived)
}

// probe checks whether this box reaches others: bytes arrived from one recently, or the next
// target accepts a connection. While the link or the CPU of this box is overloaded, all replicas
// seem silent, and a cancelled stream could not resume anywhere.
func (s *stallWatch) probe(ctx context.Context, other Target) {
	server := s.attempt.call.server
	if server.receivedWithin(s.attempt.target.addr(), min(receivedWindow, s.timeout/2)) {
		s.reachedAt = clock.Now()
		return
	}
	if !server.probing.CompareAndSwap(false, true) {
		return // another request is probing
	}
	defer server.probing.Store(false)
	var err error
	if other.Box != "" {
		err = server.boxes.Probe(ctx, other.BoxAddr, boxDialTimeout)
	} else {
		err = server.replicas.Probe(ctx, other.Choice.Addr, replicaDialTimeout)
	}
	switch {
	case ctx.Err() != nil:
		return // the attempt has ended
	case err == nil:
		s.reachedAt = clock.Now()
		return
	case other.Box != "":
		s.query.TriedBoxes = append(slices.Clone(s.query.TriedBoxes), other.Box) // it may be down too
	default:
		s.query.Request.Tried = append(slices.Clone(s.query.Request.Tried), other.Choice.Incarnation)
	}
	s.unreachable = append(s.unreachable, other)
}

// receivedWithin reports whether bytes arrived recently from any address but one.
func (s *Server) receivedWithin(except string, within time.Duration) bool {
	return clock.Since(s.replicas.LastActivityExcept(except)) < within || clock.Since(s.boxes.LastActivityExcept(except)) < within
}

func (a *attempt) stallTimeout() time.Duration {
	expect := stallPerExpected * a.target.Choice.Expect
	if a.target.Box != "" {
		return max(boxStallTimeout, expect)
	}
	if a.call.route.Kind == catalog.Stream {
		return max(streamStallTimeout, expect)
	}
	return max(time.Duration(callStallFraction*float64(a.call.route.LatencyTarget.Duration())), expect)
}
