package placement

import (
	"slices"
	"time"
)

// Reasons against a replica that could receive a request, in an Assessment only.
const (
	NotCandidate Reason = "not compared for this request"
	HigherCost   Reason = "higher cost"
	SameCost     Reason = "same cost, another one by the request's key"
)

// Assessment is what a decision takes into account about one replica.
type Assessment struct {
	Replica   *Replica // owned by the view
	Reason    Reason   // why the request would not go there; None for the replica that would be chosen
	Wait      time.Duration
	Cost      time.Duration // own time of the request and what it costs others
	Expect    time.Duration // until the first byte
	Missing   int           // shared tokens to prefill
	Load      Load          // before the request
	Preferred bool          // most likely has the shared segments cached
}

// Assess returns what Pick would take into account about each replica of the request's service, without
// reserving capacity, and the choice that it would make.
func (v *View) Assess(req Request, boxes []string, now time.Duration) ([]Assessment, Choice) {
	choice := v.Next(req, boxes, now)
	preferred := v.preferred(req, now)
	cacheHolder := v.cacheHolder(req, preferred, now)
	typical := v.meanDuration(req.Service)
	compared := v.compared(req, now)
	f := v.figuresOf(req.Service, now)
	if !slices.ContainsFunc(compared, func(r *Replica) bool { return r.incarnation == choice.Incarnation }) {
		compared = v.sorted // none of the candidates could receive it
	}
	var out []Assessment
	var chosen time.Duration
	for _, r := range v.sorted {
		if r.info.Service != req.Service {
			continue
		}
		w, reason, wait, _ := v.consider(r, req, f, preferred, cacheHolder, typical, boxes, now)
		switch {
		case reason != None:
		case r.incarnation == choice.Incarnation:
			chosen = w.cost
		case !slices.Contains(compared, r):
			reason = NotCandidate
		default:
			reason = HigherCost
		}
		out = append(out, Assessment{
			Replica:   r,
			Reason:    reason,
			Wait:      wait,
			Cost:      w.cost,
			Expect:    w.expect,
			Missing:   w.missing,
			Load:      w.load,
			Preferred: r == preferred,
		})
	}
	for i := range out {
		if out[i].Reason == HigherCost && out[i].Cost <= chosen+costTolerance {
			out[i].Reason = SameCost
		}
	}
	return out, choice
}

// LastSeenAge returns the time since this box last received bytes from the replica; negative for never.
func (r *Replica) LastSeenAge(now time.Duration) time.Duration {
	if r.lastSeen == 0 {
		return -1
	}
	return now - r.lastSeen
}
