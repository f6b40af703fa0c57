package queue

import "time"

const idle = -1

// flow is what one organisation or route has waiting in a level.
type flow struct {
	name    string
	index   int    // in level.active; idle if nothing waits
	seq     uint64 // of the arrival that made it active; decides between equal tags
	start   work   // start tag of the next entry that has none
	trees   [classes]tree
	work    work
	count   int
	bytes   int
	arrived work    // accepted as timely since the last roll of the rates
	demand  float64 // slots that such work needs, averaged

	promised   work // refused and told when to return
	promisedAt time.Duration
}

// tag returns the start tag of the flow's first entry.
func (f *flow) tag() work {
	if e := f.trees[returned].first(); e != nil {
		return min(e.tag, f.start)
	}
	return f.start
}

// settle moves entries that can't be in time any more behind those that can.
func (f *flow) settle(now time.Duration) {
	for e := f.trees[timely].first(); e != nil && e.target < now; e = f.trees[timely].first() {
		f.move(e, late)
	}
}

func (f *flow) move(e *Entry, c class) {
	f.trees[e.class].remove(e)
	e.setClass(c)
	f.trees[c].insert(e)
}

// head returns the entry that is served first.
func (f *flow) head(now time.Duration) *Entry {
	if e := f.trees[returned].first(); e != nil {
		return e
	}
	f.settle(now)
	if e := f.trees[timely].first(); e != nil {
		return e
	}
	return f.trees[late].first()
}

// last returns the entry that is served last.
func (f *flow) last() *Entry {
	for c := classes; c > 0; c-- {
		if e := f.trees[c-1].last(); e != nil {
			return e
		}
	}
	return nil
}

// ahead returns the number and the cost of the flow's entries that are served before e,
// which need not wait.
func (f *flow) ahead(e *Entry) (n int, cost work) {
	for c := range f.trees[:e.class] {
		n += f.trees[c].count()
		cost += f.trees[c].sum()
	}
	m, more := f.trees[e.class].before(e)
	return n + m, cost + more
}

// tagOf returns the start tag that e would have if it were taken in its turn, after ahead.
func (f *flow) tagOf(e *Entry, ahead, virtual work) work {
	switch {
	case e.class == returned:
		return e.tag
	case f.index == idle:
		return max(f.start, virtual)
	default:
		return f.start + ahead - f.trees[returned].sum()
	}
}
