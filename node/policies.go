package node

// This file says how a box gets a policy that others have: apart from all other news,
// from one box at a time, and from each box only as fast as leaves room beside it.

import (
	"context"
	"sync"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	policyRate  = 400_000                 // bytes of policies that a box sends a second: a third of a link of 10 Mbit/s
	policyBurst = 200_000                 // of these at once: two policies of 4,200 routes
	policyLimit = 1500 * time.Millisecond // for a policy from another box: at that rate each comes within a second
	policyPause = 100 * time.Millisecond  // between two questions for one
	policyBusy  = 300 * time.Millisecond  // the same at most, where it said that it is: others have the policy by then
	policyAlone = 2 * time.Second         // after which a box that gets no policy from others reads for itself: half of the shortest bound on it
	mostAlone   = 20 * time.Second        // between two such readings, for a policy that nobody can decode
)

// policyRequest asks another box for the newest policy.
type policyRequest struct {
	Have int `json:"have"` // version that the asking box knows; 0 for none
}

// outflow is what a box may send of policies.
type outflow struct {
	mu   sync.Mutex
	left float64 // bytes; below 0 after an answer that was longer
	at   time.Duration
}

// newOutflow returns an outflow of which nothing is taken.
func newOutflow() *outflow {
	return &outflow{
		left: policyBurst,
	}
}

// take takes room for so many bytes, or returns how long there is none.
func (r *outflow) take(bytes int, now time.Duration) (wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = min(r.left+policyRate*(now-r.at).Seconds(), policyBurst)
	r.at = now
	if r.left < 0 {
		return time.Duration(-r.left / policyRate * float64(time.Second))
	}
	r.left -= float64(bytes)
	return 0
}

// givePolicy answers another box's question for the newest policy.
func (n *Node) givePolicy(have int) (out catalog.PolicyNews, err error) {
	var list []*catalog.Policy
	if err := n.state.Do(func(s *state) { list = s.content.Policies() }); err != nil || len(list) == 0 {
		return out, err
	}
	out.Version = list[len(list)-1].Version
	if out.Version <= have {
		return out, nil
	}
	pressed, err := n.amendments.Pressed(list, have)
	if err != nil {
		return out, err
	}
	if wait := n.outflow.take(len(pressed), n.now()); wait > 0 {
		out.Wait = catalog.Millis(wait.Milliseconds() + 1)
		return out, nil
	}
	out.Pressed = pressed
	return out, nil
}

// callForPolicy asks the box at an address for the newest policy, over a connection of
// its own, so that nothing else waits behind the answer.
func (n *Node) callForPolicy(ctx context.Context, addr string, have int) (news catalog.PolicyNews, err error) {
	err = n.bulk.Call(ctx, addr, peer.Policy, policyRequest{
		Have: have,
	}, &news)
	return news, err
}

// lack is a policy that exists and that a box doesn't have.
type lack struct {
	have   *catalog.Policy
	due    int // version; 0 when there is none
	givers []wire.BoxStatus
}

// lacks returns what this box lacks and who has the newest of it: boxes of the region,
// and of other regions where there is none or this box knows no policy at all.
func (s *state) lacks(avoid string, now time.Duration) lack {
	var near, far []wire.BoxStatus
	out := lack{
		have: s.content.Policy(),
	}
	have := 0
	if out.have != nil {
		have = out.have.Version
	}
	for m := range s.roster.All() {
		b := m.Status
		if b.Policy <= have || b.Peers == "" || !s.roster.Alive(b.Box, now) {
			continue
		}
		s.content.HeardOfPolicy(b.Policy)
		switch {
		case b.Box == avoid:
		case b.Region == s.settings.Region:
			near = newestOf(near, b)
		default:
			far = newestOf(far, b)
		}
	}
	out.due = s.content.PolicyDue()
	out.givers = near
	if len(near) == 0 {
		out.givers = far
	}
	return out
}

// newestOf adds a box to those that have the newest policy, or drops the others for it.
func newestOf(list []wire.BoxStatus, b wire.BoxStatus) []wire.BoxStatus {
	switch {
	case len(list) == 0 || b.Policy == list[0].Policy:
		return append(list, b)
	case b.Policy > list[0].Policy:
		return append(list[:0], b)
	}
	return list
}

// seekPolicy gets a policy that others have, unless one is being got already. A box that
// watches for itself does so only while it can't read.
func (n *Node) seekPolicy(ctx context.Context) {
	if !n.seeking.CompareAndSwap(false, true) {
		return
	}
	var l lack
	_ = n.state.Do(func(s *state) { l = s.lacks(n.avoid, n.now()) }) // it fails only when the box has ended
	n.readAlone(l.due)
	if l.due == 0 || len(l.givers) == 0 || !n.leansOnOthers() {
		n.avoid = "" // it may be the only one
		n.seeking.Store(false)
		return
	}
	from := l.givers[n.draw(len(l.givers))]
	n.tasks.Go(func() {
		defer n.seeking.Store(false)
		sleep.For(ctx, max(n.getPolicy(ctx, from, l.have), policyPause))
	})
}

// leansOnOthers says whether this box has to get from others what is published.
func (n *Node) leansOnOthers() bool {
	return n.follows.Load() || !n.storeOK.Load() || n.table.Load() == nil
}

// readAlone has all read when no other box has given a policy for too long.
func (n *Node) readAlone(due int) {
	switch {
	case due == 0:
		n.lackedSince = 0
	case n.lackedSince == 0:
		n.lackedSince = n.now()
		n.alone = policyAlone
	case n.now()-n.lackedSince >= n.alone:
		n.feed.Reread()
		n.lackedSince = n.now()
		n.alone = min(2*n.alone, mostAlone)
	}
}

// getPolicy asks a box for its policy and takes it in. It returns how long to wait until
// another question.
func (n *Node) getPolicy(ctx context.Context, from wire.BoxStatus, known *catalog.Policy) (wait time.Duration) {
	n.avoid = from.Box
	have := 0
	if known != nil {
		have = known.Version
	}
	limit, cancel := context.WithTimeout(ctx, policyLimit)
	defer cancel()
	news, err := n.askPolicy(limit, from.Peers, have)
	if err == nil && len(news.Pressed) == 0 {
		return min(news.Wait.Duration(), policyBusy)
	}
	var p *catalog.Policy
	if err == nil {
		p, err = amended(news, known)
	}
	if err != nil {
		n.record(decision.Event{
			Kind:     decision.Belief,
			Upstream: from.Box,
			Reason:   "policy not got from box",
			Detail:   err.Error(),
		})
		return 0
	}
	n.avoid = ""
	n.takeUpdate(catalog.Update{
		Changes: []catalog.Change{{
			Policy: p,
		}},
		Settled: true,
	})
	return 0
}

// amended returns the policy that news lead to.
func amended(news catalog.PolicyNews, known *catalog.Policy) (*catalog.Policy, error) {
	a, err := news.Amendment()
	if err != nil {
		return nil, err
	}
	return a.Apply(known)
}
