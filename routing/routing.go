// Package routing selects the replica for a request. It is deterministic: it does no I/O,
// reads no clock and uses no random numbers.
package routing

import (
	"cmp"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
)

// Reason is the reason why a replica was rejected.
type Reason string

// Reasons for a rejection.
const (
	Leaving          Reason = "leaving"
	Ejected          Reason = "out"    // it is ejected after consecutive failures
	Attempted        Reason = "tried"  // an earlier attempt of this request used it
	Full             Reason = "full"   // its running and waiting requests reach its limit
	DeadlineExceeded Reason = "late"   // the expected time to first token exceeds the request's bound
	Slower           Reason = "slower" // another has a lower cost
)

// Replica is the recorded state of a candidate.
type Replica struct {
	Name           string
	Load           int           // running and waiting requests
	Slots          int           // maximum of concurrently running requests
	PendingPrefill time.Duration // prefill time of the requests ahead of a new one
	Slowdown       float64       // observed latency over expected latency; 0 counts as 1
	ServiceTime    time.Duration // smoothed time that a request occupies a slot; 0 if unknown
	Cached         bool          // the request's prefix is recorded as cached
	Leaving        bool
	Ejected        bool
	Attempted      bool
}

// Request contains the properties of a request that a decision depends on.
type Request struct {
	PrefixKey  string        // routing key of the prompt's prefix; empty for none
	RequestKey string        // routing key of the request itself, for candidates beyond those of PrefixKey
	Prefill    time.Duration // expected prefill time without a cache
	MaxTTFT    time.Duration // maximum expected time to first token; 0 for none
	QueueRatio float64       // maximum of waiting requests at a replica, as a share of its slots
}

// Rejected is a replica that was not chosen.
type Rejected struct {
	Name   string `json:"name"`
	Reason Reason `json:"reason"`
}

// Choice is the outcome of a decision. If no replica is usable, Name is empty and Wait is
// the expected time until one is.
type Choice struct {
	Name         string        `json:"name"`
	Cached       bool          `json:"warm"`
	ExpectedTTFT time.Duration `json:"expect_ns"` // time to first token
	TypicalTTFT  time.Duration `json:"usual_ns"`  // the same without the factor Slowdown
	Wait         time.Duration `json:"wait_ns"`
	Rejected     []Rejected    `json:"rejected,omitempty"`
}

const (
	defaultHold         = 500 * time.Millisecond // if unknown for all replicas
	baseLatency         = 20 * time.Millisecond  // time to first token without prefill and queueing
	cachedPrefillShare  = 0.1                    // share of the prefill that remains if the prefix is cached
	occupancyWeight     = 0.2                    // cost of joining a fully occupied replica, as a share of ServiceTime
	batchingShare       = 0.25                   // slowdown by requests that run in the same batch, as a share of a slot's wait
	uncachedCostShare   = 0.5                    // cost of an uncached prefill to other requests, as a share of it
	preferredBonusShare = 0.3                    // bonus of the top-ranked replica, as a share of the prefill
	crowdedThreshold    = 0.8                    // occupancy above which more replicas are evaluated
	maxCandidates       = 8                      // replicas evaluated per routing key
)

// Decide returns the replica with the lowest cost, which is the expected time to first
// token plus the interference cost to other requests. With explain it also returns why
// each other replica was rejected.
//
// It evaluates the top-ranked replicas for PrefixKey and those that have the prefix cached; if
// these are crowded, also those for RequestKey; if none is usable, all. Boxes with the same
// outdated state would otherwise all choose the same replica.
func Decide(req Request, replicas []Replica, explain bool) Choice {
	d := decision{
		req:       req,
		best:      -1,
		explain:   explain,
		evaluated: make([]bool, len(replicas)),
	}
	d.computeMeanHold(replicas)
	d.evaluateTopRanked(req.PrefixKey, true, replicas)
	for i := range replicas {
		if replicas[i].Cached {
			d.evaluate(i, -1, &replicas[i])
		}
	}
	if d.crowded() {
		d.evaluateTopRanked(req.RequestKey, false, replicas)
	}
	if d.best < 0 {
		for i := range replicas {
			d.evaluate(i, -1, &replicas[i])
		}
	}
	if d.best < 0 {
		d.choice.Wait = d.minWait
		return d.choice
	}
	d.choice.Name = replicas[d.best].Name
	d.choice.Cached = replicas[d.best].Cached
	d.explainSlower(replicas)
	return d.choice
}

func (d *decision) evaluateTopRanked(key string, preferFirst bool, replicas []Replica) {
	if key == "" {
		return
	}
	order, n := d.topRanked(key, replicas)
	for rank, i := range order[:n] {
		if !preferFirst {
			rank = -1
		}
		d.evaluate(i, rank, &replicas[i])
	}
}

// crowded reports whether the best replica so far is nearly full or there is none.
func (d *decision) crowded() bool { return d.best < 0 || d.occupancy > crowdedThreshold }

type decision struct {
	req       Request
	evaluated []bool
	hold      time.Duration // mean of the known values of Replica.ServiceTime
	best      int
	cost      time.Duration
	occupancy float64       // load over slots of the best replica
	minWait   time.Duration // among the rejected replicas
	explain   bool
	choice    Choice
}

// topRanked returns the indices of the usable, not yet evaluated replicas with the highest
// rendezvous scores for key, and their number.
func (d *decision) topRanked(key string, replicas []Replica) (order [maxCandidates]int, n int) {
	var top [maxCandidates]uint64
	for i := range replicas {
		r := &replicas[i]
		if d.evaluated[i] || unusableReason(r) != "" {
			continue
		}
		score := rendezvous.Score(key, r.Name)
		at := n
		for at > 0 && score > top[at-1] {
			at--
		}
		if at == maxCandidates {
			continue
		}
		n = min(n+1, maxCandidates)
		copy(top[at+1:n], top[at:])
		copy(order[at+1:n], order[at:])
		top[at] = score
		order[at] = i
	}
	return order, n
}

// computeMeanHold sets the default for replicas whose ServiceTime is unknown.
func (d *decision) computeMeanHold(replicas []Replica) {
	var sum time.Duration
	n := 0
	for i := range replicas {
		if hold := replicas[i].ServiceTime; hold > 0 {
			sum += hold
			n++
		}
	}
	d.hold = cmp.Or(sum/time.Duration(max(n, 1)), defaultHold)
}

func (d *decision) evaluate(i, rank int, r *Replica) {
	if d.evaluated[i] {
		return
	}
	d.evaluated[i] = true
	if reason := unusableReason(r); reason != "" {
		d.reject(r, reason)
		return
	}
	queueing := QueueWait(r, cmp.Or(r.ServiceTime, d.hold))
	typical := baseLatency + queueing + r.PendingPrefill + d.prefill(r)
	expect := time.Duration(cmp.Or(r.Slowdown, 1) * float64(typical))
	if r.Load >= MaxLoad(r.Slots, d.req.QueueRatio) {
		d.rejectWithWait(r, Full, queueing)
		return
	}
	if d.req.MaxTTFT > 0 && expect > d.req.MaxTTFT {
		d.rejectWithWait(r, DeadlineExceeded, expect-d.req.MaxTTFT)
		return
	}
	cost := expect + d.interferenceCost(rank, r)
	if d.best < 0 || cost < d.cost {
		d.best = i
		d.cost = cost
		d.occupancy = occupancy(r)
		d.choice.ExpectedTTFT = expect
		d.choice.TypicalTTFT = typical
	}
}

// interferenceCost returns the cost of the request to other requests at r. An uncached prefill
// delays them and evicts cached prefixes. The top-ranked replica has a bonus, so that all boxes
// prefer it. Near full occupancy the cost rises steeply, to limit tail latency.
func (d *decision) interferenceCost(rank int, r *Replica) time.Duration {
	share := 0.0
	if !r.Cached {
		share += uncachedCostShare
	}
	if rank == 0 {
		share -= preferredBonusShare
	}
	prompt := share * cmp.Or(r.Slowdown, 1) * float64(d.req.Prefill)
	f := occupancy(r)
	crowd := occupancyWeight * f * f * f * f * f * float64(cmp.Or(r.ServiceTime, d.hold))
	return time.Duration(prompt + crowd)
}

func occupancy(r *Replica) float64 { return float64(r.Load) / float64(max(r.Slots, 1)) }

func (d *decision) prefill(r *Replica) time.Duration {
	if r.Cached {
		return time.Duration(cachedPrefillShare * float64(d.req.Prefill))
	}
	return d.req.Prefill
}

func unusableReason(r *Replica) Reason {
	switch {
	case r.Leaving:
		return Leaving
	case r.Attempted:
		return Attempted
	case r.Ejected:
		return Ejected
	}
	return ""
}

func (d *decision) reject(r *Replica, reason Reason) {
	if d.explain {
		d.choice.Rejected = append(d.choice.Rejected, Rejected{
			Name:   r.Name,
			Reason: reason,
		})
	}
}

func (d *decision) rejectWithWait(r *Replica, reason Reason, wait time.Duration) {
	if d.minWait == 0 || wait < d.minWait {
		d.minWait = wait
	}
	d.reject(r, reason)
}

func (d *decision) explainSlower(replicas []Replica) {
	if !d.explain {
		return
	}
	listed := make(map[string]bool, len(replicas))
	for _, r := range d.choice.Rejected {
		listed[r.Name] = true
	}
	for i := range replicas {
		r := &replicas[i]
		if i != d.best && !listed[r.Name] {
			d.reject(r, cmp.Or(unusableReason(r), Slower))
		}
	}
}

// MaxLoad returns the maximum of running and waiting requests at a replica.
func MaxLoad(slots int, queue float64) int {
	return slots + int(queue*float64(slots))
}

// QueueWait returns the expected wait for a slot at r if each request occupies one for hold. It
// is positive also while slots are free, since requests in one batch slow each other down.
func QueueWait(r *Replica, hold time.Duration) time.Duration {
	slots := max(r.Slots, 1)
	if r.Load < slots {
		share := float64(r.Load) / float64(slots)
		return time.Duration(batchingShare * share * float64(hold) / float64(slots))
	}
	ahead := float64(r.Load-slots+1) / float64(slots)
	return time.Duration(ahead * float64(hold))
}
