package segment

import (
	"slices"
	"time"
)

const (
	relaySends  = 6               // datagrams of a box in which it sends a use; with one random box each, one of 400 boxes misses it
	relayWindow = 5 * time.Second // age up to which a use is sent
	maxPending  = 256             // uses that wait to be sent; the oldest are dropped
)

// Relay holds the uses that a box sends to others, its own and those received. The zero value is
// empty.
type Relay struct {
	pending []entry
}

type entry struct {
	replica uint32
	key     uint32
	at      time.Duration
	sends   int
}

// Add adds a use that isn't sent yet.
func (r *Relay) Add(u Use, now time.Duration) {
	if len(r.pending) >= maxPending {
		r.pending = slices.Delete(r.pending, 0, 1)
	}
	r.pending = append(r.pending, entry{
		replica: u.Replica,
		key:     u.Key,
		at:      now - u.Age,
	})
}

// Next returns the uses of the next datagram: those sent least often, the latest first.
func (r *Relay) Next(now time.Duration) []Use {
	r.pending = slices.DeleteFunc(r.pending, func(e entry) bool { return e.sends >= relaySends || now-e.at > relayWindow })
	slices.SortStableFunc(r.pending, func(a, b entry) int { return b.sends - a.sends })
	var out []Use
	for i := len(r.pending) - 1; i >= 0 && len(out) < MaxUses; i-- {
		e := &r.pending[i]
		e.sends++
		out = append(out, Use{
			Replica: e.replica,
			Key:     e.key,
			Age:     now - e.at,
		})
	}
	return out
}
