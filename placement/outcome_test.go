package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/placement"
)

func pickWithResult(b *box, service string, result placement.Result, now time.Duration) placement.Choice {
	c := b.Pick(newRequest(service, "k"), alone, now)
	b.End(&c, result, 10*time.Millisecond, now)
	return c
}

func TestAnUnreachableReplicaIsEjectedAndRetriedLater(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("steady", 1)...)
	sends := failUntilEjected(b, "steady", placement.Unreachable, start)
	is.True(sends >= 1 && sends <= 4)
	is.True(b.Get("steady-0").Ejected(start))
	now := start
	var before time.Duration
	for range 8 { // the back-off grows up to a bound
		ejectedAt := now
		for b.Get("steady-0").Ejected(now) {
			is.Equal(pickWithResult(b, "steady", placement.Answered, now).Reason, placement.Ejected)
			now += 100 * time.Millisecond
		}
		is.True(now-ejectedAt >= before-100*time.Millisecond)
		is.True(now-ejectedAt <= 15*time.Second)
		before = now - ejectedAt
		is.True(failUntilEjected(b, "steady", placement.Unreachable, now) <= sends)
	}
	for b.Get("steady-0").Ejected(now) {
		now += 100 * time.Millisecond
	}
	is.Equal(pickWithResult(b, "steady", placement.Answered, now).Incarnation, "steady-0")
	is.Equal(failUntilEjected(b, "steady", placement.Unreachable, now), sends) // the back-off is reset
}

func TestAnotherReplicaServesWhileOneIsEjected(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("steady", 2)...)
	for range 20 {
		c := b.Pick(newRequest("steady", "k"), alone, start)
		result := placement.Answered
		if c.Incarnation == "steady-0" {
			result = placement.Unreachable
		}
		b.End(&c, result, time.Millisecond, start)
	}
	is.Equal(pickWithResult(b, "steady", placement.Answered, start).Incarnation, "steady-1")
	is.True(!b.Get("steady-1").Ejected(start))
}

func TestEndReportsAnEjectionOnce(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("steady", 1)...)
	var open []placement.Choice
	for n := range 8 {
		open = append(open, b.Pick(newRequest("steady", fmt.Sprint(n)), alone, start))
	}
	ejections := 0
	for i := range open {
		if b.End(&open[i], placement.Unreachable, 0, start) {
			ejections++
		}
		is.True(!b.End(&open[i], placement.Unreachable, 0, start)) // already released
	}
	is.Equal(ejections, 1)
}

func TestRequestsWithoutAResponseEjectAReplica(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("steady", 1)...)
	now := start + 10*time.Second // long after it was listed
	sends := failUntilEjected(b, "steady", placement.NoResponse, now)
	is.True(sends >= 2 && sends <= 6) // a single request may have met a restart
	is.True(b.Get("steady-0").FailureShare(now) > 0)
}

// Guards against the ejection of replicas that respond while some connections to them are
// cut or reset.
func TestAReplicaThatRespondedRecentlyIsNotEjected(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("steady", 1)...)
	now := start
	for range 20 {
		is.Equal(pickWithResult(b, "steady", placement.Answered, now).Reason, placement.None)
		now += 50 * time.Millisecond
		for range 5 { // all at once
			is.Equal(pickWithResult(b, "steady", placement.NoResponse, now).Reason, placement.None)
		}
		now += 50 * time.Millisecond
	}
	is.True(b.Get("steady-0").FailureShare(now) > 0.3) // it receives fewer requests if there is another
}

func TestAResponseResetsTheCountOfRequestsWithoutOne(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("steady", 1)...)
	for range 20 {
		is.Equal(pickWithResult(b, "steady", placement.NoResponse, start).Reason, placement.None)
		is.Equal(pickWithResult(b, "steady", placement.Answered, start).Reason, placement.None)
	}
}

func TestAMisdirectedRequestLeavesAReplicaOutAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("steady", 1)...)
	is.Equal(failUntilEjected(b, "steady", placement.Misdirected, start), 1)
}

func TestAbandonedRequestsDontCountAgainstAReplica(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("steady", 1)...)
	for range 30 {
		is.Equal(pickWithResult(b, "steady", placement.Abandoned, start).Reason, placement.None)
	}
	is.Equal(b.Get("steady-0").FailureShare(start), 0.0)
}

// Guards against more requests to a replica that refuses them and therefore looks idle.
func TestAReplicaThatRefusesIsUsedLessButNotEjected(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("steady", 2)...)
	used := map[string]int{}
	for n := range 60 {
		c := b.Pick(newRequest("steady", fmt.Sprint(n)), alone, start)
		is.Equal(c.Reason, placement.None)
		used[c.Incarnation]++
		result := placement.Answered
		if c.Incarnation == "steady-0" {
			result = placement.Refused
		}
		b.End(&c, result, 10*time.Millisecond, start)
	}
	is.True(used["steady-0"] >= 1)
	is.True(used["steady-0"] <= 10)
	is.True(!b.Get("steady-0").Ejected(start))
}

func TestFailuresRaiseTheCostForAWhile(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("steady", 2)...)
	r := b.Get("steady-0")
	before := 0.0
	for range 10 {
		req := newRequest("steady", "k")
		req.Tried = []string{"steady-1"}
		c := b.Pick(req, alone, start)
		b.End(&c, placement.Failed, 10*time.Millisecond, start)
		is.True(r.FailureShare(start) > before)
		is.True(r.FailureShare(start) <= 1)
		before = r.FailureShare(start)
	}
	is.True(!r.Ejected(start)) // it still responds
	is.Equal(pickWithResult(b, "steady", placement.Abandoned, start).Incarnation, "steady-1")
	is.True(r.FailureShare(start+3*time.Second) < before)
	is.True(r.FailureShare(start+longAfter) < 0.001)
}

func TestSlowAnswersRaiseTheExpectationForAWhile(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("steady", 1)...)
	r := b.Get("steady-0")
	is.Equal(r.Slowness(start), 1.0)
	expect := b.Estimate(newRequest("steady", "k"), alone, start).Expect
	for range 10 {
		c := b.Pick(newRequest("steady", "k"), alone, start)
		b.RecordFirstByte(&c, 10*c.Expect, start)
		b.End(&c, placement.Abandoned, 0, start)
		is.True(r.Slowness(start) > 1)
		is.True(r.Slowness(start) < 100)
	}
	is.True(b.Estimate(newRequest("steady", "k"), alone, start).Expect > expect)
	is.True(r.Slowness(start+longAfter) < 1.001)
	for range 50 {
		c := b.Pick(newRequest("steady", "k"), alone, start)
		b.RecordFirstByte(&c, c.Expect/10, start)
		b.End(&c, placement.Abandoned, 0, start)
		is.True(r.Slowness(start) >= 1)
	}
	is.Equal(r.Slowness(start), 1.0)
}

func TestQuietStartsAtTheLastBytesOrTheSend(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("steady", 1)...)
	c := b.Pick(newRequest("steady", "k"), alone, start)
	sent := start + time.Second
	is.Equal(b.SinceLastSeen(&c, sent, sent+300*time.Millisecond), 300*time.Millisecond)
	b.RecordActivity(&c, sent+time.Second)
	is.Equal(b.SinceLastSeen(&c, sent, sent+1500*time.Millisecond), 500*time.Millisecond)
	b.RecordFirstByte(&c, time.Second, sent+2*time.Second)
	is.Equal(b.SinceLastSeen(&c, sent, sent+2*time.Second), time.Duration(0))
	b.End(&c, placement.Answered, time.Second, sent+3*time.Second)
	is.Equal(b.SinceLastSeen(&c, sent, sent+time.Hour), time.Duration(0))
	b.RecordActivity(&c, start) // no effect after End
	b.RecordFirstByte(&c, time.Second, start)
}

func TestTheFirstByteEndsThePrefill(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 1)...)
	c := b.Pick(newSharedRequest("manual", "k"), alone, start)
	r := b.Get("engine-0")
	is.True(r.Own().PendingPrefill > 0)
	b.RecordFirstByte(&c, time.Second, start)
	is.Equal(r.Own().PendingPrefill, 0)
	is.True(r.Own().Tokens > 0)
	b.RecordFirstByte(&c, time.Second, start) // repeated
	is.Equal(r.Own().PendingPrefill, 0)
	b.End(&c, placement.Answered, time.Second, start)
	is.Equal(r.Own(), placement.Load{})
}

func TestPeerLoadsCountUntilTheyExpire(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 2)...)
	r := b.Get("engine-0")
	work := func(requests int) []placement.OwnLoad {
		return []placement.OwnLoad{{
			Incarnation: "engine-0",
			Load: placement.Load{
				Requests: requests,
				Tokens:   10 * requests,
			},
		}, {
			Incarnation: "unknown",
		}}
	}
	b.RecordPeerLoads("b", work(3), start)
	b.RecordPeerLoads("c", work(2), start)
	is.Equal(r.Load(start).Requests, 5)
	is.Equal(r.Load(start).Tokens, 50)
	is.Equal(r.Own(), placement.Load{})    // unaffected
	b.RecordPeerLoads("b", work(1), start) // replaces the first report
	is.Equal(r.Load(start).Requests, 3)
	c := b.Pick(newSharedRequest("manual", "k"), alone, start)
	for b.Get(c.Incarnation) != r {
		c = b.Pick(newSharedRequest("manual", "k"), alone, start)
	}
	is.True(r.Load(start).Requests > 3)
	b.RecordPeerLoads("b", nil, start) // no load at any replica
	is.Equal(r.Load(start).Requests, 2+r.Own().Requests)
	is.Equal(r.Load(start+time.Minute).Requests, r.Own().Requests)
}

func TestAReplicasOwnWordOfItsLoadGoesBeforeWhatBoxesTold(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 1)...)
	r := b.Get("engine-0")
	b.RecordPeerLoads("b", []placement.OwnLoad{{
		Incarnation: "engine-0",
		Load: placement.Load{
			Requests: 3,
			Tokens:   30,
		},
	}}, start)
	c := b.Pick(newRequest("engine", "k"), alone, start)
	is.Equal(r.Load(start).Requests, 4)
	b.RecordSelfReport(&c, 6, start)
	is.Equal(r.Load(start).Requests, 6)
	is.Equal(r.Load(start).Tokens, 30) // not in the response
	is.Equal(r.Load(start+time.Second/2).Requests, 4)
	b.RecordSelfReport(&c, 0, start) // reported before this request arrived
	is.Equal(r.Load(start).Requests, 1)
	b.End(&c, placement.Answered, time.Millisecond, start)
	b.RecordSelfReport(&c, 9, start) // no effect after End
	is.Equal(r.Load(start).Requests, 0)
}

func TestABoxReportsOnlyItsOwnLoad(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 3)...)
	b.RecordPeerLoads("b", []placement.OwnLoad{{
		Incarnation: "engine-1",
		Load: placement.Load{
			Requests: 3,
		},
	}}, start)
	is.Equal(len(b.OwnLoads(start)), 0)
	c := b.Pick(newSharedRequest("manual", "k"), alone, start)
	got := b.OwnLoads(start)
	is.Equal(len(got), 1)
	is.Equal(got[0].Incarnation, c.Incarnation)
	is.Equal(got[0].Load.Requests, 1)
	is.Equal(got[0].Load.Tokens, b.Get(c.Incarnation).Own().Tokens)
	b.End(&c, placement.Answered, time.Second, start)
	is.Equal(len(b.OwnLoads(start+longAfter)), 0)
}

func TestABoxReportsNoReplicaWhereItHasNoLoad(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("steady", 1)...)
	failUntilEjected(b, "steady", placement.Unreachable, start)
	is.True(b.Get("steady-0").Ejected(start))
	is.Equal(len(b.OwnLoads(start)), 0)
}

func TestWaitingRequestsWithoutAResponseEjectAReplica(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("steady", 2)...)
	req := newRequest("steady", "k")
	req.Tried = []string{"steady-1"}
	for i := range 3 {
		c := b.Pick(req, alone, start)
		is.Equal(b.RecordNoResponse(&c, start+time.Second), i == 2) // third consecutive request without a response
	}
	is.True(b.Get("steady-0").Ejected(start + time.Second))
	is.True(!b.Get("steady-1").Ejected(start + time.Second))
}
