package placement_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStepsPerEventAreLearnedFromLengthHints(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 1)...)
	rnd := rand.New(rand.NewPCG(1, 1))
	is.Equal(b.StepsPerEvent("engine"), 5.0) // the default
	for range 300 {
		events := 4 + rnd.IntN(60)
		guess := 9 * float64(events) * math.Exp(0.5*rnd.NormFloat64()) // right in the median
		b.RecordStream("engine", events, int(guess))
	}
	is.True(b.StepsPerEvent("engine") > 7.5)
	is.True(b.StepsPerEvent("engine") < 10.8)
	is.Equal(b.StepsPerEvent("other"), 5.0)
	known := b.StepsPerEvent("engine")
	b.RecordStream("engine", 2, 1000) // too short
	b.RecordStream("engine", 20, 0)   // no hint
	is.Equal(b.StepsPerEvent("engine"), known)
}

// Guards against too low an interference cost at engines whose events take more steps than
// the default.
func TestALongPromptInterferesMoreIfEventsTakeMoreSteps(t *testing.T) {
	is := is.New(t)
	req := newSharedRequest("part", "k")
	req.Prompt = 18_000
	req.GapTarget = 600 * time.Millisecond
	is.Equal(req.InterferenceCost(3000, 18), 0.0)
	req.StepsPerEvent = 9
	is.True(req.InterferenceCost(3000, 18) > 1000)
}
