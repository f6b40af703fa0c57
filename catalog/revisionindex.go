package catalog

import (
	"cmp"
	"slices"
)

// revisionIndex orders ids by the revision of their last change. An id that changes again
// leaves an outdated entry.
type revisionIndex struct {
	list []revisionEntry
}

type revisionEntry struct {
	revision int64
	id       string
}

const maxOutdated = 64 // outdated entries that are allowed beyond the number of ids

// add records that an id changed at a revision. now returns the revision of an id's last
// change, and the number of ids bounds the index.
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

func (r *revisionIndex) reset(list []revisionEntry) {
	slices.SortFunc(list, func(a, b revisionEntry) int {
		return cmp.Or(cmp.Compare(a.revision, b.revision), cmp.Compare(a.id, b.id))
	})
	r.list = list
}

// since returns the ids whose last change is at or after a revision, sorted.
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

func byRevision(c revisionEntry, revision int64) int { return cmp.Compare(c.revision, revision) }
