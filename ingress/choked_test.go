package ingress

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/common/clock"
)

// A box whose link was full of configuration ended a stream that its replica was still
// sending. Of the 1.25 MB/s of its link it took in 844 and 997 KB in the seconds 68 and 69, a
// second whole configuration within 4 s, so that no event of any replica came through:
//
//	65.395 s  server i-2dc9895140 runs it
//	68.621 s  its run ends: 200 cut
//	69.585 s  the connection is closed in the middle of the answer (200)
//
// The silence was taken for the replica's, and its run was cut. The 0.96 s after that fit attempts
// to connect to four others through the same link, each given up after 250 ms and each paid for
// with a retry of the budget. With none left the caller's connection was closed 5 s into the 15 s
// that it would have waited. A run with whole boxes and the reasons in their lines shows it, with
// one such attempt (the connection was closed 0.251 s after the run was cut):
//
//	18.2972 edge-iasi-b-8 try broken, replica silent, upstream i-b895014d70, 1874 ms
//	18.5480 edge-iasi-b-8 try not_run, failed to dial, upstream i-fa2eb64571, 250 ms
//	18.5480 edge-iasi-b-8 end broken, no more tries, 2126 ms

func TestAStreamIsNotEndedWhileTheBoxesOwnLinkIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		time.AfterFunc(450*time.Millisecond, func() { g.link.fill(4 * time.Second) })
		a := g.call(t)
		is.True(a.whole)
		is.Equal(a.body, wholeStream())
		is.Equal(g.runs(), 1) // the replica's run was not cut
	})
}

func TestAStreamThatBreaksWhileNoReplicaIsFreeGoesOnLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		g.list[0].tearBefore(5)
		time.AfterFunc(300*time.Millisecond, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.none = clock.Now().Add(2 * time.Second)
		})
		a := g.call(t)
		is.True(a.whole)
		is.Equal(a.body, wholeStream())
		is.Equal(g.runs(), 2)
	})
}

func TestAStreamThatBreaksWhileNoRetryIsLeftGoesOnOnceThereIsOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		g.list[0].tearBefore(5)
		began := clock.Now()
		g.spare = func() bool { return clock.Since(began) > 2*time.Second }
		a := g.call(t)
		is.True(a.whole)
		is.Equal(a.body, wholeStream())
		is.Equal(g.runs(), 2)
	})
}

func TestAStreamWhoseReplicaGoesDarkIsSoonTakenUpElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		time.AfterFunc(450*time.Millisecond, g.list[0].goDark)
		a := g.call(t)
		is.True(a.whole)
		is.Equal(a.body, wholeStream())
		is.Equal(g.runs(), 2)
		is.True(a.took < eventCount*eventEvery+streamStallTimeout+2*eventEvery) // the link is free, so the silence is the replica's
	})
}

func TestATryThatReachesNoReplicaTakesNoFurtherRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 4)
		g.list[0].tearBefore(5)
		left := 1
		g.spare = func() bool {
			left--
			if left == 0 {
				g.link.fill(700 * time.Millisecond) // two connections are not made
			}
			return left >= 0
		}
		a := g.call(t)
		is.True(a.whole)
		is.Equal(a.body, wholeStream())
		is.Equal(g.runs(), 2)
	})
}

func TestAStreamGoesOnAtTheReplicaThatBrokeItWhereThereIsNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 1)
		g.list[0].tearBefore(5)
		time.AfterFunc(time.Second, func() { g.list[0].tearBefore(0) })
		a := g.call(t)
		is.True(a.whole)
		is.Equal(a.body, wholeStream())
		is.Equal(g.runs(), 2)
	})
}

func TestAStreamByWayOfAnotherBoxIsNotEndedWhileTheBoxesOwnLinkIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		g.list[0].box = true
		time.AfterFunc(450*time.Millisecond, func() { g.link.fill(4 * time.Second) })
		a := g.call(t)
		is.True(a.whole)
		is.Equal(a.body, wholeStream())
		is.Equal(g.runs(), 1)
	})
}

func TestAStreamWhoseBoxGoesDarkIsTakenUpElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		g.list[0].box = true
		time.AfterFunc(450*time.Millisecond, g.list[0].goDark)
		a := g.call(t)
		is.True(a.whole)
		is.Equal(a.body, wholeStream())
		is.Equal(g.runs(), 2)
		is.True(a.took < eventCount*eventEvery+boxStallTimeout+2*eventEvery)
	})
}

func TestAStreamThatBreaksWhileAllRefuseConnectionsGoesOnLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 30)
		g.list[0].tearBefore(5)
		time.AfterFunc(300*time.Millisecond, func() { g.link.refuse(3 * time.Second) })
		a := g.call(t)
		is.True(a.whole)
		is.Equal(a.body, wholeStream())
		is.Equal(g.runs(), 2)
	})
}

func TestASilentReplicaIsToldOfWhileAStreamThatCantBeResumedWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		g.fixed = true
		time.AfterFunc(450*time.Millisecond, g.list[0].goDark)
		a := g.call(t)
		is.True(!a.whole)
		is.True(a.took >= 15*time.Second) // it waits as long as its caller
		is.Equal(g.muted, []string{"r-0"})
	})
}

func TestNoReplicaIsToldOfWhileTheBoxesOwnLinkIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		g.fixed = true
		time.AfterFunc(450*time.Millisecond, func() { g.link.fill(4 * time.Second) })
		a := g.call(t)
		is.True(a.whole)
		is.Equal(a.body, wholeStream())
		is.Equal(len(g.muted), 0)
	})
}
