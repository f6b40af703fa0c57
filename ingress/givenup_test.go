package ingress

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/placement"
)

// Guards against a request that its box gave up and that is taken for one that will not arrive.
func TestARequestThatTimesOutMayStillArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 2)
		g.list[0].hang()
		is.True(g.call(t).complete)
		is.Equal(g.results["r-0"], placement.TimedOut)
		is.Equal(g.results["r-1"], placement.Answered)
	})
}

func TestARequestWhoseConnectionTheReplicaEndsHasNoResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 2)
		g.list[0].abortBefore(1)
		is.True(g.call(t).complete)
		is.Equal(g.results["r-0"], placement.NoResponse)
	})
}

func TestARequestWhoseReplicaRefusesTheConnectionDoesNotArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 2)
		g.list[0].addr = refusingAddr
		is.True(g.call(t).complete)
		is.Equal(g.results["r-0"], placement.Unreachable)
	})
}

func TestTheLogOfAnAttemptTellsWhenItsResponseBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 2)
		g.list[0].hang()
		is.True(g.call(t).complete)
		heads := make(map[string]int64)
		for _, e := range g.events {
			if e.Kind == decision.Try {
				heads[e.Upstream] = e.HeadMs
			}
		}
		is.Equal(heads["r-0"], int64(0)) // gave no response
		is.True(heads["r-1"] > 0)
	})
}
