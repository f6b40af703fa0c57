package catalog

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// revisionBits are the bits of a revision within an era of the publisher. The era is above them, so
// that revisions of a later era are higher.
const revisionBits = 42

// MaxEra bounds the eras of a publisher.
const MaxEra = 1 << 20

// RevisionIn returns the revision that a publisher gave out in an era. The era rises each time the
// publisher comes back from an older copy, whose later revisions it gives out again.
func RevisionIn(era, revision int64) (int64, error) {
	if era < 0 || era > MaxEra || revision < 0 || revision >= 1<<revisionBits {
		return 0, errors.Newf("catalog: no revision %d in an era %d", revision, era)
	}
	return era<<revisionBits | revision, nil
}

// EraOf returns the era of a revision.
func EraOf(revision int64) int64 { return revision >> revisionBits }

// WithinEra returns the revision as its publisher gave it out.
func WithinEra(revision int64) int64 { return revision & (1<<revisionBits - 1) }

// isSameEntry reports whether a replica's entry is an entry of an earlier era, unchanged.
func (r Replica) isSameEntry(earlier Replica) bool {
	if EraOf(r.Revision) <= EraOf(earlier.Revision) || WithinEra(r.Revision) != WithinEra(earlier.Revision) {
		return false
	}
	r.Revision = earlier.Revision
	r.Leaving = earlier.Leaving
	return r == earlier
}

// IsChangeOf reports whether a replica's entry was written after an earlier one.
func (r Replica) IsChangeOf(earlier Replica) bool {
	return r.Revision != earlier.Revision && !r.isSameEntry(earlier)
}

// restoredTime is the time after the start of an era for which a copy keeps what it knows better than
// the publisher: operator and replicas write again what was lost, live replicas at each heartbeat.
const restoredTime = 6 * time.Second

// restoration is what a copy keeps of the era before.
type restoration struct {
	era       int64
	first     int64           // first revision of the era that the copy received
	until     time.Time       // while it is kept
	putOff    map[string]bool // replicas that had been removed
	evacuated map[string]bool // failure domains that the publisher does not list
}

// IsRestored reports whether a publisher that came back from an older copy may still lack entries.
func (c *Content) IsRestored() bool { return c.now().Before(c.restoration.until) }

// beginEra records the first revision of a later era. The first era of a copy begins without
// anything to keep.
func (c *Content) beginEra(revision int64) {
	if EraOf(revision) <= c.restoration.era && c.newest > 0 {
		return
	}
	next := restoration{
		era:       EraOf(revision),
		first:     revision,
		putOff:    make(map[string]bool),
		evacuated: make(map[string]bool),
	}
	if c.newest > 0 {
		next.until = c.now().Add(restoredTime)
		maps.Copy(next.putOff, c.restoration.putOff)
	}
	c.restoration = next
}

// putOffRestored records whether an entry that is about to be added is that of a removed replica,
// brought back with an older copy. An entry written since is not.
func (c *Content) putOffRestored(r Replica) {
	k := &c.restoration
	at := c.history.removedAt(r.ID)
	_, listed := c.replicas[r.ID]
	switch {
	case r.Revision > k.first:
		delete(k.putOff, r.ID)
	case !listed && at > 0 && EraOf(at) < EraOf(r.Revision) && c.now().Before(k.until):
		k.putOff[r.ID] = true
	}
}

// PutOff returns the replicas that had been removed before the publisher came back from an older
// copy that lists them, sorted. They may be gone, until that copy has had time to be corrected.
func (c *Content) PutOff() []string { return slices.Sorted(maps.Keys(c.restoration.putOff)) }

// keepsEvacuation reports whether the evacuation of a failure domain stays although the publisher
// does not list it.
func (c *Content) keepsEvacuation(domain string) bool {
	return EraOf(c.history.evacuated[domain].revision) < c.restoration.era && c.now().Before(c.restoration.until)
}

// endRestoration accepts what the publisher has not written again in time, and reports whether
// that changes anything.
func (c *Content) endRestoration() bool {
	k := &c.restoration
	if c.now().Before(k.until) || len(k.putOff)+len(k.evacuated) == 0 {
		return false
	}
	for id := range k.putOff {
		c.changeLog.add(id)
	}
	for _, domain := range slices.Sorted(maps.Keys(k.evacuated)) {
		delete(c.evacuated, domain)
		c.history.recordEvacuation(domain, false, c.newest)
	}
	clear(k.putOff)
	clear(k.evacuated)
	return true
}
