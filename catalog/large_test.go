package catalog_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

const largeCount = 148 // replicas, above largeThreshold

// largeTest is a large catalog with a Newest function, and a copy of it.
type largeTest struct {
	feedTest
	asked *atomic.Int64
}

func largeTestRun(t *testing.T, replicas int, f func(f largeTest), opts ...catalog.FeedOption) {
	synctest.Test(t, func(t *testing.T) {
		p := newPublisher()
		for n := range replicas {
			p.put(plainReplica(fmt.Sprint("r-", n), 0))
		}
		asked := new(atomic.Int64)
		source := p.source()
		source.Newest = func(ctx context.Context) (int64, error) {
			asked.Add(1)
			var none int
			if p.startCall(ctx, &none) == failing {
				return 0, errUnavailable
			}
			return p.snapshot().Revision, ctx.Err()
		}
		run := feedTest{
			I:         is.New(t),
			publisher: p,
			follower:  follow(t.Context(), source, opts...),
		}
		defer run.stop()
		time.Sleep(soon)
		f(largeTest{
			feedTest: run,
			asked:    asked,
		})
	})
}

func TestALargeCatalogIsNotReadAgainWhileTheWatchBringsAll(t *testing.T) {
	largeTestRun(t, largeCount, func(f largeTest) {
		for n := range 60 {
			f.put(plainReplica(fmt.Sprint("new-", n), 0))
			time.Sleep(time.Second)
		}
		reads, _ := f.calls()
		f.Equal(reads, 1)
		f.True(f.asked.Load() >= 20) // about every two seconds
		time.Sleep(2 * largeCount * time.Second)
		reads, _ = f.calls()
		f.True(reads >= 2) // full reads still happen occasionally
		f.True(reads <= 4)
		f.NoErr(f.lastHealth())
	})
}

func TestASilentWatchOfALargeCatalogIsCoveredByItsRevision(t *testing.T) {
	largeTestRun(t, largeCount, func(f largeTest) {
		f.set(silent)
		time.Sleep(11 * time.Second) // ends the current watch
		f.put(plainReplica("c", 0))
		time.Sleep(3 * time.Second)
		f.True(f.has("c"))
		f.drop("c")
		time.Sleep(3 * time.Second)
		f.True(!f.has("c"))
	})
}

func TestALargeCatalogIsReadInFullAfterAnOutage(t *testing.T) {
	largeTestRun(t, largeCount, func(f largeTest) {
		f.set(failing)
		time.Sleep(5 * time.Second)
		f.True(f.lastHealth() != nil)
		before, _ := f.calls()
		f.drop("r-1")
		f.set(healthy)
		time.Sleep(5 * time.Second)
		after, _ := f.calls()
		f.True(after > before)
		f.True(!f.has("r-1"))
		f.NoErr(f.lastHealth())
	})
}

func TestASmallCatalogIsReadAsBefore(t *testing.T) {
	largeTestRun(t, 15, func(f largeTest) {
		time.Sleep(time.Minute)
		reads, _ := f.calls()
		f.True(reads >= 20)
		f.Equal(f.asked.Load(), int64(0))
	})
}

// Guards against full reads of a large catalog when little has changed.
func TestAFollowerOfManyReplicasCatchesUpByWhatChanged(t *testing.T) {
	for _, replicas := range []int{largeCount, 600} {
		w := newPeers()
		largeTestRun(t, replicas, func(f largeTest) {
			w.reportReadsFor(3 * time.Second)
			f.put(plainReplica("c", 0))
			f.drop("r-1")
			time.Sleep(3 * time.Second) // no peer reports a read
			f.True(f.has("c"))
			f.True(!f.has("r-1"))
			reads, waits := f.calls()
			f.Equal(reads, 1)
			f.Equal(waits, 1)
		}, w.options()...)
	}
}

func TestAFollowerOfManyReplicasAsksOthersBeforeItReads(t *testing.T) {
	w := newPeers()
	asked := 0
	refresh := catalog.WithRefresh(func(context.Context) {
		asked++
		w.reportRead()
	})
	largeTestRun(t, 600, func(f largeTest) {
		time.Sleep(time.Minute)
		f.True(asked >= 20)
		f.True(asked <= 60)
		f.Equal(f.asked.Load(), int64(0))
		reads, _ := f.calls()
		f.Equal(reads, 1)
	}, append(w.options(), refresh)...)
}

func TestAWatchOfManyReplicasThatFailsGoesOnWithoutReadingAll(t *testing.T) {
	largeTestRun(t, 600, func(f largeTest) {
		f.set(silent)
		time.Sleep(15 * time.Second) // ends the current watch
		f.set(healthy)
		time.Sleep(5 * time.Second)
		f.put(plainReplica("c", 0))
		time.Sleep(time.Second)
		f.True(f.has("c"))
		reads, _ := f.calls()
		f.Equal(reads, 1)
	})
}
