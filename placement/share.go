package placement

import (
	"time"

	"github.com/havenrudder/havenrudder/share"
)

// inFlight is what this box has in flight for a service, and what it may have.
type inFlight struct {
	running [share.MaxLevels]int // requests by urgency
	bound   share.Bound
}

func (v *View) inFlightOf(service string) *inFlight {
	w, ok := v.inFlight[service]
	if !ok {
		w = &inFlight{}
		v.inFlight[service] = w
	}
	return w
}

func (w *inFlight) requests() int {
	n := 0
	for _, r := range w.running {
		n += r
	}
	return n
}

// levelOf returns the level at which requests of an urgency are counted.
func levelOf(urgency int) int { return min(max(urgency, 0), share.MaxLevels-1) }

// SetShare sets the share of this box of what the region may have in flight of a service, in requests;
// infinite for no bound. While the region is contended, Pick returns Full for any more, without a wait:
// they wait for the end of one of this box's requests, or for a larger share.
func (v *View) SetShare(service string, requests float64, contended bool) {
	v.inFlightOf(service).bound.Set(requests, contended)
}

// Share returns the share of this box, in requests, also while it doesn't bound them; infinite for none.
func (v *View) Share(service string) float64 { return v.inFlightOf(service).bound.Share() }

// reachedBound reports whether one more request exceeds what this box may have in flight, and the time
// until that may change by itself; 0 if it does not.
func (v *View) reachedBound(req Request, now time.Duration) (wait time.Duration, reached bool) {
	w, ok := v.inFlight[req.Service]
	if !ok || req.Unshared {
		return 0, false
	}
	limit, wait := w.bound.Limit(now)
	return wait, float64(w.requests()+1) > limit
}

// boundRejected bounds the requests of this box after a replica rejected one of them, unless it had free
// slots by the load at the choice and by its answer: then it fails, rather than being full.
func (v *View) boundRejected(c *Choice, w *inFlight, r *Replica, now time.Duration) {
	if w == nil || max(c.Load.Requests, v.Load(r, now).Requests) < r.slots() {
		return
	}
	w.bound.Reject(w.requests(), v.Room(r.info.Service, now)/float64(max(v.boxes, 1)), now)
}

// Running returns the requests of a service that this box has in flight, by urgency.
func (v *View) Running(service string) [share.MaxLevels]int { return v.inFlightOf(service).running }

// Room returns how many requests of a service the boxes of the region together may have in flight
// at its usable replicas, running and queued, but for the part that is not divided.
func (v *View) Room(service string, now time.Duration) float64 {
	room := 0.0
	for _, r := range v.sorted {
		if r.info.Service == service && v.unusable(r, Request{}, now) == None {
			room += r.maxRequests()
		}
	}
	return share.Part * room
}
