package placement

import (
	"math"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/decision"
)

// Signals is what a replica reports of itself in the head of an answer.
type Signals struct {
	Limit      RateLimit
	Leaving    bool
	RetryAfter time.Duration // for which it wants no requests of this box; 0 for none
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
	used bool // a limit was named
}

// update records the limit of an answer and returns true if it changes the recorded one.
// Answers overtake each other. One that allows more takes effect only if its request was
// written after all answers with the recorded limit had been received.
func (n *namedLimit) update(l RateLimit, made Span) bool {
	switch {
	case l.Unreadable, made.To < n.made.From:
		return false
	case l == n.RateLimit:
		n.confirm(made)
		return false
	case l.exceeds(n.RateLimit) && made.From < n.made.To:
		return false
	}
	n.RateLimit = l
	n.made = made
	n.used = n.used || l.Named
	return true
}

// confirm records a further answer with the recorded limit. Relaying widens spans, so one that
// comes back from other boxes does not count as a further answer.
func (n *namedLimit) confirm(made Span) {
	if made.From > n.made.From {
		n.made.From = made.From
		n.made.To = max(n.made.To, made.To)
	}
}

// unlistedTTL returns for how long the replica is recorded without an entry. The entry of one
// that leaves may lapse and come back while the store is away.
func (r *Replica) unlistedTTL() time.Duration {
	if r.saidLeaving {
		return leavingTTL
	}
	return max(unlistedTTL, r.retryAt-r.lastSeen) // a deferral outlasts a missing entry
}

// Limit returns the limit that the replica names.
func (r *Replica) Limit() RateLimit { return r.limit.RateLimit }

// extendRetryWait records that the replica wants no requests of this box for a time. It returns false
// if an earlier deferral lasts as long.
func (r *Replica) extendRetryWait(d, now time.Duration) bool {
	if d <= 0 || now+d <= r.retryAt {
		return false
	}
	r.retryAt = now + d
	return true
}

// retrySpread returns by how much this box prolongs a deferral, so that not all boxes return to the
// replica in one moment.
func (v *View) retrySpread(r *Replica, d time.Duration) time.Duration {
	share := float64(rendezvous.Score(r.incarnation, v.pacer.Box())) / math.MaxUint64
	return scale(share, min(scale(maxSpreadShare, d), maxRetrySpread))
}

// Limits of retrySpread.
const (
	maxSpreadShare = 0.1 // of the deferral
	maxRetrySpread = time.Second
)

// RetryWait returns for how long the replica wants no requests of this box.
func (r *Replica) RetryWait(now time.Duration) time.Duration { return max(0, r.retryAt-now) }

// SaysLeaving reports whether the replica has reported in an answer that it leaves.
func (r *Replica) SaysLeaving() bool { return r.saidLeaving }

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
		v.applyLimit(r, made.To)
		out = append(out, r.limitChange())
	}
	if s.Leaving && !r.saidLeaving {
		r.saidLeaving = true
		out = append(out, Change{
			Subject: r.incarnation,
			Reason:  "replica reports that it leaves",
			Signal:  decision.Leaving,
		})
	}
	if r.extendRetryWait(s.RetryAfter+v.retrySpread(r, s.RetryAfter), made.To) {
		out = append(out, Change{
			Subject: r.incarnation,
			Reason:  "replica defers requests",
			Signal:  decision.RetryAfter,
			For:     s.RetryAfter,
		})
	}
	return out
}

func (v *View) applyLimit(r *Replica, now time.Duration) {
	if l := r.Limit(); l.Named {
		v.limiter.SetLimit(r.incarnation, l.PerSecond)
		return
	}
	v.limiter.ClearLimit(r.incarnation, now)
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

// observationRetention is how long the end of a limit is relayed.
const observationRetention = 30 * time.Second

// Observation is what an incarnation last reported, and when.
type Observation struct {
	Incarnation string
	Signals     Signals
	Made        Span
}

// Observations returns what replicas report, and what they reported until recently, by incarnation.
func (v *View) Observations(now time.Duration) []Observation {
	var out []Observation
	for _, r := range v.sorted {
		if r.isObserved(now) {
			out = append(out, Observation{
				Incarnation: r.incarnation,
				Signals: Signals{
					Limit:   r.limit.RateLimit,
					Leaving: r.saidLeaving,
				},
				Made: r.limit.made,
			})
		}
	}
	return out
}

// isObserved reports whether other boxes need the signals of the replica.
func (r *Replica) isObserved(now time.Duration) bool {
	if !r.listed && now-r.lastSeen > observationRetention {
		return false
	}
	return r.limit.Named || r.saidLeaving || (r.limit.used && now-r.limit.made.From < observationRetention)
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
