package queue

import "time"

// Next returns the first entry in order, nil for none. It does not remove it. Entries
// whose deadline has passed are left to Expire.
func (q *Queue) Next(now time.Duration) *Entry {
	now = q.advance(now)
	q.expireDue(now)
	return q.firstOf(0)
}

// firstOf returns the first entry of a level or the less urgent ones.
func (q *Queue) firstOf(from int) *Entry {
	for i := from; i < MaxLevels; i++ {
		if f := q.levels[i].first(); f != nil {
			return f.head(q.now)
		}
	}
	return nil
}

// After returns the first entry of the next flow or level behind e, nil for none. It is for
// entries that can't be placed now. e waits, or was taken since it was returned by Next or
// After.
func (q *Queue) After(e *Entry) *Entry {
	if e.flow == nil || e.state == outside {
		return nil
	}
	start := e.flow.tag()
	if e.state == taken {
		start = e.tag
	}
	if f := q.levels[e.level].after(start, e.flow.seq); f != nil {
		return f.head(q.now)
	}
	return q.firstOf(e.level + 1)
}
