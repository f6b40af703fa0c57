package node

// This file says how a box stays sure that no key which it knows was taken away too long ago:
// by its own questions to the publisher, or by what other boxes say of theirs.

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/lease"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	leaseShare    = 80                      // percent of the bound on keys that are taken away for which a box acts on what it knows; the moments are sure, and the rest is for what lies between a request's check and its caller's clock
	proofAfter    = time.Second             // age at which another box is asked: as old as what the boxes that read have as a rule
	proofOwn      = 1500 * time.Millisecond // the same for a box that reads for itself, whose last reading failed; from then on one that follows others reads
	proofTries    = 16                      // beats in a row at which others are asked, for as long as the lease lasts
	proofRarely   = 4                       // from then on, at every so many
	followerReads = 0.5                     // share of the readings that a box which follows others makes where it hears from nobody
	proofNear     = 250 * time.Millisecond  // for an answer from the own region: a few ms, and what its ends take
	proofFar      = 600 * time.Millisecond  // from another one: a connection and the question take 320 ms
	keysFresh     = 2 * time.Second         // age up to which an unknown key is none: keys that are added come into force within some 300 ms, the bound on that is 4 s at the least
)

// proofAnswer says how long ago the policy of a box surely was the newest.
type proofAnswer struct {
	Known   bool  `json:"known"`
	Version int   `json:"version"`
	AgeMs   int64 `json:"age_ms"`
}

// proofSeeker asks other boxes. The task that beats owns it, but for busy.
type proofSeeker struct {
	busy  atomic.Bool // a box is asked
	tries int         // since the lease was last renewed
	lost  bool        // the lease is over, as the log says last
}

// needsLease says whether requests here need keys that may be taken away.
func (n *Node) needsLease() bool {
	t := n.table.Load()
	return n.settings.Bounds.RevokeWithin > 0 && t != nil && t.Keyed()
}

// leaseAge returns how long ago the policy in force surely was the newest.
func (n *Node) leaseAge() time.Duration {
	clock.Check()
	age, _ := n.lease.Age(n.now())
	return age
}

// keysHold says whether a request may be let in by what is known of keys.
func (n *Node) keysHold() bool {
	within := n.settings.Bounds.RevokeWithin
	return within == 0 || n.leaseAge() <= within*leaseShare/percent
}

// keysCurrent says whether a key that isn't known is held by no organisation.
func (n *Node) keysCurrent() bool {
	if n.settings.Bounds.RevokeWithin == 0 {
		return n.hasCurrentPolicy()
	}
	due := 0
	_ = n.state.Do(func(s *state) { due = s.content.PolicyDue() }) // it fails only when the box has ended
	return due == 0 && n.leaseAge() <= keysFresh
}

// proved takes in that a version surely was the newest at a time.
func (n *Node) proved(version int, at time.Time) {
	n.lease.Prove(lease.Proof{
		Version: version,
		At:      at.Sub(n.started),
	})
}

// giveProof answers another box how long ago the policy here surely was the newest.
func (n *Node) giveProof() proofAnswer {
	clock.Check()
	age, version := n.lease.Age(n.now())
	if age == lease.Never {
		return proofAnswer{}
	}
	return proofAnswer{
		Known:   true,
		Version: version,
		AgeMs:   age.Milliseconds() + 1,
	}
}

// callForProof asks the box at an address how long ago its policy surely was the newest.
func (n *Node) callForProof(ctx context.Context, addr string) (out proofAnswer, err error) {
	err = n.peers.Call(ctx, addr, peer.Proof, struct{}{}, &out)
	return out, err
}

// confirms says whether this box reads the policy again and again: one that reads for others,
// and one that follows them and hears from nobody that could: each time where its last call was
// answered, now and then where not, or all would call a publisher that is away together.
func (n *Node) confirms() bool {
	switch {
	case !n.needsLease():
		return false
	case !n.isFollower.Load():
		return true
	}
	return n.leaseAge() > proofOwn && (n.storeOK.Load() || n.jitter() < followerReads)
}

// seekProof asks other boxes while the lease gets old, unless they are being asked.
func (n *Node) seekProof(ctx context.Context) {
	if !n.needsLease() {
		return
	}
	after := proofOwn
	if n.isFollower.Load() || !n.storeOK.Load() {
		after = proofAfter
	}
	if n.leaseAge() < after {
		n.proofs.tries = 0
		return
	}
	n.proofs.tries++
	if n.proofs.tries > proofTries && n.proofs.tries%proofRarely > 0 {
		return
	}
	if !n.proofs.busy.CompareAndSwap(false, true) {
		return
	}
	var list []wire.BoxStatus
	_ = n.state.Do(func(s *state) { list = s.provers(n.draw, n.now()) }) // it fails only when the box has ended
	n.tasks.Go(func() {
		defer n.proofs.busy.Store(false)
		for _, box := range list {
			if n.leaseAge() >= after && ctx.Err() == nil {
				n.getProof(ctx, box)
			}
		}
	})
}

// getProof asks a box. Its age counts from when the question left, for it can't have been less
// by then.
func (n *Node) getProof(ctx context.Context, from wire.BoxStatus) {
	limit := proofFar
	if from.Region == n.settings.Region {
		limit = proofNear
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	clock.Check()
	left := n.now()
	p, err := n.fetchProof(ctx, from.Peers)
	if err != nil || !p.Known || p.AgeMs < 0 {
		return // others are asked, and the end of the lease is written down
	}
	n.lease.Prove(lease.Proof{
		Version: p.Version,
		At:      left - time.Duration(p.AgeMs)*time.Millisecond,
	})
}

// provers returns boxes to ask, one after another: of those of the region that read on behalf of
// others, of all of the region, of those of other regions that read, of all. What one box knows
// thus comes to all that hear it, each by the first of them that has it.
func (s *state) provers(draw func(n int) int, now time.Duration) (out []wire.BoxStatus) {
	byRegion := make(map[string][]wire.BoxStatus)
	for m := range s.roster.All() {
		if b := m.Status; b.Peers != "" && b.Policy > 0 && s.roster.Alive(b.Box, now) {
			byRegion[b.Region] = append(byRegion[b.Region], b)
		}
	}
	near := byRegion[s.settings.Region]
	var far, everywhere []wire.BoxStatus
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		if list := byRegion[region]; region != s.settings.Region {
			far = append(far, readersOf(list)...)
			everywhere = append(everywhere, list...)
		}
	}
	for _, list := range [][]wire.BoxStatus{readersOf(near), near, near, far, everywhere} {
		if len(list) > 0 {
			out = append(out, list[draw(len(list))])
		}
	}
	return out
}

// readersOf returns the boxes of a region that read the catalog on behalf of others.
func readersOf(list []wire.BoxStatus) []wire.BoxStatus {
	names := make([]string, 0, len(list))
	for _, b := range list {
		names = append(names, b.Box)
	}
	top := rendezvous.Top(readersKey, names, watchers)
	return slices.DeleteFunc(slices.Clone(list), func(b wire.BoxStatus) bool { return !slices.Contains(top, b.Box) })
}

// watchLease writes down when requests with keys are no longer let in, and when they are again.
func (n *Node) watchLease() {
	if !n.needsLease() {
		return
	}
	age := n.leaseAge()
	lost := !n.keysHold()
	if lost == n.proofs.lost {
		return
	}
	n.proofs.lost = lost
	e := decision.Event{
		Kind:   decision.Regained,
		Reason: "lease on keys",
		AgeMs:  age.Milliseconds(),
	}
	if lost {
		e.Kind = decision.Lost
	}
	n.record(e)
}
