// Package lease tracks how recently the policy in force on a box is known to have been the newest,
// which limits how long the box may act on its keys. A freshness proof is the response of the
// publisher, or of another box that reports the age of its own lease. The box dates it to the time
// at which it sent the request, on its own clock, or earlier, so delays and clock drift never
// extend a lease.
package lease

import (
	"math"
	"sync"
	"time"
)

const maxPending = 8 // proofs kept of versions that are not in force

// Never is the age of a policy without a freshness proof.
const Never = time.Duration(math.MaxInt64)

// FreshnessProof states that no policy newer than Version was published at ConfirmedAt.
type FreshnessProof struct {
	Version     int
	ConfirmedAt time.Duration // on the box's clock
}

// Lease holds the freshness proofs of a box. Its zero value has none. It is safe for concurrent
// use.
type Lease struct {
	mu          sync.Mutex
	version     int // of the policy in force
	confirmedAt time.Duration
	confirmed   bool
	pending     []FreshnessProof // of versions that are not in force, oldest first
}

// AddProof records a proof. A proof of a later version applies once that version is in force.
func (l *Lease) AddProof(p FreshnessProof) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.Version <= l.version {
		l.confirm(p.ConfirmedAt)
		return
	}
	if len(l.pending) == maxPending {
		l.pending = l.pending[1:]
	}
	l.pending = append(l.pending, p)
}

// SetVersion records the version of the policy in force. The caller puts the policy in force
// first, so that reading the age and then the policy yields a policy at least that new.
func (l *Lease) SetVersion(version int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = max(l.version, version)
	later := l.pending[:0]
	for _, p := range l.pending {
		if p.Version <= l.version {
			l.confirm(p.ConfirmedAt)
		} else {
			later = append(later, p)
		}
	}
	l.pending = later
}

// confirm records that the policy in force was the newest at the given time.
func (l *Lease) confirm(confirmedAt time.Duration) {
	if !l.confirmed || confirmedAt > l.confirmedAt {
		l.confirmedAt = confirmedAt
		l.confirmed = true
	}
}

// Age returns the time since the policy in force was confirmed as the newest, or Never, and its
// version.
func (l *Lease) Age(now time.Duration) (age time.Duration, version int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.confirmed {
		return Never, l.version
	}
	return now - l.confirmedAt, l.version
}
