package policy

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Row is one line of the measurement.
type Row struct {
	Case      string  `json:"case"`
	Policy    string  `json:"policy"`
	Seed      uint64  `json:"seed"`
	Requests  int     `json:"requests"`
	P50       float64 `json:"first_token_p50_ms"` // from the first try, refusals and waits included
	P95       float64 `json:"first_token_p95_ms"`
	P99       float64 `json:"first_token_p99_ms"`
	Between95 float64 `json:"between_tokens_p95_ms"`
	Refused   float64 `json:"refused_share"` // never served
	Late      float64 `json:"late_share"`    // first token after the contract, of those served
	Away      float64 `json:"away_share"`
	CacheHit  float64 `json:"cache_hit_share"`
	Cost      float64 `json:"cost_per_1k_tokens"` // busy replica-seconds
	Residency int     `json:"residency_breaks"`
}

// Policy is one way to route.
type Policy struct {
	Name string
	make func(w *world) router
}

// Policies returns ours and the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "havenrudder", make: newOurs},
		{Name: "random", make: newBaseline(random)},
		{Name: "round_robin", make: newBaseline(roundRobin)},
		{Name: "least_loaded", make: newBaseline(leastLoaded)},
		{Name: "power_of_two", make: newBaseline(powerOfTwo)},
		{Name: "prefix_hash", make: newBaseline(prefixHash)},
	}
}

const contract = 1900 * time.Millisecond

// Measure runs one case under one policy.
func Measure(c Case, p Policy, seed uint64) (Row, error) {
	w := newWorld(&c, seed, p.make)
	w.run()
	row := Row{
		Case:   c.Name,
		Policy: p.Name,
		Seed:   seed,
	}
	first := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	between := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	var refused, late, away, tokens, served int
	for _, r := range w.all {
		if r.foul {
			row.Residency++
		}
		if r.served {
			tokens += r.output
		}
		if r.arrived < warmUp {
			continue
		}
		row.Requests++
		if !r.served {
			refused++
			continue
		}
		served++
		took := r.first - r.arrived
		if took > contract {
			late++
		}
		if r.away {
			away++
		}
		if err := errors.Join(first.RecordValue(took.Microseconds()), between.RecordValue(r.between.Microseconds())); err != nil {
			return row, errors.Wrap(err, "histogram")
		}
	}
	row.Refused = share(refused, row.Requests)
	row.Late = share(late, served)
	row.Away = share(away, served)
	row.P50 = ms(first, 50)
	row.P95 = ms(first, 95)
	row.P99 = ms(first, 99)
	row.Between95 = ms(between, 95)
	w.account(&row, tokens)
	return row, nil
}

// account adds what the engines did.
func (w *world) account(row *Row, tokens int) {
	var used time.Duration
	hits := 0
	prompts := 0
	for _, e := range w.engines {
		used += e.used
		hits += e.hits
		prompts += e.prompts
	}
	row.CacheHit = share(hits, prompts)
	row.Cost = 1000 * used.Seconds() / float64(max(tokens, 1))
}

func share(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

func ms(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
