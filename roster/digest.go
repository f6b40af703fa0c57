package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// nearDigestInterval is for how many digests a member of the own region is not passed on
// again, if there are others: all its region hears it directly, and the space is
// better used for other regions. It is ten seconds at one digest a second.
const nearDigestInterval = 10

// unprioritizedEvery is the pace of digests that don't prefer fresh statuses, so that the
// others get their turn also where fresh ones fill each digest.
const unprioritizedEvery = 4

// Digest returns up to limit statuses of other boxes to pass on, fewer when they
// would not fit a datagram. Fresh ones come first: few boxes of this region hear a
// box of another one directly, and the rest should know it at once. Then those not
// passed on for longest come, and among these the most recently heard; so all get
// their turn. Only boxes that are alive at now are in it. Their loads are left out,
// and their rooms for all but the first of each region: the boxes of one region
// state nearly the same.
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
		n := jsonSize(s) + 1 // with its comma
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

// digestOrder returns the boxes alive in the order in which they are passed on.
func (t *Table) digestOrder(now time.Duration) []*record {
	var list []*record
	for _, r := range t.records {
		if t.alive(r, now) {
			list = append(list, r)
		}
	}
	fresh := func(r *record) bool { return r.fresh && t.digestCount%unprioritizedEvery != 0 }
	sortByTurn(list, fresh, func(r *record) int { return r.nextDigest })
	return list
}

// sortByTurn orders records to be passed on: the fresh ones first, then by turn, then
// the latest heard.
func sortByTurn(list []*record, fresh func(r *record) bool, turn func(r *record) int) {
	rank := func(r *record) int {
		if fresh(r) {
			return 0
		}
		return 1
	}
	slices.SortFunc(list, func(a, b *record) int {
		return cmp.Or(
			cmp.Compare(rank(a), rank(b)),
			cmp.Compare(turn(a), turn(b)),
			cmp.Compare(b.Heard, a.Heard),
			cmp.Compare(a.Status.Box, b.Status.Box),
		)
	})
}
