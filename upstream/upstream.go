// Package upstream is the inventory of the replicas of one region: their load
// with its age, what is in flight there, and who is leaving. It is pure: time
// comes in as an argument.
package upstream

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/decay"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	failuresOut = 3                // failures in a row until a replica is out
	outFor      = 5 * time.Second  // how long it stays out before one more try
	weight      = 0.2              // weight of the newest observation in a smoothed one
	slowHalf    = 20 * time.Second // time in which half of a replica's slowness is forgotten
	slowLeast   = 0.02             // a smaller logarithm is taken for none
	slowBound   = 3                // bound of one observation of slowness, a logarithm
	minHold     = 500 * time.Millisecond
	roundUp     = 0.5
	usualWeight = 0.05            // weight of the newest report in the usual load
	usualHalf   = 5 * time.Second // time in which half of the usual load is forgotten
)

// Replica is what is known of one upstream.
type Replica struct {
	Name     string
	Service  string
	URL      string
	Domain   string        // failure domain it stands in
	Slots    int           // requests it runs at once; 0 when not known
	Running  int           // as reported
	Waiting  int           // as reported
	Reported time.Duration // our clock at the report; 0 for never
	Probed   time.Duration // our clock when a probe was last considered
	Others   int           // requests of others there at the report
	InFlight int           // own requests in flight
	Leaving  bool
	Failures int           // failures in a row
	FailedAt time.Duration // our clock at the last failure
	Hold     time.Duration // smoothed time of a whole request; 0 when not known

	pending   time.Duration // prompts of own requests that wait for their first token
	starting  int           // their number
	slow      float64       // smoothed logarithm of first tokens, as seen over as expected
	slowAt    time.Duration // our clock at the last first token
	gen       int           // tells processes apart that had the same name
	gone      bool          // the list no longer names it
	prefilled time.Duration // smoothed time to compute a prompt
	usual     *decay.Mean   // load over slots that the service's replicas tell of late
}

// Load returns the requests believed to be there at now: the box's own, and
// those of others. What a replica last told of others counts less with the time
// that requests take; in its place comes what is usual of late, so that a replica
// this box rarely sends to looks neither idle nor, once full, full for ever.
func (r *Replica) Load(now time.Duration) int {
	return r.InFlight + int(r.others(now)+roundUp)
}

func (r *Replica) others(now time.Duration) float64 {
	fresh := 0.0
	if r.Reported > 0 {
		fresh = decay.Left(now-r.Reported, max(r.Hold, minHold))
	}
	usual := max(r.usual.At(now, usualHalf)*float64(r.Slots)-float64(r.InFlight), 0)
	return fresh*float64(r.Others) + (1-fresh)*usual
}

// Pending returns the work that is believed to lie before a new request's first
// token at now: the prompts of own requests that wait for theirs, and as much for
// each waiting request of others.
func (r *Replica) Pending(now time.Duration) time.Duration {
	if r.Waiting == 0 {
		return r.pending
	}
	waiting := min(float64(r.Waiting), r.others(now)) - float64(r.starting)
	if waiting <= 0 {
		return r.pending
	}
	return r.pending + time.Duration(waiting*float64(r.prefilled))
}

// Slow returns how much longer than expected first tokens have taken of late; 1
// for as expected. Without news it comes back to 1, so that a replica which was
// slow is tried again.
func (r *Replica) Slow(now time.Duration) float64 {
	left := r.slow * decay.Left(now-r.slowAt, slowHalf)
	if math.Abs(left) < slowLeast {
		return 1
	}
	return math.Exp(left)
}

// Out says whether the replica gets no work at now for its failures.
func (r *Replica) Out(now time.Duration) bool {
	return r.Failures >= failuresOut && now-r.FailedAt < outFor
}

// Inventory holds the replicas of one region. It belongs to one actor.
type Inventory struct {
	replicas map[string]*Replica
	usual    map[string]*decay.Mean // by service
	services map[string][]*Replica  // in the order of names, made when it is asked for
	gens     int
}

// NewInventory returns an empty inventory.
func NewInventory() *Inventory {
	return &Inventory{
		replicas: make(map[string]*Replica),
		usual:    make(map[string]*decay.Mean),
		services: make(map[string][]*Replica),
	}
}

// List takes the platform's list of one failure domain in. A replica that is
// gone from it and has nothing in flight is forgotten. A leaving one comes back only as a new
// process: under another URL, or after it was gone from the list.
func (v *Inventory) List(domain string, entries []wire.UpstreamEntry) {
	clear(v.services)
	named := make(map[string]bool, len(entries))
	for _, e := range entries {
		named[e.Name] = true
		v.take(domain, e)
	}
	for name, r := range v.replicas {
		if named[name] || r.Domain != domain {
			continue
		}
		r.Leaving = true
		r.gone = true
		if r.InFlight == 0 {
			delete(v.replicas, name)
		}
	}
}

func (v *Inventory) take(domain string, e wire.UpstreamEntry) {
	r, ok := v.replicas[e.Name]
	if !ok || r.gone || r.URL != e.URL {
		v.gens++
		r = &Replica{
			Name: e.Name,
			URL:  e.URL,
			gen:  v.gens,
		}
		v.replicas[e.Name] = r
	}
	r.Service = e.Service
	r.usual = v.usualOf(e.Service)
	r.Domain = domain
	if e.Slots > 0 {
		r.Slots = e.Slots
	}
	if e.State == wire.ServingStateLeaving {
		r.Leaving = true
	}
}

func (v *Inventory) usualOf(service string) *decay.Mean {
	u, ok := v.usual[service]
	if !ok {
		u = &decay.Mean{}
		v.usual[service] = u
	}
	return u
}

// Report takes a replica's own word of its load in at now.
func (v *Inventory) Report(name string, load wire.Load, now time.Duration) {
	r, ok := v.replicas[name]
	if !ok {
		return
	}
	r.Running = load.Running
	r.Waiting = load.Waiting
	r.Reported = now
	r.Others = max(load.Running+load.Waiting-r.InFlight, 0)
	if load.Slots > 0 {
		r.Slots = load.Slots
	}
	if r.Slots > 0 {
		r.usual.Add(float64(load.Running+load.Waiting)/float64(r.Slots), usualWeight, now, usualHalf)
	}
	if load.Leaving {
		r.Leaving = true
	}
}

// Leave marks a replica as leaving, from whatever source. It returns true when
// that is news.
func (v *Inventory) Leave(name string) bool {
	r, ok := v.replicas[name]
	if !ok || r.Leaving {
		return false
	}
	r.Leaving = true
	return true
}

// Begin counts a request into a replica, whose prompt takes so long to compute.
// It returns what Start and End need to know that very process again.
func (v *Inventory) Begin(name string, prefill time.Duration) (gen int) {
	r, ok := v.replicas[name]
	if !ok {
		return 0
	}
	r.InFlight++
	r.pending += prefill
	r.starting++
	r.prefilled = smooth(r.prefilled, prefill)
	return r.gen
}

// Started is what was seen of a first token.
type Started struct {
	Prefill  time.Duration // as given to Begin
	First    time.Duration // time it took
	Expected time.Duration // time it was expected to take
}

// Start takes in that the first token of a request came.
func (v *Inventory) Start(name string, gen int, s Started, now time.Duration) {
	r, ok := v.replicas[name]
	if !ok || r.gen != gen {
		return
	}
	r.started(s.Prefill)
	if s.Expected <= 0 || s.First <= 0 {
		return
	}
	seen := math.Log(float64(s.First) / float64(s.Expected))
	seen = max(min(seen, slowBound), -slowBound)
	old := math.Log(r.Slow(now))
	r.slow = old + weight*(seen-old)
	r.slowAt = now
}

func (r *Replica) started(prefill time.Duration) {
	r.pending -= prefill
	r.starting--
}

// Ended is what became of a request.
type Ended struct {
	Failed  bool
	Unsent  bool          // nothing was sent to it
	Started bool          // Start was called
	Prefill time.Duration // as given to Begin
	Hold    time.Duration // the whole time
}

// End counts a request out of the replica that it was begun on.
func (v *Inventory) End(name string, gen int, e Ended, now time.Duration) {
	r, ok := v.replicas[name]
	if !ok || r.gen != gen {
		return
	}
	r.InFlight--
	if !e.Started {
		r.started(e.Prefill)
	}
	if e.Unsent {
		return
	}
	if e.Failed {
		r.Failures++
		r.FailedAt = now
		return
	}
	r.Failures = 0
	if e.Hold > 0 {
		r.Hold = smooth(r.Hold, e.Hold)
	}
}

func smooth(old, now time.Duration) time.Duration {
	if old == 0 {
		return now
	}
	return old + time.Duration(weight*float64(now-old))
}

// Get returns a replica, nil when there is none of that name.
func (v *Inventory) Get(name string) *Replica { return v.replicas[name] }

// Of returns the replicas of a service, by name. They belong to the inventory.
func (v *Inventory) Of(service string) []*Replica {
	if out, ok := v.services[service]; ok {
		return out
	}
	var out []*Replica
	for _, name := range slices.Sorted(maps.Keys(v.replicas)) {
		if r := v.replicas[name]; r.Service == service {
			out = append(out, r)
		}
	}
	v.services[service] = out
	return out
}

// Names returns the names of the replicas for which keep holds, in order.
func (v *Inventory) Names(keep func(r *Replica) bool) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(v.replicas)) {
		if keep(v.replicas[name]) {
			out = append(out, name)
		}
	}
	return out
}

// Fail counts a failed probe against a replica.
func (v *Inventory) Fail(name string, now time.Duration) {
	if r, ok := v.replicas[name]; ok {
		r.Failures++
		r.FailedAt = now
	}
}
