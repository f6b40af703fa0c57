package ingress

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/internal/boot"
)

// suspension is longer than the deadline of the requests.
const suspension = 20 * time.Second

func (g *region) lastReason() string {
	for _, e := range g.events {
		if e.Kind == decision.End {
			return e.Reason
		}
	}
	return ""
}

func TestARequestThatWaitedWhileTheMachineWasSuspendedIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 1)
		g.fullUntil = clock.Now().Add(100 * time.Millisecond)
		time.AfterFunc(50*time.Millisecond, func() { boot.Skip(suspension.Nanoseconds()) })
		g.call(t)
		is.Equal(g.runs(), 0)
		is.Equal(g.lastReason(), whyDeadline)
	})
}

func TestAStreamThatBrokeWhileTheMachineWasSuspendedIsNotResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 2)
		g.list[0].abortBefore(5)
		g.list[1].abortBefore(5)
		time.AfterFunc(450*time.Millisecond, func() { boot.Skip(suspension.Nanoseconds()) })
		a := g.call(t)
		is.True(!a.complete)
		is.Equal(g.runs(), 1)
		is.Equal(g.lastReason(), whyDeadline)
	})
}

func TestAShortSuspensionEndsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 2)
		g.list[0].abortBefore(5)
		time.AfterFunc(450*time.Millisecond, func() { boot.Skip((2 * time.Second).Nanoseconds()) })
		a := g.call(t)
		is.True(a.complete)
		is.Equal(a.body, completeStream())
	})
}
