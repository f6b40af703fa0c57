package node

import (
	"testing"
	"testing/synctest"
	"time"
)

// A request that another box passed on bears a newer version of the policy than this
// follower has. Boxes of its region give it the policy within a second; a reading of all
// for each such request takes 1.4 MB of a 10 Mbit/s link where the policy is large.
func TestRequestsThatWerePassedOnMakeAFollowerReadOnceAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollows(t.Context(), 1, 24)
		defer f.end()
		f.pass(8 * time.Second)
		for _, b := range f.boxes {
			n := b.node.Load()
			if !n.isFollower.Load() {
				continue
			}
			before := f.callsBy(300*time.Millisecond, func() {})
			newer := n.table.Load().Version() + 1
			got := f.callsBy(300*time.Millisecond, func() { n.core(t.Context()).Behind(newer) }) - before
			if got > 2 {
				t.Fatalf("%d calls of the listing for 6 requests in 0.3 s", got)
			}
			if n.hasCurrentPolicy() {
				t.Error("it takes its policy for the newest")
			}
			return
		}
	})
}

// callsBy returns how many calls of the listing there are in a time, in which something
// is done each 50 ms.
func (f *follows) callsBy(d time.Duration, act func()) int {
	before := f.listing.called()
	for range int(d / (50 * time.Millisecond)) {
		act()
		f.pass(50 * time.Millisecond)
	}
	return f.listing.called() - before
}
