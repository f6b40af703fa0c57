package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/wire"
)

// fleetBox returns an active box of a fleet in three regions with ten replicas per box.
func fleetBox(boxes int) *testBox {
	perRegion := boxes / len(fleetRegions)
	for n := 0; ; n++ {
		b := newBox(fmt.Sprintf("a-%03d", n), "a", 0)
		var list []catalog.Replica
		for _, region := range fleetRegions {
			list = append(list, replicas(region, 10*perRegion)...)
			for i := range perRegion {
				if name := fmt.Sprintf("%s-%03d", region, i); name != b.settings.Box {
					s := status(name, region)
					s.Peers = "peers of " + name
					b.receiveStatus(s, start)
				}
			}
		}
		b.publish(2, policy(1), list)
		b.roster.BeginTick(start)
		b.chooseActive(wire.ServingStateServing, start)
		if b.active["a"].has(b.settings.Box) {
			return b
		}
	}
}

var fleetRegions = []string{"a", "b", "c"}

// BenchmarkTick measures the periodic work of an active box without requests.
func BenchmarkTick(b *testing.B) {
	for _, boxes := range []int{300, 584, 1200} {
		b.Run(fmt.Sprint(boxes), func(b *testing.B) {
			box := fleetBox(boxes)
			now := start
			b.ResetTimer()
			for range b.N {
				now += roster.Tick
				box.roster.Gossip(box.fillStatus(box.self, now), now, lowest)
				box.chooseActive(wire.ServingStateServing, now)
				box.loadReportPackets(now, lowest)
				box.applyExpired(now)
				box.role(now)
			}
		})
	}
}

// BenchmarkEngineSelection measures the selection of engines to query for their load.
func BenchmarkEngineSelection(b *testing.B) {
	box := fleetBox(584)
	box.reportAll(8)
	now := start
	b.ResetTimer()
	for range b.N {
		now += 400 * time.Millisecond
		box.reportTargets(now)
	}
}

// Guards against a scan of all replicas at each tick, whose cost grows with the region.
func TestCapacityScansGrowNoFasterThanTheRegionAndStayFresh(t *testing.T) {
	is := is.New(t)
	looked := make(map[int]int)
	for _, boxes := range []int{60, 600, 1200} {
		b := fleetBox(boxes)
		const ticks = 40
		at := time.Duration(0)
		for i := range ticks {
			now := start + time.Duration(i+1)*roster.Tick
			b.fillStatus(b.self, now)
			if b.capacityAt != at {
				at = b.capacityAt
				looked[boxes] += len(b.view.Replicas())
			}
			is.True(now-b.capacityAt < capacityTTL)
		}
	}
	t.Logf("replicas scanned in 40 ticks, by boxes: %v", looked)
	is.Equal(looked[60], 40*200) // a small region is scanned at each tick
	is.True(10*looked[1200] <= 12*looked[600])
}
