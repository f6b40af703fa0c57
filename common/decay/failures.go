package decay

import "time"

const (
	failHalf   = 3 * time.Second // time in which half of a share of failures is forgotten
	failWeight = 0.2             // weight of the newest outcome in a share of failures
)

// Failures is the share of failures among outcomes, of which older ones count
// less. The zero value has seen none.
type Failures struct {
	share float64
	at    time.Duration // when it was so
}

// Share returns the share as it counts at now.
func (f Failures) Share(now time.Duration) float64 { return f.share * Left(now-f.at, failHalf) }

// Add takes an outcome in.
func (f *Failures) Add(failed bool, now time.Duration) {
	seen := 0.0
	if failed {
		seen = 1
	}
	old := f.Share(now)
	f.share = old + failWeight*(seen-old)
	f.at = now
}
