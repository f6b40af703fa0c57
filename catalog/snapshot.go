package catalog

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/clock"
)

// Replica is one process of a service, as published.
type Replica struct {
	ID            string `json:"id"`             // of its entry, and the one it identifies itself with
	StartedAt     int64  `json:"born,omitempty"` // start time of its process, in Unix milliseconds; 0 if unknown
	Service       string `json:"service"`
	Build         string `json:"build,omitempty"` // version of its software; empty if unknown
	Addr          string `json:"addr"`
	Domain        string `json:"failure_domain"`
	Region        string `json:"region"`
	Slots         int    `json:"slots"`
	Leaving       bool   `json:"leaving,omitempty"`
	ColdRemaining Millis `json:"cold_left_ms,omitempty"` // remaining cold time when this was published
	Revision      int64  `json:"revision"`               // of its last change
	SelfReported  bool   `json:"told,omitempty"`         // this incarnation was reported by the replica itself and is not published yet
}

// UnmarshalJSON decodes and validates a replica.
func (r *Replica) UnmarshalJSON(data []byte) error {
	type plain Replica
	var v plain
	if err := json.Unmarshal(data, &v); err != nil {
		return errors.Wrap(err, "replica")
	}
	*r = Replica(v)
	if r.ID == "" || r.Addr == "" || r.Service == "" {
		return errors.Newf("replica %q: id, address and service are required", r.ID)
	}
	if r.StartedAt < 0 || r.StartedAt > MaxStartedAt {
		return errors.Newf("replica %q: invalid start time %d", r.ID, r.StartedAt)
	}
	return nil
}

// Snapshot is the full published state at one revision. Of two snapshots the one with the
// higher revision is the newer.
type Snapshot struct {
	Revision          int64     `json:"revision"`
	Policy            *Policy   `json:"policy,omitempty"` // nil if none is published yet
	Replicas          []Replica `json:"replicas"`
	Evacuated         []string  `json:"evacuated"` // failure domains
	Unusable          []string  `json:"-"`         // ids of entries that describe no replica
	PolicyConfirmedAt time.Time `json:"-"`         // time at which the policy is known to be the newest, on the reading box's clock; zero if unknown
}

// Content is a box's copy of the published state.
type Content struct {
	newest        int64 // newest revision recorded
	read          int64 // revision of the last snapshot
	policies      policies
	replicas      map[string]Replica
	evacuated     map[string]bool
	unconfirmed   map[string]unconfirmedRemoval // by replica id; each id is in replicas
	floor         int64                         // result of Revision; 0 if it must be computed
	history       history
	revisionIndex revisionIndex // of replicas
	changeLog     changeLog
	builds        buildIndex
	restoration   restoration
	now           func() time.Time
}

// NewContent returns an empty copy.
func NewContent() *Content {
	return &Content{
		replicas:    make(map[string]Replica),
		evacuated:   make(map[string]bool),
		unconfirmed: make(map[string]unconfirmedRemoval),
		history:     newHistory(),
		builds:      newBuildIndex(),
		changeLog:   changeLog{dropped: 1}, // so that no count is 0
		now:         clock.Now,
	}
}

func (c *Content) put(r Replica) {
	c.clearUnconfirmed(r.ID)
	c.putOffRestored(r)
	was, known := c.replicas[r.ID]
	if known && was.Leaving && (EraOf(r.Revision) > EraOf(was.Revision) || r.Revision == was.Revision) && isSameIncarnation(r.StartedAt, was.StartedAt) {
		r.Leaving = true // an older copy may lack it
	}
	if was == r {
		return
	}
	c.replicas[r.ID] = r
	c.builds.add(r, c.now()) // first, as versions that stay do not change the set
	if known {
		c.builds.remove(was, c.now())
	}
	c.revisionIndex.add(r.ID, r.Revision, len(c.replicas), c.changedAt)
	c.changeLog.add(r.ID)
}

func (c *Content) drop(id string) {
	c.clearUnconfirmed(id)
	delete(c.restoration.putOff, id)
	was, ok := c.replicas[id]
	if !ok {
		return
	}
	delete(c.replicas, id)
	c.builds.remove(was, c.now())
	c.changeLog.add(id)
}

// changedAt returns the revision of a replica's last change; 0 if there is none.
func (c *Content) changedAt(id string) int64 { return c.replicas[id].Revision }

// Replica returns the entry of an id.
func (c *Content) Replica(id string) (r Replica, ok bool) {
	r, ok = c.replicas[id]
	return r, ok
}

// Len returns the number of replicas.
func (c *Content) Len() int { return len(c.replicas) }

// Replicas returns the replicas, sorted by id.
func (c *Content) Replicas() []Replica {
	out := make([]Replica, 0, len(c.replicas))
	for _, id := range slices.Sorted(maps.Keys(c.replicas)) {
		out = append(out, c.replicas[id])
	}
	return out
}

// Evacuated returns the evacuated failure domains, sorted.
func (c *Content) Evacuated() []string { return slices.Sorted(maps.Keys(c.evacuated)) }

// Apply applies an update. It returns false for a snapshot older than the copy. A policy never
// replaces one with a higher version. While the feed isn't settled, missing replicas stay as
// unconfirmed removals.
func (c *Content) Apply(u Update) bool {
	c.RecordPolicyVersion(u.PolicyVersion)
	if u.Snapshot == nil {
		era := c.restoration.era
		c.beginEra(u.Revision)
		for _, ch := range u.Changes {
			if ch.Policy != nil || EraOf(ch.Revision) >= era { // the sender may have been cut off since an earlier one
				c.apply(ch, u)
			}
		}
		c.mergeUnconfirmed(u.UnconfirmedRemovals)
		c.setNewest(max(c.newest, u.Revision))
		return true
	}
	if u.Snapshot.Revision < c.newest {
		c.policies.add(u.Snapshot.Policy) // it may be the last valid one
		return false
	}
	c.replace(*u.Snapshot, u)
	c.mergeUnconfirmed(u.UnconfirmedRemovals)
	return true
}

func (c *Content) replace(s Snapshot, u Update) {
	recorded := c.Revision() // missing entries were removed after this revision
	if EraOf(s.Revision) > EraOf(recorded) {
		recorded = s.Revision
	}
	c.beginEra(s.Revision)
	c.history.recordSnapshot(c.newest, s.Revision)
	c.read = s.Revision
	c.policies.add(s.Policy)
	listed := make(map[string]bool, len(s.Replicas))
	for _, r := range s.Replicas {
		if c.history.isRemoved(r) {
			continue
		}
		listed[r.ID] = true
		if recorded, ok := c.replicas[r.ID]; ok && !r.replaces(recorded) {
			r = recorded
		}
		c.put(r)
	}
	for _, id := range c.unlisted(listed) {
		switch {
		case c.history.isRemoved(c.replicas[id]):
			c.drop(id)
		case u.Settled, slices.Contains(s.Unusable, id): // an unusable entry exists, so it has not expired
			c.removeMissing(id, s.Revision)
		default:
			c.markUnconfirmed(id, recorded, u.unconfirmedTimeout())
		}
	}
	c.replaceEvacuated(s)
	c.setNewest(s.Revision)
}

func (c *Content) unlisted(listed map[string]bool) []string {
	var out []string
	for id := range c.replicas {
		if !listed[id] {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func (c *Content) setNewest(revision int64) {
	c.newest = revision
	c.floor = 0
}

func (c *Content) removeMissing(id string, revision int64) {
	wasUnconfirmed := c.IsUnconfirmed(id)
	c.drop(id)
	if wasUnconfirmed {
		c.history.confirmRemoval(id, revision, len(c.replicas))
		return
	}
	c.history.recordRemoval(id, revision, len(c.replicas))
}

func (c *Content) replaceEvacuated(s Snapshot) {
	published := make(map[string]bool, len(s.Evacuated))
	clear(c.restoration.evacuated)
	for _, d := range s.Evacuated {
		published[d] = true
		if !c.evacuated[d] {
			c.history.recordEvacuation(d, true, s.Revision)
		}
	}
	for d := range c.evacuated {
		switch {
		case published[d]:
		case c.keepsEvacuation(d):
			published[d] = true
			c.restoration.evacuated[d] = true
		default:
			c.history.recordEvacuation(d, false, s.Revision)
		}
	}
	c.evacuated = published
}

// apply applies a change of an update, unless the copy has a newer one.
func (c *Content) apply(ch Change, u Update) {
	switch {
	case ch.Policy != nil:
		c.policies.add(ch.Policy)
	case ch.Replica != nil && ch.Replica.replaces(c.replicas[ch.Replica.ID]) && !c.history.isRemoved(*ch.Replica):
		c.put(*ch.Replica)
	case ch.Unusable && c.replicas[ch.Removed].ID == "": // the entry never described a replica
	case ch.Removed != "" && !u.Settled && !ch.Unusable:
		c.markUnconfirmed(ch.Removed, ch.Revision, u.unconfirmedTimeout())
	case ch.Removed != "" && ch.Revision >= c.replicas[ch.Removed].Revision:
		c.drop(ch.Removed)
		c.history.recordRemoval(ch.Removed, ch.Revision, len(c.replicas))
	case ch.Evacuated != "" && ch.Revision > c.read:
		delete(c.restoration.evacuated, ch.Evacuated)
		c.evacuated[ch.Evacuated] = true
		c.history.recordEvacuation(ch.Evacuated, true, ch.Revision)
	case ch.Unevacuated != "" && ch.Revision > c.read:
		delete(c.restoration.evacuated, ch.Unevacuated)
		delete(c.evacuated, ch.Unevacuated)
		c.history.recordEvacuation(ch.Unevacuated, false, ch.Revision)
	}
}

// Snapshot returns the copy in a deterministic order.
func (c *Content) Snapshot() Snapshot {
	return Snapshot{
		Revision:  c.newest,
		Policy:    c.Policy(),
		Replicas:  c.Replicas(),
		Evacuated: c.Evacuated(),
	}
}
