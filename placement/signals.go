package placement

import (
	"time"

	"github.com/havenrudder/havenrudder/decision"
)

// Signals is what a replica reports of itself in the head of an answer.
type Signals struct {
	Limit RateLimit
}

// RateLimit is the rate of requests that a replica takes from all boxes together.
type RateLimit struct {
	Named      bool // false if the answer names no limit
	Unreadable bool // the answer names a malformed limit, which says nothing
	PerSecond  float64
}

// exceeds reports whether a limit allows more than another one.
func (l RateLimit) exceeds(o RateLimit) bool {
	return o.Named && (!l.Named || l.PerSecond > o.PerSecond)
}

// Span is the time in which a replica made an answer: from the write of its request until the
// receipt of its head.
type Span struct {
	From, To time.Duration
}

// namedLimit is the last limit that a replica named, and when.
type namedLimit struct {
	RateLimit
	made Span
}

// update records the limit of an answer and returns true if it changes the recorded one.
// Answers overtake each other. One that allows more takes effect only if its request was
// written after all answers with the recorded limit had been received.
func (n *namedLimit) update(l RateLimit, made Span) bool {
	if l.Unreadable || made.To < n.made.From {
		return false
	}
	if l.exceeds(n.RateLimit) && made.From < n.made.To {
		return false
	}
	changed := l != n.RateLimit
	if changed {
		n.made = made
	}
	n.RateLimit = l
	n.made.From = max(n.made.From, made.From)
	n.made.To = max(n.made.To, made.To)
	return changed
}

// Limit returns the limit that the replica names.
func (r *Replica) Limit() RateLimit { return r.limit.RateLimit }

// LimitAge returns the time since the last answer with the recorded limit.
func (r *Replica) LimitAge(now time.Duration) time.Duration { return now - r.limit.made.To }

// RecordSignals records what the replica of a choice reports in an answer, and returns the
// changes of the recorded state.
func (v *View) RecordSignals(c *Choice, s Signals, made Span) []Change {
	r := c.reservation.replica
	if r == nil {
		return nil
	}
	return v.recordSignals(r, s, made)
}

// RecordSignalsOf records what an incarnation reports in an answer that is no request's.
func (v *View) RecordSignalsOf(incarnation string, s Signals, made Span) []Change {
	r, ok := v.replicas[incarnation]
	if !ok {
		return nil
	}
	return v.recordSignals(r, s, made)
}

func (v *View) recordSignals(r *Replica, s Signals, made Span) []Change {
	var out []Change
	if r.limit.update(s.Limit, made) {
		out = append(out, r.limitChange())
	}
	return out
}

func (r *Replica) limitChange() Change {
	out := Change{
		Subject: r.incarnation,
		Reason:  "replica names no limit any more",
		Signal:  decision.Limit,
	}
	if l := r.Limit(); l.Named {
		out.Reason = "replica names a limit"
		out.Limit = l.PerSecond
	}
	return out
}

// NoteMalformed reports whether a malformed header is the first one of an incarnation.
func (v *View) NoteMalformed(incarnation string) bool {
	r, ok := v.replicas[incarnation]
	if !ok || r.malformed {
		return false
	}
	r.malformed = true
	return true
}
