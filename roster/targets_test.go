package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/wire"
)

func pickFirst(int) int { return 0 }

func pickLast(n int) int { return n - 1 }

// receiveHeartbeats lets a table receive heartbeats of n boxes of a region at now.
func receiveHeartbeats(tab *Table, region string, n int, now time.Duration) {
	for i := range n {
		tab.Receive(status(fmt.Sprintf("%s-%02d", region, i), region, 1, int(now/Tick)+1), true, now)
	}
}

func TestTheOwnRegionIsSentToAtEachTickAndOthersAtEachSecond(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0), WithSeeds([]string{"seed:1"}))
	receiveHeartbeats(tab, "north", 2, 0)
	receiveHeartbeats(tab, "south", 5, 0)
	receiveHeartbeats(tab, "west", 1, 0)
	own := []string{"north-00:1", "north-01:1"}
	far := append(slices.Clone(own), "south-00:1", "south-01:1", "west-00:1")
	is.Equal(tab.Targets(0, pickFirst), append(slices.Clone(far), "seed:1"))
	for range startupTicks - 1 { // a box that starts also sends to other regions
		is.Equal(tab.Targets(0, pickFirst), far)
	}
	is.Equal(tab.Targets(0, pickFirst), far)
	is.Equal(tab.Targets(0, pickFirst), own) // four ticks are a second
	is.Equal(tab.Targets(0, pickFirst), append(slices.Clone(own), "seed:1"))
	is.Equal(tab.Targets(0, pickFirst), own)
	is.Equal(tab.Targets(0, pickLast), append(slices.Clone(own), "south-04:1", "south-00:1", "west-00:1"))
	for range 3 {
		is.Equal(tab.Targets(0, pickLast), own)
	}
}

func TestALargeRegionIsSentToInTurn(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0))
	receiveHeartbeats(tab, "north", 40, 0)
	count := make(map[string]int)
	for range 5 {
		list := tab.Targets(0, pickFirst)
		is.Equal(len(list), maxNearTargets)
		for _, addr := range list {
			count[addr]++
		}
	}
	is.Equal(len(count), 40) // five rounds of 16 reach each of 40 twice
	for addr, n := range count {
		if n != 2 {
			t.Errorf("%s was sent to %d times", addr, n)
		}
	}
}

func TestSeedsAreContactedUntilOthersAreAliveAndAtTimesAfterwards(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0), WithSeeds([]string{"seed:1", "a:1", "seed:1", ""}))
	contacted := func() bool { return slices.Contains(tab.Targets(0, pickFirst), "seed:1") }
	is.Equal(tab.Targets(0, pickFirst), []string{"seed:1"}) // without itself, once
	for range 20 {
		is.True(contacted())
	}
	receiveHeartbeats(tab, "north", 2, 0)
	n := 0
	for range 3 * seedProbeEvery {
		if contacted() {
			n++
		}
	}
	is.Equal(n, 3)
}

func TestSilentMembersAreProbedAtOneTickInFour(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0))
	tab.Receive(status("b", "south", 1, 1), true, 0)
	probed := func(now time.Duration) int {
		n := 0
		for range 2 * silentProbeEvery * seedProbeEvery {
			n += len(tab.Targets(now, pickFirst))
		}
		return n
	}
	is.Equal(probed(aliveTimeout+1), 2*seedProbeEvery)
	is.Equal(probed(partitionWindow-1), 2*seedProbeEvery)
	is.Equal(probed(partitionWindow), 2*silentProbeEvery) // at the interval of seeds
	is.Equal(probed(memberTTL+1), 0)
}

func TestADigestRelaysEachLiveBoxInTurn(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0))
	tab.Receive(status("dead", "south", 1, 1), true, 0)
	receiveHeartbeats(tab, "south", 10, aliveTimeout+Tick)
	now := aliveTimeout + Tick
	var got []string
	for range 5 {
		list := tab.Digest(now, 2)
		is.Equal(len(list), 2)
		for _, s := range list {
			got = append(got, s.Box)
		}
	}
	slices.Sort(got)
	is.Equal(len(slices.Compact(got)), 10)
	is.True(!slices.Contains(got, "dead"))
	is.Equal(len(tab.Digest(now, 0)), 0)
}

func TestADigestBeginsWithTheLatestSeen(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0))
	for i, name := range []string{"b", "d", "c"} {
		tab.Receive(withLoad(status(name, "south", 1, 1), "r"), true, time.Duration(i)*Tick)
	}
	var got []string
	for _, s := range tab.Digest(time.Second, 9) {
		got = append(got, s.Box)
		is.Equal(len(s.Loads), 0)
	}
	is.Equal(got, []string{"c", "d", "b"})
	is.Equal(len(tab.Members()[0].Status.Loads), 1) // the table keeps them
}

func TestADigestHasTheCapacityOfOneBoxOfEachRegion(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0))
	for _, name := range []string{"b", "c"} {
		tab.Receive(withCapacity(status(name, "south", 1, 1), 3), true, 0)
	}
	tab.Receive(withCapacity(status("d", "west", 1, 1), 3), true, 0)
	var got []int
	for _, s := range tab.Digest(0, 9) {
		got = append(got, len(s.Rooms))
	}
	is.Equal(got, []int{1, 0, 1})
}

func TestADigestPrefersOtherRegions(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0))
	receiveHeartbeats(tab, "north", 1, 0)
	receiveHeartbeats(tab, "south", 2, 0)
	count := make(map[string]int)
	for range nearDigestInterval {
		for _, s := range tab.Digest(0, 1) {
			count[s.Region]++
		}
	}
	is.Equal(count["north"], 1)
	is.Equal(count["south"], nearDigestInterval-1)
}

func TestADigestFitsItsPartOfADatagram(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0))
	receiveHeartbeats(tab, "south", 60, 0)
	list := tab.Digest(0, 60)
	is.True(len(list) > 3)
	g, err := Encode(wire.Gossip{
		From:   fullStatus("a", 0, 30),
		Others: list,
	})
	is.NoErr(err)
	got, err := Decode(g)
	is.NoErr(err)
	is.Equal(len(got.Others), len(list)) // none is left out for the sender's loads
}

func TestFreshStatusesOfOtherRegionsGoFirstButDoNotKeepOthersOut(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0))
	tab.Receive(status("told", "west", 1, 1), false, 0) // its region may already have it
	receiveHeartbeats(tab, "north", 1, 0)
	count := make(map[string]int)
	for i := range 4 * unprioritizedEvery {
		now := time.Duration(i) * Tick / 2
		tab.Receive(status("south-00", "south", 1, i+1), true, now) // a newer status each time
		for _, s := range tab.Digest(now, 1) {
			count[s.Box]++
		}
	}
	is.Equal(count["south-00"], 3*unprioritizedEvery)
	is.Equal(count["told"]+count["north-00"], unprioritizedEvery)
	is.Equal(count["north-00"], 1)
}
