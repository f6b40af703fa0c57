package node

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/quota"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	allocatorTimeout    = 120 * time.Millisecond // for an allocation
	allocatorBackoff    = time.Second            // for which a box that did not answer is skipped
	allocatorBeats      = 2                      // heartbeats between allocation requests ahead of need
	demandBeats         = 2                      // heartbeats between demand requests to other regions
	standbyBeats        = 4                      // the same while this box is only the next choice
	defaultWindow       = 8 * time.Second        // if the settings have none
	overageShare        = 0.4                    // of the allowed overage that is granted, so that counting errors do not reject requests within a quota
	slackShare          = 0.4                    // of the allowed slack that is granted, for the same reason
	startupPeriod       = 3 * time.Second        // in which requests wait until the roster is complete
	startupWait         = 300 * time.Millisecond // maximum wait of a request
	startupPollInterval = 40 * time.Millisecond
)

// quotas enforces the quotas of organisations at one box.
type quotas struct {
	shards  [allocatorShards]allocatorShard
	credits *quota.CreditPool
	view    atomic.Pointer[allocatorView]
	beats   int // owned by the heartbeat task

	mu      sync.Mutex
	backoff map[string]time.Duration // end of the back-off by address
}

// allocatorShard is what this box has of an allocator of its region.
type allocatorShard struct {
	allocator  *quota.Allocator
	shares     *quota.RegionShares
	asking     atomic.Bool // a request ahead of need is in progress
	collecting atomic.Bool // the usage of other allocators is being collected
}

// allocationRequest holds the parameters of a request to a quota allocator.
type allocationRequest struct {
	From  quota.Requester       `json:"from"`
	Shard int                   `json:"shard"`
	Asks  []quota.CreditRequest `json:"asks"`
	Any   bool                  `json:"any,omitempty"` // no candidate is ready, so any may answer
}

// demandRequest holds the parameters of a request to another allocator.
type demandRequest struct {
	Shard    int  `json:"shard"`
	Handover bool `json:"handover,omitempty"` // it allocates for the same region
}

func (n *Node) newQuotas() *quotas {
	regions := slices.Compact(slices.Sorted(maps.Values(n.settings.Regions)))
	q := &quotas{
		credits: quota.NewCreditPool(n.quotaWindow(), n.requestAllocation, n.now),
		backoff: make(map[string]time.Duration),
	}
	for i := range q.shards {
		q.shards[i].allocator = quota.NewAllocator()
		q.shards[i].shares = quota.NewRegionShares(n.settings.Region, regions)
	}
	return q
}

// reserve charges the cost of a request to the quota of its organisation. If the quota is exhausted it
// returns the time after which the caller should retry.
func (n *Node) reserve(ctx context.Context, organisation string, tokens int) (cost float64, wait time.Duration, ok bool) {
	o := n.table.Load().OrganisationOf(organisation)
	if o == nil || !o.Quota.Bounded() {
		return 0, 0, true
	}
	cost = quota.Cost(o.Quota, tokens)
	n.awaitAllocators(ctx)
	wait, ok = n.quotas.credits.Take(ctx, organisation, cost)
	n.meter.Quota(organisation, cost, ok)
	return cost, wait, ok
}

// awaitAllocators waits shortly after start-up until the roster is complete: the allocation that this box
// could grant itself before is less than one request.
func (n *Node) awaitAllocators(ctx context.Context) {
	for began := n.now(); began < startupPeriod && n.now()-began < startupWait && ctx.Err() == nil; {
		if v := n.quotas.view.Load(); v != nil && v.complete {
			return
		}
		sleep.For(ctx, startupPollInterval)
	}
}

// terms returns what all regions together admit of an organisation.
func (n *Node) terms(organisation string) (quota.Limit, bool) {
	t := n.table.Load()
	if t == nil {
		return quota.Limit{}, false
	}
	o := t.OrganisationOf(organisation)
	if o == nil || !o.Quota.Bounded() {
		return quota.Limit{}, false
	}
	b := n.settings.Bounds
	window := n.quotaWindow()
	limit := o.Quota.PerSecond*window.Seconds() + o.Quota.Burst
	return quota.Limit{
		Units:  limit*(1+overageShare*b.QuotaFactor) + slackShare*b.QuotaExtra,
		Window: window,
	}, true
}

func (n *Node) quotaWindow() time.Duration {
	return cmp.Or(n.settings.Bounds.QuotaWindow, defaultWindow)
}

// asker identifies this box to an allocator.
func (n *Node) asker() quota.Requester {
	return quota.Requester{
		Box:    n.settings.Box,
		Uptime: n.now(),
	}
}

// canAllocate reports whether this box has received the usage of other regions and of the previous allocator
// of its own, or has had time for it.
func (n *Node) canAllocate(shard int) bool {
	return n.now() > startupPeriod || n.quotas.shards[shard].shares.Round() > 0
}

// answer answers allocation requests of other boxes; nil if they should ask the next candidate.
func (n *Node) answer(r allocationRequest) []quota.Grant {
	if r.Shard < 0 || r.Shard >= allocatorShards || !r.Any && !n.canAllocate(r.Shard) {
		return nil
	}
	return n.grant(r.From, r.Shard, r.Asks)
}

// grant allocates for a box.
func (n *Node) grant(from quota.Requester, shard int, asks []quota.CreditRequest) []quota.Grant {
	users := minAllocatorUsers
	if v := n.quotas.view.Load(); v != nil {
		users = v.users
	}
	s := &n.quotas.shards[shard]
	return s.allocator.Grant(from, asks, quota.GrantParams{
		Terms:         n.terms,
		Shares:        s.shares,
		BoxesInRegion: users,
		Random:        n.jitter,
	}, n.now())
}

// requestAllocation requests an allocation for a waiting request. If the allocator has no record of the
// quota, as its policy is older, this box allocates for itself.
func (n *Node) requestAllocation(ctx context.Context, a quota.CreditRequest) (quota.Grant, bool) {
	asks := []quota.CreditRequest{a}
	shard := shardOf(a.Organisation)
	out := n.askAllocators(ctx, shard, asks)
	if len(out) == 0 {
		out = n.grant(n.asker(), shard, asks)
	}
	if len(out) == 0 {
		return quota.Grant{}, false
	}
	return out[0], true
}

// askAllocators requests allocations from the candidates of a shard in order of preference, first from those
// that are ready. If none answers, this box allocates for itself.
func (n *Node) askAllocators(ctx context.Context, shard int, asks []quota.CreditRequest) []quota.Grant {
	v := n.quotas.view.Load()
	if v == nil { // no roster yet
		return n.grant(n.asker(), shard, asks)
	}
	r := allocationRequest{
		Shard: shard,
		Asks:  asks,
	}
	out, unready := n.askCandidates(ctx, v.ownRegion[shard], r)
	if out == nil && unready {
		r.Any = true
		out, _ = n.askCandidates(ctx, v.ownRegion[shard], r)
	}
	if out == nil {
		out = n.grant(n.asker(), shard, asks)
	}
	return out
}

// askCandidates requests allocations from candidates in order. It returns nil if none answers, and whether
// one is not ready.
func (n *Node) askCandidates(ctx context.Context, candidates []wire.BoxStatus, r allocationRequest) (out []quota.Grant, unready bool) {
	for _, b := range candidates {
		if n.isSelf(b) {
			if r.Any || n.canAllocate(r.Shard) {
				return n.grant(n.asker(), r.Shard, r.Asks), false
			}
			unready = true
			continue
		}
		if n.quotas.inBackoff(b.Peers, n.now()) {
			continue
		}
		out, err := n.requestCredit(ctx, b.Peers, r)
		if err == nil && out != nil {
			return out, false
		}
		unready = unready || err == nil
		if err != nil && ctx.Err() == nil {
			n.quotas.backOffUntil(b.Peers, n.now()+allocatorBackoff)
			n.recordAllocatorLost(b.Box, err)
		}
	}
	return nil, unready
}

func (n *Node) recordAllocatorLost(box string, err error) {
	n.record(decision.Event{
		Kind:     decision.Lost,
		Upstream: box,
		Reason:   "bank of quotas",
		Detail:   err.Error(),
	})
}

func (n *Node) callAllocator(ctx context.Context, addr string, r allocationRequest) (out []quota.Grant, err error) {
	ctx, cancel := context.WithTimeout(ctx, allocatorTimeout)
	defer cancel()
	r.From = n.asker()
	err = n.peers.Call(ctx, addr, peer.Quota, r, &out)
	return out, err
}

// inBackoff reports whether a box is skipped as it recently did not answer.
func (q *quotas) inBackoff(addr string, now time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	until, ok := q.backoff[addr]
	if ok && now >= until {
		delete(q.backoff, addr)
	}
	return ok && now < until
}

func (q *quotas) backOffUntil(addr string, until time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.backoff[addr] = until
}

func (n *Node) hasQuotas() bool {
	t := n.table.Load()
	return t != nil && t.Quotas()
}

// maintainQuotas updates the allocators, and requests allocations and the demand of other regions.
func (n *Node) maintainQuotas(ctx context.Context) {
	if !n.hasQuotas() {
		return
	}
	var v *allocatorView
	_ = n.state.Do(func(s *state) { v = s.allocators(n.now()) })
	if v == nil { // the box has stopped
		return
	}
	n.quotas.view.Store(v)
	n.quotas.beats++
	if n.quotas.beats%allocatorBeats == 0 {
		n.prefetchAllocations(ctx)
	}
	for shard := range n.quotas.shards {
		s := &n.quotas.shards[shard]
		period := demandBeats
		if !s.allocator.Active(n.now()) {
			period = standbyBeats
		}
		if n.quotas.beats%period != 0 || !n.isCandidate(v, shard) || !s.collecting.CompareAndSwap(false, true) {
			continue
		}
		n.tasks.Go(func() {
			defer s.collecting.Store(false)
			n.collectDemand(ctx, v, shard)
		})
	}
}

// prefetchAllocations requests allocations ahead of need. It calls each allocator even if nothing is needed,
// since allocators count the boxes that call them.
func (n *Node) prefetchAllocations(ctx context.Context) {
	for shard := range allocatorShards {
		asking := &n.quotas.shards[shard].asking
		if !asking.CompareAndSwap(false, true) {
			continue
		}
		list := n.quotas.credits.DueRequests(func(organisation string) bool { return shardOf(organisation) == shard })
		n.tasks.Go(func() {
			defer asking.Store(false)
			n.quotas.credits.AddGrants(list, n.askAllocators(ctx, shard, list))
		})
	}
}
