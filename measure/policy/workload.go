package policy

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// request is one request of a caller, with what becomes of it.
type request struct {
	id           int
	org          wire.Organisation
	rank         int
	prefix       int
	prefixTokens int
	suffix       int
	output       int

	arrived time.Duration
	tries   int
	served  bool
	refused bool
	first   time.Duration // when the first token came; 0 for not yet
	between time.Duration // mean time between tokens
	away    bool
	foul    bool // it ran where its data may not be
}

// Case is one situation to compare policies in.
type Case struct {
	Name     string
	Regions  []place
	Rate     func(region string, t time.Duration) float64 // requests a second that call it home
	Bound    float64                                      // share of requests bound to their home
	Prefixes int                                          // of each region
	Long     float64                                      // share of long prompts
	Greedy   float64                                      // share of one organisation's requests
	Patience time.Duration                                // after which a caller without a first token asks anew; 0 for never
	Lag      time.Duration                                // of the load that engines tell
	Length   time.Duration
	Events   func(w *world)
}

type place struct {
	name    string
	engines int
	boxes   int
}

const (
	suffixTokens  = 150
	prefixMean    = 1200
	longTokens    = 12_000
	outputMean    = 208
	outputSpread  = 0.6 // of the logarithm
	zipfExponent  = 0.9
	warmUp        = 30 * time.Second // not counted
	organisations = 20               // of each region
)

// generator draws requests by a seed; all policies get the same ones.
type generator struct {
	c      *Case
	rng    *rand.Rand
	zipf   []float64 // cumulated
	tokens []int     // of each prefix
	ids    int
}

func newGenerator(c *Case, seed uint64) *generator {
	g := &generator{
		c:   c,
		rng: rand.New(rand.NewPCG(seed, 1)),
	}
	sum := 0.0
	for i := range c.Prefixes {
		sum += math.Pow(float64(i+1), -zipfExponent)
		g.zipf = append(g.zipf, sum)
		g.tokens = append(g.tokens, prefixMean/2+g.rng.IntN(prefixMean))
	}
	for i := range g.zipf {
		g.zipf[i] /= sum
	}
	return g
}

func (g *generator) draw(region, index int, t time.Duration) *request {
	g.ids++
	r := &request{
		id:      g.ids,
		arrived: t,
		suffix:  suffixTokens/2 + g.rng.IntN(suffixTokens),
		output:  max(int(outputMean*math.Exp(outputSpread*g.rng.NormFloat64()-outputSpread*outputSpread/2)), 2),
	}
	n := g.pick()
	r.prefix = index*g.c.Prefixes + n
	r.prefixTokens = g.tokens[n]
	if g.rng.Float64() < g.c.Long {
		r.suffix += longTokens
	}
	r.org = g.org(region, n)
	r.rank = priorities[r.org.Priority]
	return r
}

func (g *generator) pick() int {
	u := g.rng.Float64()
	for i, p := range g.zipf {
		if u <= p {
			return i
		}
	}
	return len(g.zipf) - 1
}

// priorities are the ranks of the priorities in every case.
var priorities = map[string]int{
	"high": 0,
	"mid":  1,
	"low":  2,
}

// org returns the organisation a prefix belongs to. One of each region is bound
// to its home for the share of requests that the case says.
func (g *generator) org(region, prefix int) wire.Organisation {
	home := g.c.Regions[region].name
	o := wire.Organisation{
		Name:     home + "-" + string(rune('a'+prefix%organisations)),
		Home:     home,
		Regions:  []string{home},
		Priority: [...]string{"high", "mid", "low"}[prefix%3],
		Share:    1,
	}
	if g.c.Greedy > 0 {
		o.Share = 2 * greedyFair
	}
	switch {
	case g.rng.Float64() < g.c.Greedy:
		o.Name = home + "-greedy"
		o.Priority = "low"
	case g.rng.Float64() < g.c.Bound:
		o.Name = home + "-bound"
		return o
	}
	for i, p := range g.c.Regions {
		if i != region {
			o.Regions = append(o.Regions, p.name)
		}
	}
	return o
}

const greedyFair = 0.1 // fair share of the greedy organisation

// Cases returns all cases.
func Cases() []Case {
	three := []place{{"big", 20, 8}, {"mid", 8, 4}, {"small", 2, 2}}
	flat := func(perEngine float64, places []place) func(string, time.Duration) float64 {
		return func(region string, _ time.Duration) float64 {
			for _, p := range places {
				if p.name == region {
					return perEngine * float64(p.engines)
				}
			}
			return 0
		}
	}
	base := Case{
		Regions:  three,
		Rate:     flat(3.25, three),
		Bound:    0.11,
		Prefixes: 600,
		Lag:      200 * time.Millisecond,
		Length:   150 * time.Second,
	}
	with := func(name string, change func(c *Case)) Case {
		c := base
		c.Name = name
		change(&c)
		return c
	}
	users := []place{{"first", 6, 5}, {"second", 3, 2}, {"third", 3, 2}}
	return []Case{
		with("steady", func(*Case) {}),
		with("peaks_at_different_hours", func(c *Case) { c.Rate = peaks(three) }),
		with("one_replica_slow", func(c *Case) {
			c.Rate = flat(2.5, three)
			c.Events = func(w *world) { w.clock.After(slowAt, func() { w.engines[0].slow = slowFactor }) }
		}),
		with("a_third_leaves", func(c *Case) {
			c.Rate = flat(2.6, three)
			c.Events = func(w *world) { w.clock.After(leaveAt, w.thirdLeaves) }
		}),
		with("region_lost_and_back_cold", func(c *Case) {
			c.Rate = flat(2.4, three)
			c.Events = func(w *world) {
				w.clock.After(loseAt, func() { w.loseRegion("mid") })
				w.clock.After(backAt, func() { w.reviveRegion("mid") })
			}
		}),
		with("lagged_load_with_bursts", func(c *Case) {
			c.Lag = 2 * time.Second
			c.Rate = bursts(three)
		}),
		with("long_and_short_prompts", func(c *Case) {
			c.Long = 0.04
			c.Rate = flat(2.2, three)
		}),
		with("one_organisation_ten_times_its_share", func(c *Case) {
			c.Greedy = 0.5
			c.Rate = flat(4.2, three)
		}),
		with("retry_storm", func(c *Case) {
			c.Patience = 4 * time.Second
			c.Rate = storm(three)
		}),
		with("lavallee_today", func(c *Case) {
			c.Regions = users
			c.Rate = flat(3, users)
			c.Prefixes = 200
		}),
		with("kallioniemi_today", func(c *Case) {
			c.Regions = []place{{"first", 6, 4}, {"second", 3, 2}, {"third", 3, 2}}
			c.Rate = peaks(users)
			c.Bound = 0.4
			c.Prefixes = 200
		}),
		with("region_at_target_size", func(c *Case) {
			c.Regions = []place{{"one", 364, 35}}
			c.Rate = flat(3.25, c.Regions)
			c.Prefixes = 6000
			c.Length = 60 * time.Second
		}),
	}
}

// Times and sizes of what happens in the cases.
const (
	slowAt     = 40 * time.Second
	slowFactor = 5
	leaveAt    = 50 * time.Second
	loseAt     = 50 * time.Second
	backAt     = 90 * time.Second
	day        = 120 * time.Second // a day, made short
	peakSwing  = 0.45
	meanRate   = 3.0
	burstEvery = 20 * time.Second
	burstFor   = 4 * time.Second
	burstRate  = 5.5
	calmRate   = 2.6
	stormFrom  = 50 * time.Second
	stormUntil = 65 * time.Second
	stormRate  = 7.5
)

// peaks gives each region its peak at another time.
func peaks(places []place) func(string, time.Duration) float64 {
	return func(region string, t time.Duration) float64 {
		for i, p := range places {
			if p.name == region {
				phase := 2 * math.Pi * (t.Seconds()/day.Seconds() + float64(i)/float64(len(places)))
				return float64(p.engines) * meanRate * (1 + peakSwing*math.Sin(phase))
			}
		}
		return 0
	}
}

func bursts(places []place) func(string, time.Duration) float64 {
	return func(region string, t time.Duration) float64 {
		rate := calmRate
		if t%burstEvery < burstFor {
			rate = burstRate
		}
		return scaled(places, region, rate)
	}
}

func storm(places []place) func(string, time.Duration) float64 {
	return func(region string, t time.Duration) float64 {
		rate := calmRate
		if t >= stormFrom && t < stormUntil {
			rate = stormRate
		}
		return scaled(places, region, rate)
	}
}

func scaled(places []place, region string, rate float64) float64 {
	for _, p := range places {
		if p.name == region {
			return rate * float64(p.engines)
		}
	}
	return 0
}
