package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// header returns a compact datagram without lists.
func (t *Table) header() Compact {
	s := t.compact.selfStatus
	return Compact{
		From: Vital{
			ID:   t.compact.selfID,
			Beat: uint16(s.Seq),
		},
		State:   stateOf(s),
		Closed:  s.Callers == "",
		Catalog: int64(s.Catalog),
		Newest:  t.compact.newestRevision,
		Policy:  s.Policy,
		ReadMs:  s.ReadMs,
		UpMs:    s.UpMs,
		Lapses:  s.Lapses,
	}
}

// livenessDatagram returns a livenessDatagram datagram, a compact one with signs of life: of the own
// region's boxes all, of others some in turn, and the deaths known. With far it is
// for another region.
func (t *Table) livenessDatagram(c recipients, now time.Duration, far bool) Compact {
	b := t.header()
	b.Vitals = t.livenessEntries(c, now, far)
	b.Silent = t.deaths(now)
	for _, r := range c.all {
		if r.State() == wire.ServingStateLeaving && len(b.Leaving) < maxLeaving {
			b.Leaving = append(b.Leaving, r.id)
		}
	}
	if far {
		b.Rooms = t.ownCapacity()
		return b
	}
	b.Rooms = t.nextCapacity(now)
	b.Loads, b.Loaded = c.loads, c.allLoads
	for len(b.encode()) > datagramBytes { // rooms of long names; statuses and loads are bounded below it
		b.Rooms = nil
		b.Loads = b.Loads[:len(b.Loads)/2]
		b.Loaded = false
	}
	return b
}

// livenessEntries returns the signs of life to pass on: for a box of the own region also the
// latest of each other region, which shows that the region is there, and some more.
func (t *Table) livenessEntries(c recipients, now time.Duration, far bool) []Vital {
	var own, others []*record
	for _, r := range c.near {
		if t.compact.byID[r.id] == r {
			own = append(own, r)
		}
	}
	sortByRelay(own)
	out := t.appendRelayed(nil, own, maxNearEntries, now)
	if far {
		return out
	}
	for _, region := range slices.Sorted(maps.Keys(c.far)) {
		latest := slices.MaxFunc(c.far[region], func(a, b *record) int { return cmp.Compare(a.Heard, b.Heard) })
		for _, r := range c.far[region] {
			switch {
			case t.compact.byID[r.id] != r:
			case r == latest:
				out = t.appendRelayed(out, []*record{r}, 1, now)
			default:
				others = append(others, r)
			}
		}
	}
	sortByRelay(others)
	return t.appendRelayed(out, others, maxFarEntries, now)
}

// appendRelayed appends the first of a list, and notes that they were passed on.
func (t *Table) appendRelayed(out []Vital, list []*record, limit int, now time.Duration) []Vital {
	for _, r := range list[:min(len(list), limit)] {
		r.relayedRound = t.compact.rounds
		r.fresh = false
		out = append(out, r.livenessEntry(now))
	}
	return out
}

// livenessEntry returns the latest sign of life of a box.
func (r *record) livenessEntry(now time.Duration) Vital {
	return Vital{
		ID:   r.id,
		Beat: uint16(r.Status.Seq),
		Age:  now - r.Heard,
	}
}

// deaths returns the boxes that this one knows to be dead: those of its region by
// its own judgement, unless it can't judge now, others by their region's word. The
// latest come first.
func (t *Table) deaths(now time.Duration) []Vital {
	var list []Vital
	for _, r := range t.records {
		own := r.Status.Region == t.self.Region
		v := r.livenessEntry(now)
		switch {
		case t.compact.byID[r.id] != r:
			continue
		case own && (now < t.compact.muteUntil || t.alive(r, now)), (!own || t.monitoring.enabled) && !r.declaredDead:
			continue
		case !own || t.monitoring.enabled:
			v.Age = now - r.deadSince
		}
		if v.Age < deathGossipWindow {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(a, b Vital) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID))
	})
	return list[:min(len(list), maxDeaths)]
}

// ownLoads returns the own ownLoads that matter, as many as the budget pays for, and
// whether these are all.
func (t *Table) ownLoads() (out []CompactLoad, all bool) {
	room := t.params.loadsBytes
	if room == 0 {
		return nil, false
	}
	for _, l := range byTokens(t.compact.selfStatus.Loads) {
		if !isSignificant(l) {
			continue
		}
		b := CompactLoad{
			Replica: ReplicaIDOf(l.Replica),
			Load:    l,
		}
		room -= len(appendLoad(nil, b))
		if room < 0 {
			return out, false
		}
		out = append(out, b)
	}
	return out, true
}

// minReads are the prompt tokens a second below which a replica without any
// request in flight isn't told: 5 ms of an engine's time in each second.
const minReads = 200

// isSignificant says whether others are told of a load.
func isSignificant(l wire.ReplicaLoad) bool {
	return l.InFlight > 0 || l.Prompt > 0 || l.Reads >= minReads
}

// ownCapacity returns what this box's region can take.
func (t *Table) ownCapacity() []CompactRooms {
	if len(t.compact.selfStatus.Rooms) == 0 {
		return nil
	}
	return []CompactRooms{{
		From:  t.header().From,
		Rooms: t.compact.selfStatus.Rooms,
	}}
}

// nextCapacity returns what one other region can take: the latest that was not
// passed on yet.
func (t *Table) nextCapacity(now time.Duration) []CompactRooms {
	newest := make(map[string]*record)
	for _, r := range t.records {
		if r.Status.Region == t.self.Region || len(r.Status.Rooms) == 0 || now-r.Told > t.RoomsAge() {
			continue
		}
		if n, ok := newest[r.Status.Region]; !ok || r.Told > n.Told || (r.Told == n.Told && r.id < n.id) {
			newest[r.Status.Region] = r
		}
	}
	var next *record
	for _, r := range newest {
		if r.capacityRelayed < r.Told && (next == nil || r.Told > next.Told || (r.Told == next.Told && r.id < next.id)) {
			next = r
		}
	}
	if next == nil {
		return nil
	}
	next.capacityRelayed = next.Told
	v := next.livenessEntry(now)
	v.Age = now - next.Told
	return []CompactRooms{{
		From:  v,
		Rooms: next.Status.Rooms,
	}}
}
