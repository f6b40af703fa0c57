package catalog

import (
	"cmp"
	"slices"
)

// recent lists ids by the revision of their last change, so that what changed after a
// revision is found without a look at all the rest. An id that changed again stands in
// it twice; the earlier place is outdated.
type revisionIndex struct {
	list []revisionEntry
}

// changedAt is an id with a revision at which it changed.
type revisionEntry struct {
	revision int64
	id       string
}

const maxOutdated = 64 // places that may be outdated beside as many as there are ids

// add notes that an id changed at a revision. now returns the revision of the last change
// of an id, and how many ids there are bounds the list.
func (r *revisionIndex) add(id string, revision int64, ids int, now func(id string) int64) {
	c := revisionEntry{
		revision: revision,
		id:       id,
	}
	at, _ := slices.BinarySearchFunc(r.list, revision+1, byRevision)
	r.list = slices.Insert(r.list, at, c)
	if len(r.list) > 2*ids+maxOutdated {
		r.list = slices.DeleteFunc(r.list, func(c revisionEntry) bool { return now(c.id) != c.revision })
		r.list = slices.Compact(r.list)
	}
}

// reset takes all ids with their revisions in place of what was listed.
func (r *revisionIndex) reset(list []revisionEntry) {
	slices.SortFunc(list, func(a, b revisionEntry) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.id, b.id))
	})
	r.list = list
}

// since returns the ids whose last change is at a revision or after it, in their order.
func (r *revisionIndex) since(revision int64, now func(id string) int64) []string {
	from, _ := slices.BinarySearchFunc(r.list, revision, byRevision)
	var out []string
	for _, c := range r.list[from:] {
		if now(c.id) == c.revision {
			out = append(out, c.id)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// byRevision orders a change before a revision.
func byRevision(c revisionEntry, revision int64) int { return cmp.Compare(c.revision, revision) }
