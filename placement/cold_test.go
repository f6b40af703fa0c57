package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/pacing"
	"github.com/havenrudder/havenrudder/placement"
)

const maxColdSends = 6 // per second: 2 x 1.5 + 3

// sendAll has boxes send as many requests as allowed and returns the times of sending.
func sendAll(boxes []*box, names []string, service string, from, until time.Duration) []time.Duration {
	var out []time.Duration
	for now := from; now < until; now += 10 * time.Millisecond {
		for i, b := range boxes {
			c := b.Pick(newRequest(service, fmt.Sprint(now, i)), names, now)
			if c.Reason == placement.None {
				out = append(out, now)
				b.End(&c, placement.Answered, time.Millisecond, now)
			}
		}
	}
	return out
}

func maxPerSecond(sends []time.Duration) int {
	out := 0
	for i := range sends {
		n := 0
		for _, s := range sends[i:] {
			if s <= sends[i]+time.Second {
				n++
			}
		}
		out = max(out, n)
	}
	return out
}

func coldReplica(left catalog.Millis) catalog.Replica {
	r := replicas("plain", 1)[0]
	r.ColdRemaining = left
	r.Revision = 2
	return r
}

func TestAColdReplicaIsPacedForAllBoxesTogether(t *testing.T) {
	for _, names := range [][]string{{"a"}, {"a", "b", "c"}, {"a", "b", "c", "d", "e", "f", "g", "h", "i"}} {
		is := is.New(t)
		var boxes []*box
		for _, name := range names {
			boxes = append(boxes, newBox(name, "hall", coldReplica(5000)))
		}
		cold := sendAll(boxes, names, "plain", start, start+5*time.Second)
		is.True(maxPerSecond(cold) <= maxColdSends)
		is.True(len(cold) >= 5)
		warm := sendAll(boxes, names, "plain", start+5*time.Second, start+6*time.Second)
		is.True(len(warm) > 10*maxColdSends)
	}
}

func TestARateLimitedReplicaReturnsAWait(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", coldReplica(60_000))
	now := start
	for range 50 {
		c := b.Pick(newRequest("plain", "k"), alone, now)
		if c.Reason == placement.None {
			b.End(&c, placement.Answered, time.Millisecond, now)
			continue
		}
		is.Equal(c.Reason, placement.RateLimited)
		is.True(c.Wait > 0)
		is.Equal(b.Estimate(newRequest("plain", "k"), alone, now).Reason, placement.RateLimited)
		now += c.Wait
		c = b.Pick(newRequest("plain", "k"), alone, now)
		is.Equal(c.Reason, placement.None)
		b.End(&c, placement.Answered, time.Millisecond, now)
	}
	is.True(now > start)
}

func TestRequestsGoToWarmReplicasWhileOneIsRateLimited(t *testing.T) {
	is := is.New(t)
	all := append([]catalog.Replica{coldReplica(5000)}, replicas("plain", 2)[1])
	b := newBox("a", "hall", all...)
	got := map[string]int{}
	for n := range 200 {
		now := start + time.Duration(n)*5*time.Millisecond
		c := b.Pick(newRequest("plain", fmt.Sprint(n)), alone, now)
		is.Equal(c.Reason, placement.None)
		got[c.Incarnation]++
		b.End(&c, placement.Answered, time.Millisecond, now)
	}
	is.True(got["plain-0"] <= maxColdSends)
	is.Equal(got["plain-0"]+got["plain-1"], 200)
}

func TestAServiceWithoutAColdRateIsNotRateLimited(t *testing.T) {
	is := is.New(t)
	r := replicas("steady", 1)[0]
	r.ColdRemaining = 5000
	r.Revision = 2
	b := newBox("a", "hall", r)
	is.Equal(len(sendAll([]*box{b}, alone, "steady", start, start+time.Second)), 100)
}

func TestReplicasOfAReopenedDomainAreCold(t *testing.T) {
	is := is.New(t)
	all := replicas("plain", 1)
	b := newBox("a", "hall", all...)
	b.publish(start, []string{"hall"}, all...)
	is.Equal(len(sendAll([]*box{b}, alone, "plain", start, start+time.Second)), 0)
	b.publish(start+time.Second, nil, all...)
	is.True(maxPerSecond(sendAll([]*box{b}, alone, "plain", start+time.Second, start+4*time.Second)) <= maxColdSends)
}

func TestAnEjectedReplicaIsColdAfterItsBackoff(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("plain", 1)...)
	failUntilEjected(b, "plain", placement.Unreachable, start)
	sends := sendAll([]*box{b}, alone, "plain", start, start+3*time.Second)
	is.True(len(sends) > 0)
	is.True(maxPerSecond(sends) <= maxColdSends)
}

// A replica may be published before the policy with its service.
func TestAColdReplicaListedBeforeItsServiceIsRateLimited(t *testing.T) {
	is := is.New(t)
	b := &box{
		View:    placement.NewView("north", "hall", pacing.New("a", terms)),
		content: catalog.NewContent(),
	}
	b.publish(start, nil, coldReplica(5000))
	b.SetTable(catalog.NewTable(policy()))
	b.publish(start, nil, coldReplica(5000))
	sends := sendAll([]*box{b}, alone, "plain", start, start+3*time.Second)
	is.True(len(sends) > 0)
	is.True(maxPerSecond(sends) <= maxColdSends)
}

func TestAChoiceReportsHowManyBoxesShareAColdReplica(t *testing.T) {
	is := is.New(t)
	cold := newBox("a", "hall", coldReplica(5000))
	is.Equal(cold.Pick(newRequest("plain", "k"), alone, start).SharingBoxes, len(alone))
	is.Equal(cold.Pick(newRequest("plain", "k"), alone, start+5*time.Second).SharingBoxes, 0)
}

func TestSendsToAColdReplicaCountFromWhenTheyAreWritten(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e", "f"}
	var written []time.Duration
	for i, name := range names {
		b := newBox(name, "hall", coldReplica(12_000))
		late := time.Duration(0)
		for now := 6 * time.Second; now < 12*time.Second; now += 10 * time.Millisecond {
			c := b.Pick(newRequest("plain", fmt.Sprint(now, i)), names, now)
			if c.Reason != placement.None {
				continue
			}
			late = 240*time.Millisecond - late // every second connection is late
			b.RecordSend(&c, now+late)
			written = append(written, now+late)
			b.End(&c, placement.Answered, time.Millisecond, now+late)
		}
	}
	slices.Sort(written)
	is.True(len(written) > 20)
	is.True(maxPerSecond(written) <= maxColdSends)
}

// Guards against requests to a cold replica that arrive together, as an earlier one is delayed on its way.
func TestAnUnansweredRequestToAColdReplicaCountsUntilItsAnswerBegins(t *testing.T) {
	is := is.New(t)
	boxes := []string{"a", "b", "c", "d", "e", "f"} // each has a share of one
	b := newBox("a", "hall", coldReplica(60_000))
	first := b.Pick(newRequest("plain", "k"), boxes, start)
	is.Equal(first.Reason, placement.None)
	answered := start + 1500*time.Millisecond
	is.Equal(b.Pick(newRequest("plain", "k"), boxes, answered).Reason, placement.RateLimited)
	b.RecordFirstByte(&first, answered-start, answered)
	b.End(&first, placement.Answered, answered-start, answered+time.Second/2)
	next := answered + time.Second // the answer begins once the request has arrived
	is.Equal(b.Pick(newRequest("plain", "k"), boxes, next-1).Reason, placement.RateLimited)
	is.Equal(b.Pick(newRequest("plain", "k"), boxes, next).Reason, placement.None)
}

// Guards against a cold replica that receives a request that a box gave up together with later ones.
func TestARequestToAColdReplicaCountsAfterItsBoxGaveUp(t *testing.T) {
	const counts = 4 * time.Second                  // a second from its latest arrival, 3 s after the write
	boxes := []string{"a", "b", "c", "d", "e", "f"} // each has a share of one
	for name, result := range map[string]placement.Result{
		"no response in time": placement.TimedOut,
		"caller left":         placement.Abandoned,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBox("a", "hall", coldReplica(60_000))
			first := b.Pick(newRequest("plain", "k"), boxes, start)
			is.Equal(first.Reason, placement.None)
			gaveUp := start + 700*time.Millisecond
			b.End(&first, result, gaveUp-start, gaveUp)
			is.Equal(b.Pick(newRequest("plain", "k"), boxes, start+counts-1).Reason, placement.RateLimited)
			is.Equal(b.Pick(newRequest("plain", "k"), boxes, start+counts).Reason, placement.None)
		})
	}
}

func TestARequestThatWasNeverWrittenDoesNotStayUnderWay(t *testing.T) {
	is := is.New(t)
	boxes := []string{"a", "b", "c", "d", "e", "f"}
	b := newBox("a", "hall", coldReplica(60_000))
	first := b.Pick(newRequest("plain", "k"), boxes, start)
	b.End(&first, placement.Unsent, 0, start)
	is.Equal(b.Pick(newRequest("plain", "k"), boxes, start+1100*time.Millisecond).Reason, placement.None)
}

// Guards against a target that was only looked up and found unreachable, and that ends the count of another
// request that is still under way there.
func TestATargetThatWasOnlyLookedUpDoesNotEndTheCountOfARequestUnderWay(t *testing.T) {
	is := is.New(t)
	boxes := []string{"a", "b", "c", "d", "e", "f"}
	b := newBox("a", "hall", replicas("plain", 1)...)
	underWay := b.Pick(newRequest("plain", "k"), boxes, start)
	is.Equal(underWay.Reason, placement.None)
	lookedUp := b.Next(newRequest("plain", "k"), boxes, start)
	for n := range 8 {
		now := start + time.Duration(n+1)*time.Millisecond
		c := b.Pick(newRequest("plain", fmt.Sprint(n)), boxes, now)
		is.Equal(c.Reason, placement.None)
		b.End(&c, placement.Answered, time.Millisecond, now)
	}
	b.publish(start+10*time.Millisecond, nil, coldReplica(60_000))
	b.End(&lookedUp, placement.Unreachable, 0, start+100*time.Millisecond)
	is.Equal(b.Pick(newRequest("plain", "k"), boxes, start+1500*time.Millisecond).Reason, placement.RateLimited)
}

// Guards against a cold replica that gets nothing for a while after a target was only looked up.
func TestATargetThatWasOnlyLookedUpTakesNoShareOfAColdReplica(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", coldReplica(60_000))
	lookedUp := b.Next(newRequest("plain", "k"), alone, start)
	b.End(&lookedUp, placement.Unreachable, 0, start)
	is.Equal(b.Pick(newRequest("plain", "k"), alone, start).Reason, placement.None)
}

// Guards against a box that stands still between the choice of a replica and the write, and then sends twice.
func TestARequestWrittenLongAfterItsChoiceArrivesWithNoOther(t *testing.T) {
	is := is.New(t)
	boxes := []string{"a", "b", "c", "d", "e", "f"} // each has a share of one
	b := newBox("a", "hall", coldReplica(60_000))
	first := b.Pick(newRequest("plain", "k"), boxes, start)
	is.Equal(first.Reason, placement.None)
	awake := start + 4*time.Second
	second := b.Pick(newRequest("plain", "k2"), boxes, awake)
	is.True(second.Reason == placement.RateLimited || !b.MayWrite(&first, awake))
}

// Guards against the same at a replica that names a limit, whose share is longer than a window of cold replicas.
func TestARequestToALimitedReplicaIsNotWrittenLongAfterItsChoice(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("plain", 1)...)
	c := b.Pick(newRequest("plain", "k"), alone, start)
	is.Equal(c.Reason, placement.None)
	is.True(b.MayWrite(&c, start+4*time.Second)) // has no limit
	b.Limiter().SetLimit(c.Incarnation, 5)
	is.True(b.MayWrite(&c, start+250*time.Millisecond))
	is.True(!b.MayWrite(&c, start+4*time.Second))
}
