package placement

import (
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
)

// Limits on the number of candidates per request. Boxes that share load reports would
// otherwise all choose the same replica until the next reports arrive.
const (
	candidatesByKey      = 2    // replicas ranked by the key of the request, which spreads load; with four, more boxes choose the same one
	candidatesBySegment  = 2    // replicas ranked by its shared segments
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

// candidates returns the replicas that are compared for a request: a few where boxes share
// load reports, otherwise all.
func (v *View) candidates(req Request, now time.Duration) []*Replica {
	if !v.byReports {
		return v.sorted
	}
	out := v.top(req.Key, candidatesByKey, req, now)
	if len(req.Segments) == 0 {
		return out
	}
	for _, r := range v.top(req.RoutingKey(), candidatesBySegment, req, now) {
		if !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	return out
}

// top returns the n usable replicas with the highest rendezvous scores for a key, highest
// first.
func (v *View) top(key string, n int, req Request, now time.Duration) []*Replica {
	type scored struct {
		r     *Replica
		score uint64
	}
	best := make([]scored, 0, n+1)
	for _, r := range v.sorted {
		if r.info.Service != req.Service || v.unusable(r, req, now) != None {
			continue
		}
		s := scored{
			r:     r,
			score: rendezvous.Score(key, r.incarnation),
		}
		at := len(best)
		for at > 0 && best[at-1].score < s.score {
			at--
		}
		if at < n {
			best = slices.Insert(best, at, s)[:min(len(best)+1, n)]
		}
	}
	out := make([]*Replica, 0, n)
	for _, s := range best {
		out = append(out, s.r)
	}
	return out
}
