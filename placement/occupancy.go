package placement

import (
	"cmp"
	"time"
)

const (
	occupancyWeight    = 0.1  // of the newest duration
	maxOccupancyFactor = 32.0 // limit on the correction of an estimate, either way
)

// FirstByteTime estimates the time to the first byte of a request at an idle replica.
func (v *View) FirstByteTime(req Request) time.Duration {
	if req.Prompt == 0 {
		return v.Occupancy(req)
	}
	return firstEventTime + PrefillTime(req.UniqueTokens()+expectedMissing(req.SharedTokens()))
}

// Occupancy estimates for how long a request will occupy a slot of a replica. The estimate is
// corrected by how long requests of the service took, without their wait for a slot.
func (v *View) Occupancy(req Request) time.Duration {
	return scale(cmp.Or(v.occupancyFactors[req.Service], 1), uncorrectedOccupancy(req))
}

func uncorrectedOccupancy(req Request) time.Duration {
	if req.Prompt == 0 {
		return defaultDuration
	}
	prefill := PrefillTime(req.UniqueTokens() + expectedMissing(req.SharedTokens()))
	return firstEventTime + prefill + time.Duration(cmp.Or(req.AnswerTokens, defaultAnswerTokens))*stepTime
}

// recordOccupancy records how long an answered request took at a replica. The replica had before
// requests when it was sent, so that with all slots taken it waited for one of them.
func (v *View) recordOccupancy(r *Replica, before int, estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	share := min(1, float64(r.slots())/float64(before+1))
	sample := share * float64(took) / float64(estimate)
	sample = max(min(sample, maxOccupancyFactor), 1/maxOccupancyFactor)
	service := r.info.Service
	old, known := v.occupancyFactors[service]
	if !known {
		old = sample
	}
	v.occupancyFactors[service] = old + occupancyWeight*(sample-old)
}

// UsableSlots returns the slots of the replicas of a service that may receive requests, bounded by
// the rate limits that they name and those of cold ones. If there is none, it counts the replicas
// that may receive requests again soon.
func (v *View) UsableSlots(service string, now time.Duration) float64 {
	usable, soon := 0.0, 0.0
	duration := v.Occupancy(Request{Service: service}).Seconds()
	for _, r := range v.sorted {
		if r.info.Service != service {
			continue
		}
		switch v.unusable(r, Request{}, now) {
		case None:
			usable += v.slotsWithinLimits(r, duration, now)
		case Ejected, Deferring, Unconfirmed:
			soon += v.slotsWithinLimits(r, duration, now)
		}
	}
	return cmp.Or(usable, soon)
}

// slotsWithinLimits returns the slots of a replica that its rate limits allow to be used by requests
// that take so many seconds each.
func (v *View) slotsWithinLimits(r *Replica, seconds float64, now time.Duration) float64 {
	out := float64(r.slots())
	if l := r.Limit(); l.Named {
		out = min(out, l.PerSecond*seconds)
	}
	if r.service != nil && r.service.ColdPerSecond > 0 && v.pacer.IsCold(r.info.ID, now) {
		out = min(out, r.service.ColdPerSecond*seconds)
	}
	return out
}
