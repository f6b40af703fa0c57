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
		From: LivenessEntry{
			ID:  t.compact.self,
			Seq: uint16(s.Seq),
		},
		State:               stateOf(s),
		NoCallers:           s.Callers == "",
		Catalog:             int64(s.Catalog),
		NewestCatalog:       t.compact.newestRevision,
		Policy:              s.Policy,
		CatalogReadMs:       s.ReadMs,
		UpMs:                s.UpMs,
		UnconfirmedRemovals: s.Lapses,
	}
}

// livenessDatagram returns a compact datagram with liveness entries, of all boxes of the own
// region and some of others, and the recorded deaths. far means that it is for another
// region.
func (t *Table) livenessDatagram(c recipients, now time.Duration, far bool) Compact {
	b := t.header()
	b.Liveness = t.livenessEntries(c, now, far)
	b.Dead = t.deaths(now)
	for _, r := range c.all {
		if r.State() == wire.ServingStateLeaving && len(b.Leaving) < maxLeaving {
			b.Leaving = append(b.Leaving, r.id)
		}
	}
	if far {
		b.Capacity = t.ownCapacity()
		return b
	}
	b.Capacity = t.nextCapacity(now)
	b.Loads, b.AllLoads = c.loads, c.allLoads
	// Only capacity with long service names takes so much; the other lists are limited.
	for len(b.encode()) > datagramBytes {
		b.Capacity = nil
		b.Loads = b.Loads[:len(b.Loads)/2]
		b.AllLoads = false
	}
	return b
}

// livenessEntries returns the entries to relay. For the own region these include the latest
// of each other region, which shows that the region is reachable, and some more.
func (t *Table) livenessEntries(c recipients, now time.Duration, far bool) []LivenessEntry {
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
		latest := slices.MaxFunc(c.far[region], func(a, b *record) int { return cmp.Compare(a.LastHeartbeat, b.LastHeartbeat) })
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

// appendRelayed appends the entries of the first records and marks these as relayed.
func (t *Table) appendRelayed(out []LivenessEntry, list []*record, limit int, now time.Duration) []LivenessEntry {
	for _, r := range list[:min(len(list), limit)] {
		r.relayedRound = t.compact.rounds
		r.fresh = false
		out = append(out, r.livenessEntry(now))
	}
	return out
}

func (r *record) livenessEntry(now time.Duration) LivenessEntry {
	return LivenessEntry{
		ID:  r.id,
		Seq: uint16(r.Status.Seq),
		Age: now - r.LastHeartbeat,
	}
}

// deaths returns the boxes to report as dead, the latest first: of the own region those that
// time out or whose monitors declare them dead, unless this box is muted, and of other
// regions those that their region declares dead.
func (t *Table) deaths(now time.Duration) []LivenessEntry {
	var list []LivenessEntry
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
	slices.SortFunc(list, func(a, b LivenessEntry) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID))
	})
	return list[:min(len(list), maxDeaths)]
}

// loads returns the significant loads of this box that fit the budget, and whether these
// are all.
func (t *Table) loads() (out []CompactLoad, all bool) {
	room := t.params.loads
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

// minReads is the rate of prompt tokens, per second, from which the load of a replica without
// requests in flight is significant.
const minReads = 200

// isSignificant reports whether other boxes receive a load.
func isSignificant(l wire.ReplicaLoad) bool {
	return l.InFlight > 0 || l.Prompt > 0 || l.Reads >= minReads
}

func (t *Table) ownCapacity() []CompactCapacity {
	if len(t.compact.selfStatus.Rooms) == 0 {
		return nil
	}
	return []CompactCapacity{{
		From:     t.header().From,
		Services: t.compact.selfStatus.Rooms,
	}}
}

// nextCapacity returns the latest capacity of another region that isn't relayed yet.
func (t *Table) nextCapacity(now time.Duration) []CompactCapacity {
	newest := make(map[string]*record)
	for _, r := range t.records {
		if r.Status.Region == t.self.Region || len(r.Status.Rooms) == 0 || now-r.CapacityAt > t.CapacityTTL() {
			continue
		}
		if n, ok := newest[r.Status.Region]; !ok || r.CapacityAt > n.CapacityAt || (r.CapacityAt == n.CapacityAt && r.id < n.id) {
			newest[r.Status.Region] = r
		}
	}
	var next *record
	for _, r := range newest {
		if r.capacityRelayed < r.CapacityAt && (next == nil || r.CapacityAt > next.CapacityAt || (r.CapacityAt == next.CapacityAt && r.id < next.id)) {
			next = r
		}
	}
	if next == nil {
		return nil
	}
	next.capacityRelayed = next.CapacityAt
	v := next.livenessEntry(now)
	v.Age = now - next.CapacityAt
	return []CompactCapacity{{
		From:     v,
		Services: next.Status.Rooms,
	}}
}
