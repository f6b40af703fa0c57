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

// suspension is longer than the callers of these tests wait.
const suspension = 20 * time.Second

// lastReason returns why the request ended.
func (g *region) lastReason() string {
	for _, e := range g.lines {
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
		g.none = clock.Now().Add(100 * time.Millisecond)
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
		g.list[0].tearBefore(5)
		g.list[1].tearBefore(5)
		time.AfterFunc(450*time.Millisecond, func() { boot.Skip(suspension.Nanoseconds()) })
		a := g.call(t)
		is.True(!a.whole)
		is.Equal(g.runs(), 1)
		is.Equal(g.lastReason(), whyDeadline)
	})
}

func TestAShortSuspensionEndsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 2)
		g.list[0].tearBefore(5)
		time.AfterFunc(450*time.Millisecond, func() { boot.Skip((2 * time.Second).Nanoseconds()) })
		a := g.call(t)
		is.True(a.whole)
		is.Equal(a.body, wholeStream())
	})
}
