package queue

import (
	"math"
	"time"
)

// minLeft is the part of the rate that is expected to be left to an entry at least: the
// estimate of what overtakes it is an average, and demand may end.
const minLeft = 0.02

// safeShare is the part of the time until its target up to which an expected wait is taken
// for one that ends in time.
const safeShare = 0.75

const microseconds = 1e6 // in a second

// position is where an entry stands in the order.
type position struct {
	ahead int
	base  time.Duration // work ahead divided by the rate
	wait  time.Duration // with the work that is expected to overtake it
}

// position returns where e, which need not wait, stands in the order.
func (q *Queue) position(e *Entry, f *flow) position { return q.positionBehind(e, f, 0) }

// positionBehind returns where e stands once its flow has additional work ahead of it.
func (q *Queue) positionBehind(e *Entry, f *flow, additional work) position {
	l := &q.levels[e.level]
	n, own := f.ahead(e)
	own += additional
	others, m, overtaking := l.ahead(f, f.tagOf(e, own, l.virtual))
	urgent, k, demand := q.moreUrgent(e.level)
	p := position{ahead: n + m + k}
	if !q.known() {
		return p
	}
	p.base = waitOf(float64(urgent+others+own) / q.rate)
	rate := q.rate * left(demand/q.rate)
	flows := float64(max(1, l.busy))
	wait := l.overtaken(float64(urgent+others+own), float64(urgent)+float64(own)*flows, rate, overtaking)
	if e.class == late && wait > 0 {
		share := max(float64(own+e.cost)/wait, rate/flows)
		wait /= left(f.demand / share)
	}
	p.wait = waitOf(wait)
	return p
}

// overtaken returns how long work ahead takes while other flows bring more that precedes
// the entry. They delay it to its equal share of the rate at most, at which equal takes.
func (l *level) overtaken(ahead, equal, rate, overtaking float64) float64 {
	return min(ahead/(rate*left(overtaking/rate)), max(ahead, equal)/rate)
}

// waitBehindAll returns how long the work of a level and the more urgent ones takes, with
// additional work.
func (q *Queue) waitBehindAll(level int, additional work) time.Duration {
	if !q.known() {
		return 0
	}
	cost, _, _ := q.moreUrgent(level + 1)
	return waitOf(float64(cost+additional) / q.rate)
}

// moreUrgent returns the cost and number of the more urgent entries, and the rate at which
// such work arrives.
func (q *Queue) moreUrgent(level int) (cost work, n int, demand float64) {
	for i := range level {
		cost += q.levels[i].work
		n += q.levels[i].count
		demand += q.levels[i].lasting
	}
	return cost, n, demand
}

// left returns the part of a capacity that is left of what overtakes.
func left(used float64) float64 { return max(minLeft, 1-used) }

// waitOf converts work per slot to a duration, at most maxWait.
func waitOf(micros float64) time.Duration {
	return time.Duration(min(micros, float64(maxWait.Microseconds()))) * time.Microsecond
}

// ahead returns the cost and the number of the entries that other flows have before a tag,
// and the rate at which work of flows that have nothing behind it arrives. The costs are
// taken for equal within a flow, the number for proportional to the cost; it is 0 only if
// nothing is before the tag.
func (l *level) ahead(self *flow, tag work) (cost work, n int, overtaking float64) {
	var behind work
	for i := range l.keys {
		before, demand := l.keys[i].before(tag)
		cost += before
		behind += demand
	}
	if self.index != idle {
		before, demand := l.keys[self.index].before(tag)
		cost -= before
		behind -= demand
	}
	if cost > 0 {
		n = max(1, int(math.Round(float64(cost)*float64(l.count)/float64(l.work))))
	}
	return cost, n, max(0, l.demand-self.demand-float64(behind)/microseconds)
}

// before returns the cost of the flow's entries whose start tags are tag at most, and the
// flow's demand if it has others. Masks stand for branches, which can't be predicted here
// and take most of the time of an arrival.
func (k *flowKey) before(tag work) (cost, demand work) {
	const sign = 63
	cost = tag - k.start
	cost += k.mean &^ (cost >> sign) // the entry whose tag is the last up to tag
	cost = min(max(cost, 0), k.work)
	return cost, k.demand & ((cost - k.work) >> sign)
}

// ExpectedWait returns how long an entry is expected to wait, also one that has not
// arrived; 0 if the rate is unknown.
func (q *Queue) ExpectedWait(e *Entry, now time.Duration) time.Duration {
	wait, _ := q.Prospect(e, now)
	return wait
}

// Prospect is ExpectedWait, and reports whether the time left suffices for the entry to be accepted.
func (q *Queue) Prospect(e *Entry, now time.Duration) (wait time.Duration, fits bool) {
	now = q.advance(now)
	if e.state == waiting {
		return q.position(e, e.flow).wait, true
	}
	probe := Entry{
		Level:    e.Level,
		Cost:     e.Cost,
		Target:   e.Target,
		Deadline: e.Deadline,
		seq:      q.seq + 1,
	}
	probe.clamp(now)
	f := q.levels[probe.level].flows[e.Flow]
	if f == nil {
		f = &q.unknown
	}
	p, fits := q.classify(&probe, f, now)
	return p.wait, fits
}

// classify sets the class of an entry that arrives, by whether it is expected to be placed
// in time. Where that is close and late entries of its flow have no prospect, it takes the
// class of these: otherwise it would be refused after it has waited.
func (q *Queue) classify(e *Entry, f *flow, now time.Duration) (p position, fits bool) {
	inTime := false
	if left := e.target - now; left >= 0 {
		e.setClass(timely)
		p = q.position(e, f)
		inTime = p.wait <= left && q.leavesInTime(e, f, now)
		if inTime && p.wait <= time.Duration(safeShare*float64(left)) {
			return p, true
		}
		if now+p.base > e.deadline {
			return p, false // as a late entry it would wait longer
		}
	}
	e.setClass(late)
	asLate := q.position(e, f)
	fits = now+asLate.wait <= e.deadline && q.leavesInTime(e, f, now)
	if fits && inTime {
		e.setClass(timely)
		return p, true
	}
	return asLate, fits
}

// leavesInTime reports whether the last entry of e's class in its flow can still meet its
// limit when e goes before it. Otherwise an arrival with little time left, as one that has
// been refused before, would take the place of one that has waited.
func (q *Queue) leavesInTime(e *Entry, f *flow, now time.Duration) bool {
	last := f.trees[e.class].last()
	if last == nil || !before(e, last) {
		return true
	}
	if now+q.waitBehindAll(e.level, e.cost) <= last.limit() {
		return true
	}
	return now+q.positionBehind(last, f, e.cost).base <= last.limit()
}

// known reports whether the rate is known.
func (q *Queue) known() bool { return q.rate > 0 }

// SetRate sets the number of slots that this box may use at once: its service rate, in
// slot-seconds per second. 0 or less, NaN and infinity mean unknown: entries are bounded
// by number, bytes and deadlines only. After a fall, Expire returns those that can't be
// served before their deadline any more.
func (q *Queue) SetRate(slots float64) {
	if math.IsNaN(slots) || math.IsInf(slots, 0) || slots < 0 {
		slots = 0
	}
	q.rate = slots
	q.peakRate = max(q.peakRate, slots)
}
