package ingress

import (
	"time"

	"github.com/havenrudder/havenrudder/common/clock"
)

// endsAfterStop reports whether the request is not expected to end before the planned stop of this box, so
// that it is better sent by another one. A stream that has begun goes on for as long as it can.
func (c *call) endsAfterStop() bool {
	end, stopping := c.server.core.StopDeadline()
	if !stopping || c.state == stateStarted {
		return false
	}
	return clock.Until(end) < c.timeNeeded()
}

// timeNeeded returns the time that must be left for the request to be sent.
func (c *call) timeNeeded() time.Duration {
	if c.facts.PromptTokens > 0 {
		return c.server.core.StreamTime(c.newQuery().Request) // whose output is estimated with a margin
	}
	return c.server.usualTimes.Needed(c.service)
}

// recordTime records the time that a request took which was served.
func (c *call) recordTime() {
	if c.facts.PromptTokens == 0 {
		c.server.usualTimes.Add(c.service, clock.Since(c.start))
	}
}
