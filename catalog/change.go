package catalog

import (
	"maps"
	"slices"
)

// Change is one published change. Exactly one of its fields is set, except for Revision, and
// Unusable beside Removed.
type Change struct {
	Revision    int64    `json:"revision"`
	Policy      *Policy  `json:"policy,omitempty"`
	Replica     *Replica `json:"replica,omitempty"`
	Removed     string   `json:"gone,omitempty"`        // id of a replica whose entry was removed
	Unusable    bool     `json:"-"`                     // the entry exists but no longer describes a replica
	Evacuated   string   `json:"evacuated,omitempty"`   // failure domain
	Unevacuated string   `json:"unevacuated,omitempty"` // failure domain that is in use again
}

// ChangeSet is a catalog update that a box sends to another: the changes since a revision, or a
// snapshot if those are unknown. It has only the version of the policy, whose many routes
// would delay small and urgent changes.
type ChangeSet struct {
	Snapshot            *Snapshot            `json:"snapshot,omitempty"`
	Changes             []Change             `json:"changes,omitempty"`
	UnconfirmedRemovals []UnconfirmedRemoval `json:"doubts,omitempty"`
	PolicyVersion       int                  `json:"policy,omitempty"` // newest version that the box has a record of
	Revision            int64                `json:"revision"`
	ReadAge             Millis               `json:"-"` // age of the last read of the publisher that found nothing newer; 0 if unknown
	RetryAfter          Millis               `json:"-"` // the update is empty: the sender is rate-limited for this long
}

// Update returns the catalog update as an update of a box's copy.
func (n ChangeSet) Update() Update {
	return Update{
		Channel:             ByBox,
		Snapshot:            n.Snapshot,
		Changes:             n.Changes,
		UnconfirmedRemovals: n.UnconfirmedRemovals,
		PolicyVersion:       n.PolicyVersion,
		Revision:            n.Revision,
		Settled:             true, // the sender lists its unconfirmed removals
	}
}

// minRemovals is the minimum capacity for removals, as the loss of a failure domain removes many
// replicas at once.
const minRemovals = 512

const (
	minConfirmedRemovals   = 64   // confirmed removals that are sent again however few replicas are listed
	confirmedRemovalWindow = 1000 // in revisions
)

// history records the removals and evacuations of a copy. Replicas hold the revision of their
// last change themselves.
type history struct {
	since          int64 // removals after this revision are recorded
	removals       map[string]int64
	revisionIndex  revisionIndex         // of removals
	confirmed      []string              // latest replicas whose unconfirmed removal was confirmed
	confirmedCount int                   // total
	evacuated      map[string]evacuation // by failure domain
}

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

// recordSnapshot records that a snapshot replaces the copy of a revision. Removals before the
// first snapshot are unknown.
func (p *history) recordSnapshot(before, now int64) {
	if before == 0 {
		p.since = now
	}
}

// recordRemoval records the removal of a replica, with the number of replicas left. It clears
// the records when there are too many.
func (p *history) recordRemoval(id string, revision int64, left int) {
	if len(p.removals) >= max(minRemovals, left) {
		clear(p.removals)
		p.revisionIndex = revisionIndex{}
		p.since = revision + 1
	}
	p.removals[id] = revision
	p.revisionIndex.add(id, revision, len(p.removals), p.removedAt)
}

// removedAt returns the revision at which a replica was removed; 0 if there is no record of
// it.
func (p *history) removedAt(id string) int64 { return p.removals[id] }

// removedSince returns the removed replicas that a box with a revision has to receive, sorted.
// They include recently confirmed removals before that revision, as the box may have received
// the revision without them.
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

// confirmRemoval records the removal of a replica that was unconfirmed. Boxes that asked
// meanwhile may have a later revision without it.
func (p *history) confirmRemoval(id string, revision int64, left int) {
	p.recordRemoval(id, revision, left)
	p.confirmedCount++
	p.confirmed = append(p.confirmed, id)
	p.confirmed = p.confirmed[max(0, len(p.confirmed)-max(minConfirmedRemovals, left)):]
}

// isRemoved reports whether a replica was removed after the revision of an entry. Boxes for
// which the removal is unconfirmed still send the old entry.
func (p *history) isRemoved(r Replica) bool { return p.removals[r.ID] > r.Revision }

func (p *history) recordEvacuation(domain string, on bool, revision int64) {
	p.evacuated[domain] = evacuation{
		revision: revision,
		on:       on,
	}
}

// ConfirmedRemovals returns the number of unconfirmed removals that were confirmed.
func (c *Content) ConfirmedRemovals() int { return c.history.confirmedCount }

// NeedsSnapshot reports whether a box with a revision receives a snapshot, because the changes
// since are unknown.
func (c *Content) NeedsSnapshot(revision int64) bool {
	return revision < c.history.since || revision == 0
}

// ChangesSince returns the changes from a revision on that still hold, or a snapshot without the
// policy if they are unknown. Whatever the revision, it includes the unconfirmed and the
// latest confirmed removals, as the receiver may have a later revision without them.
func (c *Content) ChangesSince(revision int64) ChangeSet {
	if c.NeedsSnapshot(revision) {
		s := c.Snapshot()
		s.Policy = nil
		return ChangeSet{
			Snapshot:            &s,
			UnconfirmedRemovals: c.unconfirmedForPeers(),
			PolicyVersion:       c.newestPolicyVersion(),
			Revision:            s.Revision,
		}
	}
	out := ChangeSet{
		UnconfirmedRemovals: c.unconfirmedForPeers(),
		PolicyVersion:       c.newestPolicyVersion(),
		Revision:            c.newest,
	}
	for _, id := range c.history.removedSince(revision) {
		if _, back := c.replicas[id]; !back {
			out.Changes = append(out.Changes, Change{
				Revision: c.history.removals[id],
				Removed:  id,
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

// change returns the evacuation of a failure domain, or its end, as a published change.
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
