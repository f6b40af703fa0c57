package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// Adapt begins a tick: it works the pace out from the number of boxes, and forgets
// those silent for long.
func (t *Table) Adapt(now time.Duration) {
	t.removeExpired(now)
	t.updateParams(now)
	t.chooseMonitors(now)
	t.updateLiveness(now)
	t.expireAbsent(now)
	t.updateAgreement(now)
	t.compact.sweep(now)
	t.compact.statusReplies = 0
}

// Round returns what a box among many sends at this tick, within its budget of
// bytes: news, one full datagram with the signs of life of its region, and light ones
// with the loads alone to as many boxes as are paid for. self is what it says of itself.
// Adapt goes before it.
func (t *Table) Round(self wire.BoxStatus, now time.Duration, rnd func(n int) int) []Packet {
	t.setSelf(self)
	l := &t.compact
	l.rounds++
	income := t.params.bytesPerSecond * Tick.Seconds()
	l.budget = min(max(l.budget, -maxDebtTicks*income)+income, maxSavedTicks*income)
	out := &outbox{
		compact:  l,
		selfAddr: t.self.Peers,
	}
	c := t.recipients(now)
	t.sendToMonitors(out, c)
	t.sendChanges(out, c, rnd)
	t.sendRevision(out, c, rnd)
	t.sendCatalogRead(out, c, now, rnd)
	t.sendDeaths(out, c, now, rnd)
	t.probeSilent(out, now, rnd)
	t.sendProbes(out, c, now, rnd)
	if out.hasBudget() {
		t.sendLiveness(out, c, now, rnd)
	}
	t.sendLoads(out, c, rnd)
	return append(out.packets, t.checkPackets(now)...)
}

// recipients is the boxes alive at one moment.
type recipients struct {
	all      []*record
	near     map[string]*record   // of the own region
	far      map[string][]*record // of the others
	loads    []CompactLoad
	allLoads bool // loads are all that matter
}

// recipients returns the boxes alive at now, and the loads that are told them.
func (t *Table) recipients(now time.Duration) recipients {
	c := recipients{
		near: make(map[string]*record),
		far:  make(map[string][]*record),
	}
	c.loads, c.allLoads = t.ownLoads()
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

// setSelf takes in what this box says of itself.
func (t *Table) setSelf(self wire.BoxStatus) {
	t.compact.selfID = IDOf(self.Box, self.Inc)
	t.compact.selfStatus = self
	t.compact.newestRevision = max(t.compact.newestRevision, int64(self.Catalog))
}

// Loads returns the datagrams that tell loads at once to the next boxes of the
// region, when bytes are left for it.
func (t *Table) Loads(self wire.BoxStatus, now time.Duration, rnd func(n int) int) []Packet {
	t.setSelf(self)
	out := &outbox{
		compact:  &t.compact,
		selfAddr: t.self.Peers,
	}
	t.sendLoads(out, t.recipients(now), rnd)
	return out.packets
}

// nextNear returns the next box of the own region: all of them in a random order,
// then all again in another one.
func (t *Table) nextNear(c recipients, rnd func(n int) int) (*record, bool) {
	for range 2 {
		for len(t.compact.nearQueue) > 0 {
			box := t.compact.nearQueue[0]
			t.compact.nearQueue = t.compact.nearQueue[1:]
			if r, ok := c.near[box]; ok {
				return r, true
			}
		}
		t.compact.nearQueue = slices.Sorted(maps.Keys(c.near))
		shuffle(t.compact.nearQueue, rnd)
	}
	return nil, false
}

// nextFar returns a random box of the next other region.
func (t *Table) nextFar(c recipients, rnd func(n int) int) (*record, bool) {
	for range 2 {
		for len(t.compact.farQueue) > 0 {
			region := t.compact.farQueue[0]
			t.compact.farQueue = t.compact.farQueue[1:]
			if list := c.far[region]; len(list) > 0 {
				return list[rnd(len(list))], true
			}
		}
		t.compact.farQueue = slices.Sorted(maps.Keys(c.far))
		shuffle(t.compact.farQueue, rnd)
	}
	return nil, false
}

// shuffle puts a list in a random order.
func shuffle(list []string, rnd func(n int) int) {
	for i := len(list) - 1; i > 0; i-- {
		j := rnd(i + 1)
		list[i], list[j] = list[j], list[i]
	}
}

// sortByRelay orders records: those passed on longest ago first, then the latest heard.
func sortByRelay(list []*record) {
	sortByTurn(list, func(r *record) bool { return r.fresh }, func(r *record) int { return r.relayedRound })
}
