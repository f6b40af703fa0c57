package control

import (
	"context"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// RelayRow compares streamed answers through a box with direct ones.
type RelayRow struct {
	Variant string  `json:"variant"`
	Round   int     `json:"round"`
	Streams int     `json:"streams"`
	P50     float64 `json:"answer_p50_ms"` // of a whole answer
	P99     float64 `json:"answer_p99_ms"`
	Allocs  float64 `json:"allocations_per_request"` // of caller and stand-in too
}

const (
	relayTokens   = 20
	relayRequests = 200
	relayAtOnce   = 4
)

// Relay measures whole answers of 20 tokens, in turn through a box and direct.
func Relay(ctx context.Context, done func(RelayRow) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := startRelay(ctx, relayTokens)
	if err != nil {
		return err
	}
	for round := range Runs {
		for _, v := range []RelayRow{{Variant: "direct"}, {Variant: "havenrudder"}} {
			base := r.engine
			if v.Variant == "havenrudder" {
				base = r.box
			}
			v.Round = round + 1
			v.Streams = relayAtOnce
			if err := v.measure(ctx, base); err != nil {
				return err
			}
			if err := done(v); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *RelayRow) measure(ctx context.Context, base string) error {
	took := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	results := make(chan result, relayRequests)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range relayAtOnce {
		go func() {
			for i := range relayRequests / relayAtOnce {
				began := time.Now()
				err := ask(ctx, base, i)
				results <- result{
					took: time.Since(began),
					err:  err,
				}
			}
		}()
	}
	for range relayRequests {
		one := <-results
		if err := errors.Join(one.err, took.RecordValue(one.took.Microseconds())); err != nil {
			return err
		}
	}
	runtime.ReadMemStats(&after)
	r.P50 = float64(took.ValueAtQuantile(50)) / 1000
	r.P99 = float64(took.ValueAtQuantile(99)) / 1000
	r.Allocs = float64(after.Mallocs-before.Mallocs) / relayRequests
	return nil
}

type result struct {
	took time.Duration
	err  error
}
