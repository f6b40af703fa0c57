package placement

import (
	"cmp"
	"time"
)

// Limits on the load of a replica.
const (
	memoryLimit         = 0.97                    // share of memory above which an engine preempts requests
	urgentMemoryReserve = 0.45                    // share of memory that the least urgent requests leave free; where engines are short, the least urgent requests take most memory
	memoryPressure      = 0.75                    // share of memory above which an additional request slows others down
	memoryPressureCost  = 1500 * time.Millisecond // per request at full memory
	engineQueueLimit    = 0.5                     // waiting requests per slot of an engine
	plainQueueLimit     = 3.0                     // waiting requests per slot of a plain service; a plain service queues up to four times its slots
)

// preemptionCost returns the expected cost to other requests at an engine whose memory is
// nearly full. It preempts some of them and prefills their prompts again.
func (r *Replica) preemptionCost(l Load, req Request) time.Duration {
	share := r.memoryShare(l, req)
	if share <= memoryPressure {
		return 0
	}
	over := min((share-memoryPressure)/(1-memoryPressure), 2)
	return scale(over*over, memoryPressureCost)
}

// memoryShare returns the share of an engine's memory in use once it has accepted req.
func (r *Replica) memoryShare(l Load, req Request) float64 {
	if !r.publishesMemory() {
		return 0
	}
	return float64(l.Tokens+req.Prompt) / float64(r.service.Engine.Memory)
}

func (r *Replica) isFull(l Load, req Request) bool {
	if float64(l.Requests) >= r.maxRequests() {
		return true
	}
	return r.isEngine() && (r.memoryShare(l, req) > memoryLimit || r.isReservedForUrgent(l, req))
}

// maxRequests returns the requests up to which the replica receives further ones.
func (r *Replica) maxRequests() float64 {
	if r.isEngine() {
		return float64(r.slots()) * (1 + engineQueueLimit)
	}
	return float64(r.slots()) * (1 + plainQueueLimit)
}

// isReservedForUrgent reports whether the remaining memory of an engine is reserved for
// more urgent requests. While other requests use less than half of the limit, the engine
// accepts any prompt that fits, so that large prompts are not refused forever.
func (r *Replica) isReservedForUrgent(l Load, req Request) bool {
	bound := memoryLimit - urgentMemoryReserve*req.Rank
	others := r.memoryShare(l, Request{})
	return r.memoryShare(l, req) > bound && others > bound/2
}

// queueWait returns the expected wait for a slot. If the replica's mean request duration is
// unknown, it uses typical.
func (r *Replica) queueWait(l Load, typical time.Duration) time.Duration {
	return scale(r.ahead(l), cmp.Or(r.duration, typical))
}

func (v *View) meanDuration(service string) time.Duration {
	var sum time.Duration
	n := 0
	for _, r := range v.sorted {
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
