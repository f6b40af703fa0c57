package ingress

import (
	"cmp"
	"context"
	"time"

	"github.com/havenrudder/havenrudder/placement"
)

// ReasonStopping is the reason for refusing a request because a planned stop has begun.
const ReasonStopping placement.Reason = "box about to end"

// waitingOverhead is the memory that a request holds besides its body while it waits: its head,
// the buffers of its connection and its goroutine.
const waitingOverhead = 12 << 10

// mayWait reports whether the request may wait for capacity. A started or resumed stream, a
// forwarded request and one on trial are placed at once or not at all, and a box that stops
// delays nothing.
func (c *call) mayWait() bool {
	return c.relay == nil && !c.trial && c.state != stateStarted && c.lastEvent == "" && c.facts.Resumes == "" && !c.server.core.Leaving()
}

// flow returns the name under which the service's requests are served in turn.
func (c *call) flow() string {
	if c.organisation != "" {
		return c.organisation
	}
	return c.route.Name
}

// noteWait records what a target says of the request's wait for capacity.
func (c *call) noteWait(t *Target) {
	c.entry = cmp.Or(t.Entry, c.entry)
	c.ahead = t.Ahead
	c.expected = t.Expected
	c.refusedByQueue = t.Final
}

// changedWhileWaiting reports whether the request may not be sent any more, or only on trial, since
// it waited for its target.
func (c *call) changedWhileWaiting(ctx context.Context) bool {
	if ctx.Err() != nil || c.deadlinePassed() || c.isQuarantined() || !c.keyStillValid() {
		return true
	}
	return !c.trial && c.server.core.Poison.OnTrial(&c.content)
}

// The fields of the log of a request that waited, or that was refused because others precede it.

func (c *call) loggedUrgency(waited bool) int {
	if waited {
		return c.urgency
	}
	return 0
}

func (c *call) loggedFlow(waited bool) string {
	if waited {
		return c.flow()
	}
	return ""
}

func (c *call) loggedAhead() int {
	if c.refusedByQueue {
		return c.ahead
	}
	return 0
}

func (c *call) loggedExpected() time.Duration {
	if c.refusedByQueue {
		return c.expected
	}
	return 0
}
