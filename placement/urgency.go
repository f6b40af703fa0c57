package placement

import "github.com/havenrudder/havenrudder/share"

// LeastUrgent is the highest urgency that is told apart.
const LeastUrgent = share.MaxLevels - 1

// precedingPart returns the part of the requests of a service that a request of a level of urgency
// competes with at its engines, as these admit more urgent ones first. What all boxes send is assumed
// to be as urgent as what this box has in flight. It is 1 where the requests don't compete.
func (v *View) precedingPart(service string, level int) float64 {
	if v.table == nil || !v.table.Competes(service) {
		return 1
	}
	all, first := 0, 0
	for i, n := range v.Running(service) {
		all += n
		if i <= level {
			first += n
		}
	}
	return float64(first+1) / float64(all+1)
}

// queuedAhead is ahead for a request of a level of urgency. Without it urgent requests went to other
// regions for others that they precede.
func (v *View) queuedAhead(r *Replica, l Load, level int) float64 {
	ahead := r.ahead(l)
	if ahead == 0 || !r.isEngine() {
		return ahead
	}
	queued := v.precedingPart(r.info.Service, level) * float64(l.Requests-r.slots())
	return (queued + 1) / float64(r.slots())
}
