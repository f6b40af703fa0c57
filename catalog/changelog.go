package catalog

import "slices"

const maxLogged = 1024 // ids that are remembered: those of one update, as a rule

// touched is which entries of a copy changed last, for those who keep something of them.
type changeLog struct {
	ids     []string
	dropped int // changes that are no longer remembered
}

// add notes that the entry of an id, or the doubt in it, has changed.
func (t *changeLog) add(id string) {
	if len(t.ids) >= maxLogged {
		t.dropped += len(t.ids)
		t.ids = nil
	}
	t.ids = append(t.ids, id)
}

// Touched returns the ids whose entries, or doubts in them, changed after a count of
// changes, in their order, and the count by now. It is false where these are no longer
// remembered, and before the first count: then any may have changed.
func (c *Content) Touched(after int) (ids []string, count int, ok bool) {
	count = c.changeLog.dropped + len(c.changeLog.ids)
	if after <= 0 || after < c.changeLog.dropped || after > count {
		return nil, count, false
	}
	ids = slices.Clone(c.changeLog.ids[after-c.changeLog.dropped:])
	slices.Sort(ids)
	return slices.Compact(ids), count, true
}
