package node

import (
	"context"
	"time"

	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/placement"
)

// core returns the functions through which ingress uses the box.
func (n *Node) core(ctx context.Context) ingress.Core {
	return ingress.Core{
		Table:    n.table.Load,
		Current:  n.current,
		Leaving:  n.leaving.Load,
		Streams:  n.takesStreams,
		Others:   n.otherServes,
		EndsBy:   n.answersBy,
		Place:    n.place,
		Begin:    n.begin,
		Repeat:   n.repeat,
		Written:  n.written,
		First:    n.first,
		Heard:    n.heard,
		Quiet:    n.quiet,
		Muted:    n.muted,
		Other:    n.other,
		Loaded:   n.loaded,
		Streamed: n.streamed,
		End:      n.end,
		BoxLost:  n.boxLost,
		Crossed:  n.crossed,
		Behind:   n.behind,
		Record:   n.record,
		Poison:   n.poison(ctx),
		Keys: ingress.Keys{
			Hold:      n.keysHold,
			Current:   n.keysCurrent,
			Reserve:   n.reserve,
			Unreserve: n.quotas.purse.Return,
		},
		Meter: ingress.Meter{
			Request: func(service, outcome string, took time.Duration) {
				n.meter.Request(service, outcome)
				n.meter.Answer(service, took)
			},
			First:   n.meter.FirstByte,
			Try:     n.meter.Try,
			Refusal: n.meter.Refusal,
			Forward: n.meter.Forward,
			Resumed: func(string) { n.meter.Resumed() },
		},
	}
}

// current reports whether this box can read the catalog and has no record of a newer
// policy than its own.
func (n *Node) current() bool {
	due := 0
	_ = n.state.Do(func(s *state) { due = s.content.PolicyDue() }) // it fails only when the box has ended
	return n.storeOK.Load() && due == 0
}

// behind records the policy version of a box that forwarded a request. A follower fetches
// a newer policy from other boxes: a read per request would fill its link.
func (n *Node) behind(version int) {
	n.state.Post(func(s *state) { s.content.HeardOfPolicy(version) })
	if !n.follows.Load() {
		n.feed.Behind(n.feed.Known() + 1)
	}
}

// Accesses to the state below fail only when the box has ended; their results are unused then.

// place chooses a target for a request and counts the request there.
func (n *Node) place(ask ingress.Ask) (t ingress.Target) {
	t.Reason = placement.Nothing
	_ = n.state.Do(func(s *state) { t = s.place(ask, n.now(), n.draw) })
	if t.Reason == placement.Paced {
		n.meter.ColdSendPaced()
	}
	if t.Choice.Reads >= tellReads {
		n.tellLoads()
	}
	return t
}

// tellReads is the number of unread prompt tokens from which other boxes of the region are
// notified of a request at once, since two long prompts at one engine delay its streams.
const tellReads = 2500

// begin counts a request for the retry budget.
func (n *Node) begin(service string) {
	n.state.Post(func(s *state) { s.budget.Request(service, n.now()) })
}

// repeat reports whether the retry budget allows another attempt, and takes it.
func (n *Node) repeat(service string) (ok bool) {
	_ = n.state.Do(func(s *state) { ok = s.budget.Take(service, s.spenders(n.now()), n.now()) })
	if ok {
		n.meter.RepeatTaken()
	} else {
		n.meter.RepeatRefused()
	}
	return ok
}

// written records that a request is written only now, later than its replica was chosen.
func (n *Node) written(c *placement.Choice) {
	choice := *c // a copy, for its grant ends meanwhile
	now := n.now()
	n.state.Post(func(s *state) { s.view.Written(&choice, now) })
}

// first records the time to the first byte of an answer.
func (n *Node) first(c *placement.Choice, took time.Duration) {
	_ = n.state.Do(func(s *state) { s.view.First(c, took, n.now()) })
}

// loaded records the load report in an answer's headers.
func (n *Node) loaded(c *placement.Choice, requests, waiting int) {
	_ = n.state.Do(func(s *state) {
		now := n.now()
		s.view.Loaded(c, requests, now)
		s.view.Says(c.Replica, placement.Word{
			Requests: requests,
			Waiting:  waiting,
			At:       now,
		})
	})
}

// streamed records the number of events of a complete stream and the caller's estimate of
// its tokens.
func (n *Node) streamed(service string, events, guess int) {
	n.state.Post(func(s *state) { s.view.Streamed(service, events, guess) })
}

// heard records that a replica continues an answer.
func (n *Node) heard(c *placement.Choice) {
	_ = n.state.Do(func(s *state) { s.view.Heard(c, n.now()) })
}

// quiet returns the time since this box last received anything from a replica.
func (n *Node) quiet(c *placement.Choice, sent time.Time) (d time.Duration) {
	_ = n.state.Do(func(s *state) { d = s.view.Quiet(c, sent.Sub(n.started), n.now()) })
	return d
}

// other returns an alternative target without counting the request; false when there is
// none.
func (n *Node) other(ask ingress.Ask) (t ingress.Target, found bool) {
	_ = n.state.Do(func(s *state) { t, found = s.other(ask, n.now(), n.draw) })
	return t, found
}

// end records the result of a request and removes it from the count.
func (n *Node) end(c *placement.Choice, r placement.Result, took time.Duration) {
	if r == placement.Misdirected {
		n.misdirected(c.Replica)
	}
	out := false
	_ = n.state.Do(func(s *state) { out = s.view.End(c, r, took, n.now()) })
	if out {
		n.outOfReach(c.Replica)
	}
}

// muted records that a replica has stopped answering under a request that still waits.
func (n *Node) muted(c *placement.Choice) {
	out := false
	_ = n.state.Do(func(s *state) { out = s.view.Muted(c, n.now()) })
	if out {
		n.outOfReach(c.Replica)
	}
}

// outOfReach records the ejection of a replica.
func (n *Node) outOfReach(replica string) {
	n.record(decision.Event{
		Kind:     decision.Belief,
		Upstream: replica,
		Reason:   "replica out of reach",
	})
}

// crossed records whether a request to another region was answered.
func (n *Node) crossed(box, region string, ok bool) {
	n.state.Post(func(s *state) {
		s.crossed(region, ok, n.now())
		if ok {
			s.reached(box)
		}
	})
}

// boxLost records that a box could not be reached.
func (n *Node) boxLost(box string) {
	n.state.Post(func(s *state) { s.lose(box, n.now()) })
	n.record(decision.Event{
		Kind:     decision.Lost,
		Upstream: box,
		Reason:   "box not reached",
	})
}
