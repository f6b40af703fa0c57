// Package quota enforces the quotas of organisations over all boxes without stored state. In
// every sliding window the boxes admit at most the units of an organisation's quota, plus the
// tolerances below.
//
// A few boxes of each region, chosen by rendezvous hashing, run a quota allocator, which grants
// credit to the boxes of the region. A box admits a request only against credit in its credit
// pool, which it requests in advance, so that few requests wait for an allocator.
//
// # Why the limit holds
//
// The regions' shares of a quota follow demand and add up to 1; an unreachable region keeps its
// last share, or what it used. In each round of reports between regions an allocator grants at most
// its region's share of what all regions have left. Reports say when their units leave the window,
// so these are granted again without waiting for a round. While a region is unreachable, an
// allocator grants at most quota x share in a window.
//
// An allocator reserves a part for the boxes of its region that send it no requests; the parts that
// allocators grant add up to 1 even while boxes are partitioned or disagree on the allocators. Boxes
// report their usage with each request, and the candidates for an allocator fetch its usage, so a new
// allocator has a record of it. What a box's previous process may have used without a record is
// reserved for a window.
//
// The tolerances: one request may take each allocator's balance below zero; credit granted up to
// some tenths of a second before the window may be used in it; reports between regions are a
// round old; a partitioned box uses its allocation while its former allocator still counts it.
package quota

import (
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

const (
	prefetchWindow      = 500 * time.Millisecond  // of demand, which a box requests in advance; two requests may be lost
	creditTTL           = 2 * time.Second         // of unused credit
	boxTimeout          = 1300 * time.Millisecond // since the last request of a box, which sends two per second; a box that is cut off and its allocator both use its part meanwhile
	recordTTL           = time.Minute             // of a box that sends no more requests; longer than a window
	regionTimeout       = 1500 * time.Millisecond // since the last report of a region; covers two rounds; its share and those of others diverge meanwhile
	takeoverTimeout     = 3 * time.Second         // since the last report of an allocator, from which another one of its region takes over
	demandHalfLife      = time.Second
	maxPrefetchFraction = 0.25                   // of a balance, granted in advance to one box
	maxPrefetchFactor   = 2.0                    // multiple of a box's equal part of the rate, granted in advance; while demand exceeds the rate, credit of one box is missing at others
	minEqualFraction    = 0.1                    // of a region's share, independent of its demand
	minBoxFraction      = 0.25                   // of the boxes of a region, from which the demand of all is estimated
	minWait             = 100 * time.Millisecond // for refused callers
	maxWait             = 5 * time.Second
	retryInterval       = 50 * time.Millisecond  // for which a box applies an allocator's refusal to further requests
	windowStep          = 50 * time.Millisecond  // resolution of a window, which is longer by at most one step
	windowTail          = 750 * time.Millisecond // before a window; covers the age of a box's report and of the credit that it reports
	expiryPeriod        = 200 * time.Millisecond // resolution of the units that leave a window
	handoverPeriod      = time.Second            // the same in reports to a box of the same region
	expiryPeriods       = 4                      // that a region reports; they cover the age of a report
)

// Limit is the quota of an organisation over all boxes.
type Limit struct {
	Units  float64 // admitted in a window
	Window time.Duration
}

// PerSecond returns the sustained rate of the quota.
func (t Limit) PerSecond() float64 {
	if t.Window <= 0 {
		return 0
	}
	return t.Units / t.Window.Seconds()
}

// Usage is the demand of a region's callers for an organisation's quota, and the units granted.
type Usage struct {
	Demand  float64 `json:"demand"`  // units per second
	Granted float64 `json:"granted"` // units in the last window

	// Expiring holds the units of Granted that leave the window in each period from now.
	Expiring []float64 `json:"expiring,omitempty"`

	// Recorded is the fraction of the last window of which Granted is known, for a box of the same region.
	Recorded float64 `json:"recorded,omitempty"`
}

// grantedAfter returns the units of Granted that are still in the window at an age of the report.
func (u Usage) grantedAfter(age, period time.Duration) float64 {
	out := u.Granted
	for i, units := range u.Expiring {
		passed := age - time.Duration(i)*period
		out -= units * min(max(passed.Seconds()/period.Seconds(), 0), 1)
	}
	return out
}

// Cost returns the units that a request takes; tokens is 0 if their number is unknown.
func Cost(q catalog.Quota, tokens int) float64 {
	switch {
	case q.Unit != catalog.Tokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return q.DefaultTokens
}

// CreditRequest is a box's request to an allocator for credit of an organisation.
type CreditRequest struct {
	Organisation string  `json:"org"`
	Need         float64 `json:"need,omitempty"`  // units that a waiting request lacks
	Prefetch     float64 `json:"ahead,omitempty"` // units that the box expects to need soon
	Demand       float64 `json:"asked,omitempty"` // units that callers requested since the last CreditRequest
	Used         float64 `json:"used,omitempty"`  // units that the box admitted in the last window
}

// Requester is a box that sends requests to an allocator.
type Requester struct {
	Box    string        `json:"box"`
	Uptime time.Duration `json:"up"` // time since its start, for which its usage is recorded
}

// Grant is an allocator's response to a CreditRequest.
type Grant struct {
	Organisation     string         `json:"org"`
	Units            float64        `json:"units,omitempty"`
	CallerRetryAfter catalog.Millis `json:"wait_ms,omitempty"`  // until a refused caller should retry; 0 if the need is met
	RetryAfter       catalog.Millis `json:"again_ms,omitempty"` // until the box may send another request
}
