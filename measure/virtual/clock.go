// Package virtual is a clock whose time passes only as events run. The
// measurements in virtual time are driven by it.
package virtual

import (
	"container/heap"
	"time"
)

type event struct {
	at  time.Duration
	seq int // keeps events of one time in the order they were set
	run func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].seq < e[j].seq)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event; container/heap calls it.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event; container/heap calls it.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

var _ heap.Interface = (*events)(nil)

// Clock runs events in the order of their times.
type Clock struct {
	now    time.Duration
	seq    int
	events events
}

// Now returns the time.
func (c *Clock) Now() time.Duration { return c.now }

// After runs f so much later.
func (c *Clock) After(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.events, event{
		at:  c.now + max(d, 0),
		seq: c.seq,
		run: f,
	})
}

// RunUntil runs all events up to a time.
func (c *Clock) RunUntil(t time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= t {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = max(c.now, t)
}
