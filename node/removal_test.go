package node

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// Guards against a follower that treats entries missing from a read long after an outage as unconfirmed
// removals, and against reads that appear more recent than they are when boxes exchange their age.
func TestAReadingLongAfterAnOutageKeepsNoRemovedReplica(t *testing.T) {
	t.Parallel()
	for _, run := range []struct {
		boxes int
		seed  uint64
	}{
		{6, 1},
		{60, 4},  // loses all watchers at a removal
		{300, 2}, // the same
	} {
		first := cmp.Or(*firstSeed, run.seed)
		for seed := first; seed < first+*seeds; seed++ {
			t.Run(fmt.Sprint(run.boxes, " boxes, seed ", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { longAfterAnOutage(t, seed, run.boxes) })
			})
		}
	}
}

// Guards against boxes that learn too late that a replica leaves or is removed.
func TestEachBoxLearnsInTimeThatAReplicaLeavesOrIsRemoved(t *testing.T) {
	t.Parallel()
	for _, run := range []struct {
		boxes int
		seed  uint64
	}{
		{6, 1},
		{60, 1},
	} {
		first := cmp.Or(*firstSeed, run.seed)
		for seed := first; seed < first+*seeds; seed++ {
			t.Run(fmt.Sprint(run.boxes, " boxes, seed ", seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { leavingAndRemoved(t, seed, run.boxes) })
			})
		}
	}
}

// leavingAndRemoved has replicas leave or be removed during an outage, after it, and while boxes restart.
func leavingAndRemoved(t *testing.T, seed uint64, boxes int) {
	f := newSimulation(t.Context(), seed, boxes)
	defer f.end()
	f.pass(settleTime)
	f.startGrace = 0 // the bound applies to starting boxes from now on
	f.rejectSome(0.3, 10*time.Second)
	f.outage(3*time.Second, 4)
	f.pass(2500 * time.Millisecond)
	f.leave(3)
	f.remove(3)
	for range 5 {
		f.pass(1500 * time.Millisecond)
		f.restart(f.someBox(), time.Second)
		f.leave(2)
		f.remove(1)
	}
	f.pass(2 * time.Second)
	f.restartWatchers(3 * time.Second)
	f.leave(6)
	f.remove(6)
	f.pass(settleTime)
	f.report(t)
}

// report fails the test if a bound was violated.
func (f *simulation) report(t *testing.T) {
	t.Helper()
	t.Logf("the longest lag of a removal is %v, %d times a live replica was not listed, %d calls, trace %x", f.maxRemovalLag, f.missingLive, f.listing.calls, f.trace.Load())
	if f.violation != "" {
		t.Fatal(f.violation)
	}
}

// Guards against a removal that is confirmed too early although its entry returns soon after an outage.
func TestAnEntryThatComesBackAfterAnOutageStaysListed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newSimulation(t.Context(), 8, 60) // this seed has many entries that expire
		defer f.end()
		f.pass(8 * time.Second)
		f.rejectSome(0.3, 15*time.Second)
		f.outage(3*time.Second, 4)
		for range 4 {
			f.pass(2 * time.Second)
			f.remove(2)
		}
		f.report(t)
		if f.missingLive > 0 {
			t.Fatalf("%d times a live replica was not listed", f.missingLive)
		}
	})
}

// Guards against runs that differ with one seed, so that failures could not be reproduced.
func TestOneSeedIsOneRun(t *testing.T) {
	t.Parallel()
	traces := make(map[uint64]bool)
	for range 3 {
		synctest.Test(t, func(t *testing.T) {
			f := newSimulation(t.Context(), 1, 24)
			defer f.end()
			f.pass(4 * time.Second)
			f.outage(time.Second, 2)
			f.pass(2 * time.Second)
			f.remove(2)
			f.restartWatchers(time.Second)
			f.pass(4 * time.Second)
			traces[f.trace.Load()] = true
		})
	}
	if len(traces) > 1 {
		t.Fatalf("one seed gave several runs: %x", slices.Sorted(maps.Keys(traces)))
	}
}

var (
	firstSeed = flag.Uint64("seed", 0, "first seed of a simulation; 0 for that of CI")
	seeds     = flag.Uint64("seeds", 1, "number of consecutive seeds")
)

// longAfterAnOutage removes replicas long after an outage, then while all watchers restart.
func longAfterAnOutage(t *testing.T, seed uint64, boxes int) {
	f := newSimulation(t.Context(), seed, boxes)
	defer f.end()
	f.pass(8 * time.Second)
	f.rejectSome(0.3, 15*time.Second)
	f.outage(3*time.Second, 4)
	for range 8 {
		f.pass(2 * time.Second)
		f.remove(2)
	}
	f.pass(time.Second)
	f.restartWatchers(3 * time.Second)
	f.remove(12)
	f.pass(settleTime)
	f.report(t)
}

const (
	fuzzedBoxes   = 100
	fuzzedActions = 8 // per run, including pauses
	fuzzedRuns    = "8"
)

// limitRuns lowers the default number of runs, each of which takes some seconds.
func limitRuns(t *testing.T) {
	const name = "rapid.checks"
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return // set on the command line
	}
	if err := flag.Set(name, fuzzedRuns); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := flag.Set(name, f.DefValue); err != nil {
			t.Error(err)
		}
	})
}

func TestNoOutageMakesABoxSendToAReplicaLongAfterItsRemoval(t *testing.T) {
	t.Parallel()
	limitRuns(t)
	maxRemovalLag := time.Duration(0)
	rapid.Check(t, func(rt *rapid.T) {
		var violation string
		synctest.Test(t, func(t *testing.T) {
			f := newSimulation(t.Context(), rapid.Uint64().Draw(rt, "seed"), fuzzedBoxes)
			defer f.end()
			f.pass(settleTime)
			f.disrupt(rt)
			f.pass(settleTime)
			maxRemovalLag = max(maxRemovalLag, f.maxRemovalLag)
			violation = f.violation
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
	t.Logf("the longest lag of a removal is %v", maxRemovalLag)
}

// disrupt disrupts the installation at random and removes replicas.
func (f *simulation) disrupt(t *rapid.T) {
	down := func() time.Duration {
		return time.Duration(rapid.IntRange(100, 8000).Draw(t, "ms")) * time.Millisecond
	}
	actions := []func(){
		func() { f.restart(f.someBox(), down()) },
		func() { f.kill(f.someBox()) },
		func() { f.restartWatchers(down()) },
		func() { f.rejectSome(0.4, down()) },
		f.listing.dropHistory,
		func() {
			if !f.listing.isDown() {
				f.outage(down(), 3)
			}
		},
	}
	for range rapid.IntRange(1, fuzzedActions).Draw(t, "actions") {
		rapid.SampledFrom(actions).Draw(t, "action")()
		f.pass(time.Duration(rapid.IntRange(50, 3000).Draw(t, "ms")) * time.Millisecond)
		f.remove(1)
	}
}
