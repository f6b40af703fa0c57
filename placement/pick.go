package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/pacing"
	"github.com/havenrudder/havenrudder/speed"
)

// Parameters of the cost of a replica.
const (
	prefillSpeed           = 36.0                    // prompt tokens that an engine prefills per millisecond, until learned
	firstEventTime         = 12 * time.Millisecond   // until the first event of an idle engine, without prefill, until learned
	stepMsPerKilotoken     = 0.12                    // additional milliseconds per event and 1,000 tokens in memory
	failureCost            = 1200 * time.Millisecond // of a replica that fails every request
	expectedCachedShare    = 0.9                     // share of missing segments that are expected to be cached for other boxes; where none has it cached, it costs the same anywhere
	rereadFactor           = 2.5                     // cost of prefilling a shared segment, as a multiple of its duration; other requests wait meanwhile
	crossDomainCost        = 3 * time.Millisecond    // traffic between failure domains is charged
	meanAnswerShare        = 0.6                     // mean share of the answer's tokens that a running request holds in memory
	costTolerance          = 500 * time.Microsecond  // costs that differ by less are equal
	maxPrefillInterference = 400.0                   // thousandths of a stream's value lost at an engine that is always prefilling
	interferenceTime       = 300 * time.Microsecond  // cost per thousandth of another request's value
	defaultAnswerTokens    = 100                     // if the request gives no length
)

// Reason is why a replica was not chosen, or why none was.
type Reason string

// Reasons.
const (
	None        Reason = ""
	Unlisted    Reason = "not listed"
	Leaving     Reason = "leaving"
	Unconfirmed Reason = "may be gone"
	Evacuated   Reason = "failure domain closed"
	Tried       Reason = "tried before"
	OtherBuild  Reason = "other software version"
	Ejected     Reason = "out of reach"
	RateLimited Reason = "cold, paced"
	Limited     Reason = "limited by the replica"
	Deferring   Reason = "replica defers requests"
	Full        Reason = "full"
	NoReplica   Reason = "no replica"
	NoBuild     Reason = "no replica with the software version of the stream"
)

// Choice is the outcome of a decision. If Reason isn't None, there is no replica, and Wait
// is the time until there may be one.
type Choice struct {
	Incarnation   string // its incarnation
	ID            string // id that the replica answers to
	Build         string // version of its software
	Addr          string
	Reason        Reason
	Wait          time.Duration
	Blocked       string        // replica that may be free after Wait; empty for none
	Busy          bool          // a usable replica only lacks free capacity
	Pause         time.Duration // until this box may send again after a rejection by a busy replica; 0 if not known
	Recovering    bool          // a replica that is ejected, or whose removal is unconfirmed, may be usable soon
	Expect        time.Duration // until the first byte
	Missing       int           // shared tokens to prefill
	Load          Load          // load of the replica before this request
	PrefillTokens int           // prompt tokens that the request adds to it
	SharingBoxes  int           // boxes that share its rate limit while it is cold; 0 for any other
	Limit         RateLimit     // that the replica names
	Speed         speed.State   // of the replica

	CopyFrom string // address of a replica to copy missing segments from; empty for none

	reservation reservation
}

// reservation is the load that a choice adds to a replica.
type reservation struct {
	at      time.Duration // when Pick made the choice
	load    Load
	work    work
	replica *Replica // nil once released
	loan    pacing.Loan
	expect  time.Duration // estimate of the time in a slot, without its correction
	arrived bool          // the replica has received the request, or never will
	running *inFlight     // of the service
	level   int           // of running
}

// candidate is a replica with its estimated cost.
type candidate struct {
	r           *Replica
	cost        time.Duration // own time of the request, relative to the mean speed of the service, and its interference cost
	expect      time.Duration // until the first byte
	missing     int           // shared tokens to prefill
	unsent      int           // shared tokens that no box is recorded to have sent there
	isPreferred bool          // it is the preferred replica of the shared segments
	source      *Replica      // where to copy missing segments from; nil if they are prefilled
	load        Load          // before the request
	work        work
	speed       speed.State
}

// Pick chooses the replica with the lowest cost and reserves capacity for the request. The
// boxes are those of the region that may be alive, including this one.
func (v *View) Pick(req Request, boxes []string, now time.Duration) Choice {
	best, none := v.best(req, boxes, now)
	if best.r == nil {
		return none
	}
	if wait, reached := v.reachedBound(req, now); reached {
		return Choice{
			Reason: Full,
			Busy:   true, // until a request of this box ends or its share rises
			Pause:  wait,
		}
	}
	if !v.pacer.Take(best.r.info.ID, boxes, now) {
		return Choice{
			Reason: RateLimited,
			Wait:   v.pacer.NextAllowed(best.r.info.ID, boxes, now) - now,
		}
	}
	loan, ok := v.limiter.Take(best.r.incarnation, boxes, now)
	if !ok {
		return Choice{
			Reason:  Limited,
			Wait:    v.limiter.NextAllowed(best.r.incarnation, boxes, now) - now,
			Blocked: best.r.incarnation,
		}
	}
	sharers := 0
	if v.pacer.IsCold(best.r.info.ID, now) {
		sharers = len(boxes)
	}
	g := reservation{
		at:      now,
		replica: best.r,
		loan:    loan,
		expect:  uncorrectedOccupancy(req),
		load: Load{
			Requests: 1,
		},
		work: best.work,
	}
	if req.Prompt > 0 {
		g.load.Tokens = req.Prompt + int(meanAnswerShare*float64(cmp.Or(req.AnswerTokens, defaultAnswerTokens)))
		g.load.PendingPrefill = best.missing + req.UniqueTokens()
		v.recordUse(best, req, now)
		best.r.recordPrefill(g.load.PendingPrefill, now)
		u := v.typicalLoad[req.Service]
		u.add(g.load)
		v.typicalLoad[req.Service] = u
	}
	best.r.recordSent(g.load, now)
	best.r.own = best.r.own.plus(g.load)
	g.running, g.level = v.inFlightOf(req.Service), levelOf(req.Urgency)
	g.running.running[g.level]++
	return Choice{
		Incarnation:   best.r.incarnation,
		ID:            best.r.info.ID,
		Build:         best.r.info.Build,
		Addr:          best.r.info.Addr,
		Expect:        best.expect,
		Missing:       best.missing,
		Load:          best.load,
		PrefillTokens: g.load.PendingPrefill,
		SharingBoxes:  sharers,
		Limit:         best.r.Limit(),
		Speed:         best.speed,

		CopyFrom: best.copyFrom(),

		reservation: g,
	}
}

// Next returns what Pick would choose, without reserving capacity.
func (v *View) Next(req Request, boxes []string, now time.Duration) Choice {
	best, none := v.best(req, boxes, now)
	if best.r == nil {
		return none
	}
	return Choice{
		Incarnation: best.r.incarnation, // Request.Tried holds incarnations
		ID:          best.r.info.ID,
		Build:       best.r.info.Build,
		Addr:        best.r.info.Addr,
		Expect:      best.expect,

		reservation: reservation{
			replica: best.r, // without load, so that End can record a failed connection
			arrived: true,   // there is no request to count
		},
	}
}

// best returns the usable replica with the lowest cost. If there is none, the second result
// holds the reason and the time until there may be one.
func (v *View) best(req Request, boxes []string, now time.Duration) (best candidate, none Choice) {
	preferred := v.preferred(req, now)
	cacheHolder := v.cacheHolder(req, preferred, now)
	typical := v.meanDuration(req.Service)
	list := v.compared(req, now)
	best, none = v.bestAmong(list, req, preferred, cacheHolder, typical, boxes, now)
	if best.r == nil && len(list) < len(v.sorted) {
		return v.bestAmong(v.sorted, req, preferred, cacheHolder, typical, boxes, now)
	}
	return best, none
}

// bestAmong is best for a list of replicas.
func (v *View) bestAmong(list []*Replica, req Request, preferred, cacheHolder *Replica, typical time.Duration, boxes []string, now time.Duration) (best candidate, none Choice) {
	none.Reason = NoReplica
	f := v.figuresOf(req.Service, now)
	for _, r := range list {
		if r.info.Service != req.Service {
			continue
		}
		w, reason, wait, pause := v.consider(r, req, f, preferred, cacheHolder, typical, boxes, now)
		r.noteOthers(w.load, now)
		none.addPause(pause)
		if reason != None {
			none.addReason(r, reason, wait)
			continue
		}
		if best.r == nil || w.isBetter(best, req) {
			best = w
		}
	}
	if best.r != nil {
		none.Reason = None
	}
	return best, none
}

// consider estimates the cost of a request at a replica, and returns why the replica can't receive it now,
// with the time until it may, and for how long this box pauses after the replica rejected a request.
func (v *View) consider(r *Replica, req Request, f *figures, preferred, cacheHolder *Replica, typical time.Duration, boxes []string, now time.Duration) (w candidate, reason Reason, wait, pause time.Duration) {
	reason = v.unusable(r, req, now)
	if reason == Deferring {
		wait = r.RetryWait(now)
	}
	if reason == None && !v.pacer.Allow(r.info.ID, boxes, now) {
		reason = RateLimited
		wait = v.pacer.NextAllowed(r.info.ID, boxes, now) - now
	}
	if reason == None && !v.limiter.Allow(r.incarnation, boxes, now) {
		reason = Limited
		wait = v.limiter.NextAllowed(r.incarnation, boxes, now) - now
	}
	w = v.evaluate(r, req, f, cacheHolder, r == preferred, typical, now)
	if reason != None {
		return w, reason, wait, 0
	}
	pause, rejects := v.rejectsMore(r, w.load, now)
	if rejects || r.isFull(w.load, req) {
		return w, Full, max(r.queueWait(w.load, typical), pause), pause
	}
	return w, None, 0, 0
}

// isBetter reports whether a candidate is better than another. The request's key breaks
// ties, so that requests are spread.
func (w candidate) isBetter(o candidate, req Request) bool {
	if d := w.cost - o.cost; d > costTolerance || d < -costTolerance {
		return d < 0
	}
	return rendezvous.Score(req.Key, w.r.incarnation) > rendezvous.Score(req.Key, o.r.incarnation)
}

// addPause records that a replica may be sent requests after a pause.
func (c *Choice) addPause(d time.Duration) {
	if d > 0 && (c.Pause == 0 || d < c.Pause) {
		c.Pause = d
	}
}

// addReason records a reason; those with the shortest wait take precedence.
func (c *Choice) addReason(r *Replica, reason Reason, wait time.Duration) {
	c.Busy = c.Busy || reason == Full
	c.Recovering = c.Recovering || reason == Ejected || reason == Unconfirmed
	switch {
	case wait > 0 && (c.Wait == 0 || wait < c.Wait):
		c.Wait = wait
		c.Reason = reason
		c.Blocked = r.incarnation
	case c.Wait == 0:
		c.Reason = reason
	}
}

// unusable returns why a replica may receive no request whatever its load, or None.
func (v *View) unusable(r *Replica, req Request, now time.Duration) Reason {
	switch {
	case !r.listed:
		return Unlisted
	case r.info.Leaving, r.saidLeaving:
		return Leaving
	case r.unconfirmed, r.putOff:
		return Unconfirmed
	case v.evacuated[r.info.Domain]:
		return Evacuated
	case req.Build != 0 && r.info.BuildID() != req.Build:
		return OtherBuild
	case slices.Contains(req.Tried, r.incarnation):
		return Tried
	case r.RetryWait(now) > 0:
		return Deferring
	case r.Ejected(now), r.isUnresponsive(now):
		return Ejected
	}
	return None
}

// Unusable returns why a replica receives no requests whatever its load, or None.
func (v *View) Unusable(r *Replica, now time.Duration) Reason { return v.unusable(r, Request{}, now) }

// HasBuild reports whether a replica with a software version may receive requests now or later.
func (v *View) HasBuild(build catalog.BuildID) bool {
	for _, r := range v.sorted {
		if r.info.BuildID() != build {
			continue
		}
		switch v.unusable(r, Request{}, 0) {
		case Unlisted, Leaving, Evacuated:
		default:
			return true
		}
	}
	return false
}

// Usable returns the incarnations that may receive a request, whatever their load.
func (v *View) Usable(req Request, now time.Duration) (out []string) {
	for r := range v.usableFor(req, now) {
		out = append(out, r.incarnation)
	}
	return out
}

// preferred returns the usable replica with the highest rendezvous score for the request's
// shared segments, nil for none. All boxes of a region compute the same one.
func (v *View) preferred(req Request, now time.Duration) *Replica {
	if len(req.Segments) == 0 {
		return nil
	}
	if best := v.top(req.RoutingKey(), 1, req, now); len(best) > 0 {
		return best[0]
	}
	return nil
}

// evaluate estimates the cost of a request at a replica. f, cacheHolder and typical are results
// of the methods figuresOf, cacheHolder and meanDuration.
func (v *View) evaluate(r *Replica, req Request, f *figures, cacheHolder *Replica, isPreferred bool, typical, now time.Duration) candidate {
	w := candidate{
		r:    r,
		load: v.Load(r, now),
	}
	w.speed = r.speed.At(f.average, now)
	if !r.isEngine() {
		w.work = work{
			own:     f.typical,
			wait:    scale(r.ahead(w.load), f.typical),
			typical: f.typical,
			weight:  1,
		}
		w.expect = scale(w.speed.Ratio, w.work.total())
		w.cost = scale(w.speed.Ratio/f.average, w.work.total())
	} else {
		v.evaluateEngine(&w, req, f, cacheHolder, isPreferred, typical, now)
	}
	w.cost += scale(r.FailureShare(now), failureCost)
	if r.info.Domain != v.domain {
		w.cost += crossDomainCost
	}
	return w
}

// evaluateEngine sets the expected time and the cost at an engine, including the
// interference cost for requests that run there.
func (v *View) evaluateEngine(w *candidate, req Request, f *figures, cacheHolder *Replica, isPreferred bool, typical, now time.Duration) {
	w.missing = v.missing(w.r, req, now)
	w.unsent = w.missing
	w.isPreferred = isPreferred
	place := w.placeCost()
	copyDuration := time.Duration(0)
	switch took, ok := w.r.copyTime(w.missing); {
	case ok && cacheHolder != nil && cacheHolder != w.r:
		copyDuration = took
		w.source = cacheHolder
		w.missing = expectedMissing(v.missing(cacheHolder, req, now))
	case isPreferred && w.missing > 0:
		w.missing = expectedMissing(w.missing)
	}
	prefill := w.missing + req.UniqueTokens()
	w.work = work{
		step:    time.Duration(stepMsPerKilotoken * float64(w.load.Tokens) / 1000 * float64(time.Millisecond)),
		wait:    f.prefillTime(w.load.PendingPrefill) + scale(v.queuedAhead(w.r, w.load, levelOf(req.Urgency)), typical) + copyDuration,
		typical: typical,
		weight:  w.sampleWeight(req),
		prefill: prefill,
	}
	w.work.own = scale(f.firstEvent, firstEventTime) + w.work.step + f.prefillTime(prefill)
	w.expect = scale(w.speed.Ratio, w.work.total())
	interference := req.InterferenceCost(w.missing, w.load.Requests)
	if req.GapTarget > 0 {
		interference += maxPrefillInterference * float64(w.load.PrefillRate) / f.prefillCapacity()
	}
	w.cost = scale(w.speed.Ratio/f.average, w.work.total()) + scale(v.rereadFactor()-1, f.prefillTime(w.missing)) + w.r.preemptionCost(w.load, req) + scale(interference, interferenceTime) + place
}

// expectedMissing estimates how many shared tokens the preferred replica or the cache holder
// lacks, of those that no box is recorded to have sent there.
func expectedMissing(unsent int) int { return int((1 - expectedCachedShare) * float64(unsent)) }

// sampleWeight returns how well the work of a request at an engine is known.
func (w *candidate) sampleWeight(req Request) float64 {
	switch {
	case w.source != nil, w.missing != w.unsent:
		return guessedWeight
	case req.SharedTokens() >= minSegmentTokens && w.missing == 0:
		return cachedWeight
	}
	return 1
}

// PrefillTime returns the time that an engine takes to prefill tokens, before any was measured.
func PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillSpeed * float64(time.Millisecond))
}

func scale(f float64, d time.Duration) time.Duration { return time.Duration(f * float64(d)) }
