package sched

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

func ExampleShedder() {
	var s Shedder
	for range 2 {
		s.Adjust(160 * time.Millisecond)
	}
	fmt.Printf("%.1f\n", s.Share())
	fmt.Println(s.Sheds(func() float64 { return 0.1 }))
	fmt.Println(s.Sheds(func() float64 { return 0.9 }))
	for range 10 {
		s.Adjust(time.Millisecond)
	}
	fmt.Println(s.Sheds(nil))
	// Output:
	// 0.4
	// 1.6s true
	// 0s false
	// 0s false
}

func TestAQuantileIsTheBoundOfItsBucket(t *testing.T) {
	is := is.New(t)
	buckets := []float64{math.Inf(-1), 0, 0.001, 0.01, math.Inf(1)}
	is.Equal(quantileOf([]uint64{0, 3, 0, 1}, buckets, 0.75), time.Duration(0))
	is.Equal(quantileOf([]uint64{0, 2, 1, 1}, buckets, 0.75), time.Millisecond)
	is.Equal(quantileOf([]uint64{0, 0, 0, 4}, buckets, 0.75), 10*time.Millisecond)
	is.Equal(quantileOf([]uint64{5, 0, 0, 0}, buckets, 0.75), time.Duration(0))
	is.Equal(quantileOf([]uint64{0, 0, 0, 0}, buckets, 0.75), time.Duration(0))
	is.Equal(since([]uint64{1, 2}, []uint64{1, 5}), []uint64{0, 3})
}

// Guards against a box that doesn't notice that it lacks processor time.
func TestTheLatencyRisesWhileGoroutinesOutnumberTheProcessors(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var busy sync.WaitGroup
	for range 50 * runtime.GOMAXPROCS(0) {
		busy.Go(func() {
			for n := 0; ctx.Err() == nil; n++ { // without a wait
				_ = n
			}
		})
	}
	limit, stop := context.WithTimeout(t.Context(), 10*time.Second)
	defer stop()
	highest := time.Duration(0)
	Watch(limit, func(latency time.Duration) {
		highest = max(highest, latency)
		if latency > maxLatency {
			stop()
		}
	})
	cancel()
	busy.Wait()
	is.True(highest > maxLatency)
}
