package quota

import (
	"math"
	"sync"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/decay"
)

// Allocator grants boxes credit of the quotas. It is safe for concurrent use.
type Allocator struct {
	mu          sync.Mutex
	lastRequest time.Duration
	boxes       map[string]boxRecord
	balances    map[string]*balance
}

type boxRecord struct {
	lastSeen time.Duration
	uptime   time.Duration // at its last request
}

// report is the usage that a box reported for the last window.
type report struct {
	receivedAt time.Duration
	units      float64
}

type balance struct {
	granted      window
	reports      map[string]report
	demand       decay.Count
	sharedDemand float64 // units per second that other regions received; -1 before the first report
	round        int     // of reports between regions
	remaining    float64 // units that may be granted in that round
	units        float64 // of the quota, as of remaining
	share        Share   // at the start of that round
	usedBefore   float64 // units of all reachable regions in the window, at the start of that round
}

// NewAllocator returns an allocator without records of boxes.
func NewAllocator() *Allocator {
	return &Allocator{
		boxes:    make(map[string]boxRecord),
		balances: make(map[string]*balance),
	}
}

// GrantParams holds the parameters of a call of Grant.
type GrantParams struct {
	Terms         func(organisation string) (Limit, bool) // false for an organisation without a quota
	Shares        *RegionShares
	BoxesInRegion int            // boxes of the region that may send requests to any allocator
	Random        func() float64 // returns a random number in [0, 1)
}

// Grant responds to the requests of a box.
func (b *Allocator) Grant(from Requester, asks []CreditRequest, r GrantParams, now time.Duration) []Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordBox(from, now)
	boxFraction := min(1, float64(len(b.boxes))/float64(max(r.BoxesInRegion, 1)))
	out := make([]Grant, 0, len(asks))
	for _, a := range asks {
		terms, ok := r.Terms(a.Organisation)
		if !ok {
			continue
		}
		bal := b.balance(a.Organisation, terms)
		bal.demand.Add(a.Demand, now, demandHalfLife)
		share := r.Shares.Of(a.Organisation, terms.PerSecond(), bal.reported(now), now)
		bal.report(from.Box, a.Used, terms, now)
		bal.startRound(terms, share, r.Shares, now)
		free := min(bal.remaining, terms.Units*boxFraction*share.Of*b.reported(terms)-bal.used(now))
		out = append(out, bal.grant(a, free, terms.PerSecond()*boxFraction*share.Of, len(b.boxes), r.Random(), now))
	}
	return out
}

// reported returns the fraction of a window for which usage is reported, averaged over the boxes.
func (b *Allocator) reported(t Limit) float64 {
	sum := time.Duration(0)
	for _, box := range b.boxes {
		sum += min(box.uptime, t.Window)
	}
	return float64(sum) / float64(t.Window) / float64(len(b.boxes))
}

// recordBox records a request of a box. If none came for boxTimeout, other boxes were allocators
// meanwhile and the balances are out of date.
func (b *Allocator) recordBox(from Requester, now time.Duration) {
	if now-b.lastRequest > boxTimeout {
		clear(b.balances)
	}
	b.lastRequest = now
	b.boxes[from.Box] = boxRecord{
		lastSeen: now,
		uptime:   from.Uptime,
	}
	for name, box := range b.boxes {
		if now-box.lastSeen > boxTimeout {
			delete(b.boxes, name)
		}
	}
}

func (b *Allocator) balance(organisation string, t Limit) *balance {
	bal, ok := b.balances[organisation]
	if !ok {
		bal = &balance{
			granted:      newWindow(t.Window),
			reports:      make(map[string]report),
			sharedDemand: -1,
			round:        -1,
		}
		b.balances[organisation] = bal
	}
	return bal
}

// Usage returns the usage of each organisation's quota in this region, which other regions
// receive.
func (b *Allocator) Usage(now time.Duration) map[string]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]Usage, len(b.balances))
	for name, bal := range b.balances {
		bal.sharedDemand = math.Round(bal.perSecond(now))
		u := Usage{
			Demand:  bal.sharedDemand,
			Granted: math.Round(bal.used(now)),
		}
		if u != (Usage{}) {
			out[name] = u
		}
	}
	return out
}

func (b *balance) perSecond(now time.Duration) float64 {
	return perSecond(&b.demand, now)
}

// reported returns the demand that other regions received, from which they compute the shares.
func (b *balance) reported(now time.Duration) float64 {
	if b.sharedDemand < 0 {
		return b.perSecond(now)
	}
	return b.sharedDemand
}

// report records a box's usage, which counts for a window even if the box sends no more requests.
func (b *balance) report(box string, units float64, t Limit, now time.Duration) {
	b.reports[box] = report{
		receivedAt: now,
		units:      units,
	}
	for name, r := range b.reports {
		if now-r.receivedAt > t.Window || r.units == 0 {
			delete(b.reports, name)
		}
	}
}

func (b *balance) reportedUnits() (sum float64) {
	for _, r := range b.reports {
		sum += r.units
	}
	return sum
}

// used returns the units used in the last window. Boxes may report more than this allocator granted,
// since a previous one did or they were partitioned.
func (b *balance) used(now time.Duration) float64 {
	return max(b.granted.used(now), b.reportedUnits())
}

// startRound computes, once per round of reports between regions, the units that may be granted in
// it: this region's share of what the reachable regions have left. A quota that changes within the
// round changes them.
func (b *balance) startRound(t Limit, share Share, shares *RegionShares, now time.Duration) {
	if round := shares.Round(); b.round != round {
		b.round = round
		b.share = share
		b.usedBefore = b.used(now) + share.Granted
		b.remaining = math.Inf(1)
		if share.Reachable > 0 {
			b.remaining = b.roundUnits(t.Units)
		}
	} else if b.units != t.Units {
		b.remaining += b.roundUnits(t.Units) - b.roundUnits(b.units)
	}
	b.units = t.Units
}

// roundUnits returns the units that may be granted in the round under a quota.
func (b *balance) roundUnits(quota float64) float64 {
	return b.share.OfReachable * max(0, quota*b.share.ReachableFraction-b.usedBefore)
}

// grant responds to an ask of one of the given number of boxes. Its need is met in full unless free,
// the units that may be granted, is negative: a long request may need more than the allocation.
func (b *balance) grant(ask CreditRequest, free, perSecond float64, boxes int, draw float64, now time.Duration) Grant {
	out := Grant{
		Organisation: ask.Organisation,
	}
	if free < 0 {
		if ask.Need > 0 {
			out.CallerRetryAfter = millis(b.callerWait(perSecond, draw, now))
			out.RetryAfter = millis(retryInterval)
		}
		return out
	}
	out.Units = ask.Need
	fair := maxPrefetchFactor * perSecond * prefetchWindow.Seconds() / float64(boxes)
	if ahead := min(ask.Prefetch, maxPrefetchFraction*(free-ask.Need), fair); ahead > 0 {
		out.Units += ahead
	}
	b.granted.add(out.Units, now)
	b.remaining -= out.Units
	return out
}

// callerWait returns the time after which a refused caller should retry: that of a random position
// in a queue of the current demand, served at perSecond.
func (b *balance) callerWait(perSecond, draw float64, now time.Duration) time.Duration {
	if perSecond <= 0 {
		return maxWait
	}
	seconds := draw * b.perSecond(now) / perSecond
	return clamp(minWait, time.Duration(seconds*float64(time.Second)), maxWait)
}

func clamp(lower, d, upper time.Duration) time.Duration { return min(max(d, lower), upper) }

func millis(d time.Duration) catalog.Millis { return catalog.Millis(d.Milliseconds()) }
