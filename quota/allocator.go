package quota

import (
	"maps"
	"math"
	"slices"
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
	complete    bool // no box has a time without a record
	balances    map[string]*balance
}

type boxRecord struct {
	lastSeen   time.Duration
	unrecorded []span // times in which previous processes of the box may have used units that nobody reported
}

// span is a time from start to end.
type span struct {
	start, end time.Duration
}

// overlap returns the time that two spans have in common.
func (s span) overlap(t span) time.Duration { return max(0, min(s.end, t.end)-max(s.start, t.start)) }

// report is the usage that a box reported for the last window.
type report struct {
	receivedAt time.Duration
	units      float64
}

// unitsAt returns the units of a report that count at now. It is unknown when they leave the window: they
// count in full for half of it, as if they were used in its later half, and ever less in the rest.
func (r report) unitsAt(now, window time.Duration) float64 {
	left := 1 - (now-r.receivedAt).Seconds()/window.Seconds()
	return r.units * min(1, max(0, 2*left))
}

// handover is the usage that another allocator of the region reported.
type handover struct {
	receivedAt time.Duration
	usage      Usage
}

// unitsAt returns the units of a handover that are still in the window at now.
func (h handover) unitsAt(now, window time.Duration) float64 {
	if now-h.receivedAt > window {
		return 0
	}
	return h.usage.grantedAfter(now-h.receivedAt, handoverPeriod)
}

type balance struct {
	window       time.Duration
	granted      window
	reports      map[string]report
	inherited    handover // of the previous allocator of the region
	grantedSince float64  // units granted since then
	demand       decay.Count
	sharedDemand float64 // units per second that other regions received; -1 before the first report
	round        int     // of reports between regions
	roundGranted float64 // units granted in that round
	allocated    float64 // units that the region may use in a window
	boxFraction  float64 // of the region's boxes, which send requests to this allocator
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
	boxes := b.activeBoxes(now)
	boxFraction := min(1, float64(boxes)/float64(max(r.BoxesInRegion, 1)))
	out := make([]Grant, 0, len(asks))
	for _, a := range asks {
		terms, ok := r.Terms(a.Organisation)
		if !ok {
			continue
		}
		bal := b.balance(a.Organisation, terms, r.Shares, now)
		bal.demand.Add(a.Demand, now, demandHalfLife)
		share := r.Shares.Of(a.Organisation, terms, bal.reported(now), now)
		bal.report(from.Box, a.Used, now)
		bal.allocated = terms.Units * share.Of
		bal.boxFraction = boxFraction
		reserved := b.reserved(bal, now)
		remaining := bal.remaining(terms, share, r.Shares, reserved, now)
		free := remaining
		if share.Reachable < r.Shares.Others() || share.Reachable == 0 {
			free = min(remaining, bal.allocated-reserved-bal.used(now))
		}
		out = append(out, bal.grant(a, free, terms.PerSecond()*boxFraction*share.Of, boxes, r.Random(), now))
	}
	return out
}

// reserved returns the units of the region's allocation that boxes may use which send no requests to this
// allocator, or may have used without a record. What such boxes reported before counts as used already.
func (b *Allocator) reserved(bal *balance, now time.Duration) float64 {
	if b.complete && bal.boxFraction == 1 {
		return 0
	}
	out := bal.allocated * (1 - bal.boxFraction*b.recorded(bal, now))
	for name, r := range bal.reports {
		if box, ok := b.boxes[name]; ok && !box.active(now) {
			out -= r.units * max(0, 1-(now-r.receivedAt).Seconds()/bal.window.Seconds())
		}
	}
	return max(out, 0)
}

// recorded returns the fraction of the last window for which usage is recorded, averaged over the boxes.
func (b *Allocator) recorded(bal *balance, now time.Duration) float64 {
	if b.complete {
		return 1
	}
	before := span{
		start: now - bal.window,
		end:   max(now-bal.window, bal.inherited.receivedAt),
	}
	since := span{
		start: before.end,
		end:   now,
	}
	sum, boxes := 0.0, 0
	for _, box := range b.boxes {
		if !box.active(now) {
			continue
		}
		missing, inherited := 0.0, 0.0
		for _, s := range box.unrecorded {
			missing += s.overlap(since).Seconds()
			inherited += s.overlap(before).Seconds()
		}
		missing += min(inherited, (before.end-before.start).Seconds()*(1-bal.inherited.usage.Recorded))
		sum += 1 - missing/bal.window.Seconds()
		boxes++
	}
	return sum / float64(max(boxes, 1))
}

func (r boxRecord) active(now time.Duration) bool { return now-r.lastSeen <= boxTimeout }

// activeBoxes returns the number of boxes that send requests.
func (b *Allocator) activeBoxes(now time.Duration) (out int) {
	for _, box := range b.boxes {
		if box.active(now) {
			out++
		}
	}
	return out
}

// recordBox records a request of a box. If none came for boxTimeout, other boxes were allocators
// meanwhile and the records are out of date. What a process of a box used is unknown from the last
// request of that process until the start of the next one.
func (b *Allocator) recordBox(from Requester, now time.Duration) {
	if !b.active(now) {
		clear(b.balances)
		clear(b.boxes)
	}
	b.lastRequest = now
	r, known := b.boxes[from.Box]
	started := now - from.Uptime
	switch {
	case !known:
		r.unrecorded = []span{{
			start: math.MinInt64 / 2,
			end:   started,
		}}
	case started > r.lastSeen:
		r.unrecorded = append(r.unrecorded, span{
			start: r.lastSeen,
			end:   started,
		})
		for _, bal := range b.balances {
			bal.endProcess(from.Box)
		}
	}
	r.lastSeen = now
	r.unrecorded = slices.DeleteFunc(r.unrecorded, func(s span) bool { return now-s.end > recordTTL })
	b.boxes[from.Box] = r
	maps.DeleteFunc(b.boxes, func(_ string, r boxRecord) bool { return now-r.lastSeen > recordTTL })
	b.complete = true
	for _, r := range b.boxes {
		b.complete = b.complete && len(r.unrecorded) == 0
	}
}

// balance returns the balance of an organisation. That of a new one begins with what the previous
// allocator of the region reported.
func (b *Allocator) balance(organisation string, t Limit, shares *RegionShares, now time.Duration) *balance {
	previous := shares.handover(organisation, now)
	bal, ok := b.balances[organisation]
	if !ok {
		bal = &balance{
			window:       t.Window,
			granted:      newWindow(t.Window),
			reports:      make(map[string]report),
			inherited:    previous,
			boxFraction:  1,
			sharedDemand: -1,
			round:        -1,
		}
		bal.demand.Add(previous.usage.Demand*demandHalfLife.Seconds()/math.Ln2, now, demandHalfLife)
		b.balances[organisation] = bal
	}
	if previous.unitsAt(now, t.Window) > bal.inherited.unitsAt(now, t.Window) {
		bal.inherited = previous
		bal.grantedSince = 0
	}
	return bal
}

// Usage returns the usage of each organisation's quota in this region, which other regions
// receive; nil if no box sends it requests. Units that are reserved count as granted.
func (b *Allocator) Usage(now time.Duration) map[string]Usage {
	return b.usage(now, func(bal *balance) Usage {
		reserved := b.reserved(bal, now)
		u := Usage{
			Granted:  math.Round(bal.used(now) + reserved),
			Expiring: bal.granted.expiring(now, expiryPeriod, expiryPeriods),
		}
		for i := range u.Expiring {
			next := b.reserved(bal, now+time.Duration(i+1)*expiryPeriod)
			u.Expiring[i] = math.Round(u.Expiring[i] + reserved - next)
			reserved = next
		}
		return u
	})
}

// Handover returns the same for another box of the region, which may become its allocator.
func (b *Allocator) Handover(now time.Duration) map[string]Usage {
	return b.usage(now, func(bal *balance) Usage {
		u := Usage{
			Granted:  math.Round(bal.used(now)),
			Expiring: bal.granted.expiring(now, handoverPeriod, int(bal.window/handoverPeriod)),
			Recorded: math.Floor(100*b.recorded(bal, now)) / 100,
		}
		for i := range u.Expiring {
			u.Expiring[i] = math.Round(u.Expiring[i])
		}
		return u
	})
}

// Active reports whether boxes send requests to this allocator.
func (b *Allocator) Active(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.active(now)
}

func (b *Allocator) active(now time.Duration) bool { return now-b.lastRequest <= boxTimeout }

func (b *Allocator) usage(now time.Duration, granted func(bal *balance) Usage) map[string]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.active(now) {
		return nil
	}
	out := make(map[string]Usage, len(b.balances))
	for name, bal := range b.balances {
		bal.sharedDemand = math.Round(bal.regionDemand(now))
		u := granted(bal)
		u.Demand = bal.sharedDemand
		if u.Demand > 0 || u.Granted > 0 {
			out[name] = u
		}
	}
	return out
}

func (b *balance) perSecond(now time.Duration) float64 {
	return perSecond(&b.demand, now)
}

// regionDemand returns the demand of the region's callers. Boxes that send no requests to this allocator
// are assumed to receive as much of it as the others.
func (b *balance) regionDemand(now time.Duration) float64 {
	return b.perSecond(now) / max(b.boxFraction, minBoxFraction)
}

// reported returns the demand that other regions received, from which they compute the shares.
func (b *balance) reported(now time.Duration) float64 {
	if b.sharedDemand < 0 {
		return b.regionDemand(now)
	}
	return b.sharedDemand
}

// report records a box's usage, which counts for a window even if the box sends no more requests.
func (b *balance) report(box string, units float64, now time.Duration) {
	b.reports[box] = report{
		receivedAt: now,
		units:      units,
	}
	for name, r := range b.reports {
		if now-r.receivedAt > b.window || r.units == 0 {
			delete(b.reports, name)
		}
	}
}

// endProcess keeps the last report of a box beside those of its next process.
func (b *balance) endProcess(box string) {
	if r, ok := b.reports[box]; ok {
		b.reports[box+" before"] = r
	}
}

func (b *balance) reportedUnits(now time.Duration) (sum float64) {
	for _, r := range b.reports {
		sum += r.unitsAt(now, b.window)
	}
	return sum
}

// used returns the units used in the last window. Boxes may report more than this allocator granted,
// since a previous one did or they were partitioned.
func (b *balance) used(now time.Duration) float64 {
	own := b.granted.used(now) + max(0, b.reportedUnits(now)-b.granted.usedWithTail(now))
	if inherited := b.inherited.unitsAt(now, b.window); inherited > 0 {
		return max(own, inherited*b.boxFraction+b.grantedSince)
	}
	return own
}

// remaining returns the units that may be granted until the next round of reports between regions:
// this region's share of what the reachable regions have left, including what has left their
// windows since their reports.
func (b *balance) remaining(t Limit, share Share, shares *RegionShares, reserved float64, now time.Duration) float64 {
	if round := shares.Round(); b.round != round {
		b.round = round
		b.roundGranted = 0
	}
	if share.Reachable == 0 {
		return math.Inf(1)
	}
	left := t.Units*share.ReachableFraction - (b.used(now) - b.roundGranted) - reserved - share.Granted
	return share.OfReachable*left - b.roundGranted
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
	b.roundGranted += out.Units
	b.grantedSince += out.Units
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
