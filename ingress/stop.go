package ingress

import (
	"sync"
	"time"

	"github.com/havenrudder/havenrudder/common/clock"
)

const (
	stopSlack      = 1.5 // multiple of the expected time of a request without tokens that must be left before a planned stop ends
	callTimeWeight = 0.1 // of the newest request
)

// callTimes holds the moving average of the time that requests of a service take whose tokens are not known,
// also of those that are forwarded to another region. It is safe for concurrent use.
type callTimes struct {
	mu        sync.Mutex
	byService map[string]time.Duration
}

func (t *callTimes) record(service string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byService == nil {
		t.byService = make(map[string]time.Duration)
	}
	old, known := t.byService[service]
	if !known {
		old = took
	}
	t.byService[service] = old + time.Duration(callTimeWeight*float64(took-old))
}

// of returns the average of a service; 0 if none of its requests was served.
func (t *callTimes) of(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byService[service]
}

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
	return time.Duration(stopSlack * float64(c.server.callTimes.of(c.service)))
}

// recordTime records the time that a request took which was served.
func (c *call) recordTime() {
	if c.facts.PromptTokens == 0 {
		c.server.callTimes.record(c.service, clock.Since(c.start))
	}
}
