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
	t.forget(now)
	t.adapt(now)
	t.chooseMonitors(now)
	t.tick(now)
	t.forgetAbsent(now)
	t.agree(now)
	t.compact.sweep(now)
	t.compact.answers = 0
}

// Round returns what a box among many sends at this tick, within its budget of
// bytes: news, one full datagram with the signs of life of its region, and light ones
// with the loads alone to as many boxes as are paid for. self is what it says of itself.
// Adapt goes before it.
func (t *Table) Round(self wire.BoxStatus, now time.Duration, rnd func(n int) int) []Packet {
	t.say(self)
	l := &t.compact
	l.rounds++
	income := t.pace.bytes * Tick.Seconds()
	l.budget = min(max(l.budget, -debtTicks*income)+income, savedTicks*income)
	out := &outbox{
		compact: l,
		own:     t.self.Peers,
	}
	c := t.audience(now)
	t.sendToMonitors(out, c)
	t.sendNews(out, c, rnd)
	t.sendRevision(out, c, rnd)
	t.sendReading(out, c, now, rnd)
	t.sendDeaths(out, c, now, rnd)
	t.sendSilent(out, now, rnd)
	t.sendPings(out, c, now, rnd)
	if out.left() {
		t.sendFull(out, c, now, rnd)
	}
	t.sendLight(out, c, rnd)
	return append(out.list, t.checks(now)...)
}

// audience is the boxes alive at one moment.
type audience struct {
	all      []*record
	near     map[string]*record   // of the own region
	far      map[string][]*record // of the others
	loads    []CompactLoad
	allLoads bool // loads are all that matter
}

// audience returns the boxes alive at now, and the loads that are told them.
func (t *Table) audience(now time.Duration) audience {
	c := audience{
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

// say takes in what this box says of itself.
func (t *Table) say(self wire.BoxStatus) {
	t.compact.self = IDOf(self.Box, self.Inc)
	t.compact.said = self
	t.compact.newest = max(t.compact.newest, int64(self.Catalog))
}

// Loads returns the datagrams that tell loads at once to the next boxes of the
// region, when bytes are left for it.
func (t *Table) Loads(self wire.BoxStatus, now time.Duration, rnd func(n int) int) []Packet {
	t.say(self)
	out := &outbox{
		compact: &t.compact,
		own:     t.self.Peers,
	}
	t.sendLight(out, t.audience(now), rnd)
	return out.list
}

// nextNear returns the next box of the own region: all of them in a random order,
// then all again in another one.
func (t *Table) nextNear(c audience, rnd func(n int) int) (*record, bool) {
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
func (t *Table) nextFar(c audience, rnd func(n int) int) (*record, bool) {
	for range 2 {
		for len(t.compact.farRegion) > 0 {
			region := t.compact.farRegion[0]
			t.compact.farRegion = t.compact.farRegion[1:]
			if list := c.far[region]; len(list) > 0 {
				return list[rnd(len(list))], true
			}
		}
		t.compact.farRegion = slices.Sorted(maps.Keys(c.far))
		shuffle(t.compact.farRegion, rnd)
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

// byAge orders records: those passed on longest ago first, then the latest heard.
func byAge(list []*record) {
	inTurn(list, func(r *record) bool { return r.fresh }, func(r *record) int { return r.turn })
}
