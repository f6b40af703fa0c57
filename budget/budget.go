// Package budget limits the retries of each service without coordination between the
// boxes. Over all boxes and in every sliding window of length W
//
//	retries <= Ratio x requests + Allowance
//
// holds, also while boxes crash, restart without state, freeze or are partitioned.
//
// # The rule for each box
//
// A box allows a retry at time t if for every start s in the last window its own
// counts satisfy
//
//	retries in (s, t] <= a x requests in (s, t] + e(t)
//	a    = 0.85 x Ratio
//	e(t) = 0.5 x Allowance / d x min(1, t / W')
//	W'   = 1.1 x W
//
// where t is the age of the process and d the number of boxes, plus one if there
// are two or more. The spans shorter than a window are needed since requests leave
// the window before the retries that they allowed: after 1000 requests at second 0
// and 170 retries at second 9, the window from second 10 on holds retries only.
//
// # Why the bound holds
//
// Consider a window (s, s+W] and one box that restarts any number of times within it.
// Let t be the time of the last retry of one of its processes. The rule held at t for
// the span that begins at s or at the start of the process, so each process satisfies
//
//	retries <= a x its requests in the window + e(its age at t)
//
// For the process that runs at s, e <= E = 0.5 x Allowance / d. The ages of the later
// processes add up to at most W, so their e add up to at most E x W/W' < E. Each box
// exceeds its requests by less than 2E. With N boxes, d >= N if the number of boxes
// passed in is at least N-1 (at least N for N <= 2):
//
//	sum <= a x requests + N x 2E <= 0.85 x Ratio x requests + Allowance
//
// The rule depends only on the order of a box's own events, so a frozen process or a
// stopped clock makes it stricter. The unused 15% of the ratio and 10% of the window
// cover clock drift and the delay between Take and the send; after a longer delay the
// caller must call Take again.
//
// Times are read from the monotonic clock since the start of the process. A Budget is
// not safe for concurrent use.
package budget

import "time"

const (
	ratioFraction      = 0.85 // of the ratio that a box uses; the rest covers requests that leave the window while a retry is sent
	allowanceFraction  = 0.5  // of Allowance that all running processes hold; the rest is for those that restart in the window
	windowSlackDivisor = 10   // lengthens the window by a tenth for clock drift and delays
	minBoxesForMargin  = 2    // from which one more is assumed, as a new box may not be listed yet
	sweepThreshold     = 1024 // services from which idle ones are removed; a service takes about 3 KB at a window of 10 s
)

// Limit is the limit for all boxes together.
type Limit struct {
	Ratio     float64       // retries per request, for example 0.2
	Window    time.Duration // length of the sliding window
	Allowance int           // retries in a window beyond the ratio
}

func (t Limit) span() time.Duration {
	return t.Window + t.Window/windowSlackDivisor
}

// Budget counts the requests and retries of one box.
type Budget struct {
	terms    Limit
	services map[string]*counts
	latest   time.Duration
}

// New returns a budget with a limit.
func New(terms Limit) *Budget {
	return &Budget{
		terms:    terms,
		services: make(map[string]*counts),
	}
}

// SetLimit replaces the limit, for windows that begin after it, and keeps the counts.
func (b *Budget) SetLimit(terms Limit) {
	b.terms = terms
	for _, c := range b.services {
		c.resize(bucketsFor(terms.span()))
	}
}

// Request counts the first attempt of a caller's request to service.
func (b *Budget) Request(service string, now time.Duration) {
	now = b.advance(now)
	b.counts(service).bucketAt(bucketOf(now)).requests++
}

// Take reports whether a retry of service is allowed, and counts it if so. The number
// of boxes includes this one and all that may have sent in the last window, also
// those that are unreachable.
func (b *Budget) Take(service string, boxes int, now time.Duration) bool {
	if b.Remaining(service, boxes, now) < 1 {
		return false
	}
	b.counts(service).bucketAt(bucketOf(b.latest)).retries++
	return true
}

// Return takes back a retry of service that Take counted at a time or soon after it, and that is not
// sent. The counts are then at least those of a box that never took it.
func (b *Budget) Return(service string, taken time.Duration) {
	c := b.services[service]
	if c == nil {
		return
	}
	last := bucketOf(b.latest)
	for index := max(bucketOf(taken), last-int64(len(c.ring))+1, 0); index <= last; index++ {
		if s := c.slot(index); s.index == index && s.retries > 0 {
			s.retries--
			return
		}
	}
}

// Remaining returns the number of retries of service that Take would allow now, including
// the fraction of a further one. It takes the same number of boxes as Take.
func (b *Budget) Remaining(service string, boxes int, now time.Duration) float64 {
	now = b.advance(now)
	allowance := b.allowance(boxes, now)
	c := b.services[service]
	if c == nil {
		return allowance
	}
	return max(0, c.remaining(ratioFraction*b.terms.Ratio, allowance, bucketOf(now)))
}

// allowance returns this box's allocation of Allowance at the age now.
func (b *Budget) allowance(boxes int, now time.Duration) float64 {
	divisor := max(boxes, 1)
	if divisor >= minBoxesForMargin {
		divisor++
	}
	allocation := allowanceFraction * float64(b.terms.Allowance) / float64(divisor)
	span := b.terms.span()
	if now >= span {
		return allocation
	}
	return allocation * float64(now) / float64(span)
}

// advance returns the later of now and the latest time seen, so that an event is never
// counted in a bucket that has been reused.
func (b *Budget) advance(now time.Duration) time.Duration {
	b.latest = max(b.latest, now)
	return b.latest
}

func (b *Budget) counts(service string) *counts {
	c := b.services[service]
	if c != nil {
		return c
	}
	if len(b.services) >= sweepThreshold {
		b.sweep()
	}
	c = newCounts(bucketsFor(b.terms.span()))
	b.services[service] = c
	return c
}

// sweep removes the services without an event in the last window.
func (b *Budget) sweep() {
	current := bucketOf(b.latest)
	for name, c := range b.services {
		if c.idle(current) {
			delete(b.services, name)
		}
	}
}
