package roster

// This file says what each kind of datagram among many boxes holds and which boxes
// get it; round.go says when they are sent.

import (
	"maps"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// sendNews passes on which boxes have begun, serve or leave, in whole statuses.
func (t *Table) sendNews(out *outbox, c audience, rnd func(n int) int) {
	l := &t.compact
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

// sendRevision tells a few boxes at once that there is a newer revision.
func (t *Table) sendRevision(out *outbox, c audience, rnd func(n int) int) {
	if t.compact.newest <= t.compact.passed {
		return
	}
	t.compact.passed = t.compact.newest
	buf := t.header().encode()
	for _, m := range pick(slices.Clone(c.all), revisionFan, rnd) {
		out.send(m.Status.Peers, buf)
	}
}

// sendReading tells a few boxes of the region at once that the publisher was read of late,
// and they pass it on: by the full datagrams alone that takes a region of 200 boxes longer
// than a reading counts, and each of them reads for itself. It isn't paid for by the pace.
func (t *Table) sendReading(out *outbox, c audience, now time.Duration, rnd func(n int) int) {
	said := t.compact.said
	at := now - time.Duration(said.ReadMs)*time.Millisecond
	if said.ReadMs == 0 || at-t.compact.readAt < readingStep {
		return
	}
	t.compact.readAt = at
	near := slices.DeleteFunc(slices.Clone(c.all), func(r *record) bool { return r.Status.Region != t.self.Region })
	buf := t.header().encode()
	for _, r := range pick(near, readingFan, rnd) {
		out.sendFree(r.Status.Peers, buf)
	}
}

// sendDeaths tells a few boxes at once of a death just known; they pass it on.
func (t *Table) sendDeaths(out *outbox, c audience, now time.Duration, rnd func(n int) int) {
	if !t.compact.died {
		return
	}
	t.compact.died = false
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
	if t.compact.rounds%silentEvery == 0 {
		late := t.members(func(r *record) bool { return !t.alive(r, now) && now-r.Heard < silentFor })
		for _, m := range pick(late, 1, rnd) {
			out.send(m.Status.Peers, buf)
		}
	}
	if t.compact.rounds%seedEvery != 0 {
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
		if r.Status.Region == t.self.Region && t.isLate(r, now) {
			late = append(late, r)
		}
	}
	for _, region := range slices.Sorted(maps.Keys(c.far)) {
		if now-t.compact.regions[region].heard > t.pace.region*pingAt/percent {
			late = append(late, c.far[region][rnd(len(c.far[region]))])
		}
	}
	for _, r := range pick(late, mostPings, rnd) {
		out.send(r.Status.Peers, buf)
	}
}

// isLate says whether a box of the region is about to count as dead.
func (t *Table) isLate(r *record, now time.Duration) bool {
	if !t.monitoring.on {
		return now-r.Heard > t.pace.own*pingAt/percent
	}
	silent, mine := t.silence(r, now)
	return mine && silent > monitorPing
}

// sendFull sends a full datagram, with signs of life, to the next box of the region
// or, at times, of another one.
func (t *Table) sendFull(out *outbox, c audience, now time.Duration, rnd func(n int) int) {
	if t.compact.rounds%farFullEvery == 0 {
		if m, ok := t.nextFar(c, rnd); ok {
			out.send(m.Status.Peers, t.full(c, now, true).encode())
			return
		}
	}
	if m, ok := t.nextNear(c, rnd); ok {
		out.send(m.Status.Peers, t.full(c, now, false).encode())
	}
}

// sendLight sends light datagrams, with the header and the loads only, to more boxes
// of the region, each once at most.
func (t *Table) sendLight(out *outbox, c audience, rnd func(n int) int) {
	b := t.header()
	b.Loads, b.Loaded = c.loads, c.allLoads
	buf := b.encode()
	for sent := 1; sent < len(c.near) && out.left(); sent++ { // the full datagram was the first
		if m, ok := t.nextNear(c, rnd); ok {
			out.send(m.Status.Peers, buf)
		}
	}
}

// gossip returns a datagram with whole statuses.
func (t *Table) gossip(others []wire.BoxStatus, ask bool) []byte {
	from := t.compact.said
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

// bare returns the status without what changes all the time.
func (r *record) bare() wire.BoxStatus {
	s := r.Status
	s.Loads = nil
	s.Rooms = nil
	return s
}
