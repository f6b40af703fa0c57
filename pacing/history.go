package pacing

import (
	"slices"
	"time"
)

const (
	maxWarmSends = 8               // recent sends kept of a warm replica; more than the usual share of a box
	maxTransit   = 3 * time.Second // from a write until an unanswered send no longer counts as under way
)

// sent is a send of the log.
type sent struct {
	taken    time.Duration // its Take, which identifies it
	counted  time.Duration // its latest possible arrival if it is answered, else its latest possible write
	answered bool
	loan     LoanID // set for a send that another box makes; it identifies it then
}

// at returns the time from which a send blocks others. An unanswered one may arrive at any moment.
func (s sent) at(now time.Duration) time.Duration {
	if s.underWay(now) {
		return max(s.counted, now-slack)
	}
	return s.counted
}

// latestAt is at for windows that outlast a transit: an unanswered send counts from the latest
// moment at which it may have arrived.
func (s sent) latestAt(now time.Duration) time.Duration {
	if s.answered {
		return s.counted
	}
	return max(s.counted, min(now-slack, s.counted+maxTransit))
}

// written returns the time of the write, as far as this box can tell.
func (s sent) written() time.Duration {
	if s.loan != (LoanID{}) {
		return s.taken
	}
	return s.counted
}

func (s sent) underWay(now time.Duration) bool {
	return !s.answered && now < s.counted+maxTransit
}

// history is a sliding-window log of the sends to one replica.
type history struct {
	sends      []sent
	dropped    time.Duration // time of the last send that is not in sends
	hasDropped bool
	unanswered []sent // those not in sends that were under way when the last one was dropped
	long       bool   // its window outlasts a transit
}

func (h *history) add(now time.Duration) {
	h.sends = append(h.sends, sent{
		taken:   now,
		counted: now,
	})
}

// addBounded records a send and keeps the last maxWarmSends.
func (h *history) addBounded(now time.Duration) {
	h.add(now)
	for len(h.sends) > maxWarmSends {
		h.drop(h.sends[0])
		h.sends = slices.Delete(h.sends, 0, 1)
	}
}

func (h *history) drop(s sent) {
	h.dropped = max(h.dropped, s.counted)
	h.hasDropped = true
	if s.answered {
		return
	}
	h.unanswered = slices.DeleteFunc(h.unanswered, func(u sent) bool { return !u.underWay(s.counted) })
	h.unanswered = append(h.unanswered, s)
}

// move changes the time of a send. A send that is not in sends counts as dropped.
func (h *history) move(taken, to time.Duration) {
	if s := h.find(taken); s != nil {
		s.counted = to
		return
	}
	if i := h.findDropped(taken); i >= 0 {
		h.unanswered[i].counted = to
	}
	h.dropped = max(h.dropped, to)
	h.hasDropped = true
}

// answer records that a send arrived before now.
func (h *history) answer(taken, now time.Duration) {
	if s := h.find(taken); s != nil {
		s.answered = true
		s.counted = max(s.counted, now-slack)
		return
	}
	if i := h.findDropped(taken); i >= 0 {
		h.unanswered = slices.Delete(h.unanswered, i, i+1)
	}
	h.dropped = max(h.dropped, now-slack)
	h.hasDropped = true
}

// find returns the unanswered send of a Take, or nil.
func (h *history) find(taken time.Duration) *sent {
	for i := range h.sends {
		if s := &h.sends[i]; s.taken == taken && !s.answered && s.loan == (LoanID{}) {
			return s
		}
	}
	return nil
}

// findDropped returns the index in unanswered of the send of a Take, or -1.
func (h *history) findDropped(taken time.Duration) int {
	return slices.IndexFunc(h.unanswered, func(s sent) bool { return s.taken == taken })
}

// trim removes the sends that no longer count in a window.
func (h *history) trim(now, window time.Duration) {
	h.sends = slices.DeleteFunc(h.sends, func(s sent) bool {
		return !s.underWay(now) && h.at(s, now)+window <= now
	})
}

func (h *history) at(s sent, now time.Duration) time.Duration {
	if h.long {
		return s.latestAt(now)
	}
	return s.at(now)
}

// next returns the earliest time, from now on, at which one more of share sends fits
// into the window and the minimum gap since the last one has passed. A dropped send
// may stand for any number of earlier ones, so it blocks sends for a window.
func (h *history) next(share int, window, now time.Duration) time.Duration {
	next := now
	if h.hasDropped {
		next = max(next, h.droppedAt(now)+window)
	}
	gap := window / time.Duration(gapDivisor*share)
	times := make([]time.Duration, 0, len(h.sends))
	for _, s := range h.sends {
		times = append(times, h.at(s, now))
		next = max(next, s.written()+gap)
	}
	slices.Sort(times)
	if n := len(times); n >= share {
		next = max(next, times[n-share]+window)
	}
	return next
}

// droppedAt returns the time from which the dropped sends block others.
func (h *history) droppedAt(now time.Duration) time.Duration {
	if slices.ContainsFunc(h.unanswered, func(s sent) bool { return s.underWay(now) }) {
		return max(h.dropped, now-slack)
	}
	return h.dropped
}
