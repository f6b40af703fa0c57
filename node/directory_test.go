package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/wire"
)

const (
	leavingState  = wire.ServingStateLeaving
	startingState = wire.ServingStateStarting
)

// receiveState makes the box receive the status of another one in a state, closed to callers or not.
func (b *testBox) receiveState(name, region string, state wire.ServingState, closed bool, now time.Duration) {
	s := status(name, region)
	s.State = state
	if closed {
		s.Callers = ""
	}
	b.receiveStatus(s, now)
}

func callersOf(names ...string) []string {
	var out []string
	for _, n := range names {
		out = append(out, "callers of "+n)
	}
	return out
}

func TestCallersAreNamedTheServingBoxesOfTheirRegion(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	b.receiveState("near", "a", "", false, start)
	b.receiveState("goes", "a", leavingState, false, start)
	b.receiveState("begins", "a", startingState, false, start)
	b.receiveState("far", "b", "", false, start)
	is.Equal(b.directoryAddrs(host, "a", servingState, start), callersOf("near", "self"))
	is.Equal(b.directoryAddrs(host, "a", leavingState, start), callersOf("near"))
	is.Equal(b.directoryAddrs(host, "b", servingState, start), callersOf("far"))
}

func TestCallersOfARegionWithoutBoxesAreNamedTheHomesOfTheData(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	b.publish(2, policy(2, "b"), nil)
	b.receiveState("home", "b", "", false, start)
	b.receiveState("far", "c", "", false, start)
	b.receiveState("goes", "d", leavingState, false, start)
	is.Equal(b.directoryAddrs(host, "d", servingState, start), callersOf("home"))
	is.Equal(b.directoryAddrs("SHOP.example:80", "d", servingState, start), callersOf("home"))
	is.Equal(b.directoryAddrs("other.example", "d", servingState, start), callersOf("goes")) // its data may enter any region
}

func TestAHomeOfSomeDataOfAHostIsNotOneOfAll(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	p := policy(2, "b", "c")
	p.Routes = append(p.Routes, *route("c"))
	b.publish(2, p, nil)
	b.receiveState("some", "b", "", false, start)
	b.receiveState("all", "c", "", false, start)
	is.Equal(b.directoryAddrs(host, "d", servingState, start), callersOf("all"))
}

func TestCallersOfAHostWithBoundDataAreNamedNoBoxOutsideItsHomes(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "c", 0)
	b.publish(2, policy(2, "a", "b"), nil)
	b.receiveState("goes", "b", leavingState, false, start)
	b.receiveState("begins", "a", startingState, false, start)
	is.Equal(b.directoryAddrs(host, "a", servingState, start), callersOf("goes")) // a leaving box may process the data
	b.receiveState("goes", "b", leavingState, true, start+time.Millisecond)
	is.Equal(len(b.directoryAddrs(host, "a", servingState, start+time.Millisecond)), 0)
	is.Equal(b.directoryAddrs("other.example", "a", servingState, start), callersOf("self")) // its data may enter any region
	is.Equal(b.directoryAddrs(host, "c", servingState, start), callersOf("self"))            // the caller's own region
}

func TestCallersAreNamedTheHomeOfNearlyAllThatTheyAskFor(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "c", 0)
	p := policy(2, "a", "b")
	rare := *route("a")
	rare.Name = "rare"
	p.Routes = append(p.Routes, rare)
	b.publish(2, p, nil)
	b.receiveState("home", "b", "", false, start)
	named := func() []string { return b.directoryAddrs(host, "a", servingState, start) }
	is.Equal(len(named()), 0) // no requests are counted
	ask := func(name string, n int) {
		for range n {
			b.countRouteRequest(name, start)
		}
	}
	ask(p.Routes[0].Name, 19)
	is.Equal(len(named()), 0) // too few are
	ask(p.Routes[0].Name, 78)
	ask("rare", 3)
	is.Equal(named(), callersOf("home"))
	ask("rare", 1)
	is.Equal(len(named()), 0) // more than three in a hundred may not enter b
	b.publish(3, policy(3, "a"), nil)
	is.Equal(len(b.routeRequests), 1) // the rare route is gone
}

func TestABoxWithoutAPolicyNamesNoBoxOfAnotherRegion(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	b.state = newState(b.settings, b.self, 0)
	b.receiveState("far", "b", "", false, start)
	is.Equal(len(b.directoryAddrs(host, "a", servingState, start)), 0) // the data may be restricted to some regions
	is.Equal(b.directoryAddrs(host, "b", servingState, start), callersOf("far"))
}

func TestBoxesThatLeaveAreNamedBeforeThoseOfOtherRegions(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	b.receiveState("goes", "b", leavingState, false, start)
	is.Equal(b.directoryAddrs(host, "b", servingState, start), callersOf("goes"))
	b.receiveState("goes", "b", leavingState, true, start+time.Millisecond)
	is.Equal(b.directoryAddrs(host, "b", servingState, start+time.Millisecond), callersOf("self"))
	is.Equal(b.directoryAddrs(host, "a", leavingState, start), callersOf("self")) // it leaves itself, and there is no other
	is.Equal(len(b.directoryAddrs(host, "a", closedState, start)), 0)
}

func TestASilentBoxIsNotNamed(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	b.receiveState("near", "a", "", false, start)
	b.receiveState("goes", "b", leavingState, false, start)
	later := start + 3*time.Second
	is.Equal(b.directoryAddrs(host, "a", servingState, later), callersOf("self"))
	is.Equal(b.directoryAddrs(host, "b", servingState, later), callersOf("self"))
}

func TestABoxWithoutAPolicyNamesOthersOnly(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	b.state = newState(b.settings, b.self, 0)
	is.Equal(len(b.directoryAddrs(host, "a", servingState, start)), 0)
	b.receiveState("near", "a", "", false, start)
	is.Equal(b.directoryAddrs(host, "a", servingState, start), callersOf("near"))
}

func TestADirectoryAnswerHasAMaximumOfBoxes(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	for n := range 3 * maxDirectoryAddrs {
		b.receiveState(fmt.Sprintf("box-%03d", n), "a", "", false, start)
	}
	got := b.directoryAddrs(host, "a", servingState, start)
	is.Equal(len(got), 64)
	is.Equal(len(slices.Compact(slices.Clone(got))), 64) // each once
}

// peerState is a box as received.
type peerState struct {
	name, region string
	state        wire.ServingState
	closed, dead bool
}

// States of this box in directory requests.
const (
	servingState = wire.ServingStateServing
	closedState  = wire.ServingState("")
)

func drawPeers(t *rapid.T) []peerState {
	var out []peerState
	for n := range rapid.IntRange(0, 8).Draw(t, "boxes") {
		out = append(out, peerState{
			name:   fmt.Sprint("box-", n),
			region: rapid.SampledFrom(regions).Draw(t, "region"),
			state:  rapid.SampledFrom([]wire.ServingState{"", startingState, leavingState}).Draw(t, "state"),
			closed: rapid.IntRange(0, 3).Draw(t, "closed") == 0,
			dead:   rapid.IntRange(0, 3).Draw(t, "dead") == 0,
		})
	}
	return out
}

func TestBoxesAreNamedInTheOrderOfTheirUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBox("self", "a", 0)
		homes := some(t, regions, "home")
		b.publish(2, policy(2, homes...), nil)
		peers := drawPeers(t)
		now := start + time.Minute
		for _, p := range peers {
			heard := now
			if p.dead {
				heard = now - 10*time.Second
			}
			b.receiveState(p.name, p.region, p.state, p.closed, heard)
		}
		own := rapid.SampledFrom([]wire.ServingState{servingState, leavingState, closedState}).Draw(t, "own")
		self := peerState{
			name:   "self",
			region: "a",
			closed: own == closedState,
		}
		if own != servingState {
			self.state = leavingState
		}
		region := rapid.SampledFrom(regions).Draw(t, "asked")
		got := b.directoryAddrs(host, region, own, now)
		want := callersOf(expect(append(peers, self), homes, region)...)
		slices.Sort(want)
		if !slices.Equal(got, want) {
			t.Fatalf("named %v, want %v", got, want)
		}
	})
}

// expect returns the boxes that a directory answer for a region has to contain.
func expect(peers []peerState, homes []string, region string) []string {
	steps := []func(p peerState) bool{
		func(p peerState) bool { return p.state == "" && p.region == region },
		func(p peerState) bool { return p.state == "" && slices.Contains(homes, p.region) },
		func(p peerState) bool { return p.state == leavingState && p.region == region },
		func(p peerState) bool { return p.state == leavingState && slices.Contains(homes, p.region) },
		func(p peerState) bool { return p.state == "" && len(homes) == 0 },
	}
	for _, step := range steps {
		var out []string
		for _, p := range peers {
			if !p.dead && !p.closed && step(p) {
				out = append(out, p.name)
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}
