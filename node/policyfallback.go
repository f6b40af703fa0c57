package node

import "time"

const (
	ownReadTimeout       = 2 * time.Second  // until a box reads a missing policy itself: half of the shortest bound on it
	maxOwnReadInterval   = 20 * time.Second // between own reads for a policy that can't be decoded
	ownReadJitterDivisor = 4                // the jitter is up to this part of a wait, so that boxes do not fill their links together
)

// policySources excludes boxes from requests for a missing policy.
type policySources struct {
	failed []string // boxes whose calls failed since the last policy arrived
	busy   string   // box that was rate-limited
}

// ownReadTimer schedules own reads of a policy that no other box sends.
type ownReadTimer struct {
	first int           // missing version that started the timer, 0 for none
	since time.Duration // start of the timer
	wait  time.Duration // until this box reads
}

// excluded returns the boxes to avoid while there are others.
func (p *policySources) excluded() []string {
	return append(p.failed[:len(p.failed):len(p.failed)], p.busy)
}

func (p *policySources) reset() {
	p.failed = nil
	p.busy = ""
}

// shouldRead reports whether a box that has one policy version reads another that is due (0 for none)
// itself. The timer restarts when the version that it was started for, or a newer one, arrives.
func (r *ownReadTimer) shouldRead(have, due int, now time.Duration, jitter func() float64) bool {
	if due == 0 || have >= r.first {
		r.first = 0
	}
	switch {
	case due == 0:
	case r.first == 0:
		r.first = due
		r.since = now
		r.wait = jitteredWait(ownReadTimeout, jitter)
	case now-r.since >= r.wait:
		r.since = now
		r.wait = jitteredWait(min(2*r.wait, maxOwnReadInterval), jitter)
		return true
	}
	return false
}

// jitteredWait returns a random time between three quarters of t and t.
func jitteredWait(t time.Duration, jitter func() float64) time.Duration {
	return t - time.Duration(jitter()*float64(t)/ownReadJitterDivisor)
}
