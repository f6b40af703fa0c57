package placement

import (
	"cmp"
	"time"
)

// Figures of the room at a replica. Those of engines come from the sheet of the
// first users' engines.
const (
	memoryFull  = 0.97                    // share of memory up to which requests are sent; above it an engine preempts
	memoryKept  = 0.45                    // share of memory that the least urgent leave to more urgent ones: where engines are short, requests keep 0.03 more of their worth (three paired days), for the least urgent take most memory
	memoryTight = 0.75                    // share of memory from which more requests cost others
	memoryCost  = 1500 * time.Millisecond // of a full memory, against an empty one
	engineQueue = 0.5                     // requests that may wait at an engine, as a share of its slots
	plainQueue  = 3.0                     // the same of a plain service, whose queue is four times its slots
)

// crowding returns what one more request costs the others at an engine whose
// memory is nearly full: it preempts some, and these are read again.
func (r *Replica) crowding(l Load, req Request) time.Duration {
	share := r.memory(l, req)
	if share <= memoryTight {
		return 0
	}
	over := min((share-memoryTight)/(1-memoryTight), 2)
	return scale(over*over, memoryCost)
}

// memory returns the share of an engine's memory that is taken with req there.
func (r *Replica) memory(l Load, req Request) float64 {
	if r.service == nil || r.service.Engine == nil || r.service.Engine.Memory <= 0 {
		return 0
	}
	return float64(l.Tokens+req.Prompt) / float64(r.service.Engine.Memory)
}

// full says whether a replica would make the request wait behind too many.
func (r *Replica) full(l Load, req Request) bool {
	slots := float64(r.slots())
	if r.service != nil && r.service.Engine != nil {
		return float64(l.Requests) >= slots*(1+engineQueue) || r.memory(l, req) > memoryFull || r.leftToUrgent(l, req)
	}
	return float64(l.Requests) >= slots*(1+plainQueue)
}

// leftToUrgent says whether what is left of an engine's memory is for more urgent
// requests. Where others hold less than half of the bound an engine takes any prompt
// for which it has room, so that the largest are not refused for ever.
func (r *Replica) leftToUrgent(l Load, req Request) bool {
	bound := memoryFull - memoryKept*req.Rank
	others := r.memory(l, Request{})
	return r.memory(l, req) > bound && others > bound/2
}

// queueing returns the expected wait for a slot, where a request usually holds
// one for so long.
func (r *Replica) queueing(l Load, usual time.Duration) time.Duration {
	slots := r.slots()
	if l.Requests < slots {
		return 0
	}
	ahead := float64(l.Requests-slots+1) / float64(slots)
	return scale(ahead, cmp.Or(r.hold, usual))
}

// usualHold returns the mean time of a request at the service's replicas, which
// stands for what is not known of one.
func (v *View) usualHold(service string) time.Duration {
	var sum time.Duration
	n := 0
	for _, r := range v.byName {
		if r.info.Service == service && r.hold > 0 {
			sum += r.hold
			n++
		}
	}
	if n == 0 {
		return defaultHold
	}
	return sum / time.Duration(n)
}
