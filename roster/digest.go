package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// nearDigestInterval is the number of digests until a member of the own region is relayed
// again, if there are others. The region receives its heartbeats directly.
const nearDigestInterval = 10

// unprioritizedEvery is the interval of digests that ignore freshness, so that fresh
// statuses don't crowd out the rest.
const unprioritizedEvery = 4

// Digest returns up to limit statuses of live boxes to relay, fewer if they don't fit a
// datagram. Fresh ones come first, as few boxes of this region receive heartbeats of other
// regions directly; then those not relayed for longest. Loads are left out, and the capacity
// of all but one box per region, since the boxes of a region report nearly the same.
func (t *Table) Digest(now time.Duration, limit int) []wire.BoxStatus {
	list := t.digestOrder(now)
	t.digestCount++
	var out []wire.BoxStatus
	room := othersBytes
	regions := make(map[string]bool)
	for _, r := range list {
		if len(out) >= limit {
			break
		}
		s := r.Status
		s.Loads = nil
		if regions[s.Region] {
			s.Rooms = nil
		}
		s = trim(s, statusBytes)
		n := jsonSize(s) + 1 // comma
		if len(out) > 0 && n > room {
			break
		}
		room -= n
		regions[s.Region] = true
		r.fresh = false
		r.nextDigest = t.digestCount
		if s.Region == t.self.Region {
			r.nextDigest += nearDigestInterval
		}
		out = append(out, s)
	}
	return out
}

func (t *Table) digestOrder(now time.Duration) []*record {
	var list []*record
	for _, r := range t.records {
		if t.alive(r, now) {
			list = append(list, r)
		}
	}
	fresh := func(r *record) bool { return r.fresh && t.digestCount%unprioritizedEvery != 0 }
	sortForRelay(list, fresh, func(r *record) int { return r.nextDigest })
	return list
}

// sortForRelay sorts fresh records first, then by relayOrder, then the latest seen.
func sortForRelay(list []*record, fresh func(r *record) bool, relayOrder func(r *record) int) {
	rank := func(r *record) int {
		if fresh(r) {
			return 0
		}
		return 1
	}
	slices.SortFunc(list, func(a, b *record) int {
		return cmp.Or(
			cmp.Compare(rank(a), rank(b)),
			cmp.Compare(relayOrder(a), relayOrder(b)),
			cmp.Compare(b.LastHeartbeat, a.LastHeartbeat),
			cmp.Compare(a.Status.Box, b.Status.Box),
		)
	})
}
