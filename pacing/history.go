package pacing

import (
	"slices"
	"time"
)

const (
	maxWarmSends = 8               // recent sends kept of a warm replica; more than the usual share of a box
	maxTransit   = 3 * time.Second // between the write of a send and its arrival
)

// sent is a send of the log.
type sent struct {
	taken    time.Duration // its Take, which identifies it
	counted  time.Duration // its latest possible arrival if it is answered, else its latest possible write
	answered bool
	loan     LoanID // set for a send that another box makes; it identifies it then
}

// at returns the time from which a send blocks others: its latest possible arrival until now, less
// the slack of the window.
func (s sent) at(now time.Duration) time.Duration {
	if s.answered {
		return s.counted
	}
	return max(s.counted, min(now, s.counted+maxTransit)-slack)
}

// answer records that the send arrived before now, unless it no longer counts.
func (s *sent) answer(now time.Duration) {
	if now < s.counted+retention {
		s.answered = true
		s.counted = max(s.counted, now-slack)
	}
}

// written returns the time of the write, as far as this box can tell.
func (s sent) written() time.Duration {
	if s.loan != (LoanID{}) {
		return s.taken
	}
	return s.counted
}

// history is a sliding-window log of the sends to one replica.
type history struct {
	sends      []sent
	dropped    time.Duration // time of the last send that is not in sends
	hasDropped bool
	unanswered []sent // those not in sends that may still have counted when the last one was dropped
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
	h.unanswered = slices.DeleteFunc(h.unanswered, func(u sent) bool { return u.counted+retention <= s.counted })
	h.unanswered = append(h.unanswered, s)
}

// move changes the time of a send. A send that is not in sends counts as dropped.
func (h *history) move(taken, to time.Duration) {
	if s := h.find(taken); s != nil {
		s.counted = to
		return
	}
	h.takeDropped(taken)
	h.drop(sent{
		taken:   taken,
		counted: to,
	})
}

// answer records that a send arrived before now. It has no effect on one that no longer counts.
func (h *history) answer(taken, now time.Duration) {
	if s := h.find(taken); s != nil {
		s.answer(now)
		return
	}
	written := taken + maxWriteDelay
	if s, ok := h.takeDropped(taken); ok {
		written = s.counted
	}
	if now >= written+retention {
		return
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

// takeDropped removes the send of a Take from unanswered and returns it.
func (h *history) takeDropped(taken time.Duration) (s sent, ok bool) {
	i := slices.IndexFunc(h.unanswered, func(s sent) bool { return s.taken == taken })
	if i < 0 {
		return sent{}, false
	}
	s = h.unanswered[i]
	h.unanswered = slices.Delete(h.unanswered, i, i+1)
	return s, true
}

// trim removes the sends that no longer count in a window.
func (h *history) trim(now, window time.Duration) {
	h.sends = slices.DeleteFunc(h.sends, func(s sent) bool {
		return s.at(now)+window <= now
	})
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
		times = append(times, s.at(now))
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
	out := h.dropped
	for _, s := range h.unanswered {
		out = max(out, s.at(now))
	}
	return out
}
