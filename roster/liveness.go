package roster

import (
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// regionLiveness records when a region was reachable.
type regionLiveness struct {
	lastSeen   time.Duration // last heartbeat of any of its boxes
	staleUntil time.Duration // last heartbeat before its latest partition; up to then heartbeats don't count
}

const never = -time.Hour // earlier than any heartbeat

// alive reports whether a box counts as alive. In the own region, and in all regions where
// boxes send full statuses, its last heartbeat must be recent. Elsewhere its region must be
// reachable and not have declared the box dead.
func (t *Table) alive(r *record, now time.Duration) bool {
	switch {
	case t.params.fullStatus:
		return now-r.LastHeartbeat <= aliveTimeout
	case r.declaredDead:
		return false
	case r.Status.Region == t.self.Region && t.monitoring.enabled:
		return now-r.LastHeartbeat <= farAliveTimeout // its monitors declare it dead
	case r.Status.Region == t.self.Region:
		return now-r.LastHeartbeat <= t.params.nearTimeout
	}
	liveness, ok := t.compact.regions[r.Status.Region]
	return ok && now-liveness.lastSeen <= t.params.regionTimeout && now-r.LastHeartbeat <= t.params.farTimeout && r.LastHeartbeat > liveness.staleUntil
}

func (t *Table) recordRegionAlive(r *record, now time.Duration) {
	liveness, ok := t.compact.regions[r.Status.Region]
	if !ok {
		liveness = regionLiveness{
			lastSeen:   never,
			staleUntil: never,
		}
	}
	if r.LastHeartbeat > liveness.lastSeen {
		if now-liveness.lastSeen > partitionThreshold {
			liveness.staleUntil = liveness.lastSeen
		}
		liveness.lastSeen = r.LastHeartbeat
	}
	t.compact.regions[r.Status.Region] = liveness
	t.recordDomainAlive(r)
}

// replace inserts the record of a new incarnation.
func (t *Table) replace(box string, r *record, now time.Duration) {
	if old, ok := t.records[box]; ok {
		t.retire(old, now)
	}
	t.insert(box, r)
	if _, taken := t.compact.byID[r.id]; taken {
		t.compact.byID[r.id] = nil // the ID is ambiguous, so neither box is addressed by it
		return
	}
	t.compact.byID[r.id] = r
}

// retire removes a record and its ID, and remembers the ID as retired for a while. A single
// other box with the same ID is addressed by it from now on.
func (t *Table) retire(old *record, now time.Duration) {
	t.remove(old.box)
	shared := t.compact.byID[old.id] == nil
	delete(t.compact.byID, old.id)
	if !shared {
		t.compact.retired[old.id] = now
		return
	}
	var others []*record
	for _, r := range t.order {
		if r.id == old.id {
			others = append(others, r)
		}
	}
	switch len(others) {
	case 0:
		t.compact.retired[old.id] = now
	case 1:
		t.compact.byID[old.id] = others[0]
	default:
		t.compact.byID[old.id] = nil
	}
}

// noteChange queues a box whose change all boxes should receive at once: it has started,
// or it now accepts or no longer accepts requests. known reports whether there may be an
// earlier status of this incarnation.
func (t *Table) noteChange(r *record, s wire.BoxStatus, known bool) {
	if t.params.fullStatus || len(t.compact.changed) >= maxChanged {
		return
	}
	started := r.Status.Seq < 0 && s.Seq <= startupBeats
	stateChanged := known && r.Status.Seq >= 0 && s.Seq > r.Status.Seq && (r.State() != stateOf(s) || r.Status.Callers != s.Callers)
	if started || stateChanged {
		t.compact.changed = append(t.compact.changed, s.Box)
	}
}

func stateOf(s wire.BoxStatus) wire.ServingState {
	return Member{
		Status: s,
	}.State()
}

// updateLiveness determines which boxes count as alive. After a pause of this process, or a
// time without any datagram, this box reports no deaths for a while.
func (t *Table) updateLiveness(now time.Duration) {
	if now-t.compact.lastTick > pauseThreshold || now-t.compact.lastReceived > pauseThreshold {
		t.compact.muteUntil = now + t.params.nearTimeout
	}
	t.compact.lastTick = now
	if t.params.fullStatus {
		return
	}
	t.checkMonitored(now)
	for _, r := range t.records {
		if t.alive(r, now) {
			r.LastAlive = now
			r.deathAnnounced = false
			continue
		}
		if !r.deathAnnounced && r.Status.Region == t.self.Region {
			r.deathAnnounced = true
			t.compact.newDeaths = true
		}
	}
}

// recordLiveness records that a box was alive. ok is false if its ID is unknown.
func (t *Table) recordLiveness(v LivenessEntry, now time.Duration) (r *record, newer, ok bool) {
	r, ok = t.compact.byID[v.ID]
	if !ok {
		_, retired := t.compact.retired[v.ID]
		return nil, false, retired || v.ID == t.compact.self
	}
	if r == nil {
		return nil, false, true
	}
	seq := expandSeq(r.Status.Seq, v.Seq)
	newer = seq > r.Status.Seq
	r.Status.Seq = max(r.Status.Seq, seq)
	// The age of a relayed entry lacks its transit time, so a repeated heartbeat isn't later.
	if lastSeen := now - v.Age; newer && lastSeen > r.LastHeartbeat {
		r.LastHeartbeat = lastSeen
		r.LastAlive = max(r.LastAlive, lastSeen)
		r.declaredDead = r.declaredDead && lastSeen <= r.deadSince+deathSlack
		t.recordRegionAlive(r, now)
	}
	return r, newer, true
}

// recordDeath records that the region or a monitor of a box has received no heartbeat of it
// since a time. A later heartbeat and the result of this box's own monitoring take
// precedence.
func (t *Table) recordDeath(v LivenessEntry, now time.Duration) {
	r := t.compact.byID[v.ID]
	if r == nil || (r.Status.Region == t.self.Region && !t.monitoring.enabled) {
		return
	}
	if _, monitored := t.monitoredSilence(r, now); monitored {
		return
	}
	since := now - v.Age
	if r.LastHeartbeat > since+deathSlack {
		r.fresh = t.alive(r, now) // relays the refutation
		return
	}
	if !r.declaredDead {
		r.deadSince = since
		t.compact.newDeaths = true
	}
	r.declaredDead = true
}

// expandSeq returns the sequence number near known that has the low bits beat.
func expandSeq(known int, beat uint16) int { return known + int(int16(beat-uint16(known))) }
