package placement_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTheStepsOfAnEventAreLearnedFromGuessesOfLength(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 1)...)
	rnd := rand.New(rand.NewPCG(1, 1))
	is.Equal(b.Steps("engine"), 5.0) // until anything is known
	for range 300 {
		events := 4 + rnd.IntN(60)
		guess := 9 * float64(events) * math.Exp(0.5*rnd.NormFloat64()) // right in the median
		b.Streamed("engine", events, int(guess))
	}
	is.True(b.Steps("engine") > 7.5)
	is.True(b.Steps("engine") < 10.8)
	is.Equal(b.Steps("other"), 5.0)
	known := b.Steps("engine")
	b.Streamed("engine", 2, 1000) // too short to say anything
	b.Streamed("engine", 20, 0)   // nobody guessed
	is.Equal(b.Steps("engine"), known)
}

// Where an event takes nine steps of an engine, two prompts of 9,000 tokens between two
// events are a pause of 0.65 s, which the streams that aim at 0.6 s lost; with five steps
// the same prompts were thought to do no harm.
func TestALongPromptHarmsStreamsWhoseEventsTakeMoreSteps(t *testing.T) {
	is := is.New(t)
	req := askShared("part", "k")
	req.Prompt = 18_000
	req.Gap = 600 * time.Millisecond
	is.Equal(req.Harm(3000, 18), 0.0)
	req.Steps = 9
	is.True(req.Harm(3000, 18) > 1000)
}
