package node

import (
	"context"
	"time"

	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/placement"
)

// core returns the seams of the path of requests.
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
			Hold:      n.keysValid,
			Current:   n.keysCurrent,
			Reserve:   n.reserve,
			Unreserve: n.quotas.credits.Return,
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

// current says whether this box can read what is published, and knows of no newer policy
// than its own.
func (n *Node) current() bool {
	due := 0
	_ = n.state.Do(func(s *state) { due = s.content.PolicyDue() }) // it fails only when the box has ended
	return n.storeOK.Load() && due == 0
}

// behind takes in that a box which passed a request on decides by a policy of a version.
// One that follows gets it from others, for a reading at each such request would fill its
// link where the policy is large.
func (n *Node) behind(version int) {
	n.state.Post(func(s *state) { s.content.HeardOfPolicy(version) })
	if !n.follows.Load() {
		n.feed.Behind(n.feed.Known() + 1)
	}
}

// The accesses to the state below fail only when the box has ended; what they
// give then is of no use to anybody.

// place chooses where a request goes and counts it in.
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

// tellReads are the prompt tokens of a request which other boxes of the region are
// told of at once: a tenth of a second of an engine's time, during which another
// long prompt would make its streams pause.
const tellReads = 2500

// begin counts a request for the budget of retries.
func (n *Node) begin(service string) {
	n.state.Post(func(s *state) { s.budget.Request(service, n.now()) })
}

// repeat asks the budget whether a request may be sent again.
func (n *Node) repeat(service string) (ok bool) {
	_ = n.state.Do(func(s *state) { ok = s.budget.Take(service, s.spenders(n.now()), n.now()) })
	if ok {
		n.meter.RepeatTaken()
	} else {
		n.meter.RepeatRefused()
	}
	return ok
}

// written takes in that a request is written only now, a while after its replica was chosen.
func (n *Node) written(c *placement.Choice) {
	choice := *c // its grant is counted out meanwhile
	now := n.now()
	n.state.Post(func(s *state) { s.view.Written(&choice, now) })
}

// first takes in how long the first byte of an answer took.
func (n *Node) first(c *placement.Choice, took time.Duration) {
	_ = n.state.Do(func(s *state) { s.view.First(c, took, n.now()) })
}

// loaded takes in how many requests a replica says it has, and how many of them wait.
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

// streamed takes in how many events a whole stream had, and the caller's guess of its
// tokens.
func (n *Node) streamed(service string, events, guess int) {
	n.state.Post(func(s *state) { s.view.Streamed(service, events, guess) })
}

// heard takes in that a replica goes on with an answer.
func (n *Node) heard(c *placement.Choice) {
	_ = n.state.Do(func(s *state) { s.view.Heard(c, n.now()) })
}

// quiet returns how long a replica has been silent towards this box.
func (n *Node) quiet(c *placement.Choice, sent time.Time) (d time.Duration) {
	_ = n.state.Do(func(s *state) { d = s.view.Quiet(c, sent.Sub(n.started), n.now()) })
	return d
}

// other returns where a request would go, without counting it in; false when there is
// no target.
func (n *Node) other(ask ingress.Ask) (t ingress.Target, found bool) {
	_ = n.state.Do(func(s *state) { t, found = s.other(ask, n.now(), n.draw) })
	return t, found
}

// end counts a request out and takes in what became of it.
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

// muted takes in that a replica is silent under a request that waits on.
func (n *Node) muted(c *placement.Choice) {
	out := false
	_ = n.state.Do(func(s *state) { out = s.view.Muted(c, n.now()) })
	if out {
		n.outOfReach(c.Replica)
	}
}

// outOfReach writes down that a replica is left out.
func (n *Node) outOfReach(replica string) {
	n.record(decision.Event{
		Kind:     decision.Belief,
		Upstream: replica,
		Reason:   "replica out of reach",
	})
}

// crossed notes whether a request to another region was answered.
func (n *Node) crossed(box, region string, ok bool) {
	n.state.Post(func(s *state) {
		s.crossed(region, ok, n.now())
		if ok {
			s.reached(box)
		}
	})
}

// boxLost notes that a box could not be reached.
func (n *Node) boxLost(box string) {
	n.state.Post(func(s *state) { s.lose(box, n.now()) })
	n.record(decision.Event{
		Kind:     decision.Lost,
		Upstream: box,
		Reason:   "box not reached",
	})
}
