package catalog

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	unconfirmedTimeout = recoveryWindow + recoverySlack // if an update has no time of its own
	recoverySlack      = 100 * time.Millisecond         // for changes to arrive after the recovery window
)

// UnconfirmedRemoval is a removal whose entry may reappear after an outage of the publisher. It
// is confirmed when its time is over.
type UnconfirmedRemoval struct {
	Replica   string `json:"replica"`
	StartedAt int64  `json:"born,omitempty"` // start time of the replica, if known
	Revision  int64  `json:"revision"`       // since which the entry may be removed
	Remaining Millis `json:"left_ms"`        // until it is confirmed
}

// UnmarshalJSON decodes and validates an unconfirmed removal.
func (d *UnconfirmedRemoval) UnmarshalJSON(data []byte) error {
	type plain UnconfirmedRemoval
	var v plain
	if err := json.Unmarshal(data, &v); err != nil {
		return errors.Wrap(err, "doubt")
	}
	*d = UnconfirmedRemoval(v)
	if d.Replica == "" || d.Remaining < 0 {
		return errors.Newf("unconfirmed removal of replica %q with %g ms left", d.Replica, float64(d.Remaining))
	}
	return nil
}

// unconfirmedRemoval is the state of an UnconfirmedRemoval in a copy.
type unconfirmedRemoval struct {
	revision int64
	until    time.Time
}

// Revision returns the revision since which changes are to be requested from other boxes: the
// newest one, or an earlier one that precedes all unconfirmed removals. It never decreases.
func (c *Content) Revision() int64 {
	if c.floor > 0 {
		return c.floor
	}
	c.floor = c.newest
	for _, d := range c.unconfirmed {
		c.floor = min(c.floor, d.revision)
	}
	return c.floor
}

func (c *Content) clearUnconfirmed(id string) {
	if !c.IsUnconfirmed(id) {
		return
	}
	delete(c.unconfirmed, id)
	c.floor = 0
	c.changeLog.add(id)
}

// NewestRevision returns the newest recorded revision. Each removal up to it is either confirmed
// or unconfirmed.
func (c *Content) NewestRevision() int64 { return c.newest }

// HasUnconfirmedRemovals reports whether any removal is unconfirmed.
func (c *Content) HasUnconfirmedRemovals() bool { return len(c.unconfirmed) > 0 }

// IsUnconfirmed reports whether the removal of a replica is unconfirmed.
func (c *Content) IsUnconfirmed(id string) bool {
	_, ok := c.unconfirmed[id]
	return ok
}

// markUnconfirmed records an unconfirmed removal of a replica. An earlier deadline stays.
func (c *Content) markUnconfirmed(id string, revision int64, left time.Duration) {
	if _, ok := c.replicas[id]; !ok {
		return
	}
	next := unconfirmedRemoval{
		revision: max(revision, c.Revision()), // so that Revision doesn't decrease
		until:    c.now().Add(left),
	}
	if was, ok := c.unconfirmed[id]; ok {
		next.revision = min(next.revision, was.revision)
		if was.until.Before(next.until) {
			next.until = was.until
		}
	}
	c.unconfirmed[id] = next // not before the floor, so that the floor stays valid
	c.changeLog.add(id)
}

// UnconfirmedRemovals returns the replicas with an unconfirmed removal, sorted.
func (c *Content) UnconfirmedRemovals() []string { return slices.Sorted(maps.Keys(c.unconfirmed)) }

// ConfirmRemovals confirms the removals whose time is over, and what a publisher that came back from
// an older copy has not written again in time. It reports whether there was any.
// This needs no further read, which followers make rarely.
func (c *Content) ConfirmRemovals() bool {
	settled := c.endRestoration()
	for _, id := range slices.Sorted(maps.Keys(c.unconfirmed)) { // sorted for a deterministic order of the confirmed removals
		d := c.unconfirmed[id]
		if c.now().Before(d.until) {
			continue
		}
		c.drop(id)
		c.history.confirmRemoval(id, d.revision, len(c.replicas))
		settled = true
	}
	return settled
}

func (c *Content) unconfirmedForPeers() []UnconfirmedRemoval {
	var out []UnconfirmedRemoval
	for _, id := range slices.Sorted(maps.Keys(c.unconfirmed)) {
		d := c.unconfirmed[id]
		out = append(out, UnconfirmedRemoval{
			Replica:   id,
			StartedAt: c.replicas[id].StartedAt,
			Revision:  d.revision,
			Remaining: Millis(max(d.until.Sub(c.now()), 0).Milliseconds()),
		})
	}
	return out
}

// mergeUnconfirmed records unconfirmed removals of another box, except for replicas that have
// changed since.
func (c *Content) mergeUnconfirmed(list []UnconfirmedRemoval) {
	for _, d := range list {
		if r, ok := c.replicas[d.Replica]; ok && r.Revision <= d.Revision && isSameIncarnation(r.StartedAt, d.StartedAt) {
			c.markUnconfirmed(d.Replica, d.Revision, d.Remaining.Duration())
		}
	}
}
