package placement

import (
	"iter"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
)

// Limits on the number of candidates per request. Many boxes would otherwise all choose the same
// replica until the next loads or reports arrive.
const (
	candidatesByKey      = 2    // replicas ranked by the key of the request, which spreads load; with four, more boxes choose the same one
	candidatesBySegment  = 2    // replicas ranked by its shared segments
	manyBoxes            = 9    // boxes of a region from which few engines are compared although boxes send each other their loads; of 32 boxes, so many chose the same engine of 32 slots that it had 120 requests
	reportedRereadFactor = 10.0 // with load reports; higher, as many boxes may move a segment to the same idle engine
)

// rereadFactor returns the cost of prefilling a shared segment, as a multiple of its
// duration.
func (v *View) rereadFactor() float64 {
	if v.byReports {
		return reportedRereadFactor
	}
	return rereadFactor
}

// candidates returns the replicas that are compared for a request: a few where boxes are many or
// share load reports, and those that hold its shared segments; otherwise all.
func (v *View) candidates(req Request, now time.Duration) []*Replica {
	byHolder := v.weighsHolders(req)
	if !v.byReports && !byHolder && (v.boxes < manyBoxes || !v.publishesMemory(req.Service)) {
		return v.sorted
	}
	out := v.top(req.Key, candidatesByKey, req, now)
	if len(req.Segments) == 0 {
		return out
	}
	list := v.top(req.RoutingKey(), candidatesBySegment, req, now)
	if byHolder {
		list = append(list, v.holders(req, now)...)
	}
	for _, r := range list {
		if !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	return out
}

// top returns the n usable replicas with the highest rendezvous scores for a key, highest
// first.
func (v *View) top(key string, n int, req Request, now time.Duration) []*Replica {
	best := newRanking[uint64](n)
	for r := range v.usableFor(req, now) {
		best.add(r, rendezvous.Score(key, r.incarnation))
	}
	return best.replicas()
}

// usableFor returns the replicas that may receive a request, whatever their load.
func (v *View) usableFor(req Request, now time.Duration) iter.Seq[*Replica] {
	return func(yield func(*Replica) bool) {
		for _, r := range v.sorted {
			if r.info.Service == req.Service && v.unusable(r, req, now) == None && !yield(r) {
				return
			}
		}
	}
}
