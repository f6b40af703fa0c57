package placement

import "time"

// Result is the outcome of a request at a replica.
type Result int

// Results of a request.
const (
	Answered    Result = iota // complete response
	Failed                    // response that reports an error
	Refused                   // response that reports that the request did not run
	Unreachable               // connection failed
	NoResponse                // no response or an incomplete one; if there was none, the request may still arrive
	TimedOut                  // no response until this box stopped waiting; the request may still arrive
	Abandoned                 // caller left or deadline passed; no evidence against the replica; the request may still arrive
	Unsent                    // given up before the request was written; no evidence against the replica
	Misdirected               // another replica has the address
	Deferred                  // refused, and the replica defers requests
	Declined                  // not written, as the replica wants no request any more
)

// mayArrive reports whether the replica may receive the request after this result.
func (r Result) mayArrive() bool {
	return r == TimedOut || r == Abandoned || r == NoResponse
}

// RecordSend records when the request of a choice is written, which may be long after Pick.
func (v *View) RecordSend(c *Choice, now time.Duration) {
	if c.reservation.replica != nil {
		v.pacer.MarkSent(c.ID, c.reservation.at, now)
		v.limiter.MarkSent(c.Incarnation, c.reservation.at, now)
	}
}

// MayWrite reports whether the request of a choice may still be written: its replica has neither
// deferred requests nor reported that it leaves since it was chosen, no loan has expired, and the
// write keeps the rate limits.
func (v *View) MayWrite(c *Choice, now time.Duration) bool {
	g := &c.reservation
	r := g.replica
	if r == nil {
		return true
	}
	if r.RetryWait(now) > 0 || r.saidLeaving || g.loan.Expired(now) {
		return false
	}
	if !v.pacer.MayWrite(c.ID, g.at, now) {
		return false
	}
	return !g.loan.IsZero() || v.limiter.MayWrite(c.Incarnation, g.at, now)
}

// RecordFirstByte records the time from the write of a request until the first byte of its
// successful response.
func (v *View) RecordFirstByte(c *Choice, took, now time.Duration) {
	if c.reservation.replica != nil {
		v.recordSpeed(c, took, now)
	}
	v.RecordHead(c, now)
}

// RecordHead records the first byte of a response that says nothing of the replica's speed, such as
// a refusal, which takes no work.
func (v *View) RecordHead(c *Choice, now time.Duration) {
	r := c.reservation.replica
	if r == nil {
		return
	}
	v.recordArrival(c, now)
	r.recordResponse(now)
	r.own.PendingPrefill -= c.reservation.load.PendingPrefill
	c.reservation.load.PendingPrefill = 0
}

// recordArrival records that the request of a choice has arrived at its replica or never will.
func (v *View) recordArrival(c *Choice, now time.Duration) {
	if c.reservation.arrived {
		return
	}
	c.reservation.arrived = true
	v.pacer.MarkArrived(c.ID, c.reservation.at, now)
	if loan := c.reservation.loan; !loan.IsZero() {
		v.usedLoans = append(v.usedLoans, loan)
		return
	}
	v.limiter.MarkArrived(c.Incarnation, c.reservation.at, now)
}

// RecordSelfReport records the number of requests that the replica itself reports, this one
// included.
func (v *View) RecordSelfReport(c *Choice, requests int, now time.Duration) {
	r := c.reservation.replica
	if r == nil {
		return
	}
	r.selfReport = peerLoad{
		load: Load{
			Requests: max(requests-r.own.Requests, 0),
		},
		expiry: now + selfReportTTL,
	}
}

// RecordPace records how long work takes at a replica by its own report, in percent of the usual time.
func (v *View) RecordPace(c *Choice, percent int, now time.Duration) {
	if r := c.reservation.replica; r != nil {
		r.speed.Report(percent, now)
	}
}

// RecordActivity records that a replica continues its response.
func (v *View) RecordActivity(c *Choice, now time.Duration) {
	if r := c.reservation.replica; r != nil {
		r.lastSeen = now
	}
}

// SinceLastSeen returns the time since this box last received bytes from the replica of a choice,
// or since it sent the request if that is later.
func (v *View) SinceLastSeen(c *Choice, sent, now time.Duration) time.Duration {
	r := c.reservation.replica
	if r == nil {
		return 0
	}
	return now - max(r.lastSeen, sent)
}

// End releases the load of a choice and records its result. It returns true if this ejects
// the replica.
func (v *View) End(c *Choice, result Result, duration, now time.Duration) bool {
	r := c.reservation.replica
	if r == nil {
		return false
	}
	if !result.mayArrive() {
		v.recordArrival(c, now)
	}
	c.reservation.replica = nil
	l := c.reservation.load
	if w := c.reservation.running; w != nil {
		w.running[c.reservation.level]--
	}
	r.own.Requests -= l.Requests
	r.own.Tokens -= l.Tokens
	r.own.PendingPrefill -= l.PendingPrefill
	wasEjected := r.Ejected(now)
	switch result {
	case Answered:
		r.outcomes.Add(false, now)
		r.admitted.answer(c.Load.Requests, r)
		v.recordOccupancy(r, c.Load.Requests, c.reservation.expect, duration)
		r.recordDuration(duration)
		r.recordWork(duration, c.reservation.work)
		r.recordResponse(now)
	case Failed:
		r.outcomes.Add(true, now)
		r.recordResponse(now)
	case Refused:
		v.boundRejected(c, c.reservation.running, r, now)
		r.admitted.reject(c.Load.Requests, r, v.Occupancy(Request{Service: r.info.Service}), now)
		if !r.recordRejection(c.Load, now) {
			r.outcomes.Add(true, now) // it has no capacity, though its load looks low
		}
		r.recordResponse(now)
	case NoResponse, TimedOut:
		v.recordNoResponse(r, now)
	case Unreachable:
		r.outcomes.Add(true, now)
		r.connectFailures++
		if r.connectFailures >= maxConnectFailures {
			v.eject(r, now)
		}
	case Misdirected:
		v.eject(r, now)
	case Deferred:
		r.recordResponse(now) // no failure: it gets nothing until it wants requests again
	case Abandoned, Unsent, Declined:
	}
	return !wasEjected && r.Ejected(now)
}

// RecordNoResponse records that a replica doesn't respond to a request that keeps waiting. It
// returns true if this ejects the replica.
func (v *View) RecordNoResponse(c *Choice, now time.Duration) bool {
	r := c.reservation.replica
	if r == nil {
		return false
	}
	wasEjected := r.Ejected(now)
	v.recordNoResponse(r, now)
	return !wasEjected && r.Ejected(now)
}

func (v *View) recordNoResponse(r *Replica, now time.Duration) {
	r.outcomes.Add(true, now)
	r.noResponses++
	if r.noResponses >= maxNoResponses && now-r.lastSeen >= noResponseTimeout {
		v.eject(r, now)
	}
}

// eject stops sending to a replica for the back-off. After it the replica may be cold, so
// it receives requests at the rate of a cold one.
func (v *View) eject(r *Replica, now time.Duration) {
	r.eject(now)
	if r.service == nil || v.isReplaced(r) {
		return
	}
	v.markReturned(r, r.backoff.Until())
}
