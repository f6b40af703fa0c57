// Package routing decides where a request goes. It is pure: it does no I/O,
// reads no clock and draws no random numbers, so the same view and request
// always give the same choice, and every choice can be explained.
package routing

import (
	"cmp"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
)

// Reason says why a replica was not chosen.
type Reason string

// Reasons.
const (
	Leaving Reason = "leaving" // it takes no new work
	Out     Reason = "out"     // it failed several times in a row
	Tried   Reason = "tried"   // this request was there before
	Full    Reason = "full"    // its limit is reached
	Late    Reason = "late"    // the first token would come after the contract
	Slower  Reason = "slower"  // another is expected to answer sooner
)

// Replica is one candidate, as believed now.
type Replica struct {
	Name    string
	Load    int           // requests running and waiting there
	Slots   int           // requests it runs at once
	Pending time.Duration // prompts to be computed there before a new one
	Slow    float64       // how much longer than expected it takes; 1 for as expected
	Hold    time.Duration // smoothed time a request holds a slot; 0 when not known
	Warm    bool          // it holds the request's prefix, as far as is known
	Leaving bool
	Out     bool
	Tried   bool
}

// Request is what a decision needs of a request.
type Request struct {
	Affinity string        // key of the prompt's prefix; empty for none
	Spread   string        // key of the request itself, by which it draws among all replicas
	Prefill  time.Duration // expected time to compute the prompt when it is not cached
	Bound    time.Duration // latest first token; 0 for none
	Queue    float64       // requests that may wait at a replica, as a share of its slots
}

// Rejected names a replica that was not chosen, and why.
type Rejected struct {
	Name   string `json:"name"`
	Reason Reason `json:"reason"`
}

// Choice is the outcome of a decision. Name is empty when there is none; then
// Wait says when a slot is expected to be free.
type Choice struct {
	Name     string        `json:"name"`
	Warm     bool          `json:"warm"`
	Expect   time.Duration `json:"expect_ns"` // expected time to the first token
	Usual    time.Duration `json:"usual_ns"`  // the same of a replica that is not slow
	Wait     time.Duration `json:"wait_ns"`
	Rejected []Rejected    `json:"rejected,omitempty"`
}

const (
	defaultHold = 500 * time.Millisecond // until a replica's own is known
	base        = 20 * time.Millisecond  // of a first token whose prompt is cached and that waits for nothing
	warmShare   = 0.1                    // of a prompt that has to be computed where its prefix is cached
	crowding    = 0.2                    // share of a request's hold that joining a full replica costs
	sharing     = 0.25                   // how much of a slot's wait the running requests cost another
	coldCost    = 0.5                    // what computing a prompt anew costs others, in its own time
	firstBias   = 0.3                    // what going to the first in rank is worth, in time to compute the prompt
	crowdedFrom = 0.8                    // load over slots from which more replicas are looked at
	maxRank     = 8                      // replicas compared for one key
)

// Decide returns the replica with the least cost: the expected time to the first
// token, and what the request costs others there. With explain it also says why
// each other was rejected.
//
// Only the first few in the rank of the prefix are compared, and those known to be
// warm; when all of these are crowded, a few more that the request draws by its
// own key; and all of them when none of these will do. Beliefs are old, so boxes
// that compared all replicas would go to the same one; so they spread, and a
// prefix in demand warms as many as it needs.
func Decide(req Request, replicas []Replica, explain bool) Choice {
	d := decision{
		req:     req,
		best:    -1,
		explain: explain,
		seen:    make([]bool, len(replicas)),
	}
	d.learn(replicas)
	d.considerFirst(req.Affinity, true, replicas)
	for i := range replicas {
		if replicas[i].Warm {
			d.consider(i, -1, &replicas[i])
		}
	}
	if d.crowded() {
		d.considerFirst(req.Spread, false, replicas)
	}
	if d.best < 0 {
		for i := range replicas {
			d.consider(i, -1, &replicas[i])
		}
	}
	if d.best < 0 {
		d.choice.Wait = d.soonest
		return d.choice
	}
	d.choice.Name = replicas[d.best].Name
	d.choice.Warm = replicas[d.best].Warm
	d.explainSlower(replicas)
	return d.choice
}

// considerFirst looks at the first replicas in the rank of key.
func (d *decision) considerFirst(key string, favour bool, replicas []Replica) {
	if key == "" {
		return
	}
	order, n := d.first(key, replicas)
	for rank, i := range order[:n] {
		if !favour {
			rank = -1
		}
		d.consider(i, rank, &replicas[i])
	}
}

// crowded says whether even the best so far has few slots free.
func (d *decision) crowded() bool { return d.best < 0 || d.full > crowdedFrom }

type decision struct {
	req     Request
	seen    []bool        // replicas looked at
	hold    time.Duration // mean time a request holds a slot
	best    int
	cost    time.Duration
	full    float64       // load over slots of the best
	soonest time.Duration // soonest expected answer among the rejected
	explain bool
	choice  Choice
}

// first returns the usable replicas with the highest weights for a key that were
// not looked at yet, and their number.
func (d *decision) first(key string, replicas []Replica) (order [maxRank]int, n int) {
	var top [maxRank]uint64
	for i := range replicas {
		r := &replicas[i]
		if d.seen[i] || unusable(r) != "" {
			continue
		}
		score := rendezvous.Score(key, r.Name)
		at := n
		for at > 0 && score > top[at-1] {
			at--
		}
		if at == maxRank {
			continue
		}
		n = min(n+1, maxRank)
		copy(top[at+1:n], top[at:])
		copy(order[at+1:n], order[at:])
		top[at] = score
		order[at] = i
	}
	return order, n
}

// learn finds the mean that stands for what is not known of a replica, so that a
// new one looks neither fast nor slow.
func (d *decision) learn(replicas []Replica) {
	var sum time.Duration
	n := 0
	for i := range replicas {
		if hold := replicas[i].Hold; hold > 0 {
			sum += hold
			n++
		}
	}
	d.hold = cmp.Or(sum/time.Duration(max(n, 1)), defaultHold)
}

func (d *decision) consider(i, rank int, r *Replica) {
	if d.seen[i] {
		return
	}
	d.seen[i] = true
	if reason := unusable(r); reason != "" {
		d.reject(r, reason)
		return
	}
	queueing := Queueing(r, cmp.Or(r.Hold, d.hold))
	usual := base + queueing + r.Pending + d.prefill(r)
	expect := time.Duration(cmp.Or(r.Slow, 1) * float64(usual))
	if r.Load >= Limit(r.Slots, d.req.Queue) {
		d.rejectFor(r, Full, queueing)
		return
	}
	if d.req.Bound > 0 && expect > d.req.Bound {
		d.rejectFor(r, Late, expect-d.req.Bound)
		return
	}
	cost := expect + d.burden(rank, r)
	if d.best < 0 || cost < d.cost {
		d.best = i
		d.cost = cost
		d.full = full(r)
		d.choice.Expect = expect
		d.choice.Usual = usual
	}
}

// burden returns what the request costs others at r. A prompt computed anew
// delays them and takes room in the cache; the first in rank is favoured, so that
// all boxes warm the same replica. Joining a replica whose slots are nearly all
// taken slows its batch and makes the next one wait: that cost rises steeply, so
// that the tail is kept even where a cache is given up for it.
func (d *decision) burden(rank int, r *Replica) time.Duration {
	share := 0.0
	if !r.Warm {
		share += coldCost
	}
	if rank == 0 {
		share -= firstBias
	}
	prompt := share * cmp.Or(r.Slow, 1) * float64(d.req.Prefill)
	f := full(r)
	crowd := crowding * f * f * f * f * f * float64(cmp.Or(r.Hold, d.hold))
	return time.Duration(prompt + crowd)
}

func full(r *Replica) float64 { return float64(r.Load) / float64(max(r.Slots, 1)) }

// prefill returns the time that computing the prompt takes at r.
func (d *decision) prefill(r *Replica) time.Duration {
	if r.Warm {
		return time.Duration(warmShare * float64(d.req.Prefill))
	}
	return d.req.Prefill
}

func unusable(r *Replica) Reason {
	switch {
	case r.Leaving:
		return Leaving
	case r.Tried:
		return Tried
	case r.Out:
		return Out
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

func (d *decision) rejectFor(r *Replica, reason Reason, wait time.Duration) {
	if d.soonest == 0 || wait < d.soonest {
		d.soonest = wait
	}
	d.reject(r, reason)
}

func (d *decision) explainSlower(replicas []Replica) {
	if !d.explain {
		return
	}
	named := make(map[string]bool, len(replicas))
	for _, r := range d.choice.Rejected {
		named[r.Name] = true
	}
	for i := range replicas {
		r := &replicas[i]
		if i != d.best && !named[r.Name] {
			d.reject(r, cmp.Or(unusable(r), Slower))
		}
	}
}

// Limit returns how many requests a replica with slots is given at most.
func Limit(slots int, queue float64) int {
	return slots + int(queue*float64(slots))
}

// Queueing returns the expected wait for a slot at r, where a request holds one
// for so long. Below its slots it still grows a little with load, for requests
// share the replica's steps.
func Queueing(r *Replica, hold time.Duration) time.Duration {
	slots := max(r.Slots, 1)
	if r.Load < slots {
		share := float64(r.Load) / float64(slots)
		return time.Duration(sharing * share * float64(hold) / float64(slots))
	}
	ahead := float64(r.Load-slots+1) / float64(slots)
	return time.Duration(ahead * float64(hold))
}
