package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/placement"
)

const subjects = 400

// fleet returns a box of each region, with records of all others and with a number of
// replicas by region.
func fleet(usable map[string]int, now time.Duration) []*testBox {
	boxes := make([]*testBox, 0, len(regions))
	for _, region := range regions {
		boxes = append(boxes, newBox("box-"+region, region, usable[region]))
	}
	for _, from := range boxes {
		g := from.message(now)
		for _, to := range boxes {
			if to != from {
				to.receive(g, now)
			}
		}
	}
	return boxes
}

func (b *testBox) homeOf(q ingress.TargetQuery, now time.Duration) string {
	here := b.view.Estimate(q.Request, b.sharers(now), now)
	return b.homeRegion(q, here, b.remoteRegions(q, now))
}

func TestAllBoxesAgreeOnTheHomeRegionOfAPrompt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usable := make(map[string]int)
		for _, region := range regions {
			usable[region] = rapid.IntRange(0, 5).Draw(t, region)
		}
		boxes := fleet(usable, start)
		r := route(some(t, regions, "home")...)
		for n := range 20 {
			q := askShared(r, fmt.Sprint("part-", n))
			home := boxes[0].homeOf(q, start)
			for _, b := range boxes[1:] {
				if got := b.homeOf(q, start); got != home {
					t.Fatalf("%s: %s says %q, %s says %q", q.Request.RoutingKey(), boxes[0].self.Box, home, b.self.Box, got)
				}
			}
			if home != "" && (usable[home] == 0 || !r.Allows(home)) {
				t.Fatalf("home %s has %d replicas, the data may enter %v", home, usable[home], r.Homes)
			}
		}
	})
}

func TestHomesFollowTheNumberOfUsableReplicas(t *testing.T) {
	is := is.New(t)
	usable := map[string]int{"a": 1, "b": 3, "c": 4}
	count := make(map[string]int)
	b := fleet(usable, start)[3] // the one of the region without replicas
	for n := range subjects {
		count[b.homeOf(askShared(route(), fmt.Sprint("part-", n)), start)]++
	}
	is.Equal(count["d"], 0)
	for region, n := range usable {
		want := subjects * n / 8
		is.True(count[region] > want/2 && count[region] < 2*want) // in proportion
	}
}

func TestOnlyThePromptsOfALostRegionGetANewHome(t *testing.T) {
	is := is.New(t)
	before := fleet(map[string]int{"a": 2, "b": 2, "c": 2}, start)[0]
	then := fleet(map[string]int{"a": 2, "b": 2}, start)[0]
	for n := range subjects {
		q := askShared(route(), fmt.Sprint("part-", n))
		was := before.homeOf(q, start)
		is.True(was == "c" || then.homeOf(q, start) == was)
	}
}

func TestAPromptWithFewSharedTokensHasNoHome(t *testing.T) {
	is := is.New(t)
	b := fleet(map[string]int{"a": 1, "b": 1}, start)[0]
	q := askShared(route(), "part")
	q.Request.Segments[0].Tokens = minSharedTokens - 1
	is.Equal(b.homeOf(q, start), "")
	q.Request.Segments[0].Tokens = minSharedTokens
	is.True(b.homeOf(q, start) != "")
}

func TestTheHomeOfAPromptIsPreferredAmongOtherRegions(t *testing.T) {
	is := is.New(t)
	b := fleet(map[string]int{"b": 2, "c": 2}, start)[0]
	for n := range subjects {
		q := askShared(route(), fmt.Sprint("part-", n))
		is.Equal(b.place(q, start, lowest).Region, b.homeOf(q, start))
	}
}

// Guards against a request that stays at the local preferred replica for its segments though
// another region caches them.
func TestAPromptGoesToTheHomeOfItsSegmentsAlsoWhereThisRegionHasReplicas(t *testing.T) {
	is := is.New(t)
	b := fleet(map[string]int{"a": 2, "b": 2, "c": 2}, start)[0]
	away := 0
	for n := range subjects {
		q := askShared(route(), fmt.Sprint("part-", n))
		home := b.homeOf(q, start)
		if home == "a" {
			home = ""
		}
		got := b.place(q, start, lowest)
		is.Equal(got.Region, home)
		b.view.End(&got.Choice, placement.Answered, 0, start)
		if home != "" {
			away++
		}
	}
	is.True(away > subjects/2)
}

// regionOf returns where a box without local replicas places a request.
func (b *testBox) regionOf(now time.Duration, waitB, waitC time.Duration) string {
	b.receiveStatus(status("box-b", "b"), now, serviceCapacity(3, waitB))
	b.receiveStatus(status("box-c", "c"), now, serviceCapacity(3, waitC))
	return b.place(ask(route()), now, lowest).Region
}

func TestARegionThatFailsRequestsIsAvoidedAndUsedAgainLater(t *testing.T) {
	is := is.New(t)
	const far = 20 * time.Millisecond // by which c is slower, without expected loss
	b := newBox("self", "a", 0)
	is.Equal(b.regionOf(start, 0, far), "b")
	for n := range 5 {
		b.recordRegionResult("b", false, start+time.Duration(n)*time.Millisecond)
	}
	now := start + 100*time.Millisecond
	is.Equal(b.regionOf(now, 0, far), "c")
	now += time.Minute
	is.Equal(b.regionOf(now, 0, far), "b")
}

func TestAnswersOutweighEarlierFailuresOfARegion(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	for range 10 {
		b.recordRegionResult("b", false, start)
	}
	failing := b.regionFailures["b"].Share(start)
	is.True(failing > 0.8 && failing < 1)
	for range 10 {
		b.recordRegionResult("b", true, start)
	}
	is.True(b.regionFailures["b"].Share(start) < 0.2)
	is.Equal(b.regionFailures["c"].Share(start), 0.0) // the others are as before
}

func TestWhereAllRegionsFailTheOneThatFailsLessIsUsed(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	for range 5 {
		b.recordRegionResult("b", false, start)
	}
	b.recordRegionResult("c", false, start)
	is.Equal(b.regionOf(start+time.Millisecond, 0, 0), "c")
}

func TestALocalServiceInTimeIsNotLeftForARegionThatFails(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	b.receiveStatus(status("box-b", "b"), start, serviceCapacity(3, 0))
	for range 20 {
		b.recordRegionResult("b", false, start)
	}
	got := b.place(ask(route()), start, lowest)
	is.Equal(got.Region, "b") // there is no other
}
