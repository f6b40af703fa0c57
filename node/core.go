package node

import (
	"context"
	"time"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/placement"
)

// core returns the functions through which ingress uses the box.
func (n *Node) core(ctx context.Context) ingress.Hooks {
	return ingress.Hooks{
		Table:           n.table.Load,
		Uptime:          n.now,
		CatalogFresh:    n.hasCurrentPolicy,
		Leaving:         n.leaving.Load,
		Shed:            func() (time.Duration, bool) { return n.shedder.Sheds(n.jitter) },
		IsOwnAddress:    n.isOwnAddress,
		AcceptsStreams:  n.acceptsStreams,
		OtherBoxServing: n.anotherBoxServes,
		StopDeadline:    n.answerDeadline,
		StreamTime:      n.streamTime,
		Place:           n.place,
		StreamBegan:     n.recordBuild,
		FindBuild:       n.findBuild,
		CountRequest:    n.countRequest,
		TakeRetry:       n.takeRetry,
		ReturnRetry:     n.returnRetry,
		MayWrite:        n.mayWrite,
		RequestWritten:  n.recordWrite,
		HeadReceived:    n.recordFirstByte,
		DataReceived:    n.recordProgress,
		ProbeReplica:    n.probeLiveness,
		IdleTime:        n.sinceLastReceived,
		ReplicaSilent:   n.recordSilence,
		PeekTarget:      n.alternative,
		LoadReported:    n.recordLoad,
		MalformedHeader: n.recordMalformed,
		StreamCompleted: n.recordStream,
		AttemptEnded:    n.endRequest,
		BoxUnreachable:  n.recordUnreachable,
		ForwardEnded:    n.recordRegionResult,
		ForwardBytes:    n.recordForwardBytes,
		NewerPolicySeen: n.recordPolicyVersion,
		Record:          n.record,
		Poison:          n.poison(ctx),
		Keys: ingress.Keys{
			WithinLease:  n.keysValid,
			CatalogFresh: n.keysCurrent,
			Reserve:      n.reserve,
			Release:      n.quotas.credits.Refund,
		},
		Meter: ingress.Meter{
			Request: func(service, outcome string, took time.Duration) {
				n.meter.Request(service, outcome)
				n.meter.Response(service, took)
			},
			FirstResponse: n.meter.FirstByte,
			Attempt:       n.meter.Attempt,
			Refusal:       n.meter.Refusal,
			Forward:       n.meter.Forward,
			Resumed:       func(string) { n.meter.Resumed() },
		},
	}
}

// maxNoRouteAge is the age of the copy of the catalog up to which a request is answered that there is no
// route. The shortest bound on configurations is 4 s.
const maxNoRouteAge = 3 * time.Second

// hasCurrentPolicy reports whether the policy was checked recently, by this box or another one, and this box
// has no record of a newer one. It checks an older copy first, which may bring a newer policy.
func (n *Node) hasCurrentPolicy(ctx context.Context) bool {
	clock.Check()
	if !n.storeOK.Load() || n.missesPolicy() {
		return false
	}
	return n.catalogAge() <= maxNoRouteAge || (n.feed.Sync(ctx) > 0 && !n.missesPolicy())
}

// missesPolicy reports whether other boxes have a newer policy.
func (n *Node) missesPolicy() bool {
	due := 0
	_ = n.state.Do(func(s *state) { due = s.content.MissingPolicyVersion() }) // it fails only when the box has ended
	return due > 0
}

// isOwnAddress reports whether the published address of a replica is that at which this box accepts
// callers.
func (n *Node) isOwnAddress(replica string) (own bool) {
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		r, ok := s.content.Replica(replica)
		own = ok && r.Addr == n.settings.CallerAddr
	})
	return own
}

// recordPolicyVersion records the policy version of a box that forwarded a request. A follower
// fetches a newer policy from other boxes: a read per request would fill its link.
func (n *Node) recordPolicyVersion(version int) {
	n.state.Post(func(s *state) { s.content.RecordPolicyVersion(version) })
	if !n.isFollower.Load() {
		n.feed.NotifyRevision(n.feed.Revision() + 1)
	}
}

// The errors of state.Do below are ignored: it fails only after the box has stopped.

// notifyTokens is the number of tokens to prefill from which the other boxes of the region are
// notified of a request at once, since two long prompts at one engine delay its streams.
const notifyTokens = 2500

func (n *Node) streamTime(r placement.Request) (d time.Duration) {
	_ = n.state.Do(func(s *state) { d = s.view.Occupancy(r) })
	return d
}

func (n *Node) countRequest(service string) {
	n.state.Post(func(s *state) { s.budget.Request(service, n.now()) })
}

// takeRetry reports whether the retry budget allows another attempt, and takes it.
func (n *Node) takeRetry(service string) (ok bool) {
	_ = n.state.Do(func(s *state) { ok = s.budget.Take(service, s.retryBoxes(n.now()), n.now()) })
	if ok {
		n.meter.RetryAllowed()
	} else {
		n.meter.RetryRefused()
	}
	return ok
}

// returnRetry takes back a retry that was taken at a time or soon after it.
func (n *Node) returnRetry(service string, taken time.Duration) {
	n.state.Post(func(s *state) { s.budget.Return(service, taken) })
}

// mayWrite reports whether a request that was delayed may still be written to its replica.
func (n *Node) mayWrite(c *placement.Choice) (ok bool) {
	_ = n.state.Do(func(s *state) { ok = s.view.MayWrite(c, n.now()) })
	return ok
}

// recordWrite records that a request is written later than its replica was chosen.
func (n *Node) recordWrite(c *placement.Choice) {
	choice := *c // a copy, as the end of the request clears its reservation
	now := n.now()
	n.state.Post(func(s *state) { s.view.RecordSend(&choice, now) })
}

// recordFirstByte records the head of an answer, and what the replica reports of itself there.
func (n *Node) recordFirstByte(c *placement.Choice, h ingress.Head) {
	_ = n.state.Do(func(s *state) {
		now := n.now()
		if h.Success {
			s.view.RecordFirstByte(c, min(h.Took, now-h.Written.Sub(n.started)), now)
		} else {
			s.view.RecordHead(c, now)
		}
		if h.Signals != nil {
			n.recordStateChanges(s.recordSignals(c, *h.Signals, placement.Span{
				From: h.Written.Sub(n.started),
				To:   now,
			}))
			n.dispatchSoon(s)
		}
	})
}

// recordLoad records the load report in an answer's headers.
func (n *Node) recordLoad(c *placement.Choice, l ingress.LoadReport) {
	_ = n.state.Do(func(s *state) {
		now := n.now()
		s.view.RecordSelfReport(c, l.Requests, now)
		if l.Pace > 0 {
			s.view.RecordPace(c, l.Pace, now)
		}
		s.view.RecordReport(c.Incarnation, placement.LoadReport{
			Requests: l.Requests,
			Waiting:  l.Waiting,
			At:       now,
		})
		n.dispatchSoon(s)
	})
}

// recordStream records the number of events of a complete stream and the caller's estimate of
// its tokens.
func (n *Node) recordStream(service string, events, guess int) {
	n.state.Post(func(s *state) { s.view.RecordStream(service, events, guess) })
}

func (n *Node) recordProgress(c *placement.Choice) {
	_ = n.state.Do(func(s *state) { s.view.RecordActivity(c, n.now()) })
}

// sinceLastReceived returns the time since this box last received anything from a replica.
func (n *Node) sinceLastReceived(c *placement.Choice, sent time.Time) (d time.Duration) {
	_ = n.state.Do(func(s *state) { d = s.view.SinceLastSeen(c, sent.Sub(n.started), n.now()) })
	return d
}

// alternative returns an alternative target without counting the request; false when there is
// none.
func (n *Node) alternative(ask ingress.TargetQuery) (t ingress.Target, found bool) {
	_ = n.state.Do(func(s *state) { t, found = s.alternative(ask, n.now(), n.draw) })
	return t, found
}

// endRequest records the result of a request and removes it from the count.
func (n *Node) endRequest(c *placement.Choice, r placement.Result, took time.Duration) {
	if r == placement.Misdirected {
		n.queueMisdirected(c.Incarnation)
	}
	out := false
	_ = n.state.Do(func(s *state) {
		out = s.view.End(c, r, took, n.now())
		n.dispatch(s)
	})
	if out {
		n.recordEjection(c.Incarnation)
	}
}

// recordSilence records that a replica has stopped answering under a request that still waits.
func (n *Node) recordSilence(c *placement.Choice) {
	out := false
	_ = n.state.Do(func(s *state) { out = s.view.RecordNoResponse(c, n.now()) })
	if out {
		n.recordEjection(c.Incarnation)
	}
}

func (n *Node) recordEjection(replica string) {
	n.record(decision.Event{
		Kind:     decision.Belief,
		Upstream: replica,
		Reason:   "replica out of reach",
	})
}

func (n *Node) recordRegionResult(box, region string, ok bool) {
	n.state.Post(func(s *state) {
		s.recordRegionResult(region, ok, n.now())
		if ok {
			s.markReached(box)
		}
	})
}

// recordForwardBytes counts the bytes of a forwarded request, which replace the expected ones.
func (n *Node) recordForwardBytes(t *ingress.Target, service string, sent, received int) {
	n.meter.RegionBytes(t.Region, sent, received)
	target := *t
	n.state.Post(func(s *state) { s.settleLink(&target, service, sent, received, n.now()) })
}

func (n *Node) recordUnreachable(box string) {
	n.state.Post(func(s *state) { s.markUnreachable(box, n.now()) })
	n.record(decision.Event{
		Kind:     decision.Lost,
		Upstream: box,
		Reason:   "box not reached",
	})
}
