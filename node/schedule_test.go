package node

import (
	"container/heap"
	"time"
)

// after schedules act after d and a random jitter.
func (f *simulation) after(d time.Duration, act func()) {
	f.later(d+f.jitter(maxJitter, "after", f.rnd.Uint64())+1, act) // at an even nanosecond
}

// later schedules act after exactly d.
func (f *simulation) later(d time.Duration, act func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := time.Now().Add(d)
	heap.Push(&f.waiting, scheduledAction{
		at:  at,
		act: act,
	})
	if f.waiting[0].at.Equal(at) {
		select {
		case f.sooner <- struct{}{}:
		default: // a wake-up is pending
		}
	}
}

// runScheduled runs scheduled actions in the order of their times.
func (f *simulation) runScheduled() {
	for f.ctx.Err() == nil {
		f.mu.Lock()
		wait := time.Hour // until an action is scheduled
		if len(f.waiting) > 0 {
			wait = time.Until(f.waiting[0].at)
		}
		if wait <= 0 {
			e := heap.Pop(&f.waiting).(scheduledAction)
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

type scheduledAction struct {
	at  time.Time
	act func()
}

type schedule []scheduledAction

var _ heap.Interface = (*schedule)(nil)

func (e schedule) Len() int           { return len(e) }
func (e schedule) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e schedule) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *schedule) Push(x any)        { *e = append(*e, x.(scheduledAction)) }
func (e *schedule) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
