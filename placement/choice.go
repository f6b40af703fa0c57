package placement

import (
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
)

// compared returns the replicas that are compared for a request. Where boxes share load reports, a
// few are drawn in proportion to what each can serve, so that boxes which see the same fast replica
// don't all choose it until its next report.
func (v *View) compared(req Request, now time.Duration) []*Replica {
	if !v.byReports || len(req.Segments) > 0 {
		return v.candidates(req, now)
	}
	average := v.figuresOf(req.Service, now).average
	drawn := newRanking[float64](candidatesByKey)
	for r := range v.usableFor(req, now) {
		capacity := float64(r.slots()) / r.speed.At(average, now).Ratio
		drawn.add(r, rendezvous.Weighted(req.Key, r.incarnation, capacity))
	}
	return drawn.replicas()
}
