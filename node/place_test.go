package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	sceneBoxes = 6  // boxes of all regions
	actions    = 60 // per run
)

// scene is a box that receives messages, with the expected records.
type scene struct {
	*rapid.T
	box           *testBox
	now           time.Duration
	last          map[string]wire.BoxStatus
	lastSeen      map[string]time.Duration
	unreachableAt map[string]time.Duration
	rev           int64
}

func newScene(t *rapid.T) *scene {
	return &scene{
		T:             t,
		box:           newBox("self", "a", rapid.IntRange(0, 3).Draw(t, "replicas")),
		now:           start,
		last:          make(map[string]wire.BoxStatus),
		lastSeen:      make(map[string]time.Duration),
		unreachableAt: make(map[string]time.Duration),
		rev:           1,
	}
}

func (s *scene) name() (name, region string) {
	n := rapid.IntRange(0, sceneBoxes-1).Draw(s.T, "box")
	return fmt.Sprint("box-", n), regions[n%len(regions)]
}

func (s *scene) receive(*rapid.T) {
	name, region := s.name()
	b := status(name, region)
	b.State = rapid.SampledFrom([]wire.ServingState{"", wire.ServingStateServing, wire.ServingStateStarting, wire.ServingStateLeaving}).Draw(s.T, "state")
	if s.last[name].State == wire.ServingStateLeaving {
		b.State = wire.ServingStateLeaving // one that leaves doesn't come back
	}
	if rapid.IntRange(0, 5).Draw(s.T, "address") == 0 {
		b.Forward = ""
	}
	var rooms []wire.ServiceRoom
	if rapid.Bool().Draw(s.T, "tells") {
		wait := rapid.SampledFrom([]time.Duration{0, time.Second, noCapacityWait}).Draw(s.T, "wait")
		rooms = append(rooms, serviceCapacity(rapid.IntRange(0, 4).Draw(s.T, "usable"), wait))
	}
	s.now += time.Millisecond // each is newer than the last
	s.box.receiveStatus(b, s.now, rooms...)
	b.Rooms = rooms
	s.last[name] = b
	s.lastSeen[name] = s.now
}

func (s *scene) advance(*rapid.T) {
	s.now += time.Duration(rapid.IntRange(1, 1500).Draw(s.T, "ms")) * time.Millisecond
}

func (s *scene) markUnreachable(*rapid.T) {
	name, _ := s.name()
	s.box.markUnreachable(name, s.now)
	s.unreachableAt[name] = s.now
}

func (s *scene) recordRegionResult(*rapid.T) {
	s.box.recordRegionResult(rapid.SampledFrom(regions[1:]).Draw(s.T, "region"), rapid.Bool().Draw(s.T, "answered"), s.now)
}

func (s *scene) publish(*rapid.T) {
	s.rev++
	s.box.publish(s.rev, policy(1), replicas("a", rapid.IntRange(0, 3).Draw(s.T, "replicas")))
}

func some(t *rapid.T, of []string, label string) []string {
	return slices.DeleteFunc(slices.Clone(of), func(string) bool { return !rapid.Bool().Draw(t, label) })
}

func (s *scene) ask() ingress.TargetQuery {
	q := ask(route(some(s.T, regions, "home")...))
	if rapid.Bool().Draw(s.T, "shared") {
		q = askShared(q.Route, fmt.Sprint("part-", rapid.IntRange(0, 20).Draw(s.T, "part")))
	}
	q.Forwarded = rapid.IntRange(0, 4).Draw(s.T, "relayed") == 0
	q.ExcludedRegions = some(s.T, regions[1:], "refused")
	q.TriedBoxes = some(s.T, []string{"box-1", "box-2", "box-3"}, "tried")
	return q
}

func (s *scene) place(*rapid.T) {
	q := s.ask()
	t := s.box.place(q, s.now, func(n int) int { return rapid.IntRange(0, n-1).Draw(s.T, "draw") })
	switch {
	case t.Reason != placement.None:
		if t.Box != "" || t.Choice.Incarnation != "" || t.RetryAfter <= 0 {
			s.Fatalf("no target for the reason %q, but got %+v", t.Reason, t)
		}
	case t.Box != "":
		s.checkRemote(q, t)
	case t.Choice.Incarnation == "" || !q.Route.Allows("a"):
		s.Fatalf("data bound to %v, placed at %+v", q.Route.Homes, t.Choice)
	default:
		s.box.view.End(&t.Choice, placement.Answered, time.Millisecond, s.now)
	}
}

func (s *scene) checkRemote(q ingress.TargetQuery, t ingress.Target) {
	b := s.last[t.Box]
	lost, wasLost := s.unreachableAt[t.Box]
	switch {
	case q.Forwarded:
		s.Fatalf("forwarded to a third box")
	case t.Choice.Incarnation != "" || t.Region != b.Region || t.BoxAddr != b.Forward || b.Forward == "":
		s.Fatalf("%s sent %+v, the target is %+v", t.Box, b, t)
	case t.Region == "a" || !q.Route.Allows(t.Region):
		s.Fatalf("data bound to %v, sent to %s", q.Route.Homes, t.Region)
	case slices.Contains(q.ExcludedRegions, t.Region) || slices.Contains(q.TriedBoxes, t.Box):
		s.Fatalf("%s of %s was tried before", t.Box, t.Region)
	case b.State != "" && b.State != wire.ServingStateServing:
		s.Fatalf("%s is %s", t.Box, b.State)
	case s.now-s.lastSeen[t.Box] > 2500*time.Millisecond:
		s.Fatalf("%s sent its last status %v ago", t.Box, s.now-s.lastSeen[t.Box])
	case wasLost && s.lastSeen[t.Box] <= lost:
		s.Fatalf("%s could not be reached and sent no status since", t.Box)
	}
}

func TestRequestsGoOnlyWhereTheirDataMayBeAndWhereTheyAreTaken(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newScene(rt)
		actionsOf := map[string]func(*rapid.T){
			"hear":    s.receive,
			"again":   s.receive,
			"pass":    s.advance,
			"lose":    s.markUnreachable,
			"cross":   s.recordRegionResult,
			"publish": s.publish,
			"place":   s.place,
			"other":   s.place,
		}
		names := []string{"hear", "again", "pass", "lose", "cross", "publish", "place", "other"}
		for range actions {
			actionsOf[rapid.SampledFrom(names).Draw(rt, "action")](rt)
		}
	})
}

func TestDataBoundToAnotherRegionWaitsWhereNoneIsReachable(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 3)
	b.receiveStatus(status("box-c", "c"), start, serviceCapacity(3, 0))
	got := b.place(ask(route("b")), start, lowest)
	is.Equal(got.Reason, placement.NoReplica)
	is.Equal(got.Box, "")
	is.True(got.RetryAfter > 0)
}

func TestDataBoundToAnotherRegionGoesThereAlsoWhenItIsSlow(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 3)
	b.receiveStatus(status("box-b", "b"), start, serviceCapacity(1, 20*time.Second))
	got := b.place(ask(route("b")), start, lowest)
	is.Equal(got.Box, "box-b")
	is.Equal(got.BoxAddr, "forward of box-b")
}

func TestARegionThatRefusedIsNotAskedAgain(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	b.receiveStatus(status("box-b", "b"), start, serviceCapacity(3, 0))
	b.receiveStatus(status("box-c", "c"), start, serviceCapacity(3, time.Second))
	q := ask(route())
	is.Equal(b.place(q, start, lowest).Region, "b")
	q.ExcludedRegions = []string{"b"}
	is.Equal(b.place(q, start, lowest).Region, "c")
	q.ExcludedRegions = []string{"b", "c"}
	is.Equal(b.place(q, start, lowest).Reason, placement.NoReplica)
}

// Guards against the use of a box whose datagrams pass a partition in one direction.
func TestAnUnreachableBoxIsUsedAgainAfterItsBackOffAndAHeartbeat(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	now := start
	for _, out := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
		b.receiveStatus(status("box-b", "b"), now, serviceCapacity(3, 0))
		is.Equal(b.place(ask(route()), now, lowest).Box, "box-b")
		b.markUnreachable("box-b", now)
		now += out - time.Millisecond
		b.receiveStatus(status("box-b", "b"), now, serviceCapacity(3, 0))
		is.Equal(b.place(ask(route()), now, lowest).Box, "")
		now += time.Millisecond
	}
	b.receiveStatus(status("box-b", "b"), now, serviceCapacity(3, 0))
	is.Equal(b.place(ask(route()), now, lowest).Box, "box-b")
	b.markReached("box-b")
	b.markUnreachable("box-b", now)
	now += time.Second
	b.receiveStatus(status("box-b", "b"), now, serviceCapacity(3, 0))
	is.Equal(b.place(ask(route()), now, lowest).Box, "box-b") // the back-off starts again
}

func TestRequestsThatFailTogetherLeaveABoxOutOnce(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	b.receiveStatus(status("box-b", "b"), start, serviceCapacity(3, 0))
	for n := range 6 {
		b.markUnreachable("box-b", start+time.Duration(n)*70*time.Millisecond)
	}
	later := start + time.Second
	b.receiveStatus(status("box-b", "b"), later, serviceCapacity(3, 0))
	is.Equal(b.place(ask(route()), later, lowest).Box, "box-b")
}

func TestOneRequestAtATimeTriesABoxThatWasNotReached(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	b.receiveStatus(status("box-b", "b"), start, serviceCapacity(3, 0))
	b.markUnreachable("box-b", start)
	tried := start + time.Second
	b.receiveStatus(status("box-b", "b"), tried, serviceCapacity(3, 0))
	is.Equal(b.place(ask(route()), tried, lowest).Box, "box-b")
	is.Equal(b.place(ask(route()), tried+10*time.Millisecond, lowest).Box, "")
	is.Equal(b.place(ask(route()), tried+probeWindow, lowest).Box, "box-b") // the probe has no result
	b.markReached("box-b")
	is.Equal(b.place(ask(route()), tried+probeWindow, lowest).Box, "box-b")
	is.Equal(b.place(ask(route()), tried+probeWindow, lowest).Box, "box-b")
}

func TestAnUnreachableBoxIsNotUsedBeforeItsNextHeartbeat(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	b.receiveStatus(status("box-b", "b"), start, serviceCapacity(3, 0))
	b.markUnreachable("box-b", start+time.Millisecond)
	is.Equal(b.place(ask(route()), start+1500*time.Millisecond, lowest).Box, "")
}

func TestAForwardedRequestGoesToNoThirdBox(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	b.receiveStatus(status("box-b", "b"), start, serviceCapacity(3, 0))
	q := ask(route())
	q.Forwarded = true
	is.Equal(b.place(q, start, lowest).Reason, placement.NoReplica)
	_, found := b.alternative(q, start, lowest)
	is.True(!found)
	q.Forwarded = false
	other, found := b.alternative(q, start, lowest)
	is.True(found)
	is.Equal(other.Box, "box-b")
}

func TestARegionWithoutAReportIsTriedAndOneWithoutCapacityIsNot(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	b.receiveStatus(status("box-b", "b"), start, serviceCapacity(0, 0))
	b.receiveStatus(status("box-c", "c"), start, serviceCapacity(3, noCapacityWait))
	is.Equal(len(b.remoteRegions(ask(route()), start)), 0)
	b.receiveStatus(status("box-d", "d"), start)
	got := b.remoteRegions(ask(route()), start)
	is.Equal(len(got), 1)
	is.Equal(got[0].region, "d")
	is.Equal(got[0].estimate.Expect, unknownRegionWait)
}

func TestTheLatestCapacityOfARegionCounts(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	b.receiveStatus(status("box-1", "b"), start+time.Millisecond, serviceCapacity(4, time.Second))
	b.receiveStatus(status("box-2", "b"), start, serviceCapacity(2, time.Minute))
	got := b.remoteRegions(ask(route()), start+11*time.Millisecond)
	is.Equal(len(got), 1)
	is.Equal(got[0].estimate.Usable, 4)
	is.Equal(got[0].estimate.Expect, time.Second)
	is.Equal(got[0].estimate.AgeMs, int64(10))
	is.Equal(len(got[0].boxes), 2)
}

func TestMoreRequestsAreSentToAnotherRegionTheMoreTheyGain(t *testing.T) {
	is := is.New(t)
	share := func(gain float64) float64 {
		n := 0
		for i := range drawRange {
			if sendsToRegion(gain, 0, false, func(int) int { return i }) {
				n++
			}
		}
		return float64(n) / drawRange
	}
	is.Equal(share(0), 0.0)
	is.Equal(share(crossRegionCost), 0.0) // no gain beyond the cost of the transfer
	is.Equal(share(crossRegionCost+fullShareGain/2), 0.5)
	is.Equal(share(crossRegionCost+fullShareGain), 1.0)
	rapid.Check(t, func(t *rapid.T) {
		gain := rapid.Float64Range(-2000, 2000).Draw(t, "gain")
		more := rapid.Float64Range(0, 500).Draw(t, "more")
		if share(gain+more) < share(gain) {
			t.Fatalf("a gain of %v sends fewer requests to another region than %v", gain+more, gain)
		}
	})
}

func TestPromptsAlwaysGoToTheirHomeRegionWhereThatGains(t *testing.T) {
	is := is.New(t)
	for i := range drawRange {
		draw := func(int) int { return i }
		is.True(sendsToRegion(crossRegionCost+1, 0, true, draw))
		is.True(!sendsToRegion(crossRegionCost, 0, true, draw))
	}
}

func TestRequestsStayWhereTheyAreServedInTime(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 1)
	b.receiveStatus(status("box-b", "b"), start, serviceCapacity(10, 0))
	got := b.place(ask(route()), start, lowest)
	is.Equal(got.Choice.Incarnation, "a-0")
}
