package meter

import (
	"strconv"
	"time"
)

// QueueWaiting sets the number of requests of a service and urgency that wait for capacity.
func (m *Meter) QueueWaiting(service string, level, n int) {
	m.queueWaiting.WithLabelValues(service, strconv.Itoa(level)).Set(float64(n))
}

// QueueWait observes for how long a request waited until it was placed.
func (m *Meter) QueueWait(service string, level int, d time.Duration) {
	m.queueWait.WithLabelValues(service, strconv.Itoa(level)).Observe(d.Seconds())
}

// QueueRefused counts a request that was refused in place of waiting, or while it waited.
func (m *Meter) QueueRefused(service, reason string, level int) {
	m.queueRefused.WithLabelValues(service, reason, strconv.Itoa(level)).Inc()
}

// QueueDisplaced counts a waiting request that was refused for another one.
func (m *Meter) QueueDisplaced(service string, level int) {
	m.queueDisplaced.WithLabelValues(service, strconv.Itoa(level)).Inc()
}
