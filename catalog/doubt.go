package catalog

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// doubtFor is how long a removal is not believed where an update doesn't say it:
// entries that lapsed are back within lapseWait, and news of that takes as long as
// backSlack.
const (
	unconfirmedTimeout = recoveryWindow + recoverySlack
	recoverySlack      = 100 * time.Millisecond // until a watch has brought the last that is back; with 0.5 s a watcher that was turned away held to a removed replica for 3.55 s
)

// Doubt is a replica that was found removed while entries that lapsed may still come
// back. It is believed when its time is over, unless the entry is back by then.
type Doubt struct {
	Replica  string `json:"replica"`
	Born     int64  `json:"born,omitempty"` // which start of it, where that is told
	Revision int64  `json:"revision"`       // from which on it may have been removed
	Left     Millis `json:"left_ms"`        // until it is believed
}

// UnmarshalJSON decodes a doubt and checks it.
func (d *Doubt) UnmarshalJSON(data []byte) error {
	type plain Doubt
	var v plain
	if err := json.Unmarshal(data, &v); err != nil {
		return errors.Wrap(err, "doubt")
	}
	*d = Doubt(v)
	if d.Replica == "" || d.Left < 0 {
		return errors.Newf("doubt of replica %q with %d ms left", d.Replica, d.Left)
	}
	return nil
}

// doubt is a Doubt as a copy holds it.
type unconfirmedRemoval struct {
	revision int64
	until    time.Time
}

// Revision returns the revision after which others are to be asked what changed: the
// newest that was taken in or, where a removal is in doubt, one that it doesn't come
// before. It never goes back.
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

// endDoubt takes in that a replica is not in doubt.
func (c *Content) clearUnconfirmed(id string) {
	if !c.InDoubt(id) {
		return
	}
	delete(c.unconfirmed, id)
	c.floor = 0
	c.changeLog.add(id)
}

// Newest returns the newest revision that was taken in. Each removal up to it is
// either believed or in doubt.
func (c *Content) Newest() int64 { return c.newest }

// Doubtful says whether any removal is in doubt.
func (c *Content) Doubtful() bool { return len(c.unconfirmed) > 0 }

// InDoubt says whether a replica may be gone.
func (c *Content) InDoubt(id string) bool {
	_, ok := c.unconfirmed[id]
	return ok
}

// doubt notes that a replica may be gone since a revision. An earlier end of the doubt
// stays.
func (c *Content) markUnconfirmed(id string, revision int64, left time.Duration) {
	if _, ok := c.replicas[id]; !ok {
		return
	}
	next := unconfirmedRemoval{
		revision: max(revision, c.Revision()), // so that it doesn't go back
		until:    c.now().Add(left),
	}
	if was, ok := c.unconfirmed[id]; ok {
		next.revision = min(next.revision, was.revision)
		if was.until.Before(next.until) {
			next.until = was.until
		}
	}
	c.unconfirmed[id] = next // no earlier than the floor, which stays
	c.changeLog.add(id)
}

// Doubts returns the replicas that may be gone, in order.
func (c *Content) Doubts() []string { return slices.Sorted(maps.Keys(c.unconfirmed)) }

// Settle believes the removals whose time is over, and says whether there were any.
//
// A box that had to read again for that, as followers seldom do, or that was not asked
// again, went on sending to such a replica for up to 5 s.
func (c *Content) Settle() bool {
	settled := false
	for _, id := range slices.Sorted(maps.Keys(c.unconfirmed)) { // so that the latest that are told again don't depend on chance
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

// tell returns the doubts as another box is told of them.
func (c *Content) unconfirmedForPeers() []Doubt {
	var out []Doubt
	for _, id := range slices.Sorted(maps.Keys(c.unconfirmed)) {
		d := c.unconfirmed[id]
		out = append(out, Doubt{
			Replica:  id,
			Born:     c.replicas[id].Born,
			Revision: d.revision,
			Left:     Millis(max(d.until.Sub(c.now()), 0).Milliseconds()),
		})
	}
	return out
}

// hear takes in what another box has in doubt, but for what is known to be gone.
func (c *Content) mergeUnconfirmed(list []Doubt) {
	for _, d := range list {
		if r, ok := c.replicas[d.Replica]; ok && r.Revision <= d.Revision && isSameIncarnation(r.Born, d.Born) {
			c.markUnconfirmed(d.Replica, d.Revision, d.Left.Duration())
		}
	}
}
