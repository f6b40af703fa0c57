package catalog

import (
	"maps"
	"slices"
)

// Change is one thing that was published. Exactly one of its fields is set, but
// for Revision, and for Unusable beside Gone.
type Change struct {
	Revision    int64    `json:"revision"`
	Policy      *Policy  `json:"policy,omitempty"`
	Replica     *Replica `json:"replica,omitempty"`
	Gone        string   `json:"gone,omitempty"`        // id of a replica whose entry was removed
	Unusable    bool     `json:"-"`                     // the entry is there, but names no replica any more
	Evacuated   string   `json:"evacuated,omitempty"`   // failure domain
	Unevacuated string   `json:"unevacuated,omitempty"` // failure domain that is taken back
}

// News is what one box tells another of the catalog: the changes since a revision,
// or all of it where the box doesn't know these. Of the policy there is only the version:
// with all its routes, which may be thousands, what is small and urgent would come late.
type News struct {
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	Changes  []Change  `json:"changes,omitempty"`
	Doubts   []Doubt   `json:"doubts,omitempty"` // removals that the box doesn't believe yet
	Policy   int       `json:"policy,omitempty"` // version of the newest that the box has heard of
	Revision int64     `json:"revision"`
	Read     Millis    `json:"-"` // how long ago the publisher was read with nothing newer; 0 where that isn't told
	Wait     Millis    `json:"-"` // there is nothing in it, and the box had no room to answer for so long
}

// Update returns the news as an update of a box's copy.
func (n News) Update() Update {
	return Update{
		Snapshot: n.Snapshot,
		Changes:  n.Changes,
		Doubts:   n.Doubts,
		Policy:   n.Policy,
		Revision: n.Revision,
		Settled:  true, // the other box says of which replicas it doesn't know whether they come back
	}
}

// fewestGone is how many replicas that are gone are remembered at least, beside one for
// each that is there: a failure domain that is lost takes its part of them at once.
const minRemovals = 512

const (
	minConfirmedRemovals   = 64   // replicas that are told again at least, beside one for each that is left
	confirmedRemovalWindow = 1000 // revisions for which they are told; minutes at the six changes a second of a service that is replaced
)

// past is what a copy remembers of its changes: what is gone and when other things
// changed. Replicas tell the revision of their last change themselves.
type history struct {
	since          int64 // removals after this revision are known
	removals       map[string]int64
	revisionIndex  revisionIndex         // the same
	confirmed      []string              // the latest replicas whose removal was in doubt before it was believed
	confirmedCount int                   // how many there were
	evacuated      map[string]evacuation // by failure domain
}

// evacuation is the last change of a failure domain.
type evacuation struct {
	revision int64
	on       bool
}

func newHistory() history {
	return history{
		removals:  make(map[string]int64),
		evacuated: make(map[string]evacuation),
	}
}

// begin takes in that a snapshot replaces the copy of a revision. Of what was
// removed before the first one nothing is known.
func (p *history) recordSnapshot(before, now int64) {
	if before == 0 {
		p.since = now
	}
}

// remove takes in that a replica is gone and how many are left. When too many are gone,
// all are forgotten.
func (p *history) recordRemoval(id string, revision int64, left int) {
	if len(p.removals) >= max(minRemovals, left) {
		clear(p.removals)
		p.revisionIndex = revisionIndex{}
		p.since = revision + 1
	}
	p.removals[id] = revision
	p.revisionIndex.add(id, revision, len(p.removals), p.removedAt)
}

// goneAt returns the revision at which a replica was removed; 0 for none that is known.
func (p *history) removedAt(id string) int64 { return p.removals[id] }

// removed returns the replicas of which a box that knows a revision is told that they are
// gone, in order. It may have learned a later revision than that of a reading before the
// reading, and would go on sending to those whose removal was in doubt.
func (p *history) removedSince(revision int64) []string {
	out := p.revisionIndex.since(revision, p.removedAt)
	for _, id := range p.confirmed {
		if at := p.removals[id]; at > 0 && at < revision && revision < at+confirmedRemovalWindow {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// lapse takes in that a replica whose removal was in doubt is gone. Others that asked
// meanwhile may know its revision without it.
func (p *history) confirmRemoval(id string, revision int64, left int) {
	p.recordRemoval(id, revision, left)
	p.confirmedCount++
	p.confirmed = append(p.confirmed, id)
	p.confirmed = p.confirmed[max(0, len(p.confirmed)-max(minConfirmedRemovals, left)):]
}

// isGone says whether a replica was removed after what an entry says of it. A box that
// still has the removal in doubt tells others of the replica as it was.
func (p *history) isRemoved(r Replica) bool { return p.removals[r.ID] > r.Revision }

// evacuate takes in that a failure domain gets no work from a revision on, or work
// again.
func (p *history) recordEvacuation(domain string, on bool, revision int64) {
	p.evacuated[domain] = evacuation{
		revision: revision,
		on:       on,
	}
}

// Lapses returns how many replicas were found gone after their removal had been in
// doubt.
func (c *Content) Lapses() int { return c.history.confirmedCount }

// TellsAll says whether a box that knows a revision is told all of the catalog, for what
// changed since isn't known.
func (c *Content) TellsAll(revision int64) bool { return revision < c.history.since || revision == 0 }

// Since returns what changed after a revision, as far as it is still so, and all of
// the catalog where that isn't known, but for the policy. What changed at the revision itself is in it
// too, and, whatever the revision, what is in doubt and the latest replicas whose
// removal was in doubt until it was believed: these may bear a later revision.
func (c *Content) Since(revision int64) News {
	if c.TellsAll(revision) {
		s := c.Snapshot()
		s.Policy = nil
		return News{
			Snapshot: &s,
			Doubts:   c.unconfirmedForPeers(),
			Policy:   c.newestPolicyVersion(),
			Revision: s.Revision,
		}
	}
	out := News{
		Doubts:   c.unconfirmedForPeers(),
		Policy:   c.newestPolicyVersion(),
		Revision: c.newest,
	}
	for _, id := range c.history.removedSince(revision) {
		if _, back := c.replicas[id]; !back {
			out.Changes = append(out.Changes, Change{
				Revision: c.history.removals[id],
				Gone:     id,
			})
		}
	}
	for _, id := range c.revisionIndex.since(revision, c.changedAt) {
		r := c.replicas[id]
		out.Changes = append(out.Changes, Change{
			Revision: r.Revision,
			Replica:  &r,
		})
	}
	for _, d := range slices.Sorted(maps.Keys(c.history.evacuated)) {
		if e := c.history.evacuated[d]; e.revision >= revision {
			out.Changes = append(out.Changes, e.change(d))
		}
	}
	return out
}

// change returns the evacuation of a domain, or its end, as it was published.
func (e evacuation) change(domain string) Change {
	out := Change{
		Revision: e.revision,
	}
	if e.on {
		out.Evacuated = domain
	} else {
		out.Unevacuated = domain
	}
	return out
}
