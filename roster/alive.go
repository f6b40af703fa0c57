package roster

import (
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// regionNews is when a region was heard.
type regionNews struct {
	heard time.Duration // latest sign of life of any of its boxes
	since time.Duration // the latest before it was silent; what was known until then counts no longer
}

// never is before every sign of life.
const never = -time.Hour

// alive says whether a box counts as alive. Among few boxes it was heard of late.
// Among many that holds for the own region; of another region a box is alive while
// the region is, until the region tells of its death.
func (t *Table) alive(r *record, now time.Duration) bool {
	switch {
	case t.pace.plain:
		return now-r.Heard <= aliveFor
	case r.silent:
		return false
	case r.Status.Region == t.self.Region && t.monitoring.on:
		return now-r.Heard <= longestFar // its monitors tell of its death
	case r.Status.Region == t.self.Region:
		return now-r.Heard <= t.pace.own
	}
	news, ok := t.compact.regions[r.Status.Region]
	return ok && now-news.heard <= t.pace.region && now-r.Heard <= t.pace.far && r.Heard > news.since
}

// mark takes in a sign of life for the region of a box.
func (t *Table) mark(r *record, now time.Duration) {
	news, ok := t.compact.regions[r.Status.Region]
	if !ok {
		news = regionNews{
			heard: never,
			since: never,
		}
	}
	if r.Heard > news.heard {
		if now-news.heard > cutFor {
			news.since = news.heard
		}
		news.heard = r.Heard
	}
	t.compact.regions[r.Status.Region] = news
	t.noteDomain(r)
}

// replace puts a new incarnation in the place of an older one.
func (t *Table) replace(box string, r *record, now time.Duration) {
	if old, ok := t.records[box]; ok {
		t.compact.drop(old, now)
	}
	t.insert(box, r)
	if _, taken := t.compact.byID[r.id]; taken {
		t.compact.byID[r.id] = nil // two boxes share it, so neither is told by it
		return
	}
	t.compact.byID[r.id] = r
}

// note remembers news that all boxes should hear at once: a box that has begun, or
// one that takes requests from now on or no longer. known says that the incarnation
// may have been known before.
func (t *Table) note(r *record, s wire.BoxStatus, known bool) {
	if t.pace.plain || len(t.compact.news) >= mostNews {
		return
	}
	begun := r.Status.Seq < 0 && s.Seq <= newsBeats
	changed := known && r.Status.Seq >= 0 && s.Seq > r.Status.Seq && (r.State() != stateOf(s) || r.Status.Callers != s.Callers)
	if begun || changed {
		t.compact.news = append(t.compact.news, s.Box)
	}
}

// stateOf returns the state of a box; one that states none is serving.
func stateOf(s wire.BoxStatus) wire.ServingState {
	return Member{
		Status: s,
	}.State()
}

// tick keeps what follows from time: which boxes count as alive, and whether this
// box was paused or hears nothing, so that it can't judge others.
func (t *Table) tick(now time.Duration) {
	if now-t.compact.lastTick > pausedFor || now-t.compact.lastHeard > pausedFor {
		t.compact.mute = now + t.pace.own
	}
	t.compact.lastTick = now
	if t.pace.plain {
		return
	}
	t.judge(now)
	for _, r := range t.records {
		if t.alive(r, now) {
			r.Seen = now
			r.judged = false
			continue
		}
		if !r.judged && r.Status.Region == t.self.Region {
			r.judged = true
			t.compact.died = true
		}
	}
}

// hearVital takes in that a box was alive; false for one that isn't known.
func (t *Table) hearVital(v Vital, now time.Duration) (r *record, newer, ok bool) {
	r, ok = t.compact.byID[v.ID]
	if !ok {
		_, old := t.compact.old[v.ID]
		return nil, false, old || v.ID == t.compact.self
	}
	if r == nil {
		return nil, false, true
	}
	seq := widen(r.Status.Seq, v.Beat)
	newer = seq > r.Status.Seq
	r.Status.Seq = max(r.Status.Seq, seq)
	if heard := now - v.Age; newer && heard > r.Heard { // the same one told again is no later: its age lacks the time on the way
		r.Heard = heard
		r.Seen = max(r.Seen, heard)
		r.silent = r.silent && heard <= r.deadSince+deathSlack
		t.mark(r, now)
	}
	return r, newer, true
}

// hearSilent takes in that the region of a box, or one that judges it, has heard nothing of
// it since a time. A sign of life from later goes before it, and so does what this box
// judges itself.
func (t *Table) hearSilent(v Vital, now time.Duration) {
	r := t.compact.byID[v.ID]
	if r == nil || (r.Status.Region == t.self.Region && !t.monitoring.on) {
		return
	}
	if _, mine := t.silence(r, now); mine {
		return
	}
	since := now - v.Age
	if r.Heard > since+deathSlack {
		r.fresh = t.alive(r, now) // so that those who believe it hear better
		return
	}
	if !r.silent {
		r.deadSince = since
		t.compact.died = true
	}
	r.silent = true
}

// widen returns the number of a heartbeat from its low bits and a number near it.
func widen(known int, beat uint16) int { return known + int(int16(beat-uint16(known))) }
