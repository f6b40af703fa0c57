package node

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

const (
	pageOf     = 200                    // replicas in one answer of the listing
	farListing = 160 * time.Millisecond // there and back, for boxes of all regions but one
	fleetLink  = 2.5e6                  // bytes a second of a link of 20 Mbit/s

	knownWithin = 1500 * time.Millisecond // of the start of all boxes, each knows all that is published
)

// newFleet returns an installation before ten replicas for each box, which takes many calls
// to read.
func newFleet(t *testing.T, seed uint64, boxes int) *follows {
	f := newFollows(t.Context(), seed, 0)
	list := make(map[string]catalog.Replica)
	for r := range regionsOf {
		for _, info := range replicas(fmt.Sprint("region-", r), 10*boxes/regionsOf) {
			list[info.ID] = info
		}
	}
	f.listing.replicas = list
	f.listing.page = pageOf
	f.listing.way = func(box string) time.Duration {
		if box < "box-1" {
			return 2 * time.Millisecond
		}
		return farListing
	}
	f.links.Store(newLinks(fleetLink))
	f.populate(boxes, func(*Settings) {})
	return f
}

// knowing returns how many boxes know all that is published.
func (f *follows) knowing() (n int) {
	all := len(f.listing.ids())
	for _, b := range f.boxes {
		if node := b.node.Load(); node != nil && node.table.Load() != nil {
			_ = node.state.Do(func(s *state) { // it fails only when the box has ended
				if s.content.Len() == all {
					n++
				}
			})
		}
	}
	return n
}

// begins lets time go on until all boxes know all that is published, and returns how long
// that took, and how many calls.
func (f *follows) begins(t *testing.T) (took time.Duration, calls int) {
	began := time.Now()
	before := f.listing.called()
	for f.knowing() < len(f.boxes) {
		if time.Since(began) > time.Minute {
			t.Fatalf("%d of %d boxes know all after %v", f.knowing(), len(f.boxes), time.Since(began))
		}
		time.Sleep(lookEvery)
	}
	return time.Since(began), f.listing.called() - before
}

// Each box of 584 read all 6,000 replicas for itself, in 30 calls.
func TestBoxesThatBeginTogetherReadMuchFewTimes(t *testing.T) {
	perBox := make(map[int]float64)
	for _, boxes := range beginning() {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1, boxes)
			defer f.end()
			took, calls := f.begins(t)
			t.Logf("%d boxes, first start: all know after %v, %d calls", boxes, took, calls)
			f.pass(5 * time.Second)
			for _, b := range f.boxes {
				f.kill(b)
			}
			f.pass(2 * time.Second)
			for _, b := range f.boxes {
				f.start(b)
			}
			took, calls = f.begins(t)
			t.Logf("%d boxes, all killed: all know after %v, %d calls", boxes, took, calls)
			if took > knownWithin {
				t.Errorf("%d boxes know all %v after they were killed and began, %v allowed", boxes, took, knownWithin)
			}
			perBox[boxes] = float64(calls) / float64(boxes)
			f.pass(5 * time.Second)
			f.restart(f.boxes[len(f.boxes)-1], time.Second)
			f.pass(1100 * time.Millisecond)
			took, calls = f.begins(t)
			t.Logf("%d boxes, one killed: knows after %v, %d calls of all", boxes, took, calls)
		})
	}
	t.Logf("calls for each box: %v", perBox)
	if perBox[240] > 1.2*perBox[120] {
		t.Errorf("%.1f calls for each of 240 boxes, %.1f for each of 120", perBox[240], perBox[120])
	}
}

// beginning returns the sizes to try: what is asked for by hand, or what is small enough for
// each run of all tests.
func beginning() []int {
	if *fleetSize > 0 {
		return []int{*fleetSize}
	}
	return []int{120, 240}
}

var fleetSize = flag.Int("fleet", 0, "boxes of the fleet that begins together, in place of small ones")
