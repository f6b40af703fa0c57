package node

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
	leasePercent       = 80                      // of the revocation bound for which a lease holds; the rest covers the time between the check of a request and the clock of its caller
	proofRequestAge    = time.Second             // of the lease at which other boxes are asked: the typical age at catalog readers
	ownReaderProofAge  = 1500 * time.Millisecond // the same for a box whose own reads fail; from then on a follower reads itself
	maxProofAttempts   = 16                      // at consecutive heartbeats, for as long as the lease lasts
	proofBackoffBeats  = 4                       // between later attempts
	followerReadShare  = 0.5                     // of the reads that a follower makes while the publisher does not answer
	localProofTimeout  = 250 * time.Millisecond  // within a region
	remoteProofTimeout = 600 * time.Millisecond  // between regions, where a connection and a request take 320 ms
	unknownKeyMaxAge   = 2 * time.Second         // of the lease up to which an unknown key is refused
)

// proofResponse is the age at which the policy of a box was last confirmed as the newest.
type proofResponse struct {
	Known   bool  `json:"known"`
	Version int   `json:"version"`
	AgeMs   int64 `json:"age_ms"`
}

// proofRequests is the state of requests for freshness proofs. The heartbeat task owns all but nearBusy
// and farBusy.
type proofRequests struct {
	nearBusy    atomic.Bool   // a box of this region is being asked
	farBusy     atomic.Bool   // a box that may be of another region is being asked
	attempts    int           // since the lease was last renewed
	confirmedAt time.Duration // to which the lease reached at the last attempt
	lost        bool          // the last logged state of the lease
}

// needsLease reports whether requests need keys that may be revoked.
func (n *Node) needsLease() bool {
	t := n.table.Load()
	return n.settings.Bounds.RevocationTimeout > 0 && t != nil && t.Keyed()
}

// leaseAge returns the time since the policy in force was last confirmed as the newest.
func (n *Node) leaseAge() time.Duration {
	clock.Check()
	age, _ := n.lease.Age(n.now())
	return age
}

// keysValid reports whether the lease on keys holds, so that requests may be admitted by them.
func (n *Node) keysValid() bool {
	within := n.settings.Bounds.RevocationTimeout
	return within == 0 || n.leaseAge() <= within*leasePercent/percent
}

// keysCurrent reports whether an unknown key belongs to no organisation.
func (n *Node) keysCurrent(ctx context.Context) bool {
	if n.settings.Bounds.RevocationTimeout == 0 {
		return n.hasCurrentPolicy(ctx)
	}
	return !n.missesPolicy() && n.leaseAge() <= unknownKeyMaxAge
}

// recordProof records that a policy version was the newest at a time.
func (n *Node) recordProof(version int, at time.Time) {
	n.lease.AddProof(lease.FreshnessProof{
		Version:     version,
		ConfirmedAt: at.Sub(n.started),
	})
}

func (n *Node) serveProof() proofResponse {
	clock.Check()
	age, version := n.lease.Age(n.now())
	if age == lease.Never {
		return proofResponse{}
	}
	return proofResponse{
		Known:   true,
		Version: version,
		AgeMs:   age.Milliseconds() + 1,
	}
}

func (n *Node) callProof(ctx context.Context, addr string) (out proofResponse, err error) {
	err = n.peers.Call(ctx, addr, peer.FreshnessProof, struct{}{}, &out)
	return out, err
}

// confirmsPolicy reports whether this box confirms the policy at the publisher. A follower does so only
// without a recent proof of others, and less often while the publisher does not answer, so that followers
// do not call it all at once.
func (n *Node) confirmsPolicy() bool {
	switch {
	case !n.needsLease():
		return false
	case !n.isFollower.Load():
		return true
	}
	return n.leaseAge() > ownReaderProofAge && (n.storeOK.Load() || n.jitter() < followerReadShare)
}

// requestProofs requests freshness proofs from other boxes when the lease gets old.
func (n *Node) requestProofs(ctx context.Context) {
	if !n.needsLease() {
		return
	}
	after := ownReaderProofAge
	if n.isFollower.Load() || !n.storeOK.Load() {
		after = proofRequestAge
	}
	clock.Check()
	now := n.now()
	age, _ := n.lease.Age(now)
	if age < after {
		n.proofs.attempts = 0
		return
	}
	n.proofs.countAttempt(now - age)
	if n.proofs.attempts > maxProofAttempts && n.proofs.attempts%proofBackoffBeats > 0 {
		return
	}
	var near, far []wire.BoxStatus
	_ = n.state.Do(func(s *state) { near, far = s.proofSources(n.draw, n.now()) }) // it fails only after the box has stopped
	n.requestProofsOf(ctx, near, &n.proofs.nearBusy, after)
	n.requestProofsOf(ctx, far, &n.proofs.farBusy, after)
}

// requestProofsOf requests proofs from boxes one after the other until the lease is newer than after,
// unless such requests are in progress.
func (n *Node) requestProofsOf(ctx context.Context, list []wire.BoxStatus, busy *atomic.Bool, after time.Duration) {
	if !busy.CompareAndSwap(false, true) {
		return
	}
	n.tasks.Go(func() {
		defer busy.Store(false)
		for _, box := range list {
			if n.leaseAge() >= after && ctx.Err() == nil {
				n.requestProof(ctx, box)
			}
		}
	})
}

// countAttempt counts an attempt with a lease that reaches to confirmedAt. The count starts anew when
// others have renewed the lease, though the proof may be too old to end the attempts.
func (p *proofRequests) countAttempt(confirmedAt time.Duration) {
	if confirmedAt > p.confirmedAt {
		p.attempts = 0
	}
	p.confirmedAt = confirmedAt
	p.attempts++
}

// requestProof requests a proof from a box. The reported age counts from when the request was sent,
// so that the lease is never overestimated.
func (n *Node) requestProof(ctx context.Context, from wire.BoxStatus) {
	limit := remoteProofTimeout
	if from.Region == n.settings.Region {
		limit = localProofTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	clock.Check()
	sentAt := n.now()
	p, err := n.fetchProof(ctx, from.Peers)
	if err != nil || !p.Known || p.AgeMs < 0 {
		return // other boxes follow, and the end of the lease is logged
	}
	n.lease.AddProof(lease.FreshnessProof{
		Version:     p.Version,
		ConfirmedAt: sentAt - time.Duration(p.AgeMs)*time.Millisecond,
	})
}

// proofSources returns the boxes to ask in order: a reader and two boxes of the region, and a reader
// and then any box of other regions. Proofs thus spread to all boxes that can reach each other.
func (s *state) proofSources(draw func(n int) int, now time.Duration) (nearby, remote []wire.BoxStatus) {
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
	return drawFrom(draw, readersOf(near), near, near), drawFrom(draw, far, everywhere)
}

// drawFrom returns a random box of each list that is not empty.
func drawFrom(draw func(n int) int, lists ...[]wire.BoxStatus) (out []wire.BoxStatus) {
	for _, list := range lists {
		if len(list) > 0 {
			out = append(out, list[draw(len(list))])
		}
	}
	return out
}

func readersOf(list []wire.BoxStatus) []wire.BoxStatus {
	names := make([]string, 0, len(list))
	for _, b := range list {
		names = append(names, b.Box)
	}
	top := rendezvous.Top(readersKey, names, watchersPerRegion)
	return slices.DeleteFunc(slices.Clone(list), func(b wire.BoxStatus) bool { return !slices.Contains(top, b.Box) })
}

// recordLeaseChange logs when the lease on keys is lost or regained.
func (n *Node) recordLeaseChange() {
	if !n.needsLease() {
		return
	}
	age := n.leaseAge()
	lost := !n.keysValid()
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
