package roster

import (
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// QueueingDelay returns the transit and queueing delay of a status beyond the smallest delay
// observed for the same process. It must be added to the ages in the status.
func (t *Table) QueueingDelay(s wire.BoxStatus, now time.Duration) time.Duration {
	r, ok := t.records[s.Box]
	if !ok || r.Status.Inc != s.Inc || s.UpMs == 0 {
		return 0
	}
	clockOffset := now - time.Duration(s.UpMs)*time.Millisecond
	if !r.hasClockOffset || clockOffset < r.clockOffset {
		r.hasClockOffset = true
		r.clockOffset = clockOffset
	}
	return clockOffset - r.clockOffset
}
