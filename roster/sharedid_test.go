package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sharedIDNames returns the names of two boxes whose first incarnations have the same ID.
func sharedIDNames() (a, b string) {
	names := make(map[ID]string)
	for n := 0; ; n++ {
		name := fmt.Sprintf("box-%d", n*7919)
		id := IDOf(name, 1)
		if other, ok := names[id]; ok {
			return other, name
		}
		names[id] = name
	}
}

// Guards against a live box whose heartbeats are ignored after a box of the same ID has gone.
func TestABoxIsAddressedByItsIDOnceNoOtherHasTheSame(t *testing.T) {
	a, b := sharedIDNames()
	id := IDOf(a, 1)
	leave := map[string]func(tab *Table, now time.Duration){
		"a new incarnation": func(tab *Table, now time.Duration) {
			tab.Receive(status(a, "north", 2, 1), true, now)
		},
		"expiry": func(tab *Table, now time.Duration) {
			tab.removeExpired(now)
		},
	}
	for name, act := range leave {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tab := New(status("self", "north", 1, 0))
			tab.Receive(status(a, "north", 1, 1), true, 0)
			tab.Receive(status(b, "north", 1, 1), true, 0)
			now := memberTTL + time.Second
			tab.Receive(status(b, "north", 1, 2), true, now)
			r, _, known := tab.recordLiveness(LivenessEntry{
				ID:  id,
				Seq: 3,
			}, now)
			is.True(known)
			is.Equal(r, nil) // either box may have sent it
			act(tab, now)
			r, newer, _ := tab.recordLiveness(LivenessEntry{
				ID:  id,
				Seq: 3,
			}, now)
			is.True(newer)
			is.Equal(r.Status.Box, b)
		})
	}
}

// Guards against an ID that stays ambiguous for the wrong box after one of three has gone.
func TestAnIDStaysAmbiguousWhileTwoBoxesHaveIt(t *testing.T) {
	is := is.New(t)
	a, b := sharedIDNames()
	tab := New(status("self", "north", 1, 0))
	tab.Receive(status(a, "north", 1, 1), true, 0)
	tab.Receive(status(b, "north", 1, 1), true, 0)
	tab.Receive(status("c", "north", 1, 1), true, 0)
	tab.Receive(status("c", "north", 2, 1), true, 0)
	r, _, known := tab.recordLiveness(LivenessEntry{
		ID:  IDOf(a, 1),
		Seq: 3,
	}, 0)
	is.True(known)
	is.Equal(r, nil)
}
