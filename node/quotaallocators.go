package node

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/common/short"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/quota"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	allocatorShards        = 2                      // allocators of a region, each for a part of the organisations
	allocatorCandidates    = 2                      // boxes per shard, of which the first that answers is the allocator
	demandTimeout          = 700 * time.Millisecond // for allocators of other regions: a connection and a request take 320 ms
	regionDiscoveryTimeout = 8 * time.Second        // after which a box without others in its roster is taken for the only one of its region
	minAllocatorUsers      = 16                     // assumed while the roster is incomplete
)

// allocatorView is the set of quota allocators by the roster of this box.
type allocatorView struct {
	users        int                                          // boxes of the region that may request allocations
	complete     bool                                         // all of them are in the roster
	ownRegion    [allocatorShards][]wire.BoxStatus            // candidates of this region by shard, in order of preference
	otherRegions map[string][allocatorShards][]wire.BoxStatus // candidates in the other regions
}

func shardOf(organisation string) int { return int(short.Of(organisation) % allocatorShards) }

// shardKey returns the rendezvous key that ranks the candidates of a shard.
func shardKey(shard int) string { return fmt.Sprint("bank-", shard) }

// collectDemand collects the demand of all other regions for a shard that this box allocates or may have to.
// The calls run in parallel: in sequence they take longer than a round.
func (n *Node) collectDemand(ctx context.Context, v *allocatorView, shard int) {
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	own := n.quotas.shards[shard].allocator.Usage(n.now())
	var asking sync.WaitGroup
	var heard atomic.Int32
	for region, lists := range v.otherRegions {
		asking.Go(func() {
			if n.collectRegionDemand(ctx, region, shard, lists[shard]) {
				heard.Add(1)
			}
		})
	}
	others := slices.DeleteFunc(slices.Clone(v.ownRegion[shard]), n.isSelf)
	asking.Go(func() { n.collectRegionDemand(ctx, n.settings.Region, shard, others) })
	asking.Wait()
	shares := n.quotas.shards[shard].shares
	if int(heard.Load()) == shares.Others() {
		shares.RecordAgreedShares(own, func(organisation string) float64 {
			terms, _ := n.terms(organisation)
			return terms.PerSecond()
		})
	}
	shares.EndRound()
}

// collectRegionDemand collects the demand of a region from the first of the candidates that allocates the
// shard, and reports whether one answered. Otherwise the share of the region stays until the next round.
func (n *Node) collectRegionDemand(ctx context.Context, region string, shard int, candidates []wire.BoxStatus) bool {
	r := demandRequest{
		Shard:    shard,
		Handover: region == n.settings.Region,
	}
	for _, b := range candidates {
		if n.quotas.inBackoff(b.Peers, n.now()) {
			continue
		}
		sentAt := n.now()
		demand, err := n.fetchDemand(ctx, b.Peers, r)
		switch {
		case err == nil && demand != nil:
			n.quotas.shards[shard].shares.RecordReport(region, demand, sentAt, n.now())
			return true
		case err != nil:
			n.quotas.backOffUntil(b.Peers, n.now()+allocatorBackoff)
		}
	}
	return false
}

// isCandidate reports whether this box allocates a shard, or would if the candidates before it failed.
func (n *Node) isCandidate(v *allocatorView, shard int) bool {
	return slices.ContainsFunc(v.ownRegion[shard], n.isSelf)
}

func (n *Node) isSelf(b wire.BoxStatus) bool { return b.Box == n.settings.Box }

// allocators derives the quota allocators from the serving boxes of the roster.
func (s *state) allocators(now time.Duration) *allocatorView {
	v := &allocatorView{
		otherRegions: make(map[string][allocatorShards][]wire.BoxStatus),
	}
	byRegion := map[string][]wire.BoxStatus{
		s.settings.Region: {{
			Box:    s.settings.Box,
			Region: s.settings.Region,
		}},
	}
	for m := range s.roster.AllServing("", now) {
		if b := m.Status; b.Peers != "" {
			byRegion[b.Region] = append(byRegion[b.Region], b)
		}
	}
	for region, list := range byRegion {
		chosen := chooseAllocators(list)
		if region == s.settings.Region {
			v.ownRegion = chosen
		} else {
			v.otherRegions[region] = chosen
		}
	}
	v.users = s.allocatorUsers(now)
	v.complete = len(s.sharers(now)) > 0
	return v
}

// allocatorUsers returns the number of boxes of the region that recently could request allocations,
// including this one. After start-up, while the roster is incomplete, it returns a lower bound.
func (s *state) allocatorUsers(now time.Duration) int {
	known := 1 + len(s.roster.QuotaUsers(s.settings.Region, now))
	switch {
	case now > regionDiscoveryTimeout:
		return known
	case len(s.sharers(now)) > 0:
		return max(known, minSharers)
	}
	return max(known, minAllocatorUsers)
}

// chooseAllocators returns the candidates of each shard among the boxes of a region.
func chooseAllocators(list []wire.BoxStatus) (out [allocatorShards][]wire.BoxStatus) {
	byName := make(map[string]wire.BoxStatus, len(list))
	for _, b := range list {
		byName[b.Box] = b
	}
	names := slices.Collect(maps.Keys(byName))
	for shard := range out {
		for _, name := range rendezvous.Top(shardKey(shard), names, allocatorCandidates) {
			out[shard] = append(out[shard], byName[name])
		}
	}
	return out
}

// demand answers another allocator; nil if this box does not allocate the shard.
func (n *Node) demand(r demandRequest) map[string]quota.Usage {
	if r.Shard < 0 || r.Shard >= allocatorShards {
		return nil
	}
	a := n.quotas.shards[r.Shard].allocator
	if r.Handover {
		return a.Handover(n.now())
	}
	return a.Usage(n.now())
}

func (n *Node) callDemand(ctx context.Context, addr string, r demandRequest) (out map[string]quota.Usage, err error) {
	err = n.peers.Call(ctx, addr, peer.Demand, r, &out)
	return out, err
}
