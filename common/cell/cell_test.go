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

func TestAnAccessThatIsGivenUpNeverRuns(t *testing.T) {
	is := is.New(t)
	for range 200 {
		ctx, cancel := context.WithCancel(context.Background())
		c := New(ctx, NewSystem(slog.New(slog.DiscardHandler), func(any) {}), "value", new(int))
		c.Post(func(*int) { cancel() })
		ran := false // written without a lock: the race detector sees a late write
		err := c.Do(func(*int) { ran = true })
		is.Equal(err == nil, ran)
	}
}
