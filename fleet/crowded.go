package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/upstream"
)

const (
	crowdedFrom = 0.7 // load over slots from which others are told
	maxCrowded  = 8   // upstreams told of in one heartbeat
	markBits    = 16  // of the hash that stands for an upstream's name
)

// mark stands for an upstream's name between boxes of one failure domain. Two
// upstreams of one mark look as loaded as each other for one heartbeat's time.
func mark(name string) int { return int(xxhash.Sum64String(name) >> (64 - markBits)) }

// Crowded returns mark and load, in turn, of the upstreams that this box knows
// best and that have few slots free. They are few, so that a heartbeat stays
// small, and they are all that others need to know: whom to leave alone.
func (f *Fleet) Crowded(now time.Duration) []int {
	boxes := append(f.Serving(now), f.self)
	names := f.inventory.Names(func(r *upstream.Replica) bool {
		return r.Slots > 0 && float64(r.Load(now)) >= crowdedFrom*float64(r.Slots)
	})
	var out []int
	for _, name := range names {
		if len(out) < 2*maxCrowded && rendezvous.Top(name, boxes, 1)[0] == f.self {
			out = append(out, mark(name), f.inventory.Get(name).Load(now))
		}
	}
	return out
}

// TakeCrowded takes in what another box tells of the upstreams it knows best.
func (f *Fleet) TakeCrowded(list []int, now time.Duration) {
	for i := 0; i+1 < len(list); i += 2 {
		for _, name := range f.inventory.Names(func(r *upstream.Replica) bool { return mark(r.Name) == list[i] }) {
			f.inventory.Hear(name, list[i+1], now)
		}
	}
}
