package catalog_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

// peers are the boxes that a follower receives updates from.
type peers struct {
	follows atomic.Bool
	at      atomic.Pointer[time.Time] // time of their last reported read
}

func (w *peers) reportRead() {
	now := time.Now()
	w.at.Store(&now)
}

func (w *peers) reportReadsFor(d time.Duration) {
	for range d / time.Second {
		w.reportRead()
		time.Sleep(time.Second)
	}
}

// newPeers returns peers that have just reported a read.
func newPeers() *peers {
	w := &peers{}
	w.follows.Store(true)
	w.reportRead()
	return w
}

func (w *peers) options() []catalog.FeedOption {
	own := func(err error) {
		if err == nil {
			w.reportRead() // a box's own reads count too
		}
	}
	age := func() time.Duration { return time.Since(*w.at.Load()) }
	return []catalog.FeedOption{
		catalog.WithFollowing(w.follows.Load, age),
		catalog.WithHealth(own),
	}
}

// followerRun is feedTestRun for a follower.
func followerRun(t *testing.T, f func(f feedTest, w *peers)) {
	w := newPeers()
	feedTestRun(t, func(run feedTest) { f(run, w) }, w.options()...)
}

func TestAFollowerCallsRarelyWhileOthersKeepItCurrent(t *testing.T) {
	followerRun(t, func(f feedTest, w *peers) {
		f.True(f.has("a"))
		w.reportReadsFor(time.Minute)
		reads, waits := f.calls()
		f.True(reads <= 4) // an initial one, then one every 20 s
		f.Equal(waits, 0)
	})
}

func TestAFollowerReadsWhenNoPeerReportsReads(t *testing.T) {
	followerRun(t, func(f feedTest, w *peers) {
		w.reportReadsFor(10 * time.Second)
		f.put(plainReplica("c", 0))
		time.Sleep(2700 * time.Millisecond) // staleTimeout and the calls
		f.True(f.has("c"))
	})
}

func TestAFollowerThatWaitsLongestStillReadsWellBeforeAnyBound(t *testing.T) {
	w := newPeers()
	longest := append(w.options(), catalog.WithJitter(func() float64 { return 0.999 }))
	feedTestRun(t, func(f feedTest) {
		w.reportReadsFor(10 * time.Second)
		f.put(plainReplica("c", 0))
		time.Sleep(3400 * time.Millisecond) // the shortest bound is 4 s including the read
		f.True(f.has("c"))
	}, longest...)
}

func TestAFollowerWhoseRequestFailedReadsAtOnce(t *testing.T) {
	followerRun(t, func(f feedTest, w *peers) {
		w.reportReadsFor(2 * time.Second)
		rev := f.put(plainReplica("c", 0))
		f.feed.NotifyRevision(rev)
		time.Sleep(soon)
		f.True(f.has("c"))
	})
}

func TestAFollowerOfManyReplicasAsksForTheRevisionInPlaceOfReading(t *testing.T) {
	w := newPeers()
	largeTestRun(t, 100, func(f largeTest) {
		before, _ := f.calls()
		time.Sleep(40 * time.Second) // no peer reports a read
		after, waits := f.calls()
		f.Equal(after, before)
		f.Equal(waits, 0)
		f.True(f.asked.Load() >= 8)
		f.put(plainReplica("c", 0))
		time.Sleep(5 * time.Second)
		f.True(f.has("c"))
	}, w.options()...)
}

func TestABoxThatNoLongerFollowsWatchesFromWhereItWas(t *testing.T) {
	followerRun(t, func(f feedTest, w *peers) {
		w.reportReadsFor(5 * time.Second)
		f.put(plainReplica("c", 0))
		w.follows.Store(false)
		time.Sleep(time.Second)
		f.True(f.has("c"))
		f.drop("c")
		time.Sleep(soon)
		f.True(!f.has("c"))
	})
}

func TestAFollowerRetriesRarelyDuringAnOutageAndRecoversThroughPeers(t *testing.T) {
	followerRun(t, func(f feedTest, w *peers) {
		before, _ := f.calls()
		f.set(failing)
		time.Sleep(20 * time.Second)
		after, _ := f.calls()
		f.True(after-before <= 12)
		w.reportReadsFor(10 * time.Second)
		quiet, _ := f.calls()
		f.True(quiet-after <= 1)
	})
}
