package roster

// This file says which boxes of a large region find out that a box has died. Where one
// datagram has room for the signs of life of all of them, each box judges all others. In a
// larger region these come round too slowly for that: each box is then judged by a few, its
// monitors, which it tells that it lives, and counts as alive to all others until a death is
// told.

import (
	"cmp"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
)

const (
	monitorThreshold      = 128                     // other boxes of the region from which on boxes have monitors
	monitorsPerBox        = 3                       // of a box, so that two may die with it
	monitorHeartbeatEvery = 2                       // ticks between two signs of life to a monitor
	monitorProbeDelay     = 1500 * time.Millisecond // of silence from which a monitor asks for a sign of life
	ringKey               = "monitors"
)

// monitoring is which boxes this one judges, and which judge it.
type monitoring struct {
	enabled    bool
	ringSize   int                      // boxes of the region among which both were chosen, and their sum
	ringDigest ID                       // the same
	monitored  map[string]time.Duration // boxes that this one judges, and since when
	monitors   []string                 // boxes that judge this one
}

// chooseMonitors works out who judges whom: the boxes of the region stand in a ring, by
// their hashes, and each is judged by those that follow it.
func (t *Table) chooseMonitors(now time.Duration) {
	m := &t.monitoring
	names := []string{t.self.Box}
	for _, r := range t.order {
		if r.Status.Region == t.self.Region && t.alive(r, now) {
			names = append(names, r.box)
		}
	}
	if m.enabled = len(names) > monitorThreshold; !m.enabled {
		t.monitoring = monitoring{}
		return
	}
	if sum := digestOf(nameIDs(names)); m.monitored == nil || m.ringSize != len(names) || m.ringDigest != sum {
		m.ringSize = len(names)
		m.ringDigest = sum
		t.placeInRing(names, now)
	}
}

// placeInRing takes the neighbours of this box in the ring of some boxes.
func (t *Table) placeInRing(names []string, now time.Duration) {
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Score(ringKey, a), rendezvous.Score(ringKey, b)), cmp.Compare(a, b))
	})
	self := slices.Index(names, t.self.Box)
	m := &t.monitoring
	m.monitors = m.monitors[:0]
	monitored := make(map[string]time.Duration, monitorsPerBox)
	for i := 1; i <= monitorsPerBox; i++ {
		m.monitors = append(m.monitors, names[(self+i)%len(names)])
		box := names[(self-i+len(names))%len(names)]
		since, ok := m.monitored[box]
		if !ok {
			since = now
		}
		monitored[box] = since
	}
	m.monitored = monitored
}

// monitoredSilence returns for how long a box that this one judges was silent, no longer than it
// judges it; false for a box that others judge.
func (t *Table) monitoredSilence(r *record, now time.Duration) (time.Duration, bool) {
	since, ok := t.monitoring.monitored[r.box]
	if !ok || r.Status.Region != t.self.Region {
		return 0, false
	}
	return now - max(since, r.Heard), true
}

// checkMonitored takes a box that this one judges for dead once it is silent for too long, unless
// this box can't checkMonitored others now.
func (t *Table) checkMonitored(now time.Duration) {
	if now < t.compact.muteUntil {
		return
	}
	for box := range t.monitoring.monitored {
		r, ok := t.records[box]
		if !ok || r.declaredDead {
			continue
		}
		if silent, _ := t.monitoredSilence(r, now); silent > aliveTimeout {
			r.declaredDead = true
			r.deadSince = r.Heard
			t.compact.newDeaths = true
		}
	}
}

// sendToMonitors tells those that judge this box that it lives.
func (t *Table) sendToMonitors(out *outbox, c recipients) {
	if !t.monitoring.enabled || t.compact.rounds%monitorHeartbeatEvery != 0 {
		return
	}
	buf := t.header().encode()
	for _, box := range t.monitoring.monitors {
		if r, ok := c.near[box]; ok {
			out.send(r.Status.Peers, buf)
		}
	}
}

// refute tells boxes of the region, and who told of it, that this box is not dead.
func (t *Table) refute(out *outbox, from string) {
	buf := t.header().encode()
	out.send(from, buf)
	for _, box := range t.monitoring.monitors {
		if r, ok := t.records[box]; ok {
			out.send(r.Status.Peers, buf)
		}
	}
}
