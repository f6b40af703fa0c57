package placement

import "time"

// Result is what became of a request at a replica.
type Result int

// Results.
const (
	Answered    Result = iota // a whole answer of its own
	Failed                    // an answer that says it failed
	Refused                   // it said that it did not run the request
	Unreachable               // no connection could be made
	Silent                    // the request was sent, and no answer or only part of it came
	Abandoned                 // the caller left or its time was up; says nothing of the replica
	Misdirected               // another replica has the address
)

// Written takes in that the request of a choice is written only now.
func (v *View) Written(c *Choice, now time.Duration) {
	if c.reservation.replica != nil {
		v.pacer.Sent(c.ID, c.reservation.at, now)
	}
}

// First takes in that the first byte of an answer came after so long.
func (v *View) First(c *Choice, took, now time.Duration) {
	r := c.reservation.replica
	if r == nil {
		return
	}
	r.recordFirstByte(took, c.Expect, now)
	r.recordResponse(now)
	r.own.Unread -= c.reservation.load.Unread
	c.reservation.load.Unread = 0
}

// Loaded takes in how many requests the replica itself says it has, this one included.
func (v *View) Loaded(c *Choice, requests int, now time.Duration) {
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

// Heard takes in that a replica goes on with an answer.
func (v *View) Heard(c *Choice, now time.Duration) {
	if r := c.reservation.replica; r != nil {
		r.lastSeen = now
	}
}

// Quiet returns how long nothing came from the replica of a choice, to this box,
// counted from when it was last heard or the request was sent at the latest.
func (v *View) Quiet(c *Choice, sent, now time.Duration) time.Duration {
	r := c.reservation.replica
	if r == nil {
		return 0
	}
	return now - max(r.lastSeen, sent)
}

// End counts a request out and takes in what became of it. It returns true when
// the replica is left out from now on.
func (v *View) End(c *Choice, result Result, duration, now time.Duration) bool {
	r := c.reservation.replica
	if r == nil {
		return false
	}
	c.reservation.replica = nil
	l := c.reservation.load
	r.own.Requests -= l.Requests
	r.own.Tokens -= l.Tokens
	r.own.Unread -= l.Unread
	wasOut := r.Out(now)
	switch result {
	case Answered:
		r.outcomes.Add(false, now)
		r.recordDuration(duration)
		r.recordResponse(now)
	case Failed:
		r.outcomes.Add(true, now)
		r.recordResponse(now)
	case Refused:
		r.outcomes.Add(true, now) // it has no room, however idle it looks
		r.recordResponse(now)
	case Silent:
		v.recordNoResponse(r, now)
	case Unreachable:
		r.outcomes.Add(true, now)
		r.connectFailures++
		if r.connectFailures >= maxConnectFailures {
			v.eject(r, now)
		}
	case Misdirected:
		v.eject(r, now)
	case Abandoned:
	}
	return !wasOut && r.Out(now)
}

// Muted takes in that a replica is silent towards this box under a request which goes on
// waiting for it. It returns true when the replica is left out from now on.
func (v *View) Muted(c *Choice, now time.Duration) bool {
	r := c.reservation.replica
	if r == nil {
		return false
	}
	wasOut := r.Out(now)
	v.recordNoResponse(r, now)
	return !wasOut && r.Out(now)
}

// recordNoResponse counts a request that got nothing more from a replica.
func (v *View) recordNoResponse(r *Replica, now time.Duration) {
	r.outcomes.Add(true, now)
	r.noResponses++
	if r.noResponses >= maxNoResponses && now-r.lastSeen >= noResponseTimeout {
		v.eject(r, now)
	}
}

// eject gives a replica no work for a while. When it is back it may be cold,
// so it gets work at the pace of a cold one until it is known better.
func (v *View) eject(r *Replica, now time.Duration) {
	r.eject(now)
	if r.service == nil || v.isReplaced(r) {
		return
	}
	v.markReturned(r, r.backoff.Until())
}
