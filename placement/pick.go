package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
)

// Figures of what a replica costs. Those of engines come from the sheet of the
// first users' engines; a replica that differs is found by its outcomes.
const (
	prefillSpeed           = 36.0                    // prompt tokens that an engine reads in a millisecond, with steps in between
	firstEventTime         = 12 * time.Millisecond   // until an idle engine's first event, the prompt apart
	stepMsPerKilotoken     = 0.12                    // milliseconds that an event of five tokens takes longer for each 1,000 tokens in memory
	failureCost            = 1200 * time.Millisecond // of a replica that fails every request
	preferredDiscount      = 0.9                     // share of a part's reading time that the first in its rank is favoured by: other boxes send it there, and where none has, it costs the same anywhere
	defaultRereadFactor    = 2.5                     // what reading a shared part costs, in its own time: others wait meanwhile, and reading again has a price; 1.3 served worse on both first sites, 4 no better
	crossDomainCost        = 3 * time.Millisecond    // of going to another failure domain: bytes there have a price
	meanAnswerShare        = 0.6                     // of an answer's tokens that a request holds on average while it runs
	costTolerance          = 500 * time.Microsecond  // costs that differ by less are taken for the same
	maxPrefillInterference = 400.0                   // thousandths that a stream risks at an engine that reads prompts all the time
	interferenceTime       = 300 * time.Microsecond  // that a thousandth of a request's worth may cost another request
	defaultAnswerTokens    = 100                     // tokens of an answer that nothing is known of
)

// Reason says why a replica was not chosen, or why none was.
type Reason string

// Reasons.
const (
	None     Reason = ""
	Unlisted Reason = "not listed"
	Leaving  Reason = "leaving"
	Doubtful Reason = "may be gone"
	Closed   Reason = "failure domain closed"
	Tried    Reason = "tried before"
	Out      Reason = "out of reach"
	Paced    Reason = "cold, paced"
	Full     Reason = "full"
	Nothing  Reason = "no replica"
)

// Choice is the outcome of a decision. When Reason isn't None, there is no
// replica, and Wait says when there may be one.
type Choice struct {
	Replica string // its start
	ID      string // which it answers to
	Addr    string
	Reason  Reason
	Wait    time.Duration
	Expect  time.Duration // until the first byte
	Missing int           // shared tokens to be read
	Load    Load          // work at the replica before
	Reads   int           // prompt tokens that the request adds to it
	Sharers int           // boxes among which its pace is shared while it is cold; 0 for a warm one
	AgeMs   int64         // of the oldest belief about other boxes' work

	CopyFrom string // address of a replica that may keep shared parts which this one lacks; empty for none

	reservation reservation
}

// reservation is what a choice counted in, and where.
type reservation struct {
	at      time.Duration // when the choice was made
	load    Load
	replica *Replica // nil once it is counted out
}

// candidate is a candidate with what decides.
type candidate struct {
	r       *Replica
	cost    time.Duration // of which the least decides: the request's own time and what others lose
	expect  time.Duration // until the first byte
	missing int           // shared tokens to be read
	unsent  int           // shared tokens that no box is known to have sent there
	source  *Replica      // that these are copied from; nil where they are read
	load    Load          // work there before
}

// Pick chooses the replica with the least cost and counts the request in. boxes
// are the boxes of the region that may be alive, this one included.
func (v *View) Pick(req Request, boxes []string, now time.Duration) Choice {
	best, none := v.best(req, boxes, now)
	if best.r == nil {
		return none
	}
	if !v.pacer.Take(best.r.info.ID, boxes, now) {
		return Choice{
			Reason: Paced,
			Wait:   v.pacer.Next(best.r.info.ID, boxes, now) - now,
		}
	}
	sharers := 0
	if v.pacer.IsCold(best.r.info.ID, now) {
		sharers = len(boxes)
	}
	g := reservation{
		at:      now,
		replica: best.r,
		load: Load{
			Requests: 1,
		},
	}
	if req.Prompt > 0 {
		g.load.Tokens = req.Prompt + int(meanAnswerShare*float64(cmp.Or(req.Out, defaultAnswerTokens)))
		g.load.Unread = best.missing + req.Own()
		best.r.recordCached(req.Parts, now)
		best.r.recordSentSegment(req, now)
		best.r.recordPrefill(g.load.Unread, now)
		u := v.typical[req.Service]
		u.add(g.load)
		v.typical[req.Service] = u
	}
	best.r.recordSent(g.load, now)
	best.r.own = best.r.own.plus(g.load)
	return Choice{
		Replica: best.r.incarnation,
		ID:      best.r.info.ID,
		Addr:    best.r.info.Addr,
		Expect:  best.expect,
		Missing: best.missing,
		Load:    best.load,
		Reads:   g.load.Unread,
		Sharers: sharers,

		CopyFrom: best.copyFrom(),

		reservation: g,
	}
}

// Next returns what Pick would choose, without counting the request in.
func (v *View) Next(req Request, boxes []string, now time.Duration) Choice {
	best, none := v.best(req, boxes, now)
	if best.r == nil {
		return none
	}
	return Choice{
		Replica: best.r.incarnation, // as requests name those that they have tried
		ID:      best.r.info.ID,
		Addr:    best.r.info.Addr,
		Expect:  best.expect,

		reservation: reservation{
			replica: best.r, // with no load: End may be told that it took no connection
		},
	}
}

// best returns the usable replica with the least cost. Where there is none, none
// says why, and when there may be one.
func (v *View) best(req Request, boxes []string, now time.Duration) (best candidate, none Choice) {
	preferred := v.preferred(req, now)
	holder := v.cacheHolder(req, preferred, now)
	typical := v.meanDuration(req.Service)
	list := v.candidates(req, now)
	best, none = v.bestAmong(list, req, preferred, holder, typical, boxes, now)
	if best.r == nil && len(list) < len(v.byName) {
		return v.bestAmong(v.byName, req, preferred, holder, typical, boxes, now)
	}
	return best, none
}

// bestAmong is best of some replicas.
func (v *View) bestAmong(list []*Replica, req Request, preferred, holder *Replica, typical time.Duration, boxes []string, now time.Duration) (best candidate, none Choice) {
	none.Reason = Nothing
	for _, r := range list {
		if r.info.Service != req.Service {
			continue
		}
		reason := v.unusable(r, req, now)
		wait := time.Duration(0)
		if reason == None && !v.pacer.Allow(r.info.ID, boxes, now) {
			reason = Paced
			wait = v.pacer.Next(r.info.ID, boxes, now) - now
		}
		w := v.evaluate(r, req, holder, r == preferred, typical, now)
		if reason == None && r.isFull(w.load, req) {
			reason = Full
			wait = r.queueWait(w.load, typical)
		}
		if reason != None {
			none.addReason(reason, wait)
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

// isBetter says whether a candidate is better than another. Of two that are alike
// the request's key decides, so that requests are spread.
func (w candidate) isBetter(o candidate, req Request) bool {
	if d := w.cost - o.cost; d > costTolerance || d < -costTolerance {
		return d < 0
	}
	return rendezvous.Score(req.Key, w.r.incarnation) > rendezvous.Score(req.Key, o.r.incarnation)
}

// addReason keeps the reason that can be waited for in preference to others.
func (c *Choice) addReason(reason Reason, wait time.Duration) {
	switch {
	case wait > 0 && (c.Wait == 0 || wait < c.Wait):
		c.Wait = wait
		c.Reason = reason
	case c.Wait == 0:
		c.Reason = reason
	}
}

// unusable says why a replica may get nothing at all, whatever its load.
func (v *View) unusable(r *Replica, req Request, now time.Duration) Reason {
	switch {
	case !r.listed:
		return Unlisted
	case r.info.Leaving:
		return Leaving
	case r.unconfirmed:
		return Doubtful
	case v.evacuated[r.info.Domain]:
		return Closed
	case slices.Contains(req.Tried, r.incarnation):
		return Tried
	case r.Out(now), r.isUnresponsive(now):
		return Out
	}
	return None
}

// preferred returns the usable replica with the highest weight for the request's
// shared parts, nil for none. Boxes of one region agree on it without talking.
func (v *View) preferred(req Request, now time.Duration) *Replica {
	if len(req.Parts) == 0 {
		return nil
	}
	if best := v.top(req.Subject(), 1, req, now); len(best) > 0 {
		return best[0]
	}
	return nil
}

// evaluate returns what a request would cost at a replica; keeper is the replica that most
// likely keeps the shared parts, first says that this one is the first in their rank,
// usual is the service's usualHold.
func (v *View) evaluate(r *Replica, req Request, holder *Replica, isPreferred bool, typical, now time.Duration) candidate {
	w := candidate{
		r:    r,
		load: v.Load(r, now),
	}
	if r.service == nil || r.service.Engine == nil {
		w.expect = scale(r.Slow(now), r.queueWait(w.load, typical)+cmp.Or(r.duration, typical))
		w.cost = w.expect
	} else {
		v.evaluateEngine(&w, req, holder, isPreferred, typical, now)
	}
	w.cost += scale(r.Failing(now), failureCost)
	if r.info.Domain != v.domain {
		w.cost += crossDomainCost
	}
	return w
}

// evaluateEngine fills in the expected time and the cost at an engine: what the
// request waits for, and what it costs the requests that run there.
func (v *View) evaluateEngine(w *candidate, req Request, holder *Replica, isPreferred bool, typical, now time.Duration) {
	w.missing = w.r.missing(req, now)
	w.unsent = w.missing
	copyTime := time.Duration(0)
	switch took, ok := w.r.copyTime(w.missing); {
	case ok && holder != nil && holder != w.r:
		copyTime = took
		w.source = holder
		w.missing = expectedMissing(holder.missing(req, now))
	case isPreferred && w.missing > 0:
		w.missing = expectedMissing(w.missing)
	}
	wait := ReadTime(w.load.Unread) + w.r.queueWait(w.load, typical) + copyTime
	step := time.Duration(stepMsPerKilotoken * float64(w.load.Tokens) / 1000 * float64(time.Millisecond))
	w.expect = scale(w.r.Slow(now), firstEventTime+step+wait+ReadTime(w.missing+req.Own()))
	interference := req.Harm(w.missing, w.load.Requests)
	if req.Gap > 0 {
		interference += maxPrefillInterference * float64(w.load.Reads) / (prefillSpeed * 1000)
	}
	w.cost = w.expect + scale(v.rereadFactor()-1, ReadTime(w.missing)) + w.r.preemptionCost(w.load, req) + scale(interference, interferenceTime)
}

// expectedMissing returns how many shared tokens the first in their rank is expected to lack
// of those that no box is known to have sent there: it is where boxes send them.
func expectedMissing(unsent int) int { return int((1 - preferredDiscount) * float64(unsent)) }

// ReadTime returns the time that an engine takes to read tokens of prompts.
func ReadTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillSpeed * float64(time.Millisecond))
}

// scale returns f times d.
func scale(f float64, d time.Duration) time.Duration { return time.Duration(f * float64(d)) }
