package cell

import (
	"context"
	"log/slog"
	"sync"
	"testing"

	"github.com/matryer/is"
)

func TestAccessesFromManyGoroutinesAreOrdered(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := NewSystem(slog.New(slog.DiscardHandler), func(reason any) { t.Error(reason) })
	c := New(ctx, s, "counter", new(int))
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() { _ = c.Do(func(n *int) { *n++ }) })
	}
	wg.Wait()
	got := 0
	is.NoErr(c.Do(func(n *int) { got = *n }))
	is.Equal(got, 50)
}

func TestABrokenInvariantIsReported(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	told := make(chan any, 1)
	s := NewSystem(slog.New(slog.DiscardHandler), func(reason any) {
		told <- reason
		cancel()
	})
	c := New(ctx, s, "counter", new(int))
	err := c.Do(func(*int) { panic("broken") })
	is.Equal(err, ErrStopped)
	is.Equal(<-told, "broken")
}

func BenchmarkDo(b *testing.B) {
	s := NewSystem(slog.New(slog.DiscardHandler), func(any) {})
	c := New(b.Context(), s, "counter", new(int))
	b.ReportAllocs()
	for b.Loop() {
		_ = c.Do(func(n *int) { *n++ })
	}
}
