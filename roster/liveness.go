package roster

import (
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// regionLiveness is when a region was heard.
type regionLiveness struct {
	lastSeen   time.Duration // latest sign of life of any of its boxes
	staleUntil time.Duration // the latest before it was silent; what was known until then counts no longer
}

// never is before every sign of life.
const never = -time.Hour

// alive says whether a box counts as alive. Among few boxes it was heard of late.
// Among many that holds for the own region; of another region a box is alive while
// the region is, until the region tells of its death.
func (t *Table) alive(r *record, now time.Duration) bool {
	switch {
	case t.params.fullStatus:
		return now-r.Heard <= aliveTimeout
	case r.declaredDead:
		return false
	case r.Status.Region == t.self.Region && t.monitoring.enabled:
		return now-r.Heard <= farAliveTimeout // its monitors tell of its death
	case r.Status.Region == t.self.Region:
		return now-r.Heard <= t.params.nearTimeout
	}
	liveness, ok := t.compact.regions[r.Status.Region]
	return ok && now-liveness.lastSeen <= t.params.regionTimeout && now-r.Heard <= t.params.farTimeout && r.Heard > liveness.staleUntil
}

// recordRegionAlive takes in a sign of life for the region of a box.
func (t *Table) recordRegionAlive(r *record, now time.Duration) {
	liveness, ok := t.compact.regions[r.Status.Region]
	if !ok {
		liveness = regionLiveness{
			lastSeen:   never,
			staleUntil: never,
		}
	}
	if r.Heard > liveness.lastSeen {
		if now-liveness.lastSeen > partitionThreshold {
			liveness.staleUntil = liveness.lastSeen
		}
		liveness.lastSeen = r.Heard
	}
	t.compact.regions[r.Status.Region] = liveness
	t.recordDomainAlive(r)
}

// replace puts a new incarnation in the place of an older one.
func (t *Table) replace(box string, r *record, now time.Duration) {
	if old, ok := t.records[box]; ok {
		t.compact.retire(old, now)
	}
	t.insert(box, r)
	if _, taken := t.compact.byID[r.id]; taken {
		t.compact.byID[r.id] = nil // two boxes share it, so neither is told by it
		return
	}
	t.compact.byID[r.id] = r
}

// noteChange remembers news that all boxes should hear at once: a box that has begun, or
// one that takes requests from now on or no longer. known says that the incarnation
// may have been known before.
func (t *Table) noteChange(r *record, s wire.BoxStatus, known bool) {
	if t.params.fullStatus || len(t.compact.changed) >= maxChanged {
		return
	}
	started := r.Status.Seq < 0 && s.Seq <= startupBeats
	changed := known && r.Status.Seq >= 0 && s.Seq > r.Status.Seq && (r.State() != stateOf(s) || r.Status.Callers != s.Callers)
	if started || changed {
		t.compact.changed = append(t.compact.changed, s.Box)
	}
}

// stateOf returns the state of a box; one that states none is serving.
func stateOf(s wire.BoxStatus) wire.ServingState {
	return Member{
		Status: s,
	}.State()
}

// updateLiveness keeps what follows from time: which boxes count as alive, and whether this
// box was paused or hears nothing, so that it can't judge others.
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
			r.Seen = now
			r.deathAnnounced = false
			continue
		}
		if !r.deathAnnounced && r.Status.Region == t.self.Region {
			r.deathAnnounced = true
			t.compact.newDeaths = true
		}
	}
}

// recordLiveness takes in that a box was alive; false for one that isn't known.
func (t *Table) recordLiveness(v Vital, now time.Duration) (r *record, newer, ok bool) {
	r, ok = t.compact.byID[v.ID]
	if !ok {
		_, old := t.compact.retired[v.ID]
		return nil, false, old || v.ID == t.compact.selfID
	}
	if r == nil {
		return nil, false, true
	}
	seq := expandSeq(r.Status.Seq, v.Beat)
	newer = seq > r.Status.Seq
	r.Status.Seq = max(r.Status.Seq, seq)
	if lastSeen := now - v.Age; newer && lastSeen > r.Heard { // the same one told again is no later: its age lacks the time on the way
		r.Heard = lastSeen
		r.Seen = max(r.Seen, lastSeen)
		r.declaredDead = r.declaredDead && lastSeen <= r.deadSince+deathSlack
		t.recordRegionAlive(r, now)
	}
	return r, newer, true
}

// recordDeath takes in that the region of a box, or one that judges it, has heard nothing of
// it since a time. A sign of life from later goes before it, and so does what this box
// judges itself.
func (t *Table) recordDeath(v Vital, now time.Duration) {
	r := t.compact.byID[v.ID]
	if r == nil || (r.Status.Region == t.self.Region && !t.monitoring.enabled) {
		return
	}
	if _, mine := t.monitoredSilence(r, now); mine {
		return
	}
	since := now - v.Age
	if r.Heard > since+deathSlack {
		r.fresh = t.alive(r, now) // so that those who believe it hear better
		return
	}
	if !r.declaredDead {
		r.deadSince = since
		t.compact.newDeaths = true
	}
	r.declaredDead = true
}

// expandSeq returns the number of a heartbeat from its low bits and a number near it.
func expandSeq(known int, beat uint16) int { return known + int(int16(beat-uint16(known))) }
