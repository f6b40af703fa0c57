package catalog

import "slices"

const maxLogged = 1024 // ids; rarely fewer than one update has

// changeLog lists the ids whose entries changed last.
type changeLog struct {
	ids     []string
	dropped int // number of changes no longer listed
}

// add records that an entry, or its unconfirmed removal, has changed.
func (t *changeLog) add(id string) {
	if len(t.ids) >= maxLogged {
		t.dropped += len(t.ids)
		t.ids = nil
	}
	t.ids = append(t.ids, id)
}

// ChangedIDs returns the ids whose entries or unconfirmed removals changed after a count of
// changes, sorted, and the current count. It returns false if these changes are no longer
// listed or the count is not positive: any entry may have changed then.
func (c *Content) ChangedIDs(after int) (ids []string, count int, ok bool) {
	count = c.changeLog.dropped + len(c.changeLog.ids)
	if after <= 0 || after < c.changeLog.dropped || after > count {
		return nil, count, false
	}
	ids = slices.Clone(c.changeLog.ids[after-c.changeLog.dropped:])
	slices.Sort(ids)
	return slices.Compact(ids), count, true
}
