package node

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

const callsWindow = 8 * time.Second // in which calls are counted

// callRates returns the calls per second of all boxes: without changes, and while one in two hundred
// replicas is replaced per second.
func callRates(t *testing.T, boxes int) (calm, churn float64) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, boxes)
		defer f.end()
		f.awaitCatalogs(t)
		f.pass(8 * time.Second)
		before := f.listing.callCount()
		f.pass(callsWindow)
		calm = float64(f.listing.callCount()-before) / callsWindow.Seconds()
		before = f.listing.callCount()
		for range 30 {
			f.remove(max(1, boxes/100))
			f.pass(callsWindow / 30)
		}
		churn = float64(f.listing.callCount()-before) / callsWindow.Seconds()
		t.Logf("%d boxes: %.1f calls a second without changes, %.1f with changes; a removal is recorded after %v at most", boxes, calm, churn, f.maxRemovalLag)
		if f.violation != "" {
			t.Error(f.violation)
		}
	})
	return calm, churn
}

// Guards against followers of a large region that poll the publisher themselves because confirmations
// of others arrive late.
func TestCallsToThePublisherDoNotGrowWithTheBoxes(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	calm, churn := make(map[int]float64), make(map[int]float64)
	t.Run("sizes", func(t *testing.T) {
		for _, boxes := range fleetSizes() {
			t.Run(fmt.Sprint(boxes), func(t *testing.T) {
				t.Parallel()
				a, b := callRates(t, boxes)
				mu.Lock()
				defer mu.Unlock()
				calm[boxes], churn[boxes] = a, b
			})
		}
	})
	if calm[240] > 1.2*calm[120] {
		t.Errorf("%.1f calls a second of 240 boxes without changes, %.1f of 120", calm[240], calm[120])
	}
	if churn[240] > 1.2*churn[120] {
		t.Errorf("%.1f calls a second of 240 boxes with changes, %.1f of 120", churn[240], churn[120])
	}
}

// Guards against followers that read the full catalog again after many replicas registered since they
// started.
func TestFollowersToldOfManyReplicasLaterReadThemNotAgain(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const boxes = 60
		f := newFleet(t, 1, boxes)
		defer f.end()
		list := f.listing.replicas
		f.listing.replicas = make(map[string]catalog.Replica) // before the first call of a box
		f.pass(500 * time.Millisecond)
		for i, id := range slices.Sorted(maps.Keys(list)) {
			f.listing.put(list[id])
			if i%10 == 0 {
				f.pass(checkInterval)
			}
		}
		most := 0
		for range 24 {
			before := f.listing.callCount()
			f.pass(time.Second)
			most = max(most, f.listing.callCount()-before)
		}
		t.Logf("%d boxes make at most %d calls in a second", boxes, most)
		if most >= boxes {
			t.Errorf("%d calls in a second of %d boxes: each of them calls", most, boxes)
		}
	})
}
