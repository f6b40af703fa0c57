package decay

import "time"

const (
	failHalf   = 3 * time.Second // time in which half of a share of failures is forgotten
	failWeight = 0.2             // weight of the newest outcome in a share of failures
)

// Mean is a mean of observations of which older ones count less; without new ones it
// goes back to 0. The zero value has seen none.
type Mean struct {
	value float64
	at    time.Duration // when it was so
}

// At returns the mean as it counts at now, when half of it is forgotten in halfLife.
func (m Mean) At(now, halfLife time.Duration) float64 { return m.value * Left(now-m.at, halfLife) }

// Add takes an observation in, with a weight from 0 to 1.
func (m *Mean) Add(seen, weight float64, now, halfLife time.Duration) {
	old := m.At(now, halfLife)
	m.value = old + weight*(seen-old)
	m.at = now
}

// Failures is the share of failures among outcomes of late. The zero value has seen
// none.
type Failures struct {
	mean Mean
}

// Share returns the share as it counts at now.
func (f Failures) Share(now time.Duration) float64 { return f.mean.At(now, failHalf) }

// Add takes an outcome in.
func (f *Failures) Add(failed bool, now time.Duration) {
	seen := 0.0
	if failed {
		seen = 1
	}
	f.mean.Add(seen, failWeight, now, failHalf)
}
