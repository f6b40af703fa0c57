// Package boot tells how long the machine has been suspended.
package boot

import "sync/atomic"

// skipped is what tests add, in nanoseconds.
var skipped atomic.Int64

// Skip makes the machine seem to have been suspended for so many nanoseconds more. It is
// for tests, and holds for all that runs in the process.
func Skip(nanoseconds int64) { skipped.Add(nanoseconds) }

// Suspended returns for how many nanoseconds the machine was suspended since its start. It
// is a little less where the process was held up during the call.
func Suspended() int64 { return suspended() + skipped.Load() }
