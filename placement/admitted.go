package placement

import (
	"cmp"
	"time"
)

const (
	admittedPerRaise = 20                     // answered requests, per request at the replica, after which one more is tried: one rejection in so many
	lowerInterval    = 100 * time.Millisecond // between two decreases: requests sent together are rejected together
	othersWindow     = time.Second            // of the most requests of other boxes; four reports
	minPause         = 2 * time.Millisecond   // of this box, after a replica rejected a request
	maxPause         = 100 * time.Millisecond
	maxPauseDoubling = 3 // for rejections in a row
)

// admitted is the number of requests that a replica takes at a time, as learned from those that it
// rejected. It may queue fewer than its service's replicas do usually, or boxes that know each other's
// requests with a delay send more than it queues.
type admitted struct {
	most      int // at least the replica's slots; 0 while it has rejected none
	answered  int // close to most, since it was last changed
	loweredAt time.Duration
	inRow     int           // rejections since the last answer
	pause     time.Duration // until then this box sends no other request
	others    int           // most requests of other boxes of late
	othersAt  time.Duration
}

// reject records that the replica rejected a request when it was recorded to have n others. Until one
// of its slots is expected to be free, another request would be rejected too.
func (a *admitted) reject(n int, r *Replica, occupancy, now time.Duration) {
	a.answered = 0
	if now >= a.pause { // requests sent together are rejected together
		a.pause = now + min(max(occupancy/time.Duration(r.slots()), minPause)<<min(a.inRow, maxPauseDoubling), maxPause)
		a.inRow++
	}
	most := cmp.Or(a.most, int(r.maxRequests()))
	if a.most == 0 || now-a.loweredAt >= lowerInterval {
		most--
		a.loweredAt = now
	}
	a.most = max(min(most, n), r.slots())
}

// answer records that it answered a request when it was recorded to have n others.
func (a *admitted) answer(n int, r *Replica) {
	a.inRow = 0
	if a.most == 0 || n+2 < a.most {
		return
	}
	a.answered++
	if a.answered < admittedPerRaise*a.most {
		return
	}
	a.answered = 0
	a.most++
	if a.most >= int(r.maxRequests()) {
		a.most = 0
	}
}

// rejectsMore reports whether a replica is expected to reject another request, with a load of all
// boxes. Where the service's requests compete, this box uses its equal part of what the replica
// takes, or what others leave, but for one request, which shows them that it takes more. The wait
// is 0 where it depends on the requests that run.
func (v *View) rejectsMore(r *Replica, all Load, now time.Duration) (wait time.Duration, rejects bool) {
	a := &r.admitted
	if v.table == nil || !v.table.Competes(r.info.Service) {
		return 0, r.rejects(all, now)
	}
	if a.most == 0 {
		return 0, false
	}
	if now < a.pause {
		return a.pause - now, true
	}
	others := max(a.othersWithin(now), all.Requests-r.own.Requests)
	reserve := min(v.boxes-1, 1)
	return 0, r.own.Requests >= max(1, a.most/v.boxes, a.most-others-reserve)
}

// noteOthers records the requests of other boxes, by the load of all boxes, at a replica that has rejected
// some: they use what they used a moment ago again.
func (r *Replica) noteOthers(all Load, now time.Duration) {
	a := &r.admitted
	if a.most == 0 {
		return
	}
	if n := all.Requests - r.own.Requests; n >= a.othersWithin(now) {
		a.others = max(n, 0)
		a.othersAt = now
	}
}

// othersWithin returns the most requests of other boxes within othersWindow.
func (a *admitted) othersWithin(now time.Duration) int {
	if now-a.othersAt > othersWindow {
		return 0
	}
	return a.others
}
