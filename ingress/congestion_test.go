package ingress

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/common/clock"
)

// Guards against taking a congested link of the box for a stalled replica, which cancels the
// stream and spends the retry budget on connections over the same link.
func TestAStreamIsNotEndedWhileTheBoxesOwnLinkIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		time.AfterFunc(450*time.Millisecond, func() { g.link.fill(4 * time.Second) })
		a := g.call(t)
		is.True(a.complete)
		is.Equal(a.body, completeStream())
		is.Equal(g.runs(), 1) // the replica's run was not cancelled
	})
}

func TestAStreamThatBreaksWhileNoReplicaIsFreeGoesOnLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		g.list[0].abortBefore(5)
		time.AfterFunc(300*time.Millisecond, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.fullUntil = clock.Now().Add(2 * time.Second)
		})
		a := g.call(t)
		is.True(a.complete)
		is.Equal(a.body, completeStream())
		is.Equal(g.runs(), 2)
	})
}

func TestAStreamThatBreaksWhileNoRetryIsLeftGoesOnOnceThereIsOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		g.list[0].abortBefore(5)
		began := clock.Now()
		g.takeRetry = func() bool { return clock.Since(began) > 2*time.Second }
		a := g.call(t)
		is.True(a.complete)
		is.Equal(a.body, completeStream())
		is.Equal(g.runs(), 2)
	})
}

func TestAStreamWhoseReplicaHangsIsSoonResumedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		time.AfterFunc(450*time.Millisecond, g.list[0].hang)
		a := g.call(t)
		is.True(a.complete)
		is.Equal(a.body, completeStream())
		is.Equal(g.runs(), 2)
		is.True(a.took < eventCount*eventEvery+streamStallTimeout+2*eventEvery) // detected within the stall timeout
	})
}

func TestAnAttemptThatReachesNoReplicaTakesNoFurtherRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 4)
		g.list[0].abortBefore(5)
		left := 1
		g.takeRetry = func() bool {
			left--
			if left == 0 {
				g.link.fill(700 * time.Millisecond) // two connections are not made
			}
			return left >= 0
		}
		a := g.call(t)
		is.True(a.complete)
		is.Equal(a.body, completeStream())
		is.Equal(g.runs(), 2)
	})
}

func TestAStreamGoesOnAtTheReplicaThatBrokeItWhereThereIsNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 1)
		g.list[0].abortBefore(5)
		time.AfterFunc(time.Second, func() { g.list[0].abortBefore(0) })
		a := g.call(t)
		is.True(a.complete)
		is.Equal(a.body, completeStream())
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
		is.True(a.complete)
		is.Equal(a.body, completeStream())
		is.Equal(g.runs(), 1)
	})
}

func TestAStreamWhoseBoxHangsIsResumedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		g.list[0].box = true
		time.AfterFunc(450*time.Millisecond, g.list[0].hang)
		a := g.call(t)
		is.True(a.complete)
		is.Equal(a.body, completeStream())
		is.Equal(g.runs(), 2)
		is.True(a.took < eventCount*eventEvery+boxStallTimeout+2*eventEvery)
	})
}

func TestAStreamThatBreaksWhileAllRefuseConnectionsGoesOnLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 30)
		g.list[0].abortBefore(5)
		time.AfterFunc(300*time.Millisecond, func() { g.link.refuse(3 * time.Second) })
		a := g.call(t)
		is.True(a.complete)
		is.Equal(a.body, completeStream())
		is.Equal(g.runs(), 2)
	})
}

func TestASilentReplicaIsReportedWhileAStreamThatCantBeResumedWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		g.unresumable = true
		time.AfterFunc(450*time.Millisecond, g.list[0].hang)
		a := g.call(t)
		is.True(!a.complete)
		is.True(a.took >= 15*time.Second) // it waits until the deadline
		is.Equal(g.silent, []string{"r-0"})
	})
}

func TestNoReplicaIsReportedSilentWhileTheBoxesOwnLinkIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		g.unresumable = true
		time.AfterFunc(450*time.Millisecond, func() { g.link.fill(4 * time.Second) })
		a := g.call(t)
		is.True(a.complete)
		is.Equal(a.body, completeStream())
		is.Equal(len(g.silent), 0)
	})
}
