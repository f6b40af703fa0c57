package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/placement"
)

const maxLoss = 2000.0 // for a useless answer, in thousandths

func TestTheExpectedLossIsBoundedAndRisesWithWaitAndLoad(t *testing.T) {
	anyTime := rapid.Int64Range(0, int64(20*time.Second))
	rapid.Check(t, func(t *rapid.T) {
		g := placement.Targets{
			FirstByte: time.Duration(anyTime.Draw(t, "first")),
			Gap:       time.Duration(anyTime.Draw(t, "gap")),
			Deadline:  time.Duration(anyTime.Draw(t, "left")),
		}
		low := placement.Estimate{
			Expect:      time.Duration(anyTime.Draw(t, "expect")),
			Utilization: rapid.Float64Range(0, 5).Draw(t, "busy"),
		}
		high := placement.Estimate{
			Expect:      low.Expect + time.Duration(anyTime.Draw(t, "more wait")),
			Utilization: low.Utilization + rapid.Float64Range(0, 5).Draw(t, "more work"),
		}
		a, b := low.ExpectedLoss(g), high.ExpectedLoss(g)
		if !(a >= 0 && a <= b && b <= maxLoss) {
			t.Fatalf("%v: %g, %v: %g", low, a, high, b)
		}
		later := g
		later.FirstByte = g.FirstByte + time.Duration(anyTime.Draw(t, "more time"))
		if g.FirstByte > 0 && low.ExpectedLoss(later) > a {
			t.Fatalf("%v: %g, with more time %g", low, a, low.ExpectedLoss(later))
		}
	})
}

func TestALateAnswerHasAnExpectedLossAndAnIdleRegionNone(t *testing.T) {
	is := is.New(t)
	g := placement.Targets{
		FirstByte: time.Second,
		Gap:       time.Second,
		Deadline:  5 * time.Second,
	}
	loss := func(expect time.Duration, busy float64) float64 {
		return placement.Estimate{
			Expect:      expect,
			Utilization: busy,
		}.ExpectedLoss(g)
	}
	is.Equal(loss(0, 0), 0.0)
	is.Equal(loss(10*time.Millisecond, 0.01), 0.0)
	is.True(loss(2*time.Second, 0) >= 500)
	is.True(loss(0, 3) >= 500)
	is.True(loss(6*time.Second, 0) > loss(4*time.Second, 0)) // a useless answer is worse than a late one
	is.Equal(placement.Estimate{
		Expect:      time.Hour,
		Utilization: 9,
	}.ExpectedLoss(placement.Targets{}), 0.0) // no targets
}
