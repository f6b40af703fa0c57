package queue

import "time"

// makeRoom displaces entries until e fits the bounds, and reports whether it does. If it
// can't, nothing is displaced.
func (q *Queue) makeRoom(e *Entry, f *flow, now time.Duration) bool {
	if e.bytes > q.maxBytes {
		return false
	}
	victims := q.victims[:0]
	for q.count >= q.maxEntries || q.bytes+e.bytes > q.maxBytes {
		v := q.victim(e, f)
		if v == nil {
			for _, v := range victims {
				q.link(v)
			}
			return false
		}
		q.unlink(v)
		victims = append(victims, v)
	}
	for i, v := range victims {
		q.displace(v, now)
		victims[i] = nil
	}
	q.victims = victims
	return true
}

// victim returns the entry that gives way to e: the last one of the least urgent level, or
// the last one of the flow of e's level with the most waiting work, or bytes where these
// are what is short, if e's flow has less with e than that. An entry that returns goes
// before the last one of its own flow.
func (q *Queue) victim(e *Entry, f *flow) *Entry {
	for i := MaxLevels - 1; i > e.level; i-- {
		if last := q.levels[i].last(); last != nil {
			return last.last()
		}
	}
	l := &q.levels[e.level]
	if q.count < q.maxEntries {
		if g := l.largest(); g != nil && g != f && f.bytes+e.bytes < g.bytes {
			return g.last()
		}
	} else if g := l.heaviest(); g != nil && g != f && f.work+e.cost < g.work {
		return g.last()
	}
	if e.class == returned {
		return f.last()
	}
	return nil
}

// displace refuses an entry that is not linked any more.
func (q *Queue) displace(e *Entry, now time.Duration) {
	q.levels[e.level].refund(e)
	q.refuse(e, e.flow, q.position(e, e.flow), Displaced, now)
	q.displaced = append(q.displaced, e)
}

// displaceUnservable displaces the last entries of less urgent levels that can't be served
// before their deadline any more.
func (q *Queue) displaceUnservable(from int, now time.Duration) {
	if !q.known() {
		return
	}
	for i := MaxLevels - 1; i >= from; i-- {
		for f := q.levels[i].last(); f != nil; f = q.levels[i].last() {
			e := f.last()
			if now+q.waitBehindAll(i, -e.cost) <= e.deadline {
				break
			}
			q.unlink(e)
			q.displace(e, now)
		}
	}
}

// misses reports whether a waiting entry can't be placed within the limit of its class, by
// the work that waits before it.
func (q *Queue) misses(e *Entry, now time.Duration) bool {
	if now+q.waitBehindAll(e.level, 0) <= e.limit() {
		return false
	}
	return now+q.position(e, e.flow).base > e.limit()
}

// Overflow returns the entries displaced since the last call. Their verdicts have the
// reason. The slice is valid until the next call.
func (q *Queue) Overflow() []*Entry {
	out := q.displaced
	clear(q.displacedOut)
	q.displaced, q.displacedOut = q.displacedOut[:0], out
	return out
}
