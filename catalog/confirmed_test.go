package catalog_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

// confirmations are the times as of which a feed reports its copy to be the newest.
type confirmations struct {
	mu   sync.Mutex
	last time.Time
	ages []time.Duration // when each was reported
}

func (c *confirmations) option() catalog.FeedOption {
	return catalog.WithConfirmed(func(at time.Time) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ages = append(c.ages, time.Since(at))
		if at.After(c.last) {
			c.last = at
		}
	})
}

// Guards against a copy that seems younger than it is by the duration of a slow read: boxes that rely on its
// age learn of a change that much later.
func TestACopyIsConfirmedAsOfTheStartOfARead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPublisher()
		p.set(slow)
		p.put(plainReplica("a", 0))
		var c confirmations
		f := follow(t.Context(), p.source(), c.option())
		defer f.stop()
		time.Sleep(time.Minute)
		is.True(len(c.ages) > 10)
		for _, age := range c.ages {
			is.True(age >= slowTakes)
		}
	})
}

// Guards against a copy that is taken for confirmed at the time at which an earlier read of the policy is used,
// while the publisher does not answer any more.
func TestACopyIsConfirmedAsOfTheStartOfTheReadOfThePolicy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newPublisher()
		for n := range largeCount {
			p.put(plainReplica(fmt.Sprint("r-", n), 0))
		}
		var c confirmations
		var lastRead time.Time
		source := p.source()
		source.Newest = func(context.Context) (int64, error) { return 0, errUnavailable }
		source.Confirm = func(ctx context.Context) (catalog.Snapshot, error) {
			if began := time.Now(); lastRead.IsZero() || began.Sub(lastRead) < 1300*time.Millisecond {
				lastRead = began
				return p.read(ctx)
			}
			p.set(failing)
			return catalog.Snapshot{}, errUnavailable
		}
		f := follow(t.Context(), source, c.option(), catalog.WithConfirming(func() bool { return true }, func(int, time.Time) {}))
		defer f.stop()
		time.Sleep(time.Minute)
		is.True(!c.last.After(lastRead))
	})
}
