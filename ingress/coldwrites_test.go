package ingress

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/havenrudder/havenrudder/internal/boot"
)

// Guards against requests that stay under way for longer than a box counts them, as nothing ends their connections.
func TestRequestsThatALongCutHoldsUpArriveInNoSecondWithTooManyOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newHeldUpRegion(t, 1, longDeadline, 4500*time.Millisecond)
		g.callFor(7 * time.Second)
		g.checkArrivals()
	})
}

// Guards against boxes that stand still after the choice of a replica, but before the time from which they
// measure how late a request is written, and then send twice.
func TestRequestsOfBoxesThatStoodStillAfterTheChoiceArriveInNoSecondWithTooManyOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newColdRegion(t, 1, longDeadline)
		g.publish(time.Minute, g.replicas[0])
		g.connect()
		awake := g.now() + 4*time.Second
		for _, b := range g.boxes {
			b.awake = awake
		}
		g.call(time.Minute)
		time.Sleep(awake - g.now())
		g.callFor(3 * time.Second)
		g.checkArrivals()
	})
}

// Guards against requests that stay under way while the machine is suspended, a time in which the kernel gives
// up no connection, but after which the boxes no longer count them.
func TestRequestsUnderWayWhileTheMachineWasSuspendedArriveInNoSecondWithTooManyOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newHeldUpRegion(t, 1, longDeadline, time.Second)
		g.call(time.Minute)
		time.Sleep(50 * time.Millisecond)
		boot.Skip(suspension.Nanoseconds())
		g.callFor(3 * time.Second)
		g.checkArrivals()
	})
}
