package catalog_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

const (
	syncers   = 50 // callers that come within a second
	syncReads = 10 // that they may share
	syncBound = 600 * time.Millisecond
)

// countedSource returns the source of a publisher with a cheap call for the newest revision.
func (p *publisher) countedSource(newest *int) catalog.Source {
	out := p.source()
	out.Newest = func(ctx context.Context) (int64, error) {
		m := p.startCall(ctx, newest)
		switch m {
		case failing:
			return 0, errUnavailable
		case slow:
			time.Sleep(slowTakes)
		}
		return p.snapshot().Revision, ctx.Err()
	}
	return out
}

// syncRun is feedTestRun for a follower that reads seldom and whose peers report reads.
func syncRun(t *testing.T, f func(f feedTest, newest *int)) {
	followerRun(t, func(run feedTest, w *peers) {
		run.stop()
		newest := 0
		run.follower = follow(context.Background(), run.countedSource(&newest), w.options()...)
		defer run.follower.stop()
		time.Sleep(soon)
		newest = 0
		f(run, &newest)
	})
}

// Guards against a copy that passes for current though it lacks what was published before the call.
func TestASyncedCopyHasAllThatWasPublishedBefore(t *testing.T) {
	syncRun(t, func(f feedTest, _ *int) {
		for _, id := range []string{"c", "d", "e"} {
			rev := f.put(plainReplica(id, 0))
			f.True(!f.has(id))
			f.Equal(f.feed.Sync(context.Background()), rev)
			f.True(f.has(id))
		}
	})
}

// Guards against a copy that passes for current where the publisher does not show the changes in time.
func TestACopyThatCannotBeReadIsNotSynced(t *testing.T) {
	for _, m := range []mode{failing, slow, silent} {
		syncRun(t, func(f feedTest, _ *int) {
			f.put(plainReplica("c", 0))
			f.set(m)
			began := time.Now()
			f.Equal(f.feed.Sync(context.Background()), int64(0))
			f.True(time.Since(began) < syncBound)
		})
	}
}

// Guards against calls that grow with the callers.
func TestCallersOfASyncShareTheReadsThatBeginAfterThem(t *testing.T) {
	syncRun(t, func(f feedTest, newest *int) {
		is := is.New(t)
		var all sync.WaitGroup
		for n := range syncers {
			time.Sleep(time.Second / syncers)
			rev := f.put(plainReplica("c", int64(n)))
			all.Go(func() { is.True(f.feed.Sync(context.Background()) >= rev) })
		}
		all.Wait()
		is.True(*newest <= syncReads)
	})
}
