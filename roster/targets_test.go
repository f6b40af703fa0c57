package roster

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/wire"
)

func first(int) int { return 0 }

func last(n int) int { return n - 1 }

// crowd lets a table hear n boxes of a region at now.
func crowd(tab *Table, region string, n int, now time.Duration) {
	for i := range n {
		tab.Hear(status(fmt.Sprintf("%s-%02d", region, i), region, 1, int(now/Tick)+1), true, now)
	}
}

func TestTheOwnRegionIsSentToAtEachTickAndOthersAtEachSecond(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0), WithSeeds([]string{"seed:1"}))
	crowd(tab, "north", 2, 0)
	crowd(tab, "south", 5, 0)
	crowd(tab, "west", 1, 0)
	own := []string{"north-00:1", "north-01:1"}
	far := append(slices.Clone(own), "south-00:1", "south-01:1", "west-00:1")
	is.Equal(tab.Targets(0, first), append(slices.Clone(far), "seed:1"))
	for range eagerTicks - 1 { // a box that starts makes itself known
		is.Equal(tab.Targets(0, first), far)
	}
	is.Equal(tab.Targets(0, first), far)
	is.Equal(tab.Targets(0, first), own) // four ticks are a second
	is.Equal(tab.Targets(0, first), append(slices.Clone(own), "seed:1"))
	is.Equal(tab.Targets(0, first), own)
	is.Equal(tab.Targets(0, last), append(slices.Clone(own), "south-04:1", "south-00:1", "west-00:1"))
	for range 3 {
		is.Equal(tab.Targets(0, last), own)
	}
}

func TestALargeRegionIsSentToInTurn(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0))
	crowd(tab, "north", 40, 0)
	count := make(map[string]int)
	for range 5 {
		list := tab.Targets(0, first)
		is.Equal(len(list), ownTargets)
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

func TestSeedsAreAskedUntilOthersAreAliveAndNowAndThenAfterwards(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0), WithSeeds([]string{"seed:1", "a:1", "seed:1", ""}))
	asked := func() bool { return slices.Contains(tab.Targets(0, first), "seed:1") }
	is.Equal(tab.Targets(0, first), []string{"seed:1"}) // without itself, once
	for range 20 {
		is.True(asked())
	}
	crowd(tab, "north", 2, 0)
	n := 0
	for range 3 * seedEvery {
		if asked() {
			n++
		}
	}
	is.Equal(n, 3)
}

func TestSilentMembersAreTriedAtOneTickInFour(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0))
	tab.Hear(status("b", "south", 1, 1), true, 0)
	tried := func(now time.Duration) int {
		n := 0
		for range 2 * silentEvery * seedEvery {
			n += len(tab.Targets(now, first))
		}
		return n
	}
	is.Equal(tried(aliveFor+1), 2*seedEvery)
	is.Equal(tried(silentFor-1), 2*seedEvery)
	is.Equal(tried(silentFor), 2*silentEvery) // at the pace of seeds
	is.Equal(tried(forgetAfter+1), 0)
}

func TestADigestPassesOnEachLivingBoxInItsTurn(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0))
	tab.Hear(status("dead", "south", 1, 1), true, 0)
	crowd(tab, "south", 10, aliveFor+Tick)
	now := aliveFor + Tick
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

func TestADigestBeginsWithTheMostRecentlyHeard(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0))
	for i, name := range []string{"b", "d", "c"} {
		tab.Hear(withLoad(status(name, "south", 1, 1), "r"), true, time.Duration(i)*Tick)
	}
	var got []string
	for _, s := range tab.Digest(time.Second, 9) {
		got = append(got, s.Box)
		is.Equal(len(s.Loads), 0)
	}
	is.Equal(got, []string{"c", "d", "b"})
	is.Equal(len(tab.Members()[0].Status.Loads), 1) // the table keeps them
}

func TestADigestHasTheRoomsOfOneBoxOfEachRegion(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0))
	for _, name := range []string{"b", "c"} {
		tab.Hear(withRoom(status(name, "south", 1, 1), 3), true, 0)
	}
	tab.Hear(withRoom(status("d", "west", 1, 1), 3), true, 0)
	var got []int
	for _, s := range tab.Digest(0, 9) {
		got = append(got, len(s.Rooms))
	}
	is.Equal(got, []int{1, 0, 1})
}

func TestADigestPrefersOtherRegions(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0))
	crowd(tab, "north", 1, 0)
	crowd(tab, "south", 2, 0)
	count := make(map[string]int)
	for range ownPause {
		for _, s := range tab.Digest(0, 1) {
			count[s.Region]++
		}
	}
	is.Equal(count["north"], 1)
	is.Equal(count["south"], ownPause-1)
}

func TestADigestFitsItsPartOfADatagram(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0))
	crowd(tab, "south", 60, 0)
	list := tab.Digest(0, 60)
	is.True(len(list) > 3)
	g, err := Encode(wire.Gossip{
		From:   full("a", 0, 30),
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
	tab.Hear(status("told", "west", 1, 1), false, 0) // second-hand: the region may know it already
	crowd(tab, "north", 1, 0)
	count := make(map[string]int)
	for i := range 4 * plainEvery {
		now := time.Duration(i) * Tick / 2
		tab.Hear(status("south-00", "south", 1, i+1), true, now) // news each time
		for _, s := range tab.Digest(now, 1) {
			count[s.Box]++
		}
	}
	is.Equal(count["south-00"], 3*plainEvery)
	is.Equal(count["told"]+count["north-00"], plainEvery)
	is.Equal(count["north-00"], 1)
}
