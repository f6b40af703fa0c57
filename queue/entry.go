package queue

import "time"

const (
	minCost  = time.Millisecond // a cost of 0 would make a flow's share unlimited
	maxCost  = 10 * time.Minute
	maxWait  = 10 * time.Minute // the latest deadline, from arrival on
	maxBytes = 1 << 40
)

// work is slot time in microseconds. The tags of a level grow by all work that it is
// given, so nanoseconds would overflow within months at a thousand slots.
type work = int64

// Entry is a request that waits for capacity. The owner allocates it and keeps its
// address; the queue keeps fields of its own in it and reads the exported ones on Arrive
// only. Target and Deadline are times since the start of the box.
type Entry struct {
	Level    int           // urgency, 0 is the most urgent; clamped to [0, MaxLevels)
	Flow     string        // organisation; the route's name for a caller without one
	Cost     time.Duration // expected time for which it occupies a slot at a replica
	Bytes    int           // memory held while it waits
	Target   time.Duration // latest time of placement to be in time
	Deadline time.Duration // latest time of placement to be of any use

	state    state
	class    class
	level    int
	cost     work
	bytes    int
	target   time.Duration
	deadline time.Duration
	flow     *flow
	tag      work // start tag with which it was taken
	due      int  // index in Queue.deadlines
	verdict  Verdict

	seq         uint64 // order of arrival
	key         int64  // order within its tree, then by seq
	random      uint32 // heap order of its tree
	left, right *Entry
	count       int // entries of the subtree
	sum         work
}

// state says where an entry is.
type state uint8

const (
	outside state = iota // not arrived, refused, displaced, expired or removed
	waiting
	taken
)

// class is the part of its flow in which an entry waits. Classes are served in order.
type class uint8

const (
	returned class = iota // rejected by a replica, by tag
	timely                // can still be in time, by target
	late                  // can only be late, by deadline
	classes
)

// Verdict returns the latest verdict on the entry. For one that Expire or Overflow
// returned it has the reason and RetryAfter.
func (e *Entry) Verdict() Verdict { return e.verdict }

// clamp reads the exported fields.
func (e *Entry) clamp(now time.Duration) {
	e.level = min(max(e.Level, 0), MaxLevels-1)
	e.cost = min(max(e.Cost, minCost), maxCost).Microseconds()
	e.bytes = min(max(e.Bytes, 0), maxBytes)
	e.deadline = min(e.Deadline, now+maxWait)
	e.target = min(e.Target, e.deadline)
}

// setClass sets the class of an entry that is in no tree.
func (e *Entry) setClass(c class) {
	e.class = c
	switch c {
	case returned:
		e.key = e.tag
	case timely:
		e.key = int64(e.target)
	default:
		e.key = int64(e.deadline)
	}
}

// limit returns the time by which the entry has to be placed in its class.
func (e *Entry) limit() time.Duration {
	if e.class == timely {
		return e.target
	}
	return e.deadline
}
