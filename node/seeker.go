package node

import "time"

const (
	ownReadAfter  = 2 * time.Second  // after which a box at the latest that gets no policy from others reads for itself: half of the shortest bound on it
	mostOwnRead   = 20 * time.Second // between two such readings, for a policy that nobody can decode
	ownReadSpread = 4                // part of these by which boxes read apart: together they would fill their links
)

// policySeeker is how a box fares with others of which it asks a policy that it lacks.
type policySeeker struct {
	failed []string // boxes that couldn't be asked since one gave a policy
	busy   string   // box that had no room to give one
}

// ownReading says when a box reads by itself for a policy that others don't give.
type ownReading struct {
	first int           // version that was missing first, 0 for none
	since time.Duration // when it was known to be missing, or was read for
	wait  time.Duration // after which this box reads for it
}

// excluded returns the boxes that are not asked while there are others.
func (p *policySeeker) excluded() []string {
	return append(p.failed[:len(p.failed):len(p.failed)], p.busy)
}

// reset lets all boxes be asked again.
func (p *policySeeker) reset() {
	p.failed = nil
	p.busy = ""
}

// readsFor says whether a box with a policy of a version has to read by itself for one
// that is due, 0 for none: others have given neither that which was missing first nor a
// newer one for too long. A box that gets each of many soon reads for none of them.
func (r *ownReading) readsFor(have, due int, now time.Duration, jitter func() float64) bool {
	if due == 0 || have >= r.first {
		r.first = 0
	}
	switch {
	case due == 0:
	case r.first == 0:
		r.first = due
		r.since = now
		r.wait = spreadOwnRead(ownReadAfter, jitter)
	case now-r.since >= r.wait:
		r.since = now
		r.wait = spreadOwnRead(min(2*r.wait, mostOwnRead), jitter)
		return true
	}
	return false
}

// spreadOwnRead returns a time of three quarters of t at least.
func spreadOwnRead(t time.Duration, jitter func() float64) time.Duration {
	return t - time.Duration(jitter()*float64(t)/ownReadSpread)
}
