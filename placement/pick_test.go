package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/placement"
)

func ExampleView_Pick() {
	b := newBox("a", "hall", replicas("engine", 1)...)
	c := b.Pick(newSharedRequest("manual", "request-1"), alone, start)
	fmt.Println(c.Incarnation, c.Addr, b.Get(c.Incarnation).Own().Requests)
	b.End(&c, placement.Answered, time.Second, start+time.Second)
	fmt.Println(b.Get("engine-0").Own().Requests)
	c = b.Pick(newRequest("unknown", "request-2"), alone, start)
	fmt.Println(c.Reason)
	// Output:
	// engine-0 127.0.0.1:1 1
	// 0
	// no replica
}

func TestAReplicaIsRefusedForAReason(t *testing.T) {
	usual := func() []catalog.Replica { return replicas("engine", 1) }
	cases := []struct {
		name    string
		prepare func(b *box) placement.Request
		want    placement.Reason
	}{
		{"usable", func(*box) placement.Request { return newRequest("engine", "k") }, placement.None},
		{"another service", func(*box) placement.Request { return newRequest("plain", "k") }, placement.NoReplica},
		{"unlisted", func(b *box) placement.Request {
			b.publish(start, nil)
			return newRequest("engine", "k")
		}, placement.Unlisted},
		{"leaving", func(b *box) placement.Request {
			all := usual()
			all[0].Leaving = true
			all[0].Revision = 2
			b.publish(start, nil, all...)
			return newRequest("engine", "k")
		}, placement.Leaving},
		{"closed", func(b *box) placement.Request {
			b.publish(start, []string{"hall"}, usual()...)
			return newRequest("engine", "k")
		}, placement.Evacuated},
		{"another domain closed", func(b *box) placement.Request {
			b.publish(start, []string{"attic"}, usual()...)
			return newRequest("engine", "k")
		}, placement.None},
		{"tried", func(*box) placement.Request {
			req := newRequest("engine", "k")
			req.Tried = []string{"other", "engine-0"}
			return req
		}, placement.Tried},
		{"out of reach", func(b *box) placement.Request {
			failUntilEjected(b, "engine", placement.Unreachable, start)
			return newRequest("engine", "k")
		}, placement.Ejected},
		{"prompt larger than the memory", func(*box) placement.Request {
			req := newRequest("engine", "k")
			req.Prompt = 200_000
			return req
		}, placement.Full},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBox("a", "hall", usual()...)
			req := c.prepare(b)
			got := b.Pick(req, alone, start)
			is.Equal(got.Reason, c.want)
			is.Equal(got.Incarnation != "", c.want == placement.None)
			is.Equal(b.Get("engine-0").Own().Requests > 0, c.want == placement.None)
			is.True(got.Wait >= 0)
		})
	}
}

// failUntilEjected sends requests until the only replica of a service is ejected, and returns
// their number.
func failUntilEjected(b *box, service string, result placement.Result, now time.Duration) int {
	for n := range 10 {
		c := b.Pick(newRequest(service, fmt.Sprint(n)), alone, now)
		if c.Reason != placement.None {
			return n
		}
		if b.End(&c, result, time.Millisecond, now) {
			return n + 1
		}
	}
	return 0
}

func TestAReplicaOfAnotherRegionIsNotTaken(t *testing.T) {
	is := is.New(t)
	all := replicas("plain", 2)
	all[0].Region = "south"
	b := newBox("a", "hall", all...)
	is.True(b.Get("plain-0") == nil)
	is.Equal(len(b.Replicas()), 1)
	is.Equal(b.Pick(newRequest("plain", "k"), alone, start).Incarnation, "plain-1")
}

func TestALeavingReplicaNeverComesBack(t *testing.T) {
	is := is.New(t)
	all := replicas("plain", 1)
	b := newBox("a", "hall", all...)
	all[0].Leaving = true
	all[0].Revision = 2
	b.publish(start, nil, all...)
	back := replicas("plain", 1)
	back[0].Revision = 3
	b.publish(start+time.Second, nil, back...)
	is.Equal(b.Pick(newRequest("plain", "k"), alone, start+time.Second).Reason, placement.Leaving)
	b.publish(start+2*time.Second, nil)
	back[0].Revision = 4
	b.publish(start+3*time.Second, nil, back...)
	is.Equal(b.Pick(newRequest("plain", "k"), alone, start+3*time.Second).Reason, placement.Leaving)
}

func TestAnUnlistedReplicaIsEvictedOnceIdle(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("plain", 1)...)
	c := b.Pick(newRequest("plain", "k"), alone, start)
	b.publish(start, nil)
	b.publish(start+longAfter, nil)
	is.True(b.Get("plain-0") != nil) // a request runs there
	b.End(&c, placement.Answered, time.Second, start+longAfter)
	b.publish(start+2*longAfter, nil)
	is.True(b.Get("plain-0") == nil)
	is.Equal(len(b.Replicas()), 0)
}

func TestTakeReturnsWhatChanged(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall")
	abouts := func(changes []placement.Change) (out []string) {
		for _, n := range changes {
			is.True(n.Reason != "")
			out = append(out, n.Subject)
		}
		slices.Sort(out)
		return out
	}
	all := replicas("plain", 2)
	is.Equal(abouts(b.publish(start, nil, all...)), []string{"plain-0", "plain-1"})
	is.Equal(abouts(b.publish(start, nil, all...)), nil)
	all[1].Leaving = true
	all[1].Revision = 2
	is.Equal(abouts(b.publish(start, nil, all...)), []string{"plain-1"})
	is.Equal(abouts(b.publish(start, []string{"hall"}, all...)), []string{"hall"})
	is.True(b.Evacuated("hall"))
	is.Equal(abouts(b.publish(start, nil, all[0])), []string{"hall", "plain-1"})
	is.True(!b.Evacuated("hall"))
}

func TestBoxesOfARegionAgreeOnThePreferredReplicaOfASegment(t *testing.T) {
	is := is.New(t)
	boxes := []string{"a", "b", "c"}
	used := map[string]int{}
	for n := range 60 {
		part := fmt.Sprint("part-", n)
		var want string
		for i, name := range boxes {
			domain := []string{"hall", "attic", "cellar"}[i]
			b := newBox(name, domain, replicas("engine", 6)...)
			c := b.Pick(newSharedRequest(part, name), boxes, start)
			is.Equal(c.Reason, placement.None)
			if i == 0 {
				want = c.Incarnation
			}
			is.Equal(c.Incarnation, want)
		}
		used[want]++
	}
	is.Equal(len(used), 6) // segments are spread over all
	for _, n := range used {
		is.True(n < 30) // and no replica has half of them
	}
}

func TestALostReplicaMovesOnlyItsOwnSegments(t *testing.T) {
	is := is.New(t)
	all := replicas("engine", 6)
	for n := range 60 {
		part := fmt.Sprint("part-", n)
		before := newBox("a", "hall", all...).Pick(newSharedRequest(part, "k"), alone, start)
		after := newBox("a", "hall", all[1:]...).Pick(newSharedRequest(part, "k"), alone, start)
		if before.Incarnation != all[0].ID {
			is.Equal(after.Incarnation, before.Incarnation)
		}
	}
}

func TestASegmentIsPrefilledOnceWhileItIsCached(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 4)...)
	first := b.Pick(newSharedRequest("manual", "1"), alone, start)
	b.End(&first, placement.Answered, time.Second, start+time.Second)
	again := b.Pick(newSharedRequest("manual", "2"), alone, start+time.Second)
	b.End(&again, placement.Answered, time.Second, start+2*time.Second)
	is.Equal(again.Incarnation, first.Incarnation)
	is.Equal(again.Missing, 0)
	is.True(first.Missing >= again.Missing)
	is.True(again.Expect < first.Expect || first.Missing == 0)
	late := b.Pick(newSharedRequest("manual", "3"), alone, start+longAfter)
	is.True(late.Missing > 0) // evicted
}

func TestAPopularSegmentSpreadsWhenItsPreferredReplicaIsBusy(t *testing.T) {
	is := is.New(t)
	const n = 6
	b := newBox("a", "hall", replicas("engine", n)...)
	used := map[string]int{}
	for i := range 40 {
		c := b.Pick(newSharedRequest("hot", fmt.Sprint(i)), alone, start)
		is.Equal(c.Reason, placement.None)
		used[c.Incarnation]++
	}
	is.True(len(used) > 1)
	for id, requests := range used {
		is.True(requests <= 16) // twice its slots
		is.True(b.Get(id).Own().Tokens <= 100_000)
	}
}

func TestPeerLoadsSpreadAPopularSegment(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 4)...)
	first := b.Pick(newSharedRequest("hot", "1"), alone, start)
	b.End(&first, placement.Abandoned, 0, start)
	b.RecordPeerLoads("b", []placement.OwnLoad{{
		Incarnation: first.Incarnation,
		Load: placement.Load{
			Requests:       40,
			Tokens:         90_000,
			PendingPrefill: 50_000,
		},
	}}, start)
	second := b.Pick(newSharedRequest("hot", "2"), alone, start)
	is.Equal(second.Reason, placement.None)
	is.True(second.Incarnation != first.Incarnation)
}

func TestAReplicaWithAFullMemoryIsRefusedUntilSomeIsFree(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 1)...)
	req := newRequest("engine", "k")
	req.Prompt = 40_000
	req.AnswerTokens = 10
	one := b.Pick(req, alone, start)
	two := b.Pick(req, alone, start)
	is.Equal(one.Reason, placement.None)
	is.Equal(two.Reason, placement.None)
	is.Equal(b.Pick(req, alone, start).Reason, placement.Full)
	is.Equal(b.Estimate(req, alone, start).Reason, placement.Full)
	b.End(&one, placement.Answered, time.Second, start)
	is.Equal(b.Pick(req, alone, start).Reason, placement.None)
}

func TestAPlainReplicaBecomesFull(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("plain", 2)...)
	got := map[string]int{}
	for n := range 1000 {
		c := b.Pick(newRequest("plain", fmt.Sprint(n)), alone, start)
		if c.Reason != placement.None {
			is.Equal(c.Reason, placement.Full)
			is.True(c.Wait > 0)
			break
		}
		got[c.Incarnation]++
	}
	is.True(got["plain-0"] >= 8 && got["plain-0"] <= 100) // at least its slots
	is.Equal(got["plain-0"], got["plain-1"])
}

// Guards against sending all requests without shared segments to the same replica.
func TestRequestsWithoutSharedSegmentsAreSpread(t *testing.T) {
	for _, service := range []string{"plain", "engine"} {
		t.Run(service, func(t *testing.T) {
			is := is.New(t)
			b := newBox("a", "hall", replicas(service, 4)...)
			used := map[string]int{}
			now := start
			for n := range 200 {
				req := newRequest(service, fmt.Sprint("request-", n))
				if service == "engine" {
					req.Prompt = 100
				}
				c := b.Pick(req, alone, now)
				now += 20 * time.Millisecond
				b.End(&c, placement.Answered, 20*time.Millisecond, now)
				used[c.Incarnation]++
			}
			t.Log(used)
			is.Equal(len(used), 4)
		})
	}
}

func TestAnOutlookReservesNothing(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 3)...)
	req := newSharedRequest("manual", "k")
	req.Tried = []string{"engine-1"}
	out := b.Estimate(req, alone, start)
	is.Equal(out.Reason, placement.None)
	is.Equal(out.Usable, 2)
	is.True(out.Expect > 0)
	for _, r := range b.Replicas() {
		is.Equal(r.Own(), placement.Load{})
	}
	is.Equal(b.Pick(req, alone, start).Expect, out.Expect)
	is.True(b.Estimate(req, alone, start).Utilization > out.Utilization)
	none := b.Estimate(newRequest("unknown", "k"), alone, start)
	is.Equal(none.Reason, placement.NoReplica)
	is.Equal(none.Usable, 0)
}
