package catalog_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

// soon is enough for a few calls and far less than the interval of full reads.
const soon = 10 * callTakes

// feedTest is a publisher and a copy that follows it, in virtual time.
type feedTest struct {
	*is.I
	*publisher
	*follower
}

func feedTestRun(t *testing.T, f func(f feedTest), opts ...catalog.FeedOption) {
	synctest.Test(t, func(t *testing.T) {
		p := newPublisher()
		p.put(plainReplica("a", 0))
		p.put(plainReplica("b", 0))
		run := feedTest{
			I:         is.New(t),
			publisher: p,
			follower:  follow(t.Context(), p.source(), opts...),
		}
		defer run.stop()
		time.Sleep(soon)
		f(run)
	})
}

func (f feedTest) has(id string) bool {
	_, ok := f.get(id)
	return ok
}

func TestAWatchDeliversAtOnce(t *testing.T) {
	feedTestRun(t, func(f feedTest) {
		f.True(f.has("a"))
		for _, id := range []string{"c", "d", "e"} {
			f.put(plainReplica(id, 0))
			synctest.Wait()
			time.Sleep(soon)
			f.True(f.has(id))
		}
		f.drop("c")
		time.Sleep(soon)
		f.True(!f.has("c"))
		reads, _ := f.calls()
		f.Equal(reads, 1) // no further full read
		f.NoErr(f.lastHealth())
	}, catalog.WithReread(time.Hour))
}

func TestASilentWatchIsCoveredByReadingAgain(t *testing.T) {
	feedTestRun(t, func(f feedTest) {
		f.set(silent)
		time.Sleep(time.Minute) // ends the current watch
		f.put(plainReplica("c", 0))
		time.Sleep(3 * time.Second)
		f.True(f.has("c"))
		f.drop("c")
		time.Sleep(3 * time.Second)
		f.True(!f.has("c"))
		f.NoErr(f.lastHealth())
	})
}

func TestAForgottenHistoryLeadsToAReadAtOnce(t *testing.T) {
	feedTestRun(t, func(f feedTest) {
		for _, id := range []string{"c", "d"} {
			before, _ := f.calls()
			f.publishUnseen(id)
			time.Sleep(soon)
			f.True(f.has(id))
			after, _ := f.calls()
			f.True(after-before <= 2) // at once, but not repeatedly
			f.put(plainReplica("later "+id, 0))
			time.Sleep(soon)
			f.True(f.has("later " + id)) // the watch resumes
			time.Sleep(time.Minute)
		}
		for _, err := range f.results() {
			f.NoErr(err) // not a failure of the publisher
		}
	}, catalog.WithReread(time.Hour))
}

// publishUnseen publishes a replica and drops the history in one step.
func (f feedTest) publishUnseen(id string) {
	p := f.publisher
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rev++
	p.replicas[id] = plainReplica(id, p.rev)
	p.history = nil
	p.compactedAt = p.rev
	p.changed.Tell()
}

func TestFailuresBackOffAndRecoverWithinASecond(t *testing.T) {
	feedTestRun(t, func(f feedTest) {
		f.set(failing)
		time.Sleep(time.Second)
		f.True(f.lastHealth() != nil)
		before, _ := f.calls()
		const away = 30
		time.Sleep(away * time.Second)
		after, _ := f.calls()
		f.True(after-before >= away)   // about once a second or more often
		f.True(after-before <= 4*away) // but not continuously
		f.True(f.has("a"))
		f.set(healthy)
		f.put(plainReplica("c", 0))
		time.Sleep(time.Second)
		f.True(f.has("c"))
		f.NoErr(f.lastHealth())
		f.put(plainReplica("d", 0)) // the watch resumes
		time.Sleep(soon)
		f.True(f.has("d"))
	})
}

// Guards against frequent calls when a publisher refuses watches alone.
func TestAWatchThatKeepsFailingBacksOff(t *testing.T) {
	for _, err := range []error{errUnavailable, catalog.ErrHistoryGone} {
		t.Run(err.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newPublisher()
				waits := 0
				f := follow(t.Context(), catalog.Source{
					Read: p.read,
					Wait: func(context.Context, int64, time.Duration) ([]catalog.Change, int64, error) {
						waits++
						time.Sleep(callTakes)
						return nil, 0, err
					},
				})
				time.Sleep(10 * time.Second)
				f.stop()
				reads, _ := p.calls()
				t.Logf("%d watches, %d reads in 10 s", waits, reads)
				is.True(waits <= 200) // 20 per second
				is.True(reads <= 200)
			})
		})
	}
}

func TestExpiredEntriesStayForAWhileAfterAnOutage(t *testing.T) {
	feedTestRun(t, func(f feedTest) {
		f.set(failing)
		time.Sleep(time.Second)
		f.drop("a") // its lease expired as nothing could renew it
		time.Sleep(5 * time.Second)
		f.True(f.has("a"))
		f.set(healthy)
		for range 19 {
			time.Sleep(100 * time.Millisecond)
			f.True(f.has("a"))
			f.True(f.has("b"))
		}
		time.Sleep(1600 * time.Millisecond) // the recovery window of 2 s, after up to 1 s until the recovery is noticed
		f.True(!f.has("a"))
		f.True(f.has("b"))
	})
}

func TestEntriesThatReappearInTimeStay(t *testing.T) {
	feedTestRun(t, func(f feedTest) {
		f.set(failing)
		time.Sleep(time.Second)
		f.drop("a")
		f.drop("b")
		f.set(healthy)
		for n := range 60 {
			if n == 15 {
				f.put(plainReplica("a", 0))
				f.put(plainReplica("b", 0))
			}
			time.Sleep(100 * time.Millisecond)
			f.True(f.has("a"))
			f.True(f.has("b"))
		}
	})
}

func TestAnEntryRemovedWhileAllIsWellIsGoneAtOnce(t *testing.T) {
	feedTestRun(t, func(f feedTest) {
		time.Sleep(time.Minute)
		f.drop("a")
		time.Sleep(soon)
		f.True(!f.has("a"))
	})
}

func TestAFeedEndsWithItsContext(t *testing.T) {
	for _, m := range []mode{healthy, silent, failing, slow} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := newPublisher()
			p.set(m)
			f := follow(t.Context(), p.source())
			time.Sleep(1500 * time.Millisecond)
			began := time.Now()
			failures := len(f.results())
			f.stop() // would hang if the feed didn't stop
			is.True(time.Since(began) <= callTakes)
			is.Equal(len(f.results()), failures) // stopping is not a failure
		})
	}
}
