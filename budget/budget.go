// Package budget limits the repeated sends of each service without shared state
// between the boxes. Over all boxes, every sliding window W holds
//
//	repeats <= Ratio x requests + Extra
//
// although boxes don't tell each other what they spend, and any of them may be
// killed and restart with no memory, be cut off or freeze.
//
// # The rule of one box
//
// A repeat at time t is allowed when, for every start s in the last window, this
// box has
//
//	repeats in (s, t] <= a x requests in (s, t] + e(t)
//	a    = 0.85 x Ratio
//	e(t) = 0.5 x Extra / d x min(1, t / W')
//	W'   = 1.1 x W
//
// with t the age of the process and d the number of boxes, plus one where there
// are two or more. The longest of these spans is the plain count of the last
// window. The shorter ones are needed since requests leave the window before
// the repeats that they paid for: 1000 requests at second 0 and 170 repeats at
// second 9 are within the ratio at second 9, but from second 10 on the window
// holds 170 repeats and no request.
//
// # Why the sum holds
//
// Take any window (s, s+W] and one box, which is killed and restarted m times
// within it. Let t be the time of the last repeat of one of its processes. The
// rule held at t for the span that begins at s or at the start of the process,
// and requests after t only raise the right side. So each process has
//
//	repeats <= a x its requests in the window + e(its age at t)
//
// The process that was alive at s has e <= E = 0.5 x Extra / d. The later ones
// were born within the window, and their ages add up to at most W, so their e
// add up to at most E x W/W' < E. One box spends less than 2E beyond its
// requests, however often it is killed. There are N boxes and d >= N as long as
// the number of boxes passed in is N-1 or more (N or more for N <= 2):
//
//	sum <= a x requests + N x 2E <= 0.85 x Ratio x requests + Extra
//
// The rule looks at the order of a box's own events only, so a frozen process or
// a clock that stands still makes it stricter and never looser. The 15% of the
// ratio and the 10% of the window that are left unused cover differences of
// clocks and the delay between Take and the send. A process that freezes between
// the two for longer than that has to ask again.
//
// Time is the monotonic clock since the start of the process. A Budget belongs
// to one actor: it is not safe for concurrent use.
package budget

import "time"

const (
	// requestShare is the part of the ratio that a box spends. The rest covers
	// requests that are counted but leave the window while a repeat is on its way.
	requestShare = 0.85
	// extraShare is the part of Extra that all boxes together hold at a time. The
	// other half is for the processes that follow them within the same window.
	extraShare = 0.5
	// slackDivisor lengthens the window by a tenth, for clocks and delays.
	slackDivisor = 10
	// minUncertain is the least number of boxes at which one more is assumed: a
	// view of the fleet may lag by one box that has just joined.
	minUncertain = 2
	// sweepAt is the number of services from which idle ones are dropped when a
	// new one comes; a service takes about 3 KB at a window of 10 s.
	sweepAt = 1024
)

// Terms is the bound for all boxes together.
type Terms struct {
	// Ratio is the number of repeats for each request, for example 0.2.
	Ratio float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Extra is the number of repeats in a window beyond the ratio.
	Extra int
}

// span is the window with its slack for clocks and delays.
func (t Terms) span() time.Duration {
	return t.Window + t.Window/slackDivisor
}

// Budget counts the requests and repeats of one box.
type Budget struct {
	terms    Terms
	services map[string]*counts
	latest   time.Duration
}

// New returns a budget under terms.
func New(terms Terms) *Budget {
	return &Budget{
		terms:    terms,
		services: make(map[string]*counts),
	}
}

// SetTerms replaces the terms and keeps the counts. The new bound holds for
// windows that begin after the change.
func (b *Budget) SetTerms(terms Terms) {
	b.terms = terms
	for _, c := range b.services {
		c.resize(bucketsFor(terms.span()))
	}
}

// Request counts a first send of service on behalf of a caller.
func (b *Budget) Request(service string, now time.Duration) {
	now = b.advance(now)
	b.counts(service).at(bucketOf(now)).requests++
}

// Take asks for one repeat of service and reports whether it is allowed; if so it
// is counted as spent. Boxes is the number of boxes that may have sent in the
// last window, this one included: one that can't be reached still counts.
func (b *Budget) Take(service string, boxes int, now time.Duration) bool {
	if b.Left(service, boxes, now) < 1 {
		return false
	}
	b.counts(service).at(bucketOf(b.latest)).repeats++
	return true
}

// Left returns how many repeats of service Take would allow at once, with the
// fraction that is not yet a whole one. Boxes is as for Take.
func (b *Budget) Left(service string, boxes int, now time.Duration) float64 {
	now = b.advance(now)
	extra := b.extra(boxes, now)
	c := b.services[service]
	if c == nil {
		return extra
	}
	return max(0, c.left(requestShare*b.terms.Ratio, extra, bucketOf(now)))
}

// extra is this box's part of Extra at the age now.
func (b *Budget) extra(boxes int, now time.Duration) float64 {
	divisor := max(boxes, 1)
	if divisor >= minUncertain {
		divisor++
	}
	part := extraShare * float64(b.terms.Extra) / float64(divisor)
	span := b.terms.span()
	if now >= span {
		return part
	}
	return part * float64(now) / float64(span)
}

// advance returns now, or the latest time seen where now is before it, so that
// an event never lands in a bucket that has been reused.
func (b *Budget) advance(now time.Duration) time.Duration {
	b.latest = max(b.latest, now)
	return b.latest
}

// counts returns the counts of service and makes them where there are none.
func (b *Budget) counts(service string) *counts {
	c := b.services[service]
	if c != nil {
		return c
	}
	if len(b.services) >= sweepAt {
		b.sweep()
	}
	c = newCounts(bucketsFor(b.terms.span()))
	b.services[service] = c
	return c
}

// sweep drops the services without an event in the last window; their counts
// don't differ from new ones.
func (b *Budget) sweep() {
	current := bucketOf(b.latest)
	for name, c := range b.services {
		if c.idle(current) {
			delete(b.services, name)
		}
	}
}
