// Package admission decides whether a box admits a request. It does no I/O.
//
// Boxes keep the shares of priorities and organisations without coordination: each
// box counts its own requests and assumes that the other boxes of its failure domain
// have the same mix, since callers are spread over them by hash.
package admission

import (
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// Code is the reason for which a request is refused.
type Code string

// Codes of refusals.
const (
	None                Code = ""
	NoCapacity          Code = "no_capacity"   // the limit of requests is reached
	ShareReached        Code = "share_reached" // the organisation uses its share while capacity is contended
	Reserved            Code = "reserved"      // the free slots are reserved for other priorities
	ForeignLimitReached Code = "not_invited"   // the free slots are reserved for callers of this region
)

const (
	contendedUtilization  = 0.7 // used fraction of the limit from which shares of organisations apply
	maxForeignUtilization = 0.8 // used fraction of the slots below which requests of other regions are admitted
	minRetryAfter         = 100 * time.Millisecond
	maxRetryAfter         = 5 * time.Second
	requestsPerRetry      = 10 // admitted requests that earn one retry
	retryBurst            = 10 // maximum number of retries that may accumulate
)

// Capacity is a box's estimate of the capacity of a service's replicas.
type Capacity struct {
	Limit    int  // requests that may be sent to all replicas together
	Slots    int  // requests that the replicas run concurrently
	InFlight int  // estimated requests in flight
	Boxes    int  // serving boxes that share the replicas, including this one
	Foreign  bool // whether the request comes from another region
}

// Limiter counts the requests of one service on one box. It is not safe for
// concurrent use.
type Limiter struct {
	byPriority  map[string]int
	byOrg       map[string]int
	inFlight    int
	retryCredit int // in requests; requestsPerRetry of them allow one retry
}

// NewLimiter returns a limiter with no requests in flight.
func NewLimiter() *Limiter {
	return &Limiter{
		byPriority:  make(map[string]int),
		byOrg:       make(map[string]int),
		retryCredit: retryBurst * requestsPerRetry,
	}
}

// Admit decides whether a request of org is admitted, without counting it.
func (l *Limiter) Admit(org wire.Organisation, priorities []wire.Priority, c Capacity) Code {
	boxes := max(c.Boxes, 1)
	if c.InFlight >= c.Limit {
		return NoCapacity
	}
	if c.Foreign && float64(c.InFlight) >= maxForeignUtilization*float64(c.Slots) {
		return ForeignLimitReached
	}
	if c.InFlight+1 > c.Limit-l.reservedForOthers(org.Priority, priorities, c.Limit, boxes) {
		return Reserved
	}
	busy := float64(c.InFlight) >= contendedUtilization*float64(c.Limit)
	if busy && float64((l.byOrg[org.Name]+1)*boxes) > max(org.Share*float64(c.Limit), float64(boxes)) {
		return ShareReached
	}
	return None
}

// reservedForOthers returns the number of free slots that are reserved for priorities
// other than own.
func (l *Limiter) reservedForOthers(own string, priorities []wire.Priority, limit, boxes int) int {
	reserved := 0
	for _, p := range priorities {
		if p.Name == own {
			continue
		}
		free := int(p.ReservedShare*float64(limit)) - l.byPriority[p.Name]*boxes
		reserved += max(free, 0)
	}
	return reserved
}

// Begin counts the start of an admitted request.
func (l *Limiter) Begin(org wire.Organisation) {
	l.inFlight++
	l.byPriority[org.Priority]++
	l.byOrg[org.Name]++
	l.retryCredit = min(l.retryCredit+1, retryBurst*requestsPerRetry)
}

// End counts the end of an admitted request.
func (l *Limiter) End(org wire.Organisation) {
	l.inFlight--
	decrement(l.byPriority, org.Priority)
	decrement(l.byOrg, org.Name)
}

func decrement(m map[string]int, key string) {
	m[key]--
	if m[key] == 0 {
		delete(m, key)
	}
}

// MayRetry reports whether the budget has a retry left.
func (l *Limiter) MayRetry() bool { return l.retryCredit >= requestsPerRetry }

// Retry takes one retry from the budget and reports whether one was left.
func (l *Limiter) Retry() bool {
	if !l.MayRetry() {
		return false
	}
	l.retryCredit -= requestsPerRetry
	return true
}

// ReturnRetry gives back a retry that was not sent.
func (l *Limiter) ReturnRetry() {
	l.retryCredit = min(l.retryCredit+requestsPerRetry, retryBurst*requestsPerRetry)
}

// InFlight returns the number of requests that have begun and not ended.
func (l *Limiter) InFlight() int { return l.inFlight }

// RetryAfter returns the time after which a refused caller should retry: the expected
// wait with a jitter by spread, a number in [0, 1) that differs between callers.
func RetryAfter(wait time.Duration, spread float64) time.Duration {
	d := min(max(wait, minRetryAfter), maxRetryAfter)
	return d + time.Duration(spread*float64(d))
}
