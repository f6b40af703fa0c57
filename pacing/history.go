package pacing

import (
	"slices"
	"time"
)

// maxRemembered is the number of sends remembered of a warm replica: more than
// the usual share of a box, and 32 KB in all at 512 replicas.
const maxRemembered = 8

// history holds the times of the last sends to one replica, oldest first.
type history struct {
	times   []time.Duration
	lost    time.Duration // the last send that was dropped for want of room
	hasLost bool
}

// add notes a send.
func (h *history) add(now time.Duration) {
	h.times = append(h.times, now)
}

// remember notes a send and keeps the last maxRemembered.
func (h *history) remember(now time.Duration) {
	h.add(now)
	extra := len(h.times) - maxRemembered
	if extra <= 0 {
		return
	}
	h.lost = h.times[extra-1]
	h.hasLost = true
	h.times = slices.Delete(h.times, 0, extra)
}

// move notes that a send was made later than it was noted. One that isn't remembered stands
// for any number, as a lost one does.
func (h *history) move(from, to time.Duration) {
	i := slices.Index(h.times, from)
	if i < 0 {
		h.lost = max(h.lost, to)
		h.hasLost = true
		return
	}
	h.times[i] = to
	slices.Sort(h.times)
}

// trim drops the sends that are out of the window.
func (h *history) trim(now time.Duration) {
	h.times = slices.DeleteFunc(h.times, func(t time.Duration) bool {
		return t+window <= now
	})
}

// next returns the first time from now on with room for one more of share sends
// in a window, at least the gap after the last one. A lost send may stand for
// any number before it, so nothing is allowed while it is in the window.
func (h *history) next(share int, now time.Duration) time.Duration {
	next := now
	if h.hasLost {
		next = max(next, h.lost+window)
	}
	n := len(h.times)
	if n >= share {
		next = max(next, h.times[n-share]+window)
	}
	if n > 0 {
		gap := window / time.Duration(spread*share)
		next = max(next, h.times[n-1]+gap)
	}
	return next
}
