package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/admission"
	"github.com/havenrudder/havenrudder/bundle"
	"github.com/havenrudder/havenrudder/queue"
	"github.com/havenrudder/havenrudder/routing"
	"github.com/havenrudder/havenrudder/upstream"
	"github.com/havenrudder/havenrudder/wire"
)

// RetriesUsed is the code of a retry that the budget doesn't cover.
const RetriesUsed = "retries"

// Request asks for a replica.
type Request struct {
	Org     wire.Organisation
	Service wire.Service
	Policy  *bundle.Policy
	Routing routing.Request
	Tried   []string // replicas it failed at; a request with any is a retry
	Foreign bool     // it came from another region
	Explain bool

	Waiting  Waiting       // whether it may wait for capacity
	TimeLeft time.Duration // until its deadline
	Bytes    int           // memory that it holds while it waits
	Entry    *queue.Entry  // of an earlier attempt, whose position it takes again; nil for none
}

// Placement is a replica that a request was counted into.
type Placement struct {
	Upstream string
	URL      string
	Choice   routing.Choice
	Waited   time.Duration
	Entry    *queue.Entry // nil for a request that could not wait

	org     wire.Organisation
	service string
	gen     int  // tells apart processes of the same name
	retry   bool // it took a retry from the budget
	prefill time.Duration
}

// Refused says why there is no replica.
type Refused struct {
	Code   string
	Wait   time.Duration // when a slot is expected to be free
	Choice routing.Choice

	MayWait    bool          // it may wait in order for capacity
	Reason     string        // why its queue refused it; empty for others
	RetryAfter time.Duration // when that expects free capacity for it; 0 for others

	limitReached bool // no other request of the service can be placed now either
}

// Finish is what became of a placement.
type Finish struct {
	Failed  bool
	Unsent  bool          // nothing was sent to the replica
	Started bool          // Start was called
	Hold    time.Duration // the whole time
}

// Started is the beginning of an answer.
type Started struct {
	First time.Duration // time to the first byte or token
	Load  *wire.Load    // the upstream's own word, nil for none
}

// Place admits a request and counts it into the replica that is chosen for it.
func (f *Fleet) Place(req Request, now time.Duration) (Placement, *Refused) {
	limiter := f.limiter(req.Service.Name)
	isRetry := len(req.Tried) > 0
	if isRetry && !limiter.MayRetry() {
		return Placement{}, &Refused{
			Code: RetriesUsed,
		}
	}
	replicas := f.candidates(req, now)
	choice := routing.Decide(req.Routing, replicas, req.Explain)
	capacity := f.capacity(req, replicas, now)
	code := limiter.Admit(req.Org, req.Policy.Bundle().Priorities, capacity)
	if code == admission.None && choice.Name == "" {
		code = admission.NoCapacity
	}
	if code != admission.None {
		return Placement{}, &Refused{
			Code:    string(code),
			Wait:    choice.Wait,
			Choice:  choice,
			MayWait: f.waitsInOrder(&req) && becomesFree(code, capacity, replicas),

			limitReached: capacity.InFlight >= capacity.Limit,
		}
	}
	if isRetry {
		limiter.Retry() // only now, so that a refusal for another reason takes none
	}
	limiter.Begin(req.Org)
	p := f.begin(req, choice)
	p.retry = isRetry
	return p, nil
}

func (f *Fleet) begin(req Request, choice routing.Choice) Placement {
	p := Placement{
		Upstream: choice.Name,
		URL:      f.inventory.Get(choice.Name).URL,
		Choice:   choice,
		org:      req.Org,
		service:  req.Service.Name,
	}
	if !choice.Cached {
		p.prefill = req.Routing.Prefill
	}
	p.gen = f.inventory.Begin(choice.Name, p.prefill)
	f.remember(req.Routing.PrefixKey, choice.Name)
	return p
}

// remember notes that a replica computes a prefix.
func (f *Fleet) remember(prefix, replica string) {
	if prefix == "" {
		return
	}
	old, _ := f.warm.Get(prefix)
	if len(old) > 0 && old[0] == replica {
		return
	}
	list := []string{replica}
	for _, name := range old {
		if name != replica && len(list) < warmReplicas {
			list = append(list, name)
		}
	}
	f.warm.Add(prefix, list)
}

// candidates returns the replicas of a service as believed now, in memory that
// the next call uses again.
func (f *Fleet) candidates(req Request, now time.Duration) []routing.Replica {
	all := f.inventory.Of(req.Service.Name)
	warm, _ := f.warm.Get(req.Routing.PrefixKey)
	out := f.scratch[:0]
	for _, r := range all {
		out = append(out, routing.Replica{
			Name:           r.Name,
			Load:           r.Load(now),
			Slots:          cmp.Or(r.Slots, req.Service.InFlight),
			PendingPrefill: r.Pending(now),
			Slowdown:       r.Slow(now),
			ServiceTime:    r.Hold,
			Cached:         slices.Contains(warm, r.Name),
			Leaving:        r.Leaving,
			Ejected:        r.Out(now),
			Attempted:      slices.Contains(req.Tried, r.Name),
		})
	}
	f.scratch = out
	return out
}

func (f *Fleet) capacity(req Request, replicas []routing.Replica, now time.Duration) admission.Capacity {
	c := admission.Capacity{
		Boxes:   f.boxes(now),
		Foreign: req.Foreign,
	}
	for i := range replicas {
		r := &replicas[i]
		if r.Leaving || r.Ejected {
			continue
		}
		c.Limit += routing.MaxLoad(r.Slots, req.Routing.QueueRatio)
		c.Slots += r.Slots
		c.InFlight += r.Load
	}
	return c
}

// Start takes in that the answer to a placement has begun.
func (f *Fleet) Start(p Placement, s Started, now time.Duration) {
	f.inventory.Start(p.Upstream, p.gen, upstream.Started{
		Prefill:  p.prefill,
		First:    s.First,
		Expected: p.Choice.TypicalTTFT,
	}, now)
	if s.Load != nil {
		f.inventory.Report(p.Upstream, *s.Load, now)
	}
}

// End counts a placement out.
func (f *Fleet) End(p Placement, e Finish, now time.Duration) {
	limiter := f.limiter(p.service)
	limiter.End(p.org)
	if p.retry && e.Unsent {
		limiter.ReturnRetry()
	}
	f.inventory.End(p.Upstream, p.gen, upstream.Ended{
		Failed:  e.Failed,
		Unsent:  e.Unsent,
		Started: e.Started,
		Prefill: p.prefill,
		Hold:    e.Hold,
	}, now)
	if q := f.queues[p.service]; q != nil {
		f.dispatch(q, now)
	}
}
