package roster

import (
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// Waited returns for how much longer than the quickest word of the same process this one
// was under way or waited to be taken in: what it tells of ages is older by that. A box
// whose link or processor was full for 4 s took datagrams for 20 ms old that had waited
// all the time, and so what it knew for current.
func (t *Table) Waited(s wire.BoxStatus, now time.Duration) time.Duration {
	r, ok := t.records[s.Box]
	if !ok || r.Status.Inc != s.Inc || s.UpMs == 0 {
		return 0
	}
	ahead := now - time.Duration(s.UpMs)*time.Millisecond
	if !r.hasClockOffset || ahead < r.minClockOffset {
		r.hasClockOffset = true
		r.minClockOffset = ahead
	}
	return ahead - r.minClockOffset
}
