package placement

import (
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
)

// Figures of choosing among a few replicas where many boxes go by the same words of
// their loads: what looks best to one does to all, until the next words come.
const (
	candidatesByKey      = 2    // replicas that chance gives a request; with 4 more go to the same ones
	candidatesBySegment  = 2    // and the first ones in the rank of its shared parts
	reportedRereadFactor = 10.0 // as readAgain: a prompt that goes elsewhere is read there while all boxes think that there is room. At the peak of the replay 95 in 100 requests are in time with it, 84 with 2.5 (TestManyBoxesServeNearlyWhatOneThatKnowsAllDoes, 32 boxes)
)

// rereadFactor returns what reading a shared part costs, in its own time.
func (v *View) rereadFactor() float64 {
	if v.byReports {
		return reportedRereadFactor
	}
	return defaultRereadFactor
}

// candidates returns the replicas candidates which the one for a request is chosen: all, or a few
// where many boxes go by the same words.
func (v *View) candidates(req Request, now time.Duration) []*Replica {
	if !v.byReports {
		return v.byName
	}
	out := v.top(req.Key, candidatesByKey, req, now)
	if len(req.Parts) == 0 {
		return out
	}
	for _, r := range v.top(req.Subject(), candidatesBySegment, req, now) {
		if !slices.Contains(out, r) {
			out = append(out, r)
		}
	}
	return out
}

// top returns the n usable replicas with the highest weights for a key, highest first.
func (v *View) top(key string, n int, req Request, now time.Duration) []*Replica {
	type scored struct {
		r     *Replica
		score uint64
	}
	best := make([]scored, 0, n+1)
	for _, r := range v.byName {
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
