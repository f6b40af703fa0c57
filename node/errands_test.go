package node

// This file has things done later, in the bubble of time of a follows.

import (
	"container/heap"
	"time"
)

// after has something done later, at an instant of its own.
func (f *simulation) after(d time.Duration, act func()) {
	f.later(d+f.jitter(maxJitter, "after", f.rnd.Uint64())+1, act) // an even one
}

// later has something done after exactly so long.
func (f *simulation) later(d time.Duration, act func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := time.Now().Add(d)
	heap.Push(&f.waiting, errand{
		at:  at,
		act: act,
	})
	if f.waiting[0].at.Equal(at) {
		select {
		case f.sooner <- struct{}{}:
		default: // it is told already
		}
	}
}

// carry does what is to be done later, in the order of its times.
func (f *simulation) carry() {
	for f.ctx.Err() == nil {
		f.mu.Lock()
		wait := time.Hour // until something is put in
		if len(f.waiting) > 0 {
			wait = time.Until(f.waiting[0].at)
		}
		if wait <= 0 {
			e := heap.Pop(&f.waiting).(errand)
			f.mu.Unlock()
			e.act()
			continue
		}
		f.mu.Unlock()
		t := time.NewTimer(wait)
		select {
		case <-f.ctx.Done():
		case <-f.sooner:
		case <-t.C:
		}
		t.Stop()
	}
}

// errand is something to be done at a time.
type errand struct {
	at  time.Time
	act func()
}

// errands are ordered by their times.
type errands []errand

var _ heap.Interface = (*errands)(nil)

func (e errands) Len() int           { return len(e) }
func (e errands) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e errands) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *errands) Push(x any)        { *e = append(*e, x.(errand)) }
func (e *errands) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
