package decay

import "time"

// Count is a number of events of which older ones count less. The zero value has seen
// none.
type Count struct {
	value float64
	at    time.Duration // when it was so
}

// At returns the number as it counts at now, when half of it is forgotten in halfLife.
func (c Count) At(now, halfLife time.Duration) float64 { return c.value * Left(now-c.at, halfLife) }

// Add takes n events in.
func (c *Count) Add(n float64, now, halfLife time.Duration) {
	c.value = c.At(now, halfLife) + n
	c.at = now
}
