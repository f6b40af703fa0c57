package pacing

import (
	"slices"
	"time"
)

const maxWarmSends = 8 // recent sends kept of a warm replica

// history is a sliding-window log of the sends to one replica, oldest first.
type history struct {
	times      []time.Duration
	dropped    time.Duration // time of the last send that is not in times
	hasDropped bool
}

func (h *history) add(now time.Duration) {
	h.times = append(h.times, now)
}

// addBounded records a send and keeps the last maxWarmSends.
func (h *history) addBounded(now time.Duration) {
	h.add(now)
	extra := len(h.times) - maxWarmSends
	if extra <= 0 {
		return
	}
	h.dropped = h.times[extra-1]
	h.hasDropped = true
	h.times = slices.Delete(h.times, 0, extra)
}

// move changes the time of a send. A send that is not in times counts as dropped.
func (h *history) move(from, to time.Duration) {
	i := slices.Index(h.times, from)
	if i < 0 {
		h.dropped = max(h.dropped, to)
		h.hasDropped = true
		return
	}
	h.times[i] = to
	slices.Sort(h.times)
}

// trim removes the sends before the window.
func (h *history) trim(now time.Duration) {
	h.times = slices.DeleteFunc(h.times, func(t time.Duration) bool {
		return t+window <= now
	})
}

// next returns the earliest time, from now on, at which one more of share sends fits
// into the window and the minimum gap since the last one has passed. A dropped send
// may stand for any number of earlier ones, so it blocks sends for a window.
func (h *history) next(share int, now time.Duration) time.Duration {
	next := now
	if h.hasDropped {
		next = max(next, h.dropped+window)
	}
	n := len(h.times)
	if n >= share {
		next = max(next, h.times[n-share]+window)
	}
	if n > 0 {
		gap := window / time.Duration(gapDivisor*share)
		next = max(next, h.times[n-1]+gap)
	}
	return next
}
