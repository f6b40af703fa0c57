package ingress

import (
	"time"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/common/events"
)

// maxIdleBytes is how many bytes of a stream may come between two events: comments and empty lines
// may be keep-alives, some 10 bytes each.
const maxIdleBytes = 64 << 10

// maxIdleBytes returns the bound for the target of the attempt. Another box applies the bound to its
// replica, and forwards what comes before, so that its stream has room for one more run.
func (a *attempt) maxIdleBytes() int {
	if a.target.Box != "" {
		return 2 * maxIdleBytes
	}
	return maxIdleBytes
}

// eventTimeout returns how long a stream may be without a complete event while other bytes arrive: a
// replica whose requests wait sends keep-alives for as long as its callers may expect. Another box
// applies the bound to its replica first.
func (a *attempt) eventTimeout() time.Duration {
	timeout := max(a.call.route.LatencyTarget.Duration(), minEventTimeout, a.stallTimeout())
	if a.target.Box != "" {
		timeout += boxStallTimeout - streamStallTimeout
	}
	return timeout
}

// isProgress reports whether an event shows that its stream goes on: it has data and comes after the
// last such event of the run, or another box reports one more run.
func (c *call) isProgress(event []byte, id, seen string) bool {
	if n, ok := parseSentCount(event); ok && c.viaBox {
		return n > c.sent
	}
	return events.HasData(event) && (id == "" || !events.NotAfter(id, seen))
}

// noteProgress records that the stream of this attempt has begun or shows progress.
func (c *call) noteProgress() { c.progressAt.Store(max(int64(clock.Since(c.start)), 1)) }

// sinceProgress returns the time since the last progress of a stream; 0 before the head of the answer.
func (c *call) sinceProgress() time.Duration {
	at := time.Duration(c.progressAt.Load())
	if at == 0 {
		return 0
	}
	return clock.Since(c.start) - at
}
