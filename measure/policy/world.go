package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/measure/virtual"
)

// Delays between places, as the first users have them, one way.
const (
	nearDelay = time.Millisecond
	farDelay  = 90 * time.Millisecond
	deadline  = 30 * time.Second
	maxTries  = 12 // of one request, all told
	listLag   = 3 * time.Second
)

// target is where a router sends a request.
type target struct {
	engine  *engine
	delay   time.Duration // one way, beyond what every request takes
	away    bool
	started func(took time.Duration)
	ended   func(ok, started bool, took time.Duration)
}

// router decides where requests go.
type router interface {
	// route returns a target, or when to come back.
	route(r *request, tried []string) (*target, time.Duration)
	// listed tells that the platform's list has changed.
	listed()
}

// world is the regions of one case under one policy.
type world struct {
	c       *Case
	clock   *virtual.Clock
	rng     *rand.Rand // of the routers
	gen     *generator
	engines []*engine
	router  router
	all     []*request
}

func newWorld(c *Case, seed uint64, route func(w *world) router) *world {
	w := &world{
		c:     c,
		clock: &virtual.Clock{},
		rng:   rand.New(rand.NewPCG(seed, 2)),
		gen:   newGenerator(c, seed),
	}
	for _, p := range c.Regions {
		for i := range p.engines {
			e := newEngine(w.clock, fmt.Sprintf("%s-%d", p.name, i), p.name)
			e.lag = c.Lag
			w.engines = append(w.engines, e)
		}
	}
	w.router = route(w)
	if c.Events != nil {
		c.Events(w)
	}
	return w
}

// run lets requests arrive for the length of the case and end.
func (w *world) run() {
	for i := range w.c.Regions {
		w.arrive(i)
	}
	w.clock.RunUntil(w.c.Length + 2*deadline)
}

func (w *world) arrive(region int) {
	rate := w.c.Rate(w.c.Regions[region].name, w.clock.Now())
	gap := time.Duration(w.gen.rng.ExpFloat64() / rate * float64(time.Second))
	w.clock.After(gap, func() {
		if w.clock.Now() >= w.c.Length {
			return
		}
		r := w.gen.draw(region, region, w.clock.Now())
		w.all = append(w.all, r)
		w.send(r, nil, 0)
		w.arrive(region)
	})
}

// send routes a request and follows it to its end. tokens is what it already has.
func (w *world) send(r *request, tried []string, tokens int) {
	now := w.clock.Now()
	r.tries++
	if r.tries > maxTries || now-r.arrived > deadline {
		r.refused = !r.served && r.first == 0
		return
	}
	t, wait := w.router.route(r, tried)
	if t == nil {
		w.clock.After(wait, func() { w.send(r, nil, tokens) })
		return
	}
	w.clock.After(nearDelay+t.delay, func() { w.submit(r, t, tried, tokens) })
}

func (w *world) submit(r *request, t *target, tried []string, tokens int) {
	sent := w.clock.Now()
	took := func() time.Duration { return w.clock.Now() - sent }
	began := false
	j := &job{
		req:     r,
		rank:    r.rank,
		resumed: tokens,
	}
	j.first = func() {
		began = true
		t.started(took())
		if r.first == 0 {
			r.first = w.clock.Now() + nearDelay + t.delay
		}
	}
	j.done = func(ok bool) {
		t.ended(ok, began, took())
		if ok {
			w.finish(r, t, j)
			return
		}
		w.send(r, append(tried, t.engine.name), tokens)
	}
	if !slices.Contains(r.org.Regions, t.engine.region) {
		r.foul = true
	}
	if !t.engine.submit(j) {
		j.done(false)
		return
	}
	if w.c.Patience > 0 && r.first == 0 {
		w.clock.After(w.c.Patience, func() { w.giveUp(r, t, j, tokens, &began, took) })
	}
}

// giveUp lets a caller without a first token ask anew.
func (w *world) giveUp(r *request, t *target, j *job, tokens int, began *bool, took func() time.Duration) {
	if *began || j.dead || r.first != 0 || t.engine.dead {
		return
	}
	t.engine.cancel(j)
	t.ended(true, false, took())
	w.send(r, nil, tokens)
}

func (w *world) finish(r *request, t *target, j *job) {
	r.served = true
	r.away = t.away
	if r.output > 1 {
		r.between = (w.clock.Now() - j.started) / time.Duration(r.output)
	}
}

func (w *world) inRegion(region string) []*engine {
	var out []*engine
	for _, e := range w.engines {
		if e.region == region {
			out = append(out, e)
		}
	}
	return out
}

// thirdLeaves lets every third replica leave: it finishes what it has, and the
// list says so a while later.
func (w *world) thirdLeaves() {
	for i, e := range w.engines {
		if i%3 == 0 {
			e.leaving = true
			e.note()
		}
	}
	w.clock.After(listLag, w.router.listed)
}

func (w *world) loseRegion(region string) {
	for _, e := range w.inRegion(region) {
		e.leaving = true
		e.kill()
	}
	w.clock.After(listLag, w.router.listed)
}

func (w *world) reviveRegion(region string) {
	for _, e := range w.inRegion(region) {
		e.revive()
	}
	w.clock.After(listLag, w.router.listed)
}
