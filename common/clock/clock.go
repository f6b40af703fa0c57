// Package clock is the clock of all ages, deadlines and rounds of a box. It runs on while
// the machine is suspended, which Go's clock doesn't: after 8 s of suspension a box took
// lists, heartbeats and the time that callers wait for 8 s younger than they were.
package clock

import (
	"sync/atomic"
	"time"

	"github.com/havenrudder/havenrudder/internal/boot"
)

// least is the shortest suspension that counts. Readings of two clocks differ by less, also
// on a busy machine.
const least = 20 * time.Millisecond

// atStart is how long the machine had been suspended when the process began.
var atStart = boot.Suspended()

// counted is the suspension that Now counts, in nanoseconds.
var counted atomic.Int64

// Check looks whether the machine was suspended since the last call, and returns for how
// long; 0 for not. It goes before all that depends on how old something is: when something
// comes in, before a request is sent on, and at each round. It costs two system calls,
// 0.4 us, Now none.
func Check() time.Duration {
	known := counted.Load()
	now := boot.Suspended() - atStart
	if now-known < int64(least) || !counted.CompareAndSwap(known, now) {
		return 0
	}
	return time.Duration(now - known)
}

// Suspended returns for how long the machine was suspended since the process began, as far
// as Check has found out.
func Suspended() time.Duration { return time.Duration(counted.Load()) }

// Now returns the time. Differences of two times include suspensions between them.
func Now() time.Time { return time.Now().Add(Suspended()) }

// SystemTime returns a time of this clock by the clock of the system, as deadlines of connections
// need it.
func SystemTime(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Add(-Suspended())
}

// Since returns the time that has passed since t, a time of this clock.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, a time of this clock.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
