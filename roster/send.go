package roster

import (
	"maps"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// sendChanges relays the full statuses of boxes that have started, serve or leave.
func (t *Table) sendChanges(out *outbox, c recipients, now time.Duration, rnd func(n int) int) {
	l := &t.compact
	n := min(len(l.changed), maxChangesPerTick)
	var list []wire.BoxStatus
	for _, box := range l.changed[:n] {
		if r, ok := t.records[box]; ok {
			list = append(list, r.staticStatus())
		}
	}
	fanout := changeFanout
	if now < startupProbeTime && len(l.changed) > maxChangesPerTick {
		fanout = bulkChangeFanout
	}
	l.changed = slices.Delete(l.changed, 0, n)
	if len(list) == 0 {
		return
	}
	targets := pickRandom(slices.Clone(c.all), fanout, rnd)
	for chunk := range slices.Chunk(list, statusesPerReply) {
		buf := t.encodeStatuses(chunk, false)
		for _, m := range targets {
			out.send(m.Status.Peers, buf)
		}
	}
}

// sendRevision announces a newer catalog revision to a few boxes at once.
func (t *Table) sendRevision(out *outbox, c recipients, rnd func(n int) int) {
	if t.compact.newestRevision <= t.compact.sentRevision {
		return
	}
	t.compact.sentRevision = t.compact.newestRevision
	buf := t.header().encode()
	for _, m := range pickRandom(slices.Clone(c.all), revisionFanout, rnd) {
		out.send(m.Status.Peers, buf)
	}
}

// sendCatalogRead sends a recent read of the publisher to a few boxes of the region at once,
// which relay it. Liveness datagrams alone would take longer in a large region than a read is
// valid, and each box would read for itself. It doesn't count against the budget.
func (t *Table) sendCatalogRead(out *outbox, c recipients, now time.Duration, rnd func(n int) int) {
	selfStatus := t.compact.selfStatus
	at := now - time.Duration(selfStatus.ReadMs)*time.Millisecond
	if selfStatus.ReadMs == 0 || at-t.compact.sentReadAt < minReadAdvance {
		return
	}
	t.compact.sentReadAt = at
	near := slices.DeleteFunc(slices.Clone(c.all), func(r *record) bool { return r.Status.Region != t.self.Region })
	buf := t.header().encode()
	for _, r := range pickRandom(near, readFanout, rnd) {
		out.sendUnmetered(r.Status.Peers, buf)
	}
}

// sendDeaths sends newly recorded deaths to a few boxes at once, which relay them.
func (t *Table) sendDeaths(out *outbox, c recipients, now time.Duration, rnd func(n int) int) {
	if !t.compact.newDeaths {
		return
	}
	t.compact.newDeaths = false
	b := t.header()
	b.Dead = t.deaths(now)
	if len(b.Dead) == 0 {
		return
	}
	buf := b.encode()
	for _, r := range pickRandom(slices.Clone(c.all), deathFanout, rnd) {
		out.send(r.Status.Peers, buf)
	}
}

// probeSilent sends to silent members and, less often, to the seeds, so that parts of the
// fleet meet again after a partition.
func (t *Table) probeSilent(out *outbox, now time.Duration, rnd func(n int) int) {
	buf := t.header().encode()
	if t.compact.rounds%silentProbeEvery == 0 {
		late := t.members(func(r *record) bool { return !t.alive(r, now) && now-r.LastHeartbeat < partitionWindow })
		for _, m := range pickRandom(late, 1, rnd) {
			out.send(m.Status.Peers, buf)
		}
	}
	if t.compact.rounds%seedProbeEvery != 0 {
		return
	}
	for _, m := range t.longSilent(now, rnd) {
		out.send(m.Status.Peers, buf)
	}
	if len(t.seeds) > 0 && rnd(len(t.records)+1) < seedSenders {
		out.send(t.seeds[rnd(len(t.seeds))], t.encodeStatuses(nil, true))
	}
}

// sendProbes requests a heartbeat from boxes of the region and from regions whose timeout is
// near, so that a box isn't declared dead because its heartbeats reached few others.
func (t *Table) sendProbes(out *outbox, c recipients, now time.Duration, rnd func(n int) int) {
	b := t.header()
	b.Probe = true
	buf := b.encode()
	var late []*record
	for _, r := range c.all {
		if r.Status.Region == t.self.Region && t.isSuspect(r, now) {
			late = append(late, r)
		}
	}
	for _, region := range slices.Sorted(maps.Keys(c.far)) {
		if now-t.compact.regions[region].lastSeen > t.params.regionTimeout*probePercent/percent {
			late = append(late, c.far[region][rnd(len(c.far[region]))])
		}
	}
	for _, r := range pickRandom(late, maxProbes, rnd) {
		out.send(r.Status.Peers, buf)
	}
}

// sendStartupProbes requests the liveness entries of each region while this box has recently
// started. They don't count against the budget, which would delay them where many start at once.
func (t *Table) sendStartupProbes(out *outbox, c recipients, now time.Duration, rnd func(n int) int) {
	if now >= startupProbeTime {
		return
	}
	b := t.header()
	b.Probe = true
	buf := b.encode()
	near := slices.DeleteFunc(slices.Clone(c.all), func(r *record) bool { return r.Status.Region != t.self.Region })
	lists := [][]*record{near}
	for _, region := range slices.Sorted(maps.Keys(c.far)) {
		lists = append(lists, slices.Clone(c.far[region]))
	}
	for _, list := range lists {
		for _, r := range pickRandom(list, startupProbeFanout, rnd) {
			out.sendUnmetered(r.Status.Peers, buf)
		}
	}
}

// answerProbe sends the liveness entries of the own region. A box of that region that has been up for
// longer only requests a heartbeat.
func (t *Table) answerProbe(out *outbox, prober *record, upMs int, from string, now time.Duration) {
	hasJustStarted := upMs < int(startupProbeTime.Milliseconds())
	if !hasJustStarted && prober != nil && prober.Status.Region == t.self.Region {
		out.send(from, t.header().encode())
		return
	}
	c := t.recipients(now)
	for range max(1, (len(c.near)+maxNearEntries-1)/maxNearEntries) {
		out.sendUnmetered(from, t.livenessDatagram(c, now, true).encode())
	}
}

// isSuspect reports whether the timeout of a box of the region is near.
func (t *Table) isSuspect(r *record, now time.Duration) bool {
	if !t.monitoring.enabled {
		return now-r.LastHeartbeat > t.params.nearTimeout*probePercent/percent
	}
	silent, monitored := t.monitoredSilence(r, now)
	return monitored && silent > monitorProbeDelay
}

// sendLiveness sends a liveness datagram to the next box of the region or, in some rounds, of
// another region. It returns the number of boxes of the region that receive the loads by it.
func (t *Table) sendLiveness(out *outbox, c recipients, now time.Duration, rnd func(n int) int) int {
	if t.compact.rounds%farLivenessEvery == 0 {
		if m, ok := t.nextFar(c, rnd); ok {
			out.send(m.Status.Peers, t.livenessDatagram(c, now, true).encode())
			return 0
		}
	}
	m, ok := t.nextNear(c, rnd)
	if !ok {
		return 0
	}
	b := t.livenessDatagram(c, now, false)
	demand := t.addDemand(&b, now)
	out.sendDemand(m.Status.Peers, b.encode(), demand)
	return 1
}

// sendLoads sends datagrams with the loads only to boxes of the region, one to each but those
// that have received them already.
func (t *Table) sendLoads(out *outbox, c recipients, received int, now time.Duration, rnd func(n int) int) {
	if received >= len(c.near) || !out.hasBudget() {
		return
	}
	b := t.header()
	b.Loads, b.AllLoads = c.loads, c.allLoads
	buf := b.encode()
	demand := t.addDemand(&b, now)
	bufWithDemand := b.encode()
	for sent := received; sent < len(c.near) && out.hasBudget(); sent++ {
		if m, ok := t.nextNear(c, rnd); ok {
			if t.compact.demandBudget <= 0 {
				out.send(m.Status.Peers, buf)
				continue
			}
			out.sendDemand(m.Status.Peers, bufWithDemand, demand)
		}
	}
}

func (t *Table) encodeStatuses(others []wire.BoxStatus, ask bool) []byte {
	from := t.compact.selfStatus
	from.Loads = nil
	from.Rooms = nil
	from.Demand = nil
	buf, err := Encode(wire.Gossip{
		From:   from,
		Others: others,
		Ask:    ask,
	})
	if err != nil {
		return nil // Encode leaves out what doesn't fit; a bare status that doesn't is never sent
	}
	return buf
}

// staticStatus returns the status without its loads and its capacity.
func (r *record) staticStatus() wire.BoxStatus {
	s := r.Status
	s.Loads = nil
	s.Rooms = nil
	s.Demand = nil
	return s
}
