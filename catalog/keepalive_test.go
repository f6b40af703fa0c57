package catalog_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

// countKeeps returns how often a feed of so many replicas calls KeepAlive in a minute.
func countKeeps(t *testing.T, replicas int, follows bool) (n int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute-time.Second)
		defer cancel()
		source := catalog.Source{
			Read: func(context.Context) (catalog.Snapshot, error) {
				return catalog.Snapshot{
					Revision: 1,
					Replicas: make([]catalog.Replica, replicas),
				}, nil
			},
			Wait: func(ctx context.Context, after int64, wait time.Duration) ([]catalog.Change, int64, error) {
				select {
				case <-ctx.Done():
				case <-time.After(wait):
				}
				return nil, after, ctx.Err()
			},
			Newest: func(context.Context) (int64, error) { return 1, nil },
			KeepAlive: func(context.Context) error {
				n++
				return nil
			},
		}
		follow := catalog.WithFollowing(func() bool { return follows }, func() time.Duration { return 0 })
		catalog.NewFeed(source, func(catalog.Update) {}, follow).Run(ctx)
	})
	return n
}

// Guards against a source whose history of 20 s ends between two reads.
func TestBoxesThatReadRarelyCallKeep(t *testing.T) {
	is := is.New(t)
	is.Equal(countKeeps(t, 6, true), 9)
	is.Equal(countKeeps(t, 300, true), 9)
	is.Equal(countKeeps(t, 300, false), 9)
}

func TestBoxesThatReadOftenDontCallKeep(t *testing.T) {
	is := is.New(t)
	is.Equal(countKeeps(t, 6, false), 0)
}

func TestBoxesThatReadVeryRarelyDontCallKeep(t *testing.T) {
	is := is.New(t)
	is.Equal(countKeeps(t, 600, true), 0)
}
