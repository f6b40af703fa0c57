package decision

import (
	"math"
	"time"
)

// class orders events by what is lost first under load: a higher class is kept
// at the cost of a lower one.
type class int

const (
	routine   class = iota // steps that succeeded
	failure                // failures and changed beliefs
	lifecycle              // start, stop, reload, and dependencies lost or regained
	classes
)

// classOf returns the class of e.
func classOf(e *Event) class {
	switch e.Kind {
	case Start, Stop, Reload, Lost, Regained:
		return lifecycle
	case Belief:
		return failure
	case Try, End:
		if e.Outcome.Failed() {
			return failure
		}
	}
	return routine
}

// reserves are the shares of the burst that a class leaves to those above it.
// Half is enough for a second of failures at the default rate; the lifecycle's
// eighth holds 64 lines, more than a box has dependencies.
var reserves = [classes]float64{
	routine:   0.5,
	failure:   0.125,
	lifecycle: 0,
}

// budget is a token bucket of lines that all classes share.
type budget struct {
	rate  float64 // lines per second
	burst float64 // lines
	left  float64 // lines
	last  time.Time
}

// take takes one line of class c at the time now, and reports whether there was
// one.
func (b *budget) take(c class, now time.Time) bool {
	b.refill(now)
	reserve := math.Floor(b.burst * reserves[c]) // none of a burst of one line
	if b.left-1 < reserve {
		return false
	}
	b.left--
	return true
}

// refill adds what has come in since the last call. Times may be slightly out of
// order, as callers read the clock before they take the lock.
func (b *budget) refill(now time.Time) {
	if b.last.IsZero() {
		b.last = now
		b.left = b.burst
		return
	}
	passed := now.Sub(b.last)
	if passed <= 0 {
		return
	}
	b.last = now
	b.left = min(b.burst, b.left+b.rate*passed.Seconds())
}
