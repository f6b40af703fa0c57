// Package policy compares ways to route and admit requests, in virtual time,
// with small stand-ins for model engines. The boxes' way is run by the very code
// of package fleet; the others are baselines.
package policy

import (
	"cmp"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/havenrudder/havenrudder/measure/virtual"
	"github.com/havenrudder/havenrudder/wire"
)

// The engine of the stand-in: continuous batching with one prompt computed at a
// time, and steps that grow with the batch.
const (
	slots       = 24
	prefillRate = 8000                   // tokens of a prompt a second
	stepBase    = 8 * time.Millisecond   // of one step of the batch
	stepEach    = 700 * time.Microsecond // added by each request in it
	cacheTokens = 48_000                 // prompt prefixes held, in tokens
	maxCached   = 4096                   // prefixes; never reached
	reportEvery = 100 * time.Millisecond // spacing of the samples of load
)

type job struct {
	req     *request
	rank    int
	resumed int // tokens it has from elsewhere
	first   func()
	done    func(ok bool)
	virtual float64 // steps of the engine at which it ends
	started time.Duration
	dead    bool
}

// engine is one replica.
type engine struct {
	clock  *virtual.Clock
	name   string
	region string
	slow   float64 // factor on all its times
	lag    time.Duration

	cache  *lru.Cache[int, int] // prefix to tokens
	cached int
	queue  []*job // waits for a slot
	ready  []*job // has a slot, waits for its prompt
	busy   *job   // whose prompt is computed
	decode []*job // ordered by end

	steps   float64       // steps run so far
	stepsAt time.Duration // when steps was brought up to date
	turn    int           // of the event at which the next one ends
	used    time.Duration // busy time
	usedAt  time.Duration
	hits    int // prompts whose prefix was cached
	prompts int
	leaving bool
	dead    bool
	samples []sample
}

type sample struct {
	at   time.Duration
	load wire.Load
}

func newEngine(c *virtual.Clock, name, region string) *engine {
	e := &engine{
		clock:  c,
		name:   name,
		region: region,
		slow:   1,
	}
	cache, err := lru.NewWithEvict(maxCached, func(_, tokens int) { e.cached -= tokens })
	if err != nil {
		panic(err) // only for a size below 1
	}
	e.cache = cache
	return e
}

func (e *engine) running() int {
	n := len(e.decode) + len(e.ready)
	if e.busy != nil {
		n++
	}
	return n
}

func (e *engine) note() {
	now := e.clock.Now()
	load := wire.Load{
		Running: e.running(),
		Waiting: len(e.queue),
		Slots:   slots,
		Leaving: e.leaving,
	}
	last := len(e.samples) - 1
	if last >= 0 && now-e.samples[last].at < reportEvery {
		e.samples[last].load = load
		return
	}
	e.samples = append(e.samples, sample{
		at:   now,
		load: load,
	})
}

// report returns the load the engine tells of now, which is that of a while ago.
func (e *engine) report() wire.Load {
	due := e.clock.Now() - e.lag
	i, _ := slices.BinarySearchFunc(e.samples, due, func(s sample, t time.Duration) int { return cmp.Compare(s.at, t) })
	if i == 0 {
		return wire.Load{
			Slots: slots,
		}
	}
	out := e.samples[i-1].load
	if i > maxCached {
		e.samples = slices.Clone(e.samples[i-1:])
	}
	return out
}

// submit takes a request in; false means that the engine is not there.
func (e *engine) submit(j *job) bool {
	if e.dead {
		return false
	}
	e.advance()
	i, _ := slices.BinarySearchFunc(e.queue, j, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), -1) // behind its equals
	})
	e.queue = slices.Insert(e.queue, i, j)
	e.admit()
	return true
}

// cancel ends a request wherever it is.
func (e *engine) cancel(j *job) {
	e.advance()
	j.dead = true
	e.queue = slices.DeleteFunc(e.queue, func(o *job) bool { return o == j })
	e.ready = slices.DeleteFunc(e.ready, func(o *job) bool { return o == j })
	e.decode = slices.DeleteFunc(e.decode, func(o *job) bool { return o == j })
	e.admit()
	e.schedule()
}

func (e *engine) admit() {
	for len(e.queue) > 0 && e.running() < slots {
		e.ready = append(e.ready, e.queue[0])
		e.queue = e.queue[1:]
	}
	if e.busy == nil && len(e.ready) > 0 {
		e.prefill(e.ready[0])
		e.ready = e.ready[1:]
	}
	e.note()
}

func (e *engine) prefill(j *job) {
	e.busy = j
	tokens := j.req.suffix + j.resumed
	e.prompts++
	if _, ok := e.cache.Get(j.req.prefix); ok {
		e.hits++
	} else {
		tokens += j.req.prefixTokens
	}
	took := time.Duration(e.slow * float64(tokens) * float64(time.Second) / prefillRate)
	e.clock.After(took, func() { e.prefilled(j) })
}

func (e *engine) prefilled(j *job) {
	if e.dead || e.busy != j {
		return
	}
	e.advance()
	e.busy = nil
	e.keep(j.req)
	if !j.dead {
		j.started = e.clock.Now()
		j.virtual = e.steps + float64(j.req.output-j.resumed)
		i, _ := slices.BinarySearchFunc(e.decode, j, func(a, b *job) int { return cmp.Compare(a.virtual, b.virtual) })
		e.decode = slices.Insert(e.decode, i, j)
		e.clock.After(e.step(), func() {
			if !e.dead && !j.dead {
				j.first()
			}
		})
	}
	e.admit()
	e.schedule()
}

func (e *engine) keep(r *request) {
	if _, ok := e.cache.Get(r.prefix); ok {
		return
	}
	for e.cached+r.prefixTokens > cacheTokens && e.cache.Len() > 0 {
		e.cache.RemoveOldest()
	}
	e.cache.Add(r.prefix, r.prefixTokens)
	e.cached += r.prefixTokens
}

// step returns the time of one step of the batch as it is.
func (e *engine) step() time.Duration {
	return time.Duration(e.slow * float64(stepBase+time.Duration(len(e.decode))*stepEach))
}

// advance brings the steps and the busy time up to now.
func (e *engine) advance() {
	now := e.clock.Now()
	if len(e.decode) > 0 {
		e.steps += float64(now-e.stepsAt) / float64(e.step())
	}
	e.stepsAt = now
	if len(e.decode) > 0 || e.busy != nil {
		e.used += now - e.usedAt
	}
	e.usedAt = now
}

// schedule sets the event at which the next request ends.
func (e *engine) schedule() {
	e.turn++
	if len(e.decode) == 0 {
		return
	}
	turn := e.turn
	left := max(e.decode[0].virtual-e.steps, 0)
	e.clock.After(time.Duration(left*float64(e.step()))+1, func() {
		if e.turn == turn && !e.dead {
			e.finish()
		}
	})
}

const endSlack = 1e-6 // steps

func (e *engine) finish() {
	e.advance()
	var done []*job
	for len(e.decode) > 0 && e.decode[0].virtual <= e.steps+endSlack {
		done = append(done, e.decode[0])
		e.decode = e.decode[1:]
	}
	e.admit()
	e.schedule()
	for _, j := range done {
		j.done(true)
	}
}

// kill ends the engine with all it was doing; it may come back with a cold cache.
func (e *engine) kill() {
	e.advance()
	e.dead = true
	all := slices.Concat(e.queue, e.ready, e.decode)
	if e.busy != nil {
		all = append(all, e.busy)
	}
	e.queue, e.ready, e.decode, e.busy = nil, nil, nil, nil
	e.cache.Purge()
	e.cached = 0
	e.note()
	for _, j := range all {
		if !j.dead {
			j.done(false)
		}
	}
}

func (e *engine) revive() {
	e.advance()
	e.dead = false
	e.leaving = false
	e.note()
}
