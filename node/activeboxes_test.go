package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/wire"
)

// newLargeRegionBox returns a box of a region with a number of boxes and many engines.
func newLargeRegionBox(name string, boxes int) *testBox {
	b := newBox(name, "a", largeReplicas)
	for n := range boxes {
		if other := fmt.Sprintf("box-%03d", n); other != name {
			s := status(other, "a")
			s.Peers = "peers of " + other
			b.receiveStatus(s, start)
		}
		for _, region := range regions[1:largeRegions] {
			b.receiveStatus(status(fmt.Sprint(region, "-", n), region), start)
		}
	}
	b.roster.BeginTick(start)
	b.chooseActive(wire.ServingStateServing, start)
	return b
}

func TestBoxesOfALargeRegionAgreeWhichOfThemAreActive(t *testing.T) {
	is := is.New(t)
	var all []string
	taking := 0
	for n := range largeBoxes {
		b := newLargeRegionBox(fmt.Sprintf("box-%03d", n), largeBoxes)
		named := b.directoryAddrs(host, "a", wire.ServingStateServing, start)
		is.Equal(len(named), maxActive)
		if all == nil {
			all = named
		}
		is.Equal(named, all)
		if slices.Contains(named, b.settings.CallerAddr) {
			taking++
		}
	}
	is.Equal(taking, maxActive)
}

func TestAllBoxesOfASmallerRegionAreActive(t *testing.T) {
	is := is.New(t)
	b := newLargeRegionBox("box-000", maxActive)
	is.Equal(len(b.directoryAddrs(host, "a", wire.ServingStateServing, start)), maxActive)
	is.Equal(len(b.active), 0) // in any region
}

func TestALostActiveBoxIsReplaced(t *testing.T) {
	is := is.New(t)
	b := newLargeRegionBox("box-000", largeBoxes)
	before := b.directoryAddrs(host, "a", wire.ServingStateServing, start)
	later := start + 20*time.Second // all others are silent
	for n := 1; n < largeBoxes/2; n++ {
		s := status(fmt.Sprintf("box-%03d", n), "a")
		b.receiveStatus(s, later)
	}
	b.chooseActive(wire.ServingStateServing, later)
	after := b.directoryAddrs(host, "a", wire.ServingStateServing, later)
	is.Equal(len(after), maxActive)
	kept := 0
	for _, addr := range before {
		if slices.Contains(after, addr) {
			kept++
		}
	}
	is.True(kept >= maxActive/4) // living active boxes stay active
}

// reportAll records a load report of all engines with a number of requests.
func (b *testBox) reportAll(requests int) {
	var words []roster.CompactLoadReport
	for _, r := range b.view.Replicas() {
		words = append(words, roster.CompactLoadReport{
			Replica:  roster.ReplicaIDOf(r.Incarnation()),
			Requests: requests,
		})
	}
	b.receiveLoadReports(words, start)
}

// Guards against busy engines without usage reports, and against several requests for one.
func TestEachBusyEngineIsAskedForItsLoadByOneBox(t *testing.T) {
	is := is.New(t)
	asks := make(map[string]int)
	for n := range largeBoxes {
		b := newLargeRegionBox(fmt.Sprintf("box-%03d", n), largeBoxes)
		is.True(!b.roster.SharesLoads())
		is.Equal(len(b.reportTargets(start)), 0) // it has no record of any work
		b.reportAll(8)
		for _, e := range b.reportTargets(start) {
			asks[e.start]++
		}
	}
	is.Equal(len(asks), largeReplicas)
	for id, n := range asks {
		if n != 1 {
			t.Errorf("%s receives report requests of %d boxes", id, n)
		}
	}
	is.Equal(len(newLargeRegionBox("box-000", 9).reportTargets(start)), 0) // few boxes send each other their loads
}

func TestLoadReportsOfEnginesAreSentToActiveBoxes(t *testing.T) {
	is := is.New(t)
	var b *testBox
	for n := 0; b == nil || !b.active["a"].has(b.settings.Box); n++ {
		b = newLargeRegionBox(fmt.Sprintf("box-%03d", n), largeBoxes)
	}
	other := newLargeRegionBox("outside", largeBoxes)
	id := replicas("a", 3)[2].ID
	is.Equal(len(b.loadReportPackets(start, lowest)), 0) // no reports
	b.receiveLoadReports([]roster.CompactLoadReport{{
		Replica:  roster.ReplicaIDOf(id),
		Age:      100 * time.Millisecond,
		Requests: 7,
		Waiting:  2,
	}}, start)
	packets := b.loadReportPackets(start, lowest)
	is.Equal(len(packets), 2)
	for _, p := range packets {
		got, err := roster.DecodeCompact(p.Buf)
		is.NoErr(err)
		other.receiveCompact(got, "peers of "+b.settings.Box, start)
	}
	words := other.view.BusyReports(start)
	is.Equal(len(words), 1)
	is.Equal(words[0].Replica, id)
	is.Equal(words[0].Requests, 7)
	is.Equal(len(newLargeRegionBox("box-000", 9).loadReportPackets(start, lowest)), 0)
}

// Guards against regions whose capacity expires because only active boxes' reports are used.
func TestAnyBoxOfALargeRegionSendsItsCapacity(t *testing.T) {
	is := is.New(t)
	b := newLargeRegionBox("box-000", largeBoxes)
	b.chooseActive(wire.ServingStateServing, start)
	told := 0
	for n := range largeBoxes {
		name := fmt.Sprint(regions[1], "-", n)
		if b.active[regions[1]].has(name) {
			continue
		}
		told++
		b.receiveStatus(status(name, regions[1]), start+time.Second, wire.ServiceRoom{
			Service: service,
			Usable:  7,
		})
		break
	}
	is.Equal(told, 1)
	for _, f := range b.remoteRegions(ask(&policy(1).Routes[0]), start+time.Second) {
		if f.region == regions[1] {
			is.Equal(f.estimate.Usable, 7)
			is.Equal(len(f.boxes), maxActive)
			return
		}
	}
	t.Fatal("the region is not among those that could take a request")
}
