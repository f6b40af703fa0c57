package queue

import "time"

const (
	defaultRetryAfter = time.Second // while the rate is unknown
	minRetryAfter     = 50 * time.Millisecond
	maxRetryAfter     = time.Minute
)

// retryAfter returns when a refused entry would find free capacity: when the work ahead of
// it is done, and that of earlier refused ones which return before it. The sum of what was
// refused decays at the rate. A flow is not put behind more than its share of another
// flow's refusals.
func (q *Queue) retryAfter(e *Entry, f *flow, base, now time.Duration) time.Duration {
	if !q.known() {
		return defaultRetryAfter
	}
	l := &q.levels[e.level]
	flows := work(len(l.active))
	if f.index == idle {
		flows++
	}
	l.promised = decayed(l.promised, q.rate, now-l.promisedAt)
	l.promisedAt = now
	f.promised = decayed(f.promised, q.rate/float64(flows), now-f.promisedAt)
	f.promisedAt = now

	before := min(l.promised, f.promised*flows)
	for i := range e.level {
		urgent := &q.levels[i]
		before += decayed(urgent.promised, q.rate, now-urgent.promisedAt)
	}
	bound := work(min(q.rate, maxRate) * float64(maxRetryAfter.Microseconds()))
	l.promised = min(l.promised+e.cost, bound)
	f.promised = min(f.promised+e.cost, bound)
	return min(max(base+waitOf(float64(before)/q.rate), minRetryAfter), maxRetryAfter)
}

// decayed returns what is left of refused work after some time.
func decayed(w work, rate float64, age time.Duration) work {
	return work(max(0, float64(w)-rate*float64(age.Microseconds())))
}

// refuse ends an entry with a reason and returns its verdict.
func (q *Queue) refuse(e *Entry, f *flow, p position, reason Reason, now time.Duration) Verdict {
	e.state = outside
	e.verdict = Verdict{
		Refused:    reason,
		RetryAfter: q.retryAfter(e, f, p.base, now),
		Ahead:      p.ahead,
		Wait:       p.wait,
	}
	return e.verdict
}
