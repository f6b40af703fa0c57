package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// BeginTick starts a tick: it adapts the parameters to the number of boxes, expires members, and
// updates the liveness of the others.
func (t *Table) BeginTick(now time.Duration) {
	t.removeExpired(now)
	t.updateParams(now)
	t.chooseMonitors(now)
	t.updateLiveness(now)
	t.expireAbsent(now)
	t.updateAgreement(now)
	t.compact.sweep(now)
	t.compact.statusReplies = 0
}

// CompactRound returns the compact datagrams to send at this tick within the budget: changes,
// probes, one liveness datagram, and loads to as many boxes as the budget allows. self is the
// status of this box. Call BeginTick first.
func (t *Table) CompactRound(self wire.BoxStatus, now time.Duration, rnd func(n int) int) []Packet {
	t.setSelf(self)
	l := &t.compact
	l.rounds++
	income := t.params.bytesPerSecond * Tick.Seconds()
	l.budget = min(max(l.budget, -maxDebtTicks*income)+income, maxSavedTicks*income)
	l.demandBudget = min(l.demandBudget, 0) + t.params.demandPerTick
	out := &outbox{
		compact:  l,
		selfAddr: t.self.Peers,
	}
	c := t.recipients(now)
	t.sendToMonitors(out, c)
	t.sendChanges(out, c, now, rnd)
	t.sendRevision(out, c, rnd)
	t.sendCatalogRead(out, c, now, rnd)
	t.sendDeaths(out, c, now, rnd)
	t.probeSilent(out, now, rnd)
	t.sendProbes(out, c, now, rnd)
	t.sendStartupProbes(out, c, now, rnd)
	received := 0
	if out.hasBudget() {
		received = t.sendLiveness(out, c, now, rnd)
	}
	t.sendLoads(out, c, received, now, rnd)
	return append(out.packets, t.checkPackets(now)...)
}

// recipients holds the boxes alive at one time, and the loads that they receive.
type recipients struct {
	all      []*record
	near     map[string]*record
	far      map[string][]*record
	loads    []CompactLoad
	allLoads bool // loads has all significant ones
}

func (t *Table) recipients(now time.Duration) recipients {
	c := recipients{
		near: make(map[string]*record),
		far:  make(map[string][]*record),
	}
	c.loads, c.allLoads = t.loads()
	for _, r := range t.order {
		if t.alive(r, now) {
			c.all = append(c.all, r)
		}
	}
	for _, r := range c.all {
		if region := r.Status.Region; region != t.self.Region {
			c.far[region] = append(c.far[region], r)
			continue
		}
		c.near[r.Status.Box] = r
	}
	return c
}

func (t *Table) setSelf(self wire.BoxStatus) {
	t.compact.self = IDOf(self.Box, self.Inc)
	t.compact.selfStatus = self
	t.compact.newestRevision = max(t.compact.newestRevision, int64(self.Catalog))
}

// CompactLoads returns datagrams that send the loads to the next boxes of the region at once,
// as far as the budget allows.
func (t *Table) CompactLoads(self wire.BoxStatus, now time.Duration, rnd func(n int) int) []Packet {
	t.setSelf(self)
	out := &outbox{
		compact:  &t.compact,
		selfAddr: t.self.Peers,
	}
	t.sendLoads(out, t.recipients(now), 0, now, rnd)
	return out.packets
}

// nextNear returns the next box of the own region, cycling through all of them in an order
// that is shuffled for each cycle.
func (t *Table) nextNear(c recipients, rnd func(n int) int) (*record, bool) {
	for range 2 {
		for len(t.compact.near) > 0 {
			box := t.compact.near[0]
			t.compact.near = t.compact.near[1:]
			if r, ok := c.near[box]; ok {
				return r, true
			}
		}
		t.compact.near = slices.Sorted(maps.Keys(c.near))
		shuffle(t.compact.near, rnd)
	}
	return nil, false
}

// nextFar returns a random box of the next other region.
func (t *Table) nextFar(c recipients, rnd func(n int) int) (*record, bool) {
	for range 2 {
		for len(t.compact.farRegions) > 0 {
			region := t.compact.farRegions[0]
			t.compact.farRegions = t.compact.farRegions[1:]
			if list := c.far[region]; len(list) > 0 {
				return list[rnd(len(list))], true
			}
		}
		t.compact.farRegions = slices.Sorted(maps.Keys(c.far))
		shuffle(t.compact.farRegions, rnd)
	}
	return nil, false
}

func shuffle(list []string, rnd func(n int) int) {
	for i := len(list) - 1; i > 0; i-- {
		j := rnd(i + 1)
		list[i], list[j] = list[j], list[i]
	}
}

// sortByRelay sorts records: fresh ones, those relayed longest ago, then the latest seen.
func sortByRelay(list []*record) {
	sortForRelay(list, func(r *record) bool { return r.fresh }, func(r *record) int { return r.relayedRound })
}
