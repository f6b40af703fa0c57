package node

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a follower that reads the full catalog for each forwarded request with a newer policy
// version, instead of receiving the policy from its region.
func TestRequestsThatWerePassedOnMakeAFollowerReadOnceAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulation(t.Context(), 1, 24)
		defer f.end()
		f.pass(8 * time.Second)
		for _, b := range f.boxes {
			n := b.node.Load()
			if !n.isFollower.Load() {
				continue
			}
			before := f.callsDuring(300*time.Millisecond, func() {})
			newer := n.table.Load().Version() + 1
			got := f.callsDuring(300*time.Millisecond, func() { n.core(t.Context()).NewerPolicySeen(newer) }) - before
			if got > 2 {
				t.Fatalf("%d calls of the listing for 6 requests in 0.3 s", got)
			}
			if n.hasCurrentPolicy(t.Context()) {
				t.Error("the box reports its policy as current")
			}
			return
		}
	})
}

// callsDuring returns the number of listing calls during d, while act runs every 50 ms.
func (f *simulation) callsDuring(d time.Duration, act func()) int {
	before := f.listing.callCount()
	for range int(d / (50 * time.Millisecond)) {
		act()
		f.pass(50 * time.Millisecond)
	}
	return f.listing.callCount() - before
}
