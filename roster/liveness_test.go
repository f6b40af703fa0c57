package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/wire"
)

// Guards against a relayed heartbeat whose time advances with each relay, because the age of an
// entry lacks the transit time.
func TestARelayedHeartbeatGetsNoLater(t *testing.T) {
	is := is.New(t)
	table := New(wire.BoxStatus{
		Box:    "self",
		Inc:    1,
		Region: "a",
	})
	receive := func(box string, seq int, now time.Duration) {
		table.Receive(wire.BoxStatus{
			Box:    box,
			Inc:    1,
			Seq:    seq,
			Region: "b",
		}, true, now)
	}
	const crossing = 80 * time.Millisecond
	start := time.Minute
	receive("dead", 7, start)
	receive("near", 1, start)
	relayed := LivenessEntry{
		ID:  IDOf("dead", 1),
		Seq: 7,
	}
	for hop := range 100 { // two regions relay the entry to each other
		now := start + time.Duration(hop)*crossing
		r, _, known := table.recordLiveness(relayed, now)
		is.True(known)
		is.Equal(r.LastHeartbeat, start)
		relayed.Age = now - r.LastHeartbeat
	}
	relayed.Seq = 8
	relayed.Age = crossing
	later := start + time.Minute
	r, newer, _ := table.recordLiveness(relayed, later)
	is.True(newer)
	is.Equal(r.LastHeartbeat, later-crossing)
}
