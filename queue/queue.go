// Package queue orders the requests of one service that wait at a box for capacity.
//
// Levels of urgency are strict. Within a level the flows, which are organisations, share
// the capacity by start-time fair queueing over the expected cost of their requests.
// Within a flow, requests that can still be in time go before those that can only be late.
// A request that is not expected to be served before its deadline is refused when it
// arrives, or as soon as that is known.
//
// It needs no clock, no lock and no network: time is an argument, and one goroutine owns
// a Queue.
package queue

import (
	"container/heap"
	"time"
)

// MaxLevels is the number of levels of urgency.
const MaxLevels = 10

const (
	defaultMaxEntries = 2048
	defaultMaxBytes   = 16 << 20
	maxRate           = 1e6 // slots, in bounds of sums only
)

// Queue holds the waiting requests of one service. It is not safe for concurrent use.
// Times are since the start of the box; one before the latest counts as the latest.
type Queue struct {
	maxEntries   int
	maxBytes     int
	rate         float64 // slots; 0 for unknown
	now          time.Duration
	seq          uint64
	random       uint32
	rolled       time.Duration // last update of the rates of demand
	swept        time.Duration
	peakRate     float64 // since the last sweep
	levels       [MaxLevels]level
	unknown      flow // stands for flows without a record
	count        int
	bytes        int
	deadlines    deadlines
	sweeping     []*flow
	victims      []*Entry
	displaced    []*Entry
	displacedOut []*Entry // the slice that Overflow returned
	expired      []*Entry
	expiredOut   []*Entry // the slice that Expire returned
}

// Option changes a Queue.
type Option func(*Queue)

// WithMaxEntries sets how many entries may wait; the default is 2,048.
func WithMaxEntries(n int) Option { return func(q *Queue) { q.maxEntries = n } }

// WithMaxBytes sets how many bytes the waiting entries may hold; the default is 16 MB.
func WithMaxBytes(n int) Option { return func(q *Queue) { q.maxBytes = n } }

// New returns an empty queue, whose rate is unknown.
func New(opts ...Option) *Queue {
	q := &Queue{
		maxEntries: defaultMaxEntries,
		maxBytes:   defaultMaxBytes,
		random:     1,
		unknown:    flow{index: idle},
	}
	for _, o := range opts {
		o(q)
	}
	return q
}

// Arrive adds a request, or refuses it. It may displace others, which Overflow returns.
// All requests of the service should arrive here, also those that are taken at once: the
// queue learns from them how much overtakes the ones that wait.
func (q *Queue) Arrive(e *Entry, now time.Duration) Verdict {
	now = q.advance(now)
	if e.state == waiting {
		return q.accept(e, q.position(e, e.flow))
	}
	q.expireDue(now)
	q.seq++
	e.seq = q.seq
	e.random = q.draw()
	e.clamp(now)
	e.flow = q.levels[e.level].flowOf(e.Flow)
	p, fits := q.classify(e, e.flow, now)
	v := q.admit(e, p, fits, now)
	if v.Refused == "" {
		if e.class == timely {
			e.flow.arrived += e.cost
		}
		q.displaceUnservable(e.level+1, now)
	}
	return v
}

// Return adds an entry again that a replica has rejected. It takes its original position:
// it keeps its tags, and is the first of its flow.
func (q *Queue) Return(e *Entry, now time.Duration) Verdict {
	if e.state != taken {
		return q.Arrive(e, now)
	}
	now = q.advance(now)
	q.expireDue(now)
	e.flow = q.levels[e.level].flowOf(e.flow.name)
	e.setClass(returned)
	p := q.position(e, e.flow)
	v := q.admit(e, p, now+p.wait <= e.deadline, now)
	if v.Refused != "" {
		q.levels[e.level].refund(e)
		return v
	}
	q.displaceUnservable(e.level+1, now)
	return v
}

// admit adds an entry if it fits into the time and the bounds, or refuses it.
func (q *Queue) admit(e *Entry, p position, fits bool, now time.Duration) Verdict {
	if now > e.deadline || !fits {
		return q.refuse(e, e.flow, p, TooLate, now)
	}
	if !q.makeRoom(e, e.flow, now) {
		return q.refuse(e, e.flow, p, QueueFull, now)
	}
	q.link(e)
	e.state = waiting
	return q.accept(e, p)
}

func (q *Queue) accept(e *Entry, p position) Verdict {
	e.verdict = Verdict{
		Ahead: p.ahead,
		Wait:  p.wait,
	}
	return e.verdict
}

// Take removes an entry that has been placed.
func (q *Queue) Take(e *Entry, now time.Duration) {
	q.advance(now)
	if e.state != waiting {
		return
	}
	l := &q.levels[e.level]
	l.charge(e)
	q.unlink(e)
	e.state = taken
}

// Remove removes a waiting entry that won't be placed. Others are left as they are.
func (q *Queue) Remove(e *Entry) {
	if e.state != waiting {
		return
	}
	q.unlink(e)
	q.levels[e.level].refund(e)
	e.state = outside
}

// link puts an entry with a class into the order.
func (q *Queue) link(e *Entry) {
	q.levels[e.level].add(e)
	heap.Push(&q.deadlines, e)
	q.count++
	q.bytes += e.bytes
}

// unlink takes an entry out of the order.
func (q *Queue) unlink(e *Entry) {
	q.levels[e.level].remove(e)
	heap.Remove(&q.deadlines, e.due)
	q.count--
	q.bytes -= e.bytes
}

// advance moves the time on and returns it.
func (q *Queue) advance(now time.Duration) time.Duration {
	q.now = max(q.now, now)
	const maxRolls = 32 // after which demand is forgotten
	if q.now-q.rolled > maxRolls*rollInterval {
		q.rolled = q.now - maxRolls*rollInterval
	}
	for ; q.now-q.rolled >= rollInterval; q.rolled += rollInterval {
		for i := range q.levels {
			q.levels[i].roll()
		}
	}
	return q.now
}

// draw returns the next number of a xorshift generator, which balances the trees.
func (q *Queue) draw() uint32 {
	q.random ^= q.random << 13
	q.random ^= q.random >> 17
	q.random ^= q.random << 5
	return q.random
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int { return q.count }

// Waiting returns the number of waiting entries of a level, the sum of their costs and
// the number of their flows.
func (q *Queue) Waiting(level int) (n int, cost time.Duration, flows int) {
	if level < 0 || level >= MaxLevels {
		return 0, 0, 0
	}
	l := &q.levels[level]
	return l.count, time.Duration(l.work) * time.Microsecond, len(l.active)
}
