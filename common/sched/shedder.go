package sched

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	maxLatency  = 80 * time.Millisecond // a request waits for the processor at some six steps, and callers for a second to be read
	shareStep   = 0.1                   // by which the share grows for each maxLatency of an interval
	shareDecay  = 0.05                  // by which it falls in an interval with a lower latency
	retryFactor = 10                    // of the latency, until turned away work is to come back
)

// Shedder decides which work to turn away. Its zero value turns none away. It is safe for concurrent use.
type Shedder struct {
	share   atomic.Uint64 // of the work that is turned away, as bits of a float64; written by Adjust only
	latency atomic.Int64  // nanoseconds
}

// Adjust adapts the share to the scheduling latency of an interval. Calls must not overlap.
func (s *Shedder) Adjust(latency time.Duration) {
	s.latency.Store(int64(latency))
	share := s.Share()
	if latency > maxLatency {
		share += shareStep * float64(latency) / float64(maxLatency)
	} else {
		share -= shareDecay
	}
	s.share.Store(math.Float64bits(min(max(share, 0), 1)))
}

// Share returns the share of the work that is turned away, from 0 to 1.
func (s *Shedder) Share() float64 { return math.Float64frombits(s.share.Load()) }

// Sheds reports whether to turn work away, and when it is to come back. draw returns a random number from 0
// up to 1; it is called only while work is turned away.
func (s *Shedder) Sheds(draw func() float64) (retryAfter time.Duration, sheds bool) {
	share := s.Share()
	if share == 0 || draw() >= share {
		return 0, false
	}
	return retryFactor * max(time.Duration(s.latency.Load()), maxLatency), true
}
