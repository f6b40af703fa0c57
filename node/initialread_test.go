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
	listingPageSize    = 200                    // replicas in one page of the listing
	remoteListingDelay = 160 * time.Millisecond // round trip for boxes of all regions but one
	fleetLinkRate      = 2.5e6                  // bytes per second of a link of 20 Mbit/s

	initialReadBound = 1500 * time.Millisecond // until all boxes that start together have the catalog
)

// newFleet returns a simulation with ten replicas for each box, which takes many calls to read.
func newFleet(t *testing.T, seed uint64, boxes int) *simulation {
	f := newSimulation(t.Context(), seed, 0)
	list := make(map[string]catalog.Replica)
	for r := range simRegions {
		for _, info := range replicas(fmt.Sprint("region-", r), 10*boxes/simRegions) {
			list[info.ID] = info
		}
	}
	f.listing.replicas = list
	f.listing.page = listingPageSize
	f.listing.way = func(box string) time.Duration {
		if box < "box-1" {
			return 2 * time.Millisecond
		}
		return remoteListingDelay
	}
	f.links.Store(newLinks(fleetLinkRate))
	f.populate(boxes, func(*Settings) {})
	return f
}

// boxesWithCatalog returns the number of boxes that have the full catalog.
func (f *simulation) boxesWithCatalog() (n int) {
	all := len(f.listing.ids())
	for _, b := range f.boxes {
		if node := b.node.Load(); node != nil && node.table.Load() != nil {
			_ = node.state.Do(func(s *state) { // it fails only after the box has stopped
				if s.content.Len() == all {
					n++
				}
			})
		}
	}
	return n
}

// awaitCatalogs waits until all boxes have the full catalog, and returns how long that took and how many
// calls.
func (f *simulation) awaitCatalogs(t *testing.T) (took time.Duration, calls int) {
	began := time.Now()
	before := f.listing.callCount()
	for f.boxesWithCatalog() < len(f.boxes) {
		if time.Since(began) > time.Minute {
			t.Fatalf("%d of %d boxes have the catalog after %v", f.boxesWithCatalog(), len(f.boxes), time.Since(began))
		}
		time.Sleep(checkInterval)
	}
	return time.Since(began), f.listing.callCount() - before
}

// Guards against boxes that each read the full catalog when all start together.
func TestBoxesThatStartTogetherReadTheCatalogFewTimes(t *testing.T) {
	t.Parallel()
	perBox := make(map[int]float64)
	for _, boxes := range fleetSizes() {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1, boxes)
			defer f.end()
			took, calls := f.awaitCatalogs(t)
			t.Logf("%d boxes, first start: all know after %v, %d calls", boxes, took, calls)
			f.pass(5 * time.Second)
			for _, b := range f.boxes {
				f.kill(b)
			}
			f.pass(2 * time.Second)
			for _, b := range f.boxes {
				f.start(b)
			}
			took, calls = f.awaitCatalogs(t)
			t.Logf("%d boxes, all killed: all know after %v, %d calls", boxes, took, calls)
			if took > initialReadBound {
				t.Errorf("%d boxes have the catalog %v after they were killed and restarted, %v allowed", boxes, took, initialReadBound)
			}
			perBox[boxes] = float64(calls) / float64(boxes)
			f.pass(5 * time.Second)
			f.restart(f.boxes[len(f.boxes)-1], time.Second)
			f.pass(1100 * time.Millisecond)
			took, calls = f.awaitCatalogs(t)
			t.Logf("%d boxes, one killed: has the catalog after %v, %d calls of all", boxes, took, calls)
		})
	}
	t.Logf("calls for each box: %v", perBox)
	if perBox[240] > 1.2*perBox[120] {
		t.Errorf("%.1f calls for each of 240 boxes, %.1f for each of 120", perBox[240], perBox[120])
	}
}

// fleetSizes returns the numbers of boxes to test: that of the flag, or small ones.
func fleetSizes() []int {
	if *fleetSize > 0 {
		return []int{*fleetSize}
	}
	return []int{120, 240}
}

var fleetSize = flag.Int("fleet", 0, "boxes of the fleet that starts together, in place of the default sizes")
