// Package lease says for how long a box may act on the keys that it knows. It holds the moment
// up to which the policy in force here was surely the newest. A box learns it by a question to
// the publisher that was answered, or to another box, which tells the age of its own moment.
// Either way the moment is at most as late as the question left, on the box's own clock: what
// the answer takes, whatever stood still on its way, and differences of clocks make it only
// earlier.
package lease

import (
	"math"
	"sync"
	"time"
)

// mostProofs are the proofs of policies not in force yet that are kept. Versions that come in
// quick succession are in force within some rounds.
const mostProofs = 8

// Never is the age of what was never proved.
const Never = time.Duration(math.MaxInt64)

// Proof says that at a moment no policy was published that is newer than a version.
type Proof struct {
	Version int
	At      time.Duration // on the box's clock
}

// Lease is what a box holds, in its zero value that of a box that knows nothing. It may be used
// by several goroutines.
type Lease struct {
	mu      sync.Mutex
	version int // of the policy in force
	at      time.Duration
	proved  bool
	waiting []Proof // of versions not in force here, the oldest first
}

// Prove takes a proof in. One of a version that isn't in force here counts from when it is.
func (l *Lease) Prove(p Proof) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.Version <= l.version {
		l.extend(p.At)
		return
	}
	if len(l.waiting) == mostProofs {
		l.waiting = l.waiting[1:]
	}
	l.waiting = append(l.waiting, p)
}

// Hold takes in that the policy of a version is in force. It comes after the policy has come
// into force, so that who asks for the age and then for the policy has one as new as that.
func (l *Lease) Hold(version int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = max(l.version, version)
	kept := l.waiting[:0]
	for _, p := range l.waiting {
		if p.Version <= l.version {
			l.extend(p.At)
		} else {
			kept = append(kept, p)
		}
	}
	l.waiting = kept
}

// extend moves the moment on.
func (l *Lease) extend(at time.Duration) {
	if !l.proved || at > l.at {
		l.at = at
		l.proved = true
	}
}

// Age returns how long ago the policy in force was surely the newest, and its version; Never
// where that isn't known.
func (l *Lease) Age(now time.Duration) (age time.Duration, version int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.proved {
		return Never, l.version
	}
	return now - l.at, l.version
}
