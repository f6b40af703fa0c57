package node

import (
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/placement"
)

// recordMalformed logs the first malformed header of a replica.
func (n *Node) recordMalformed(c *placement.Choice, err error) {
	first := false
	_ = n.state.Do(func(s *state) { first = s.view.NoteMalformed(c.Incarnation) }) // it fails only when the box has ended
	if first {
		n.logMalformed(c.Incarnation, err)
	}
}

func (n *Node) logMalformed(incarnation string, err error) {
	n.meter.MalformedHeader()
	n.record(decision.Event{
		Kind:     decision.Belief,
		Upstream: incarnation,
		Reason:   "malformed header of a replica passed over",
		Detail:   err.Error(),
	})
}

// limitedReplicas returns the number of listed replicas of the region that name a limit. It must
// not be called before Run.
func (n *Node) limitedReplicas() int {
	return n.countReplicas(func(r *placement.Replica) bool { return r.Limit().Named })
}

// leavingReplicas returns the number of listed replicas of the region that have reported in an
// answer that they leave. It must not be called before Run.
func (n *Node) leavingReplicas() int { return n.countReplicas((*placement.Replica).SaysLeaving) }

// deferringReplicas returns the number of listed replicas of the region that want no requests of
// this box now. It must not be called before Run.
func (n *Node) deferringReplicas() int {
	now := n.now()
	return n.countReplicas(func(r *placement.Replica) bool { return r.RetryWait(now) > 0 })
}

func (n *Node) countReplicas(counts func(r *placement.Replica) bool) (count int) {
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		for _, r := range s.view.Replicas() {
			if r.Listed() && counts(r) {
				count++
			}
		}
	})
	return count
}
