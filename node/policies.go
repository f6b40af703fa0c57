package node

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
	policyRate            = 400_000     // bytes of encoded policies that a box sends per second: a third of a link of 10 Mbit/s
	policyBurst           = 267_000     // bytes at once: two policies of 4,200 routes
	policyTimeout         = time.Second // of a policy request
	policyRequestInterval = 100 * time.Millisecond
	maxPolicyWait         = 300 * time.Millisecond // after a source was rate-limited; others have the policy by then
)

// policyRequest holds the parameters of a request for the newest policy.
type policyRequest struct {
	Have int `json:"have"` // version of the requesting box; 0 for none
}

func (n *Node) servePolicy(have int) (out catalog.PolicyResponse, err error) {
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
		out.RetryAfter = catalog.Millis(wait.Milliseconds() + 1)
		return out, nil
	}
	out.Compressed = compressed
	return out, nil
}

// callPolicy requests the newest policy from the box at an address. It uses the bulk connection, so that
// other calls do not queue behind the response.
func (n *Node) callPolicy(ctx context.Context, addr string, have int) (response catalog.PolicyResponse, err error) {
	err = n.bulkPeers.Call(ctx, addr, peer.Policy, policyRequest{
		Have: have,
	}, &response)
	return response, err
}

// missingPolicy is a published policy that this box lacks.
type missingPolicy struct {
	have    *catalog.Policy
	due     int // version; 0 if none is missing
	sources []wire.BoxStatus
}

// version returns the version that the box has, 0 for none.
func (l missingPolicy) version() int { return versionOf(l.have) }

// versionOf returns the version of a policy, 0 for none.
func versionOf(p *catalog.Policy) int {
	if p == nil {
		return 0
	}
	return p.Version
}

// findMissingPolicy returns the policy that this box lacks and the boxes that have it: boxes of other
// regions only if none of the own region does.
func (s *state) findMissingPolicy(avoid []string, now time.Duration) missingPolicy {
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
		s.content.RecordPolicyVersion(b.Policy)
		switch {
		case slices.Contains(avoid, b.Box):
		case b.Region == s.settings.Region:
			near = keepNewest(near, b)
		default:
			far = keepNewest(far, b)
		}
	}
	out.due = s.content.MissingPolicyVersion()
	out.sources = near
	if len(near) == 0 {
		out.sources = far
	}
	return out
}

// keepNewest adds a box to those with the newest policy, or replaces them if its policy is newer.
func keepNewest(list []wire.BoxStatus, b wire.BoxStatus) []wire.BoxStatus {
	switch {
	case len(list) == 0 || b.Policy == list[0].Policy:
		return append(list, b)
	case b.Policy > list[0].Policy:
		return append(list[:0], b)
	}
	return list
}

// fetchMissingPolicy fetches a missing policy from another box, unless a fetch is in progress. A box that
// watches for itself does so only while it can't read.
func (n *Node) fetchMissingPolicy(ctx context.Context) {
	if !n.fetchingPolicy.CompareAndSwap(false, true) {
		return
	}
	var l missingPolicy
	_ = n.state.Do(func(s *state) { l = s.findMissingPolicy(n.policySources.excluded(), n.now()) }) // it fails only after the box has stopped
	if l.due == 0 || len(l.sources) == 0 || !n.dependsOnPeers() {
		n.policySources.reset() // excluded boxes may be the only sources
		n.fetchingPolicy.Store(false)
		return
	}
	from := l.sources[n.draw(len(l.sources))]
	n.tasks.Go(func() {
		defer n.fetchingPolicy.Store(false)
		sleep.For(ctx, max(n.fetchPolicyFrom(ctx, from, l.have), policyRequestInterval))
	})
}

// dependsOnPeers reports whether this box receives the catalog from other boxes.
func (n *Node) dependsOnPeers() bool {
	return n.isFollower.Load() || !n.storeOK.Load() || n.table.Load() == nil
}

// rereadMissingPolicy reads the full catalog when a policy has been missing for too long, even if a fetch
// from another box is in progress.
func (n *Node) rereadMissingPolicy() {
	have, due := 0, 0
	_ = n.state.Do(func(s *state) { have, due = versionOf(s.content.Policy()), s.content.MissingPolicyVersion() }) // it fails only after the box has stopped
	if n.ownReadTimer.shouldRead(have, due, n.now(), n.jitter) {
		n.feed.Reread()
	}
}

// fetchPolicyFrom fetches and applies the policy of a box. It returns the minimum wait until the next request.
func (n *Node) fetchPolicyFrom(ctx context.Context, from wire.BoxStatus, known *catalog.Policy) (wait time.Duration) {
	have := versionOf(known)
	limit, cancel := context.WithTimeout(ctx, policyTimeout)
	defer cancel()
	response, err := n.fetchPolicy(limit, from.Peers, have)
	if err == nil && len(response.Compressed) == 0 {
		n.policySources.busy = from.Box
		return min(response.RetryAfter.Duration(), maxPolicyWait)
	}
	var p *catalog.Policy
	if err == nil {
		p, err = applyPolicyDelta(response, known)
	}
	if err != nil {
		n.policySources.failed = append(n.policySources.failed, from.Box)
		n.record(decision.Event{
			Kind:     decision.Belief,
			Upstream: from.Box,
			Reason:   "policy not received from box",
			Detail:   err.Error(),
		})
		return 0
	}
	n.policySources.reset()
	n.applyUpdate(catalog.PolicyUpdate(p, catalog.ByBox))
	return 0
}

func applyPolicyDelta(response catalog.PolicyResponse, known *catalog.Policy) (*catalog.Policy, error) {
	a, err := response.Delta()
	if err != nil {
		return nil, err
	}
	return a.Apply(known)
}
