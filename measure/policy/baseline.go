package policy

import (
	"slices"
	"strconv"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	pollEvery = 500 * time.Millisecond // how often baselines ask for reported load
	comeBack  = time.Second
)

// pick chooses one of the candidates.
type pick func(b *baseline, r *request, candidates []*engine) *engine

// baseline is a router with one simple rule within a region. All of them know
// the list, poll the load that engines report, count what they sent since, try
// another replica when one is not there, and go to the least loaded other region
// that the request may enter when no replica at home has a slot left.
type baseline struct {
	w        *world
	pick     pick
	usable   map[string]bool // as the list says
	reported map[string]wire.Load
	boxes    map[string][]*sender // by region
	from     *sender              // of the request being routed
}

// sender is one box: callers come to any of them, and what it sent it alone
// knows.
type sender struct {
	since map[string]int // sent since the report
	turn  int
}

func newBaseline(p pick) func(w *world) router {
	return func(w *world) router {
		b := &baseline{
			w:        w,
			pick:     p,
			usable:   make(map[string]bool),
			reported: make(map[string]wire.Load),
			boxes:    make(map[string][]*sender),
		}
		for _, p := range w.c.Regions {
			for range p.boxes {
				b.boxes[p.name] = append(b.boxes[p.name], &sender{
					since: make(map[string]int),
				})
			}
		}
		b.listed()
		b.poll()
		return b
	}
}

var _ router = (*baseline)(nil)

func (b *baseline) listed() {
	for _, e := range b.w.engines {
		b.usable[e.name] = !e.leaving
	}
}

func (b *baseline) poll() {
	for _, e := range b.w.engines {
		b.reported[e.name] = e.report()
	}
	for _, senders := range b.boxes {
		for _, s := range senders {
			clear(s.since)
		}
	}
	b.w.clock.After(pollEvery, b.poll)
}

func (b *baseline) load(e *engine) int {
	l := b.reported[e.name]
	return l.Running + l.Waiting
}

func (b *baseline) candidates(region string, tried []string) []*engine {
	var out []*engine
	for _, e := range b.w.inRegion(region) {
		if b.usable[e.name] && !slices.Contains(tried, e.name) {
			out = append(out, e)
		}
	}
	return out
}

// mean returns the mean reported load of engines over their slots, 1 for none.
func (b *baseline) mean(engines []*engine) float64 {
	if len(engines) == 0 {
		return 1
	}
	sum := 0
	for _, e := range engines {
		sum += b.load(e)
	}
	return float64(sum) / float64(len(engines)*slots)
}

func (b *baseline) route(r *request, tried []string) (*target, time.Duration) {
	region := r.org.Home
	b.from = b.boxes[region][b.w.rng.IntN(len(b.boxes[region]))]
	home := b.candidates(region, tried)
	full := true
	for _, e := range home {
		full = full && b.load(e) >= slots
	}
	if full {
		region = b.abroad(r, tried, region)
	}
	candidates := b.candidates(region, tried)
	if len(candidates) == 0 {
		return nil, comeBack
	}
	e := b.pick(b, r, candidates)
	b.from.since[e.name]++
	t := &target{
		engine:  e,
		started: func(time.Duration) {},
		ended:   func(bool, bool, time.Duration) {},
	}
	if region != r.org.Home {
		t.away = true
		t.delay = farDelay
	}
	return t, 0
}

func (b *baseline) abroad(r *request, tried []string, home string) string {
	best := home
	least := 1.0
	for _, region := range r.org.Regions {
		if region == home {
			continue
		}
		if m := b.mean(b.candidates(region, tried)); m < least {
			best = region
			least = m
		}
	}
	return best
}

func random(b *baseline, _ *request, c []*engine) *engine { return c[b.w.rng.IntN(len(c))] }

func roundRobin(b *baseline, _ *request, c []*engine) *engine {
	b.from.turn++
	return c[b.from.turn%len(c)]
}

func leastLoaded(b *baseline, _ *request, c []*engine) *engine {
	best := c[b.w.rng.IntN(len(c))]
	for _, e := range c {
		if b.load(e) < b.load(best) {
			best = e
		}
	}
	return best
}

// powerOfTwo takes the less loaded of two, by what they reported and what was
// sent since.
func powerOfTwo(b *baseline, _ *request, c []*engine) *engine {
	x, y := c[b.w.rng.IntN(len(c))], c[b.w.rng.IntN(len(c))]
	if b.load(x)+b.from.since[x.name] <= b.load(y)+b.from.since[y.name] {
		return x
	}
	return y
}

func prefixHash(_ *baseline, r *request, c []*engine) *engine {
	best := c[0]
	var top uint64
	key := strconv.Itoa(r.prefix)
	for _, e := range c {
		if s := rendezvous.Score(key, e.name); s >= top {
			best = e
			top = s
		}
	}
	return best
}
