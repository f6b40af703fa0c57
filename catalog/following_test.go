package catalog_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

// word is what other boxes say to one that follows them.
type word struct {
	follows atomic.Bool
	at      atomic.Pointer[time.Time] // when they last said that they had read
}

// say tells that others have just read.
func (w *word) say() {
	now := time.Now()
	w.at.Store(&now)
}

// sayFor lets others read every second for so long.
func (w *word) sayFor(d time.Duration) {
	for range d / time.Second {
		w.say()
		time.Sleep(time.Second)
	}
}

// newWord returns the word of boxes that have just read.
func newWord() *word {
	w := &word{}
	w.follows.Store(true)
	w.say()
	return w
}

// options returns what makes a feed follow.
func (w *word) options() []catalog.FeedOption {
	own := func(err error) {
		if err == nil {
			w.say() // a box knows of its own readings
		}
	}
	age := func() time.Duration { return time.Since(*w.at.Load()) }
	return []catalog.FeedOption{
		catalog.WithFollowing(w.follows.Load, age),
		catalog.WithHealth(own),
	}
}

// followerRun is feedTestRun for a box that follows others.
func followerRun(t *testing.T, f func(f feedTest, w *word)) {
	w := newWord()
	feedTestRun(t, func(run feedTest) { f(run, w) }, w.options()...)
}

func TestAFollowerCallsRarelyWhileOthersKeepItCurrent(t *testing.T) {
	followerRun(t, func(f feedTest, w *word) {
		f.True(f.has("a"))
		w.sayFor(time.Minute)
		reads, waits := f.calls()
		f.True(reads <= 4) // at first, and then every 20 s
		f.Equal(waits, 0)
	})
}

func TestAFollowerReadsWhenNobodySaysThatItIsCurrent(t *testing.T) {
	followerRun(t, func(f feedTest, w *word) {
		w.sayFor(10 * time.Second)
		f.put(plainReplica("c", 0))
		time.Sleep(2700 * time.Millisecond) // as old as it lets its knowledge get, and the call
		f.True(f.has("c"))
	})
}

func TestAFollowerThatWaitsLongestStillReadsWellBeforeAnyBound(t *testing.T) {
	w := newWord()
	longest := append(w.options(), catalog.WithJitter(func() float64 { return 0.999 }))
	feedTestRun(t, func(f feedTest) {
		w.sayFor(10 * time.Second)
		f.put(plainReplica("c", 0))
		time.Sleep(3400 * time.Millisecond) // the shortest bound is 4 s, and the reading takes time
		f.True(f.has("c"))
	}, longest...)
}

func TestAFollowerWhoseQuestionFailedReadsAtOnce(t *testing.T) {
	followerRun(t, func(f feedTest, w *word) {
		w.sayFor(2 * time.Second)
		rev := f.put(plainReplica("c", 0))
		f.feed.Behind(rev)
		time.Sleep(soon)
		f.True(f.has("c"))
	})
}

func TestAFollowerOfManyReplicasAsksForTheRevisionInPlaceOfReading(t *testing.T) {
	w := newWord()
	largeTestRun(t, 100, func(f largeTest) {
		before, _ := f.calls()
		time.Sleep(40 * time.Second) // nobody says anything
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
	followerRun(t, func(f feedTest, w *word) {
		w.sayFor(5 * time.Second)
		f.put(plainReplica("c", 0))
		w.follows.Store(false)
		time.Sleep(time.Second)
		f.True(f.has("c"))
		f.drop("c")
		time.Sleep(soon)
		f.True(!f.has("c"))
	})
}

func TestAFollowerTriesSeldomWhileThePublisherIsAwayAndIsBackByTheWordOfOthers(t *testing.T) {
	followerRun(t, func(f feedTest, w *word) {
		before, _ := f.calls()
		f.set(failing)
		time.Sleep(20 * time.Second)
		after, _ := f.calls()
		f.True(after-before <= 12)
		w.sayFor(10 * time.Second)
		quiet, _ := f.calls()
		f.True(quiet-after <= 1)
	})
}
