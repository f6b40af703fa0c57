package placement

import (
	"cmp"
	"time"
)

// Figures of the room at a replica. Those of engines come from the sheet of the
// first users' engines.
const (
	memoryLimit         = 0.97                    // share of memory up to which requests are sent; above it an engine preempts
	urgentMemoryReserve = 0.45                    // share of memory that the least urgent leave to more urgent ones: where engines are short, requests keep 0.03 more of their worth (three paired days), for the least urgent take most memory
	memoryPressure      = 0.75                    // share of memory from which more requests cost others
	memoryPressureCost  = 1500 * time.Millisecond // of a full memory, against an empty one
	engineQueueLimit    = 0.5                     // requests that may wait at an engine, as a share of its slots
	plainQueueLimit     = 3.0                     // the same of a plain service, whose queue is four times its slots
)

// preemptionCost returns what one more request costs the others at an engine whose
// memory is nearly full: it preempts some, and these are read again.
func (r *Replica) preemptionCost(l Load, req Request) time.Duration {
	share := r.memoryShare(l, req)
	if share <= memoryPressure {
		return 0
	}
	over := min((share-memoryPressure)/(1-memoryPressure), 2)
	return scale(over*over, memoryPressureCost)
}

// memoryShare returns the share of an engine's memoryShare that is taken with req there.
func (r *Replica) memoryShare(l Load, req Request) float64 {
	if r.service == nil || r.service.Engine == nil || r.service.Engine.Memory <= 0 {
		return 0
	}
	return float64(l.Tokens+req.Prompt) / float64(r.service.Engine.Memory)
}

// isFull says whether a replica would make the request wait behind too many.
func (r *Replica) isFull(l Load, req Request) bool {
	slots := float64(r.slots())
	if r.service != nil && r.service.Engine != nil {
		return float64(l.Requests) >= slots*(1+engineQueueLimit) || r.memoryShare(l, req) > memoryLimit || r.isReservedForUrgent(l, req)
	}
	return float64(l.Requests) >= slots*(1+plainQueueLimit)
}

// isReservedForUrgent says whether what is left of an engine's memory is for more urgent
// requests. Where others hold less than half of the bound an engine takes any prompt
// for which it has room, so that the largest are not refused for ever.
func (r *Replica) isReservedForUrgent(l Load, req Request) bool {
	bound := memoryLimit - urgentMemoryReserve*req.Rank
	others := r.memoryShare(l, Request{})
	return r.memoryShare(l, req) > bound && others > bound/2
}

// queueWait returns the expected wait for a slot, where a request usually holds
// one for so long.
func (r *Replica) queueWait(l Load, typical time.Duration) time.Duration {
	slots := r.slots()
	if l.Requests < slots {
		return 0
	}
	ahead := float64(l.Requests-slots+1) / float64(slots)
	return scale(ahead, cmp.Or(r.duration, typical))
}

// meanDuration returns the mean time of a request at the service's replicas, which
// stands for what is not known of one.
func (v *View) meanDuration(service string) time.Duration {
	var sum time.Duration
	n := 0
	for _, r := range v.byName {
		if r.info.Service == service && r.duration > 0 {
			sum += r.duration
			n++
		}
	}
	if n == 0 {
		return defaultDuration
	}
	return sum / time.Duration(n)
}
