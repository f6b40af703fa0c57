package change

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestEachChangeIsSeenByAllWhoWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		var changed Signal
		count := 0
		add := func() {
			mu.Lock()
			defer mu.Unlock()
			count++
			changed.Tell()
		}
		add() // while nobody waits
		ended := 0
		until := func(n int) {
			is.NoErr(Await(t.Context(), func() (bool, <-chan struct{}) {
				mu.Lock()
				defer mu.Unlock()
				return count >= n, changed.Next()
			}))
			mu.Lock()
			defer mu.Unlock()
			ended++
		}
		for range 3 {
			go until(2)
		}
		go until(3)
		synctest.Wait()
		is.Equal(ended, 0)
		add()
		synctest.Wait()
		is.Equal(ended, 3)
		add()
		synctest.Wait()
		is.Equal(ended, 4)
	})
}

func TestAWaitEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := Await(ctx, func() (bool, <-chan struct{}) { return false, make(chan struct{}) })
	is.True(errors.Is(err, context.Canceled))
}
