package node

// This file says how a box gets a policy that others have: apart from all other news,
// from one box at a time, and from each box only as fast as leaves room beside it.

import (
	"context"
	"encoding/base64"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	policyRate  = 400_000                // bytes of policies, in base64, that a box sends a second: a third of a link of 10 Mbit/s
	policyBurst = 267_000                // of these at once: two policies of 4,200 routes; 0.2 s of that link
	policyLimit = time.Second            // for a policy from another box: at that rate each comes within half of that
	policyPause = 100 * time.Millisecond // between two questions for one
	policyBusy  = 300 * time.Millisecond // the same at most, where it said that it is: others have the policy by then
)

// policyRequest asks another box for the newest policy.
type policyRequest struct {
	Have int `json:"have"` // version that the asking box knows; 0 for none
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
	compressed, err := n.deltas.Compressed(list, have)
	if err != nil {
		return out, err
	}
	if wait := n.policyBucket.take(base64.StdEncoding.EncodedLen(len(compressed)), n.now()); wait > 0 {
		out.Wait = catalog.Millis(wait.Milliseconds() + 1)
		return out, nil
	}
	out.Compressed = compressed
	return out, nil
}

// callForPolicy asks the box at an address for the newest policy, over a connection of
// its own, so that nothing else waits behind the answer.
func (n *Node) callForPolicy(ctx context.Context, addr string, have int) (news catalog.PolicyNews, err error) {
	err = n.bulkPeers.Call(ctx, addr, peer.Policy, policyRequest{
		Have: have,
	}, &news)
	return news, err
}

// missingPolicy is a policy that exists and that a box doesn't have.
type missingPolicy struct {
	have    *catalog.Policy
	due     int // version; 0 when there is none
	sources []wire.BoxStatus
}

// version returns the version of the policy that the box has, 0 for none.
func (l missingPolicy) version() int { return versionOf(l.have) }

// versionOf returns the version of a policy, 0 for none.
func versionOf(p *catalog.Policy) int {
	if p == nil {
		return 0
	}
	return p.Version
}

// missing returns what this box lacks and who has the newest of it: boxes of the region,
// and of other regions where there is none or this box knows no policy at all.
func (s *state) missing(avoid []string, now time.Duration) missingPolicy {
	var near, far []wire.BoxStatus
	out := missingPolicy{
		have: s.content.Policy(),
	}
	have := out.version()
	for m := range s.roster.All() {
		b := m.Status
		if b.Policy <= have || b.Peers == "" || !s.roster.Alive(b.Box, now) {
			continue
		}
		s.content.HeardOfPolicy(b.Policy)
		switch {
		case slices.Contains(avoid, b.Box):
		case b.Region == s.settings.Region:
			near = newestOf(near, b)
		default:
			far = newestOf(far, b)
		}
	}
	out.due = s.content.PolicyDue()
	out.sources = near
	if len(near) == 0 {
		out.sources = far
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
	if !n.fetchingPolicy.CompareAndSwap(false, true) {
		return
	}
	var l missingPolicy
	_ = n.state.Do(func(s *state) { l = s.missing(n.seeker.excluded(), n.now()) }) // it fails only when the box has ended
	if l.due == 0 || len(l.sources) == 0 || !n.leansOnOthers() {
		n.seeker.reset() // they may be the only ones
		n.fetchingPolicy.Store(false)
		return
	}
	from := l.sources[n.draw(len(l.sources))]
	n.tasks.Go(func() {
		defer n.fetchingPolicy.Store(false)
		sleep.For(ctx, max(n.getPolicy(ctx, from, l.have), policyPause))
	})
}

// leansOnOthers says whether this box has to get from others what is published.
func (n *Node) leansOnOthers() bool {
	return n.isFollower.Load() || !n.storeOK.Load() || n.table.Load() == nil
}

// readMissingPolicy has all read when no other box has given a policy for too long, whether or
// not one is asked: it may be lost.
func (n *Node) readMissingPolicy() {
	have, due := 0, 0
	_ = n.state.Do(func(s *state) { have, due = versionOf(s.content.Policy()), s.content.PolicyDue() }) // it fails only when the box has ended
	if n.ownReading.readsFor(have, due, n.now(), n.jitter) {
		n.feed.Reread()
	}
}

// getPolicy asks a box for its policy and takes it in. It returns how long to wait until
// another question.
func (n *Node) getPolicy(ctx context.Context, from wire.BoxStatus, known *catalog.Policy) (wait time.Duration) {
	have := versionOf(known)
	limit, cancel := context.WithTimeout(ctx, policyLimit)
	defer cancel()
	news, err := n.fetchPolicy(limit, from.Peers, have)
	if err == nil && len(news.Compressed) == 0 {
		n.seeker.busy = from.Box
		return min(news.Wait.Duration(), policyBusy)
	}
	var p *catalog.Policy
	if err == nil {
		p, err = amended(news, known)
	}
	if err != nil {
		n.seeker.failed = append(n.seeker.failed, from.Box)
		n.record(decision.Event{
			Kind:     decision.Belief,
			Upstream: from.Box,
			Reason:   "policy not got from box",
			Detail:   err.Error(),
		})
		return 0
	}
	n.seeker.reset()
	n.takeUpdate(catalog.PolicyUpdate(p))
	return 0
}

// amended returns the policy that news lead to.
func amended(news catalog.PolicyNews, known *catalog.Policy) (*catalog.Policy, error) {
	a, err := news.Delta()
	if err != nil {
		return nil, err
	}
	return a.Apply(known)
}
