package roster

import (
	"cmp"
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
	t.tick(now)
	t.lean.sweep(now)
	t.lean.answers = 0
}

// Round returns what a box among many sends at this tick, within its budget of
// bytes: news, one brief with the signs of life of its region, and briefs with the
// loads alone to as many boxes as are paid for. self is what it says of itself.
// Adapt goes before it.
func (t *Table) Round(self wire.BoxStatus, now time.Duration, rnd func(n int) int) []Packet {
	t.say(self)
	l := &t.lean
	l.rounds++
	income := t.pace.bytes * Tick.Seconds()
	l.purse = min(max(l.purse, -debtTicks*income)+income, savedTicks*income)
	out := &outbox{
		lean: l,
		own:  t.self.Peers,
	}
	c := t.audience(now)
	t.sendNews(out, c, rnd)
	t.sendRevision(out, c, rnd)
	t.sendDeaths(out, c, now, rnd)
	t.sendSilent(out, now, rnd)
	t.sendPings(out, c, now, rnd)
	if out.left() {
		t.sendWhole(out, c, now, rnd)
	}
	t.sendLights(out, c, rnd)
	return out.list
}

// audience is the boxes alive at one moment.
type audience struct {
	all   []*record
	near  map[string]*record   // of the own region
	far   map[string][]*record // of the others
	loads []BriefLoad
	full  bool // loads are all that matter
}

// audience returns the boxes alive at now, and the loads that are told them.
func (t *Table) audience(now time.Duration) audience {
	c := audience{
		near: make(map[string]*record),
		far:  make(map[string][]*record),
	}
	c.loads, c.full = t.loads()
	for _, r := range t.records {
		if t.alive(r, now) {
			c.all = append(c.all, r)
		}
	}
	slices.SortFunc(c.all, func(a, b *record) int { return cmp.Compare(a.Status.Box, b.Status.Box) })
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
	t.lean.self = IDOf(self.Box, self.Inc)
	t.lean.said = self
	t.lean.newest = max(t.lean.newest, int64(self.Catalog))
}

// sendNews passes on which boxes have begun, serve or leave, in whole statuses.
func (t *Table) sendNews(out *outbox, c audience, rnd func(n int) int) {
	l := &t.lean
	n := min(len(l.news), newsLoads)
	var list []wire.BoxStatus
	for _, box := range l.news[:n] {
		if r, ok := t.records[box]; ok {
			list = append(list, r.bare())
		}
	}
	l.news = slices.Delete(l.news, 0, n)
	if len(list) == 0 {
		return
	}
	targets := pick(slices.Clone(c.all), newsFan, rnd)
	for chunk := range slices.Chunk(list, perAnswer) {
		buf := t.gossip(chunk, false)
		for _, m := range targets {
			out.send(m.Status.Peers, buf)
		}
	}
}

// bare returns the status without what changes all the time.
func (r *record) bare() wire.BoxStatus {
	s := r.Status
	s.Loads = nil
	s.Rooms = nil
	return s
}

// gossip returns a datagram with whole statuses.
func (t *Table) gossip(others []wire.BoxStatus, ask bool) []byte {
	from := t.lean.said
	from.Loads = nil
	from.Rooms = nil
	buf, err := Encode(wire.Gossip{
		From:   from,
		Others: others,
		Ask:    ask,
	})
	if err != nil {
		return nil // Encode leaves out what doesn't fit; a bare status that doesn't is told nowhere
	}
	return buf
}

// sendRevision tells a few boxes at once that there is a newer revision.
func (t *Table) sendRevision(out *outbox, c audience, rnd func(n int) int) {
	if t.lean.newest <= t.lean.passed {
		return
	}
	t.lean.passed = t.lean.newest
	buf := t.header().encode()
	for _, m := range pick(slices.Clone(c.all), revisionFan, rnd) {
		out.send(m.Status.Peers, buf)
	}
}

// sendDeaths tells a few boxes at once of a death just known; they pass it on.
func (t *Table) sendDeaths(out *outbox, c audience, now time.Duration, rnd func(n int) int) {
	if !t.lean.died {
		return
	}
	t.lean.died = false
	b := t.header()
	b.Silent = t.deaths(now)
	if len(b.Silent) == 0 {
		return
	}
	buf := b.encode()
	for _, r := range pick(slices.Clone(c.all), deathFan, rnd) {
		out.send(r.Status.Peers, buf)
	}
}

// sendSilent tries boxes that fell silent and, more rarely, the seeds, so that
// parts of a fleet that were cut off meet again.
func (t *Table) sendSilent(out *outbox, now time.Duration, rnd func(n int) int) {
	buf := t.header().encode()
	if t.lean.rounds%silentEvery == 0 {
		late := t.members(func(r *record) bool { return !t.alive(r, now) && now-r.Heard < silentFor })
		for _, m := range pick(late, 1, rnd) {
			out.send(m.Status.Peers, buf)
		}
	}
	if t.lean.rounds%seedEvery != 0 {
		return
	}
	for _, m := range t.longSilent(now, rnd) {
		out.send(m.Status.Peers, buf)
	}
	if len(t.seeds) > 0 && rnd(len(t.records)+1) < seedsPace {
		out.send(t.seeds[rnd(len(t.seeds))], t.gossip(nil, true))
	}
}

// sendPings asks boxes of the region for a sign of life that are about to count as
// dead, and a box of each other region that is, so that a box which only few others
// heard of by chance isn't taken for dead.
func (t *Table) sendPings(out *outbox, c audience, now time.Duration, rnd func(n int) int) {
	b := t.header()
	b.Ping = true
	buf := b.encode()
	var late []*record
	for _, r := range c.all {
		if r.Status.Region == t.self.Region && now-r.Heard > t.pace.own*pingAt/percent {
			late = append(late, r)
		}
	}
	for _, region := range slices.Sorted(maps.Keys(c.far)) {
		if now-t.lean.regions[region].heard > t.pace.region*pingAt/percent {
			late = append(late, c.far[region][rnd(len(c.far[region]))])
		}
	}
	for _, r := range pick(late, mostPings, rnd) {
		out.send(r.Status.Peers, buf)
	}
}

// sendWhole sends a brief with signs of life to the next box of the region or, at
// times, of another one.
func (t *Table) sendWhole(out *outbox, c audience, now time.Duration, rnd func(n int) int) {
	if t.lean.rounds%farWholes == 0 {
		if m, ok := t.nextFar(c, rnd); ok {
			out.send(m.Status.Peers, t.whole(c, now, true).encode())
			return
		}
	}
	if m, ok := t.nextNear(c, rnd); ok {
		out.send(m.Status.Peers, t.whole(c, now, false).encode())
	}
}

// sendLights tells the loads to more boxes of the region, each once at most.
func (t *Table) sendLights(out *outbox, c audience, rnd func(n int) int) {
	b := t.header()
	b.Loads, b.Loaded = c.loads, c.full
	buf := b.encode()
	for sent := 1; sent < len(c.near) && out.left(); sent++ { // the whole brief was the first
		if m, ok := t.nextNear(c, rnd); ok {
			out.send(m.Status.Peers, buf)
		}
	}
}

// Loads returns the datagrams that tell loads at once to the next boxes of the
// region, when bytes are left for it.
func (t *Table) Loads(self wire.BoxStatus, now time.Duration, rnd func(n int) int) []Packet {
	t.say(self)
	out := &outbox{
		lean: &t.lean,
		own:  t.self.Peers,
	}
	t.sendLights(out, t.audience(now), rnd)
	return out.list
}

// nextNear returns the next box of the own region: all of them in a random order,
// then all again in another one.
func (t *Table) nextNear(c audience, rnd func(n int) int) (*record, bool) {
	for range 2 {
		for len(t.lean.near) > 0 {
			box := t.lean.near[0]
			t.lean.near = t.lean.near[1:]
			if r, ok := c.near[box]; ok {
				return r, true
			}
		}
		t.lean.near = slices.Sorted(maps.Keys(c.near))
		shuffle(t.lean.near, rnd)
	}
	return nil, false
}

// nextFar returns a random box of the next other region.
func (t *Table) nextFar(c audience, rnd func(n int) int) (*record, bool) {
	for range 2 {
		for len(t.lean.farRegion) > 0 {
			region := t.lean.farRegion[0]
			t.lean.farRegion = t.lean.farRegion[1:]
			if list := c.far[region]; len(list) > 0 {
				return list[rnd(len(list))], true
			}
		}
		t.lean.farRegion = slices.Sorted(maps.Keys(c.far))
		shuffle(t.lean.farRegion, rnd)
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
	fresh := func(r *record) int {
		if r.fresh {
			return 0
		}
		return 1
	}
	slices.SortFunc(list, func(a, b *record) int {
		return cmp.Or(
			cmp.Compare(fresh(a), fresh(b)),
			cmp.Compare(a.turn, b.turn),
			cmp.Compare(b.Heard, a.Heard),
			cmp.Compare(a.Status.Box, b.Status.Box),
		)
	})
}
