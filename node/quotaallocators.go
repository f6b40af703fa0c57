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

// collectDemand collects the demand of all other regions for the shards that this box allocates. The
// calls run in parallel: in sequence they take longer than a round.
func (n *Node) collectDemand(ctx context.Context, v *allocatorView) {
	ctx, cancel := context.WithTimeout(ctx, demandTimeout)
	defer cancel()
	own := n.demand()
	var asking sync.WaitGroup
	var heard atomic.Int32
	for region := range v.otherRegions {
		asking.Go(func() {
			if n.collectRegionDemand(ctx, region, v) {
				heard.Add(1)
			}
		})
	}
	asking.Wait()
	if int(heard.Load()) == n.quotas.shares.Others() {
		n.quotas.shares.RecordAgreedShares(own, func(organisation string) float64 {
			terms, _ := n.terms(organisation)
			return terms.PerSecond()
		})
	}
	n.quotas.shares.EndRound()
}

// collectRegionDemand collects the demand of a region, and reports whether all its allocators answered.
func (n *Node) collectRegionDemand(ctx context.Context, region string, v *allocatorView) bool {
	sentAt := n.now()
	var mu sync.Mutex
	all := make(map[string]quota.Usage)
	var failed atomic.Bool
	var asking sync.WaitGroup
	for shard, list := range v.otherRegions[region] {
		if len(list) == 0 || !n.allocates(v, shard) {
			continue
		}
		asking.Go(func() {
			demand, err := n.fetchDemand(ctx, list[0].Peers)
			failed.Store(failed.Load() || err != nil)
			mu.Lock()
			defer mu.Unlock()
			maps.Copy(all, demand)
		})
	}
	asking.Wait()
	if failed.Load() {
		return false // the share of the region stays until the next round
	}
	n.quotas.shares.RecordReport(region, all, sentAt)
	return true
}

func (n *Node) allocates(v *allocatorView, shard int) bool {
	list := v.ownRegion[shard]
	return len(list) > 0 && list[0].Box == n.settings.Box
}

func (n *Node) isAllocator(v *allocatorView) bool {
	for shard := range v.ownRegion {
		if n.allocates(v, shard) {
			return true
		}
	}
	return false
}

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

// demand answers the allocator of another region.
func (n *Node) demand() map[string]quota.Usage { return n.quotas.allocator.Usage(n.now()) }

func (n *Node) callDemand(ctx context.Context, addr string) (out map[string]quota.Usage, err error) {
	err = n.peers.Call(ctx, addr, peer.Demand, struct{}{}, &out)
	return out, err
}
