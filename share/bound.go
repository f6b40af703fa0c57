package share

import (
	"math"
	"time"
)

const (
	// RejectedFor is the time for which a box keeps to what it has in flight after a replica rejected
	// a request of it: until the next reports of the boxes.
	RejectedFor = 250 * time.Millisecond

	// boundFor is the time for which a box keeps to its share after such a rejection, although the
	// reports show no contention. Those that show it arrive within half a second where boxes are some
	// 90, and up to 1.4 s where they are 390.
	boundFor = time.Second
)

// Bound bounds the requests of a service that a box has in flight at the replicas of its region. The
// share of the box bounds them only while the region is contended: below that, requests would wait
// for a share although replicas have free slots. 29 boxes before 3 replicas of 6 slots held 0.22 of
// the requests at 0.7 times the capacity.
//
// Reports show contention late. So where a full replica rejects a request, the box keeps to what it
// has in flight until the next reports, or to its equal part if that is more, and to its share for a
// second. Without this, 60 boxes have 0.05 of their requests rejected when the load steps from none
// to twice or four times the capacity, as each box learns of each replica by a rejection.
//
// The zero value is without a bound.
type Bound struct {
	share      float64
	isShared   bool
	contended  bool
	rejected   bool
	rejectedAt time.Duration
	most       float64
}

// Set sets the share of the box, in requests, and whether the region is contended.
func (b *Bound) Set(share float64, contended bool) {
	b.share = share
	b.isShared = !math.IsInf(share, 1)
	b.contended = contended
}

// Share returns the share of the box, in requests, whether it binds or not; infinite for none.
func (b *Bound) Share() float64 {
	if !b.isShared {
		return math.Inf(1)
	}
	return b.share
}

// Reject records that a replica whose slots were all taken rejected a request, while the box had
// others in flight. equal is the equal part of a box, in requests.
func (b *Bound) Reject(inFlight int, equal float64, now time.Duration) {
	b.rejected = true
	b.rejectedAt = now
	b.most = max(float64(inFlight), equal, 1)
}

// Limit returns how many requests the box may have in flight, infinite for no bound, and the time
// until it may be higher without a change of the share; 0 if there is none.
func (b *Bound) Limit(now time.Duration) (requests float64, wait time.Duration) {
	if !b.isShared {
		return math.Inf(1), 0
	}
	requests = math.Inf(1)
	if b.contended {
		requests = b.share
	}
	if !b.rejected {
		return requests, 0
	}
	if until := b.rejectedAt + boundFor; now < until && !b.contended {
		requests, wait = b.share, until-now
	}
	if until := b.rejectedAt + RejectedFor; now < until && b.most < requests {
		requests, wait = b.most, until-now
	}
	return requests, wait
}
