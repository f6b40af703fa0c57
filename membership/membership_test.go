package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"
	"github.com/havenrudder/havenrudder/wire"
)

func heartbeat(box string, inc, seq int, state wire.ServingState) wire.Heartbeat {
	return wire.Heartbeat{
		Box:   box,
		Inc:   inc,
		Seq:   seq,
		State: string(state),
	}
}

func ExampleTable() {
	t := NewTable("a")
	t.Hear(heartbeat("b", 1, 1, wire.ServingStateServing), time.Second)
	fmt.Println(t.Alive("b", 2*time.Second), t.Alive("b", time.Minute))
	// Output: true false
}

func TestTheIntervalKeepsHeartbeatsWithinTheirBudget(t *testing.T) {
	is := is.New(t)
	for n := 2; n <= 60; n++ {
		perSecond := 2 * float64(heartbeatBytes*(n-1)) / Interval(n).Seconds()
		is.True(perSecond <= bytesPerSecond+1 || Interval(n) == maxInterval)
	}
}

func TestAPausedBoxSuspectsNobodyForWhatItCouldNotHear(t *testing.T) {
	is := is.New(t)
	tab := NewTable("a")
	tab.Hear(heartbeat("b", 1, 1, wire.ServingStateServing), time.Second)
	is.True(!tab.Tick(time.Second))
	is.True(tab.Tick(time.Minute)) // it was paused
	is.True(tab.Alive("b", time.Minute))
	is.True(!tab.Tick(time.Minute + time.Second))
	is.True(!tab.Alive("b", time.Minute+10*time.Second)) // now it could have heard
}

func TestABoxTheListHasNeverHeardOfIsKnownAndOneItStillListsThoughDeadIsNotAlive(t *testing.T) {
	is := is.New(t)
	tab := NewTable("a")
	tab.List([]wire.BoxEntry{{
		Name:    "listed",
		Callers: "c",
		Peers:   "p",
		State:   wire.ServingStateServing,
	}})
	tab.Hear(heartbeat("new", 1, 1, wire.ServingStateServing), time.Second)
	is.True(tab.Serving("new", time.Second))
	is.True(!tab.Serving("listed", time.Second))
	m, ok := tab.Get("listed")
	is.True(ok)
	is.Equal(m.Peers, "p")
}

// TestOrderOfMessagesDoesNotMatter plays the heartbeats of two incarnations late,
// repeated and in any order, and holds the table against the newest of each.
func TestOrderOfMessagesDoesNotMatter(t *testing.T) {
	states := rapid.SampledFrom([]wire.ServingState{wire.ServingStateStarting, wire.ServingStateServing, wire.ServingStateLeaving})
	rapid.Check(t, func(t *rapid.T) {
		tab := NewTable("a")
		sent := make(map[[2]int]wire.ServingState)
		var bestInc, bestSeq int
		left := make(map[int]bool) // incarnations heard to leave while they were the newest
		n := rapid.IntRange(1, 40).Draw(t, "messages")
		for range n {
			inc := rapid.IntRange(1, 3).Draw(t, "inc")
			seq := rapid.IntRange(1, 8).Draw(t, "seq")
			key := [2]int{inc, seq}
			if _, ok := sent[key]; !ok {
				sent[key] = states.Draw(t, "state")
			}
			newer := inc > bestInc || (inc == bestInc && seq > bestSeq)
			if tab.Hear(heartbeat("b", inc, seq, sent[key]), 0) != newer {
				t.Fatalf("incarnation %d number %d after %d, %d: taken %t", inc, seq, bestInc, bestSeq, !newer)
			}
			if newer {
				bestInc, bestSeq = inc, seq
				left[inc] = left[inc] || sent[key] == wire.ServingStateLeaving
			}
			m, _ := tab.Get("b")
			if m.Inc != bestInc || m.Seq != bestSeq {
				t.Fatalf("%+v, want %d, %d", m, bestInc, bestSeq)
			}
			if left[bestInc] && m.State != wire.ServingStateLeaving {
				t.Fatalf("incarnation %d came back from leaving", bestInc)
			}
		}
	})
}
