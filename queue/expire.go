package queue

import "time"

const (
	sweepInterval = 100 * time.Millisecond // an eighth of the shortest usual target
	rateFell      = 0.95                   // part of the highest rate since the last sweep below which another one is made at once
)

// deadlines is a heap of the waiting entries by deadline.
type deadlines []*Entry

// Len is for container/heap.
func (d deadlines) Len() int { return len(d) }

// Less is for container/heap.
func (d deadlines) Less(i, j int) bool { return d[i].deadline < d[j].deadline }

// Swap is for container/heap.
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].due = i
	d[j].due = j
}

// Push is for container/heap.
func (d *deadlines) Push(x any) {
	e := x.(*Entry)
	e.due = len(*d)
	*d = append(*d, e)
}

// Pop is for container/heap.
func (d *deadlines) Pop() any {
	end := len(*d) - 1
	e := (*d)[end]
	(*d)[end] = nil
	*d = (*d)[:end]
	return e
}

// Expire removes and returns the entries that can't be placed before their deadline any
// more: those whose deadline has passed, and those whose expected wait exceeds it. Their
// verdicts have the reason. The slice is valid until the next call.
func (q *Queue) Expire(now time.Duration) []*Entry {
	now = q.advance(now)
	q.expireDue(now)
	if q.known() && (now >= q.swept+sweepInterval || q.rate < q.peakRate*rateFell) {
		q.sweep(now)
	}
	out := q.expired
	clear(q.expiredOut)
	q.expired, q.expiredOut = q.expiredOut[:0], out
	return out
}

// NextDeadline returns when Expire has to be called at the latest: after the earliest
// deadline of a waiting entry, or now if some have passed already. ok is false if none waits.
func (q *Queue) NextDeadline() (at time.Duration, ok bool) {
	if len(q.expired) > 0 {
		return q.now, true
	}
	if len(q.deadlines) == 0 {
		return 0, false
	}
	return q.deadlines[0].deadline, true
}

// expireDue ends the entries whose deadline has passed.
func (q *Queue) expireDue(now time.Duration) {
	for len(q.deadlines) > 0 && q.deadlines[0].deadline < now {
		q.expire(q.deadlines[0], now)
	}
}

func (q *Queue) expire(e *Entry, now time.Duration) {
	p := q.position(e, e.flow)
	q.unlink(e)
	q.levels[e.level].refund(e)
	q.refuse(e, e.flow, p, TooLate, now)
	q.expired = append(q.expired, e)
}

// sweep ends entries whose expected wait exceeds their deadline. It looks at both ends of
// each flow, where they are: at the front those with the earliest deadlines, at the back
// those with the most work ahead.
func (q *Queue) sweep(now time.Duration) {
	q.swept = now
	q.peakRate = q.rate
	for i := range q.levels {
		q.sweeping = append(q.sweeping[:0], q.levels[i].active...) // whose order the sweep changes
		for _, f := range q.sweeping {
			q.sweepFlow(f, now)
		}
	}
}

func (q *Queue) sweepFlow(f *flow, now time.Duration) {
	f.settle(now)
	for e := f.trees[timely].last(); e != nil && q.misses(e, now); e = f.trees[timely].last() {
		f.move(e, late)
	}
	for e := f.trees[late].last(); e != nil && q.misses(e, now); e = f.trees[late].last() {
		q.expire(e, now)
	}
	for e := f.trees[late].first(); e != nil && q.misses(e, now); e = f.trees[late].first() {
		q.expire(e, now)
	}
}
