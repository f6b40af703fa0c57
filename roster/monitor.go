package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
)

// In a small region each box tracks the liveness of all others. In a larger one the entries
// of all boxes don't fit one datagram, so each box sends heartbeats to a few monitors, and
// the others consider it alive until they receive its death.
const (
	monitorThreshold      = 64                      // boxes of the region above which they have monitors
	monitorsPerBox        = 3                       // two may fail together with the box
	monitorHeartbeatEvery = 2                       // ticks
	monitorProbeDelay     = 1500 * time.Millisecond // since the last heartbeat
	ringKey               = "monitors"
)

// monitoring records which boxes this one monitors, and which monitor it.
type monitoring struct {
	enabled   bool
	ringSize  int                      // boxes of the region in the current ring
	digest    ID                       // of the same boxes
	monitored map[string]time.Duration // boxes that this one monitors, and since when
	monitors  []string                 // boxes that monitor this one
}

// chooseMonitors places the boxes of the region in a ring by their hashes. Each box is
// monitored by its successors.
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
	if digest := digestOf(nameIDs(names)); m.monitored == nil || m.ringSize != len(names) || m.digest != digest {
		m.ringSize = len(names)
		m.digest = digest
		t.placeInRing(names, now)
	}
}

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

// monitoredSilence returns the time since the last heartbeat of a box, but at most since this
// box monitors it; false if this box doesn't.
func (t *Table) monitoredSilence(r *record, now time.Duration) (time.Duration, bool) {
	since, ok := t.monitoring.monitored[r.box]
	if !ok || r.Status.Region != t.self.Region {
		return 0, false
	}
	return now - max(since, r.LastHeartbeat), true
}

// checkMonitored declares monitored boxes dead whose heartbeats have timed out, unless this
// box is muted.
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
			r.deadSince = r.LastHeartbeat
			t.compact.newDeaths = true
		}
	}
}

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

// refute sends a heartbeat to the monitors and to the box that reported this one as dead.
func (t *Table) refute(out *outbox, from string) {
	buf := t.header().encode()
	out.send(from, buf)
	for _, box := range t.monitoring.monitors {
		if r, ok := t.records[box]; ok {
			out.send(r.Status.Peers, buf)
		}
	}
}
