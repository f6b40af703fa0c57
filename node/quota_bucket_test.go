package node

import (
	"slices"
	"testing"
	"time"
)

// quotaBuckets decides by a token bucket per organisation which requests its quota covers. A bucket admits less
// than a sliding window and carries no debt of earlier seconds into the next.
type quotaBuckets struct {
	orgs      []*organisation
	remaining map[*organisation]float64 // tokens
	maxDemand map[*organisation]float64 // tokens per second, the highest so far
	refilled  time.Time
}

func newQuotaBuckets(orgs []*organisation) *quotaBuckets {
	q := &quotaBuckets{
		orgs:      orgs,
		remaining: make(map[*organisation]float64),
		maxDemand: make(map[*organisation]float64),
		refilled:  time.Now(),
	}
	for _, o := range orgs {
		q.noteDemand(o)
	}
	return q
}

// refill adds what the quotas have granted since the last call.
func (q *quotaBuckets) refill() {
	passed := time.Since(q.refilled).Seconds()
	q.refilled = time.Now()
	for _, o := range q.orgs {
		q.remaining[o] = min(o.rate, q.remaining[o]+o.rate*passed)
	}
}

// take reports whether the bucket covers a request, and takes its tokens if so.
func (q *quotaBuckets) take(o *organisation) bool {
	if q.remaining[o] < float64(o.tokens) {
		return false
	}
	q.remaining[o] -= float64(o.tokens)
	return true
}

func (q *quotaBuckets) noteDemand(o *organisation) {
	q.maxDemand[o] = max(q.maxDemand[o], o.demand)
}

// span returns the length of the spans in which admitted requests make up for covered ones that were rejected. An
// organisation within its quota has none: each covered request must be admitted.
func (q *quotaBuckets) span(o *organisation) time.Duration {
	if q.maxDemand[o] <= o.rate {
		return time.Nanosecond
	}
	return quotaWindow / 2
}

// refusedByBucket returns the share of the covered tokens that was rejected and not made up for in the same span.
func (b *quotaSimulation) refusedByBucket(o *organisation) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	span := b.buckets.span(o)
	covered := 0.0
	missing := make(map[time.Duration]float64) // tokens by span
	for _, s := range b.charges[o.name] {
		if s.covered {
			covered += s.tokens
			missing[s.at/span] += s.tokens
		}
		if s.admitted {
			missing[s.at/span] -= s.tokens
		}
	}
	refused := 0.0
	for _, tokens := range missing {
		if tokens > 0 {
			refused += tokens / covered
		}
	}
	return refused
}

// bucketVerdict fails the test if a bound was exceeded, or too much of what the buckets cover was rejected.
func (b *quotaSimulation) bucketVerdict(maxRefused float64) {
	b.t.Helper()
	b.verdict(1)
	for _, o := range b.orgs {
		got := b.refusedByBucket(o)
		b.t.Logf("%s: %.4f of the tokens that the bucket covers rejected", o.name, got)
		if got > maxRefused {
			b.t.Errorf("%s: %.4f of the tokens that the bucket covers rejected, %.4f allowed", o.name, got, maxRefused)
		}
	}
}

// Guards against rejections within a quota while some boxes of a region have no allocator.
func TestFewAreRefusedWhileBoxesAreCutOffOrKilled(t *testing.T) {
	checkQuotaScenarios(t, allocatorsUnreachable, func(b *quotaSimulation) {
		b.bucketVerdict(troubleRefused)
	})
}

// Guards against rejections within a quota after overload, restarts of all boxes or a partition of a region.
func TestFewAreRefusedAfterOverloadOrWhileRegionsAreCutOff(t *testing.T) {
	scenarios := slices.Concat([]quotaScenario{overloadScenario}, allocatorsReachable)
	checkQuotaScenarios(t, scenarios, func(b *quotaSimulation) {
		b.bucketVerdict(troubleRefused)
	})
}
