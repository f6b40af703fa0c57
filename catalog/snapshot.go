package catalog

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Replica is one process of a service, as published.
type Replica struct {
	ID       string `json:"id"` // differs for every start of a process
	Service  string `json:"service"`
	Addr     string `json:"addr"`
	Domain   string `json:"failure_domain"`
	Region   string `json:"region"`
	Slots    int    `json:"slots"`
	Leaving  bool   `json:"leaving,omitempty"`
	ColdLeft Millis `json:"cold_left_ms,omitempty"` // how much longer it was cold when this was published
	Revision int64  `json:"revision"`               // of its last change
}

// UnmarshalJSON decodes a replica and checks it.
func (r *Replica) UnmarshalJSON(data []byte) error {
	type plain Replica
	var v plain
	if err := json.Unmarshal(data, &v); err != nil {
		return errors.Wrap(err, "replica")
	}
	*r = Replica(v)
	if r.ID == "" || r.Addr == "" || r.Service == "" {
		return errors.Newf("replica %q: id, address and service are needed", r.ID)
	}
	return nil
}

// Snapshot is all that was published at one revision of the publisher. Of two
// snapshots the one with the higher revision is the newer.
type Snapshot struct {
	Revision  int64     `json:"revision"`
	Policy    *Policy   `json:"policy,omitempty"` // nil when none was published yet
	Replicas  []Replica `json:"replicas"`
	Evacuated []string  `json:"evacuated"` // failure domains whose replicas get no work
	Malformed []string  `json:"-"`         // ids of replicas whose entries can't be used; the last good ones stay
}

// Content is a box's copy of what is published.
type Content struct {
	revision  int64
	read      int64 // revision of the last snapshot
	policy    *Policy
	replicas  map[string]Replica
	evacuated map[string]bool
	past      past
}

// NewContent returns an empty copy.
func NewContent() *Content {
	return &Content{
		replicas:  make(map[string]Replica),
		evacuated: make(map[string]bool),
		past:      newPast(),
	}
}

// Revision returns the newest revision that was taken in.
func (c *Content) Revision() int64 { return c.revision }

// Policy returns the newest policy, nil for none.
func (c *Content) Policy() *Policy { return c.policy }

// Replicas returns the replicas, in the order of their ids.
func (c *Content) Replicas() []Replica {
	out := make([]Replica, 0, len(c.replicas))
	for _, id := range slices.Sorted(maps.Keys(c.replicas)) {
		out = append(out, c.replicas[id])
	}
	return out
}

// Evacuated returns the failure domains whose replicas get no work, in order.
func (c *Content) Evacuated() []string { return slices.Sorted(maps.Keys(c.evacuated)) }

// Take takes an update in. It returns false for a snapshot older than the copy.
// A policy with a lower version never replaces a higher one, and replicas that
// are missing while the feed isn't settled stay.
func (c *Content) Take(u Update) bool {
	if u.Snapshot == nil {
		for _, ch := range u.Changes {
			c.apply(ch, u.Settled)
		}
		c.revision = max(c.revision, u.Revision)
		return true
	}
	if u.Snapshot.Revision < c.revision {
		c.takePolicy(u.Snapshot.Policy, u.Snapshot.Revision) // it may be the last good one
		return false
	}
	c.replace(*u.Snapshot, u.Settled)
	return true
}

// replace takes a snapshot in. While the feed isn't settled, replicas that are
// missing in it stay.
func (c *Content) replace(s Snapshot, settled bool) {
	c.past.begin(c.revision, s.Revision)
	c.revision = s.Revision
	c.read = s.Revision
	c.takePolicy(s.Policy, s.Revision)
	before := c.replicas
	c.replicas = make(map[string]Replica, len(s.Replicas))
	for _, r := range s.Replicas {
		c.replicas[r.ID] = r
		delete(c.past.putOff, r.ID)
	}
	for id, r := range before {
		if _, ok := c.replicas[id]; ok {
			continue
		}
		if settled && !slices.Contains(s.Malformed, id) {
			c.past.missed(id, s.Revision)
			continue
		}
		c.replicas[id] = r
		c.putOff(id)
	}
	closed := make(map[string]bool, len(s.Evacuated))
	for _, d := range s.Evacuated {
		closed[d] = true
		if !c.evacuated[d] {
			c.past.evacuate(d, true, s.Revision)
		}
	}
	for d := range c.evacuated {
		if !closed[d] {
			c.past.evacuate(d, false, s.Revision)
		}
	}
	c.evacuated = closed
}

// apply takes a change in, unless what it is about is newer.
func (c *Content) apply(ch Change, settled bool) {
	switch {
	case ch.Policy != nil:
		c.takePolicy(ch.Policy, ch.Revision)
	case ch.Replica != nil && ch.Revision >= c.replicas[ch.Replica.ID].Revision:
		c.replicas[ch.Replica.ID] = *ch.Replica
		delete(c.past.putOff, ch.Replica.ID)
	case ch.Gone != "" && !settled:
		c.putOff(ch.Gone)
	case ch.Gone != "" && ch.Revision >= c.replicas[ch.Gone].Revision:
		delete(c.replicas, ch.Gone)
		delete(c.past.putOff, ch.Gone)
		c.past.remove(ch.Gone, ch.Revision)
	case ch.Evacuated != "" && ch.Revision > c.read:
		c.evacuated[ch.Evacuated] = true
		c.past.evacuate(ch.Evacuated, true, ch.Revision)
	case ch.Unevacuated != "" && ch.Revision > c.read:
		delete(c.evacuated, ch.Unevacuated)
		c.past.evacuate(ch.Unevacuated, false, ch.Revision)
	}
}

// putOff notes that a replica may be gone, though this is not believed yet.
func (c *Content) putOff(id string) {
	if _, ok := c.replicas[id]; ok {
		c.past.putOff[id] = true
	}
}

// takePolicy takes a policy of a revision in if its version is higher.
func (c *Content) takePolicy(p *Policy, revision int64) {
	if p == nil || (c.policy != nil && p.Version <= c.policy.Version) {
		return
	}
	c.policy = p
	c.past.policy = revision
}

// Snapshot returns the copy as one value, in a fixed order.
func (c *Content) Snapshot() Snapshot {
	return Snapshot{
		Revision:  c.revision,
		Policy:    c.policy,
		Replicas:  c.Replicas(),
		Evacuated: c.Evacuated(),
	}
}
