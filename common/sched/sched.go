// Package sched measures for how long goroutines wait for the processor, and how much work to turn away
// while that is too long.
package sched

import (
	"context"
	"math"
	"runtime/metrics"
	"time"

	"github.com/havenrudder/havenrudder/common/sleep"
)

const (
	latencyMetric = "/sched/latencies:seconds" // of package runtime/metrics
	interval      = 100 * time.Millisecond     // between two measurements
	quantile      = 0.75                       // of the waits; those of woken timers are short in any case
)

// Watch calls report with the scheduling latency of each interval until ctx ends: the time within which
// three quarters of the goroutines that could run did run.
func Watch(ctx context.Context, report func(latency time.Duration)) {
	sample := []metrics.Sample{{
		Name: latencyMetric,
	}}
	var earlier []uint64
	for ctx.Err() == nil {
		metrics.Read(sample)
		if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
			return // an unknown runtime
		}
		h := sample[0].Value.Float64Histogram()
		if earlier != nil {
			report(quantileOf(since(earlier, h.Counts), h.Buckets, quantile))
		}
		earlier = append(earlier[:0], h.Counts...)
		sleep.For(ctx, interval)
	}
}

// since returns what was added to the counts of a histogram.
func since(earlier, now []uint64) []uint64 {
	out := make([]uint64, len(now))
	for i := range now {
		out[i] = now[i] - earlier[i]
	}
	return out
}

// quantileOf returns the lower bound of the bucket with a quantile of a histogram, of which bucket i begins
// at buckets[i] seconds; 0 if it is empty.
func quantileOf(counts []uint64, buckets []float64, quantile float64) time.Duration {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	rank := uint64(math.Ceil(quantile * float64(total)))
	seen := uint64(0)
	for i, n := range counts {
		if seen += n; n > 0 && seen >= rank {
			return time.Duration(max(buckets[i], 0) * float64(time.Second))
		}
	}
	return 0
}
