// Package admission decides whether a box takes a request now. It is pure.
//
// Shares are kept without boxes talking: each box knows its own requests by
// priority and organisation and takes the others of its failure domain to have
// the same mix, for callers are spread over them by hash.
package admission

import (
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// Code says why a request was refused.
type Code string

// Codes of refusal.
const (
	None         Code = ""
	NoCapacity   Code = "no_capacity"   // no slot is free
	ShareReached Code = "share_reached" // the organisation holds its share while others wait
	Reserved     Code = "reserved"      // what is left is kept for other priorities
	NotInvited   Code = "not_invited"   // what is left is kept for the region's own callers
)

const (
	contended  = 0.7                    // share of capacity in use from which shares of organisations bind
	invited    = 0.8                    // share of slots in use up to which other regions' requests are taken
	minRetry   = 100 * time.Millisecond // shortest time a refused caller is told to stay away
	maxRetry   = 5 * time.Second
	retryPrice = 10 // first tries that pay for one retry
	retryBurst = 10 // retries that may be saved up
)

// Capacity is what a box believes of the replicas of a service.
type Capacity struct {
	Limit   int  // requests that all replicas together are given
	Slots   int  // requests they run at once
	Used    int  // requests there now, as believed
	Boxes   int  // serving boxes that share them, this one included
	Foreign bool // the request comes from another region
}

// Limiter counts the requests of one service on one box. It belongs to one
// actor.
type Limiter struct {
	byPriority map[string]int
	byOrg      map[string]int
	total      int
	saved      int // first tries that no retry was paid with
}

// NewLimiter returns a limiter with nothing in flight.
func NewLimiter() *Limiter {
	return &Limiter{
		byPriority: make(map[string]int),
		byOrg:      make(map[string]int),
		saved:      retryBurst * retryPrice,
	}
}

// Admit says whether a request of org may be taken; it does not count it.
func (l *Limiter) Admit(org wire.Organisation, priorities []wire.Priority, c Capacity) Code {
	boxes := max(c.Boxes, 1)
	if c.Used >= c.Limit {
		return NoCapacity
	}
	if c.Foreign && float64(c.Used) >= invited*float64(c.Slots) {
		return NotInvited
	}
	if c.Used+1 > c.Limit-l.keptFromOthers(org.Priority, priorities, c.Limit, boxes) {
		return Reserved
	}
	busy := float64(c.Used) >= contended*float64(c.Limit)
	if busy && float64((l.byOrg[org.Name]+1)*boxes) > max(org.Share*float64(c.Limit), float64(boxes)) {
		return ShareReached
	}
	return None
}

// keptFromOthers returns how many slots are reserved for priorities other than
// own and not in use by them.
func (l *Limiter) keptFromOthers(own string, priorities []wire.Priority, limit, boxes int) int {
	kept := 0
	for _, p := range priorities {
		if p.Name == own {
			continue
		}
		free := int(p.ReservedShare*float64(limit)) - l.byPriority[p.Name]*boxes
		kept += max(free, 0)
	}
	return kept
}

// Begin counts an admitted request in.
func (l *Limiter) Begin(org wire.Organisation) {
	l.total++
	l.byPriority[org.Priority]++
	l.byOrg[org.Name]++
	l.saved = min(l.saved+1, retryBurst*retryPrice)
}

// End counts a request out.
func (l *Limiter) End(org wire.Organisation) {
	l.total--
	drop(l.byPriority, org.Priority)
	drop(l.byOrg, org.Name)
}

func drop(m map[string]int, key string) {
	m[key]--
	if m[key] == 0 {
		delete(m, key)
	}
}

// Retry takes one retry from the budget; false means that there is none left.
func (l *Limiter) Retry() bool {
	if l.saved < retryPrice {
		return false
	}
	l.saved -= retryPrice
	return true
}

// InFlight returns the requests counted in and not out.
func (l *Limiter) InFlight() int { return l.total }

// RetryAfter returns when a refused caller should come back: after the expected
// wait, spread by a number from 0 up to 1 that differs between callers so that
// they don't return as one.
func RetryAfter(wait time.Duration, spread float64) time.Duration {
	d := min(max(wait, minRetry), maxRetry)
	return d + time.Duration(spread*float64(d))
}
