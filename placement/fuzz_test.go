package placement_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/catalog"
	_ "github.com/havenrudder/havenrudder/internal/fixed"
	"github.com/havenrudder/havenrudder/placement"
)

const (
	actions            = 120 // per run
	replicasPerService = 3   // replicas of each service
)

// open is a request that Pick accepted and End hasn't released.
type open struct {
	choice placement.Choice
	load   placement.Load
}

// region is a box with its catalog and the expected loads.
type region struct {
	*rapid.T
	*box
	now       time.Duration
	published map[string]catalog.Replica
	leaving   map[string]bool // ids that were published as leaving, or said so in an answer
	retryAt   map[string]time.Duration
	limits    map[string]float64         // below 0 for none
	limited   map[string][]time.Duration // sends to a replica since it names its limit
	evacuated []string
	open      []open
}

func newRegion(t *rapid.T) *region {
	r := &region{
		T:         t,
		box:       newBox("a", "hall"),
		now:       start,
		published: make(map[string]catalog.Replica),
		leaving:   make(map[string]bool),
		retryAt:   make(map[string]time.Duration),
		limits:    make(map[string]float64),
		limited:   make(map[string][]time.Duration),
	}
	for _, service := range []string{"engine", "plain"} {
		for _, info := range replicas(service, replicasPerService) {
			r.published[info.ID] = info
		}
	}
	r.republish()
	return r
}

func (r *region) republish() {
	var all []catalog.Replica
	for _, info := range r.published {
		all = append(all, info)
	}
	r.publish(r.now, r.evacuated, all...)
	for id := range r.leaving {
		if r.Get(id) == nil {
			delete(r.leaving, id) // evicted
		}
	}
	for _, id := range slices.Collect(maps.Keys(r.limits)) {
		if r.Get(id) == nil {
			delete(r.limits, id)
			delete(r.limited, id)
			delete(r.retryAt, id)
		}
	}
}

// report has the replica of an open request report of itself.
func (r *region) report() {
	if len(r.open) == 0 {
		return
	}
	o := &r.open[rapid.IntRange(0, len(r.open)-1).Draw(r.T, "open")]
	id := o.choice.Incarnation
	var s placement.Signals
	if rate := rapid.SampledFrom([]float64{-1, -1, 0, 0.2, 1.2, 50}).Draw(r.T, "limit"); rate >= 0 {
		s.Limit = placement.RateLimit{
			Named:     true,
			PerSecond: rate,
		}
	}
	s.Leaving = rapid.IntRange(0, 9).Draw(r.T, "says it leaves") == 0
	s.RetryAfter = rapid.SampledFrom([]time.Duration{0, 0, 0, 200 * time.Millisecond, 5 * time.Second}).Draw(r.T, "rest")
	before := r.Get(id).Limit()
	r.RecordSignals(&o.choice, s, placement.Span{
		From: r.now,
		To:   r.now,
	})
	if s.Leaving {
		r.leaving[id] = true
	}
	r.retryAt[id] = max(r.retryAt[id], r.now+s.RetryAfter)
	r.limits[id] = -1
	if l := r.Get(id).Limit(); l.Named {
		r.limits[id] = l.PerSecond
	}
	if r.Get(id).Limit() != before {
		delete(r.limited, id)
	}
}

// checkLimit counts a send to a replica that names a limit.
func (r *region) checkLimit(id string) {
	rate, ok := r.limits[id]
	if !ok || rate < 0 {
		return
	}
	r.limited[id] = append(r.limited[id], r.now)
	n := 0
	for _, at := range r.limited[id] {
		if at > r.now-4*time.Second {
			n++
		}
	}
	if bound := max(1, int(math.Ceil(4*rate))); n > bound {
		r.Fatalf("%s got %d requests in 4 s, its limit of %g a second allows %d", id, n, rate, bound)
	}
}

func (r *region) service() string {
	return rapid.SampledFrom([]string{"engine", "plain"}).Draw(r.T, "service")
}

func (r *region) id() string {
	return fmt.Sprintf("%s-%d", r.service(), rapid.IntRange(0, replicasPerService-1).Draw(r.T, "replica"))
}

func (r *region) change() {
	id := r.id()
	if rapid.IntRange(0, 3).Draw(r.T, "kind") == 0 {
		delete(r.published, id)
		r.republish()
		return
	}
	info := catalog.Replica{
		ID:            id,
		Service:       id[:len(id)-2],
		Addr:          fmt.Sprintf("127.0.0.1:%d", rapid.IntRange(1, 2*replicasPerService).Draw(r.T, "address")), // sometimes that of another
		Domain:        rapid.SampledFrom([]string{"hall", "attic"}).Draw(r.T, "domain"),
		Region:        "north",
		Slots:         rapid.IntRange(0, 4).Draw(r.T, "slots"),
		Leaving:       rapid.IntRange(0, 5).Draw(r.T, "leaving") == 0,
		ColdRemaining: catalog.Millis(rapid.SampledFrom([]int{0, 0, 300, 3000}).Draw(r.T, "cold")),
		Revision:      r.rev + 1, // the next revision
	}
	if info.Leaving {
		r.leaving[id] = true
	}
	r.published[id] = info
	r.republish()
}

func (r *region) evacuate() {
	r.evacuated = nil
	for _, d := range []string{"hall", "attic"} {
		if rapid.IntRange(0, 2).Draw(r.T, d) == 0 {
			r.evacuated = append(r.evacuated, d)
		}
	}
	r.republish()
}

func (r *region) request() placement.Request {
	req := newRequest(r.service(), fmt.Sprint(len(r.open)))
	if req.Service == "engine" {
		req.Prompt = rapid.SampledFrom([]int{1, 500, 5000, 60_000}).Draw(r.T, "prompt")
		req.AnswerTokens = rapid.SampledFrom([]int{0, 1, 400}).Draw(r.T, "out")
		left := req.Prompt
		for n := range rapid.IntRange(0, 3).Draw(r.T, "parts") {
			tokens := rapid.IntRange(0, left).Draw(r.T, "tokens")
			left -= tokens
			req.Segments = append(req.Segments, placement.Segment{
				ID:     fmt.Sprint("part-", n),
				Tokens: tokens,
			})
		}
	}
	if rapid.IntRange(0, 3).Draw(r.T, "tried") == 0 {
		req.Tried = []string{r.id()}
	}
	return req
}

func (r *region) pick() {
	req := r.request()
	before := make(map[string]placement.Load)
	for _, known := range r.Replicas() {
		before[known.ID()] = known.Own()
	}
	c := r.Pick(req, alone, r.now)
	if c.Reason != placement.None {
		if c.Incarnation != "" || c.Wait < 0 {
			r.Fatalf("a refusal with a replica or a negative wait: %v", c)
		}
		for id, own := range before {
			if r.Get(id).Own() != own {
				r.Fatalf("a refusal reserved capacity at %s", id)
			}
		}
		return
	}
	r.mayServe(c, req)
	now, old := r.Get(c.Incarnation).Own(), before[c.Incarnation]
	r.open = append(r.open, open{
		choice: c,
		load: placement.Load{
			Requests:       now.Requests - old.Requests,
			Tokens:         now.Tokens - old.Tokens,
			PendingPrefill: now.PendingPrefill - old.PendingPrefill,
		},
	})
}

func (r *region) superseded(info catalog.Replica) bool {
	for _, other := range r.published {
		if other.Addr == info.Addr && other.Revision > info.Revision {
			return true
		}
	}
	return false
}

func (r *region) mayServe(c placement.Choice, req placement.Request) {
	info, listed := r.published[c.Incarnation]
	switch {
	case !listed:
		r.Fatalf("%s is not listed", c.Incarnation)
	case info.Service != req.Service:
		r.Fatalf("%s is of another service", c.Incarnation)
	case r.superseded(info):
		r.Fatalf("another replica is at %s", info.Addr)
	case info.Addr != c.Addr:
		r.Fatalf("%s is at %s, not %s", c.Incarnation, info.Addr, c.Addr)
	case r.now < r.retryAt[c.Incarnation]:
		r.Fatalf("%s rests", c.Incarnation)
	case r.leaving[c.Incarnation]:
		r.Fatalf("%s has left", c.Incarnation)
	case slices.Contains(r.evacuated, info.Domain):
		r.Fatalf("%s is in an evacuated domain", c.Incarnation)
	case slices.Contains(req.Tried, c.Incarnation):
		r.Fatalf("%s was tried", c.Incarnation)
	case r.Get(c.Incarnation).Ejected(r.now):
		r.Fatalf("%s is ejected", c.Incarnation)
	case c.Expect < 0 || c.Missing < 0:
		r.Fatalf("negative: %v", c)
	}
	r.checkLimit(c.Incarnation)
}

func (r *region) first() {
	if len(r.open) == 0 {
		return
	}
	o := &r.open[rapid.IntRange(0, len(r.open)-1).Draw(r.T, "open")]
	r.RecordFirstByte(&o.choice, time.Duration(rapid.IntRange(0, 5000).Draw(r.T, "took"))*time.Millisecond, r.now)
	o.load.PendingPrefill = 0
}

func (r *region) end() {
	if len(r.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(r.open)-1).Draw(r.T, "open")
	o := r.open[i]
	r.open = slices.Delete(r.open, i, i+1)
	result := placement.Result(rapid.IntRange(int(placement.Answered), int(placement.Declined)).Draw(r.T, "result"))
	wasEjected := r.Get(o.choice.Incarnation).Ejected(r.now)
	ejected := r.End(&o.choice, result, time.Duration(rapid.IntRange(0, 900).Draw(r.T, "hold"))*time.Millisecond, r.now)
	if isEjected := r.Get(o.choice.Incarnation).Ejected(r.now); ejected != (isEjected && !wasEjected) {
		r.Fatalf("End returned %v; ejected before: %v, after: %v", ejected, wasEjected, isEjected)
	}
	r.End(&o.choice, result, 0, r.now) // no effect the second time
}

func (r *region) recordPeerLoad() {
	r.RecordPeerLoads("b", []placement.OwnLoad{{
		Incarnation: r.id(),
		Load: placement.Load{
			Requests: rapid.IntRange(0, 20).Draw(r.T, "requests"),
			Tokens:   rapid.IntRange(0, 90_000).Draw(r.T, "tokens"),
		},
	}}, r.now)
}

func (r *region) pass() {
	r.now += rapid.SampledFrom([]time.Duration{
		time.Millisecond, 100 * time.Millisecond, 2 * time.Second, 40 * time.Second,
	}).Draw(r.T, "time")
}

// check compares the recorded loads with the open requests.
func (r *region) check() {
	want := make(map[string]placement.Load)
	for _, o := range r.open {
		l := want[o.choice.Incarnation]
		l.Requests++
		l.Tokens += o.load.Tokens
		l.PendingPrefill += o.load.PendingPrefill
		want[o.choice.Incarnation] = l
	}
	for id := range want {
		if r.Get(id) == nil {
			r.Fatalf("%s was evicted with open requests", id)
		}
	}
	for _, known := range r.Replicas() {
		own, all := known.Own(), known.Load(r.now)
		if own != want[known.ID()] {
			r.Fatalf("%s: counted %v, open %v", known.ID(), own, want[known.ID()])
		}
		if all.Requests < own.Requests || all.Tokens < own.Tokens || own.Tokens < 0 || own.PendingPrefill < 0 {
			r.Fatalf("%s: own %v, all %v", known.ID(), own, all)
		}
		if f := known.FailureShare(r.now); f < 0 || f > 1 || known.Slowness(r.now) < 1 {
			r.Fatalf("%s: failing %g, slow %g", known.ID(), f, known.Slowness(r.now))
		}
	}
}

func TestLoadsMatchTheOpenRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(t)
		acts := []func(){r.pick, r.pick, r.pick, r.pick, r.first, r.end, r.end, r.change, r.evacuate, r.recordPeerLoad, r.report, r.pass}
		for range actions {
			rapid.SampledFrom(acts).Draw(t, "action")()
			r.check()
		}
		for len(r.open) > 0 {
			r.end()
		}
		r.check()
		for _, known := range r.Replicas() {
			if known.Own() != (placement.Load{}) {
				t.Fatalf("%s: %v is left", known.ID(), known.Own())
			}
		}
	})
}
