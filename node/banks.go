package node

// This file says which boxes are banks of quotas, and has banks of different regions tell each other
// what their callers use.

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
	bankShards  = 2                      // banks of a region, each for a part of the organisations
	bankChoices = 2                      // boxes of which the first that answers is the bank
	demandLimit = 700 * time.Millisecond // for answers of other regions' banks: between regions a connection and a question take 320 ms, and what their ends take
	knowsRegion = 8 * time.Second        // after which a box that heard of no other in its region is taken for the only one
	fewestKnown = 16                     // boxes that a region is supposed to have at least while they aren't all known
)

// bankView is who is a bank, as far as this box knows.
type bankView struct {
	known    int                                     // boxes of the region that may ask banks
	complete bool                                    // all of them are known
	near     [bankShards][]wire.BoxStatus            // of this region, the first choice first
	far      map[string][bankShards][]wire.BoxStatus // of other regions
}

// shardOf returns which of a region's banks keeps the account of an organisation.
func shardOf(organisation string) int { return int(short.Of(organisation) % bankShards) }

// shardKey is what boxes agree on a bank by.
func shardKey(shard int) string { return fmt.Sprint("bank-", shard) }

// hearRegions asks other regions' banks of the shards that this box keeps what their callers ask
// for, all at once: one after the other they take longer than a round, connections and all.
func (n *Node) hearRegions(ctx context.Context, v *bankView) {
	ctx, cancel := context.WithTimeout(ctx, demandLimit)
	defer cancel()
	own := n.demand()
	var asking sync.WaitGroup
	var heard atomic.Int32
	for region := range v.far {
		asking.Go(func() {
			if n.hearRegion(ctx, region, v) {
				heard.Add(1)
			}
		})
	}
	asking.Wait()
	if int(heard.Load()) == n.quotas.shares.Others() {
		n.quotas.shares.Agree(own, func(organisation string) float64 {
			terms, _ := n.terms(organisation)
			return terms.PerSecond()
		})
	}
	n.quotas.shares.EndRound()
}

// hearRegion asks another region's banks, and says whether all answered.
func (n *Node) hearRegion(ctx context.Context, region string, v *bankView) bool {
	left := n.now()
	var mu sync.Mutex
	all := make(map[string]quota.Use)
	var failed atomic.Bool
	var asking sync.WaitGroup
	for shard, list := range v.far[region] {
		if len(list) == 0 || !n.keeps(v, shard) {
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
		return false // the region's share stays as it was, and the next round is soon
	}
	n.quotas.shares.Hear(region, all, left)
	return true
}

// keeps says whether this box is the bank of a shard.
func (n *Node) keeps(v *bankView, shard int) bool {
	list := v.near[shard]
	return len(list) > 0 && list[0].Box == n.settings.Box
}

// isBank says whether this box is the bank of any shard.
func (n *Node) isBank(v *bankView) bool {
	for shard := range v.near {
		if n.keeps(v, shard) {
			return true
		}
	}
	return false
}

// banks returns who is a bank, by the boxes that serve as far as this one knows.
func (s *state) banks(now time.Duration) *bankView {
	v := &bankView{
		far: make(map[string][bankShards][]wire.BoxStatus),
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
		chosen := choices(list)
		if region == s.settings.Region {
			v.near = chosen
		} else {
			v.far[region] = chosen
		}
	}
	v.known = s.bankUsers(now)
	v.complete = len(s.sharers(now)) > 0
	return v
}

// bankUsers returns how many boxes of the region may ask some bank, this one included: those that
// were there of late. Soon after its start a box may not know of most.
func (s *state) bankUsers(now time.Duration) int {
	known := 1 + len(s.roster.Sharers(s.settings.Region, now))
	switch {
	case now > knowsRegion:
		return known
	case len(s.sharers(now)) > 0:
		return max(known, minSharers)
	}
	return max(known, fewestKnown)
}

// choices returns which of a region's boxes are banks.
func choices(list []wire.BoxStatus) (out [bankShards][]wire.BoxStatus) {
	byName := make(map[string]wire.BoxStatus, len(list))
	for _, b := range list {
		byName[b.Box] = b
	}
	names := slices.Collect(maps.Keys(byName))
	for shard := range out {
		for _, name := range rendezvous.Top(shardKey(shard), names, bankChoices) {
			out[shard] = append(out[shard], byName[name])
		}
	}
	return out
}

// demand answers another region's bank.
func (n *Node) demand() map[string]quota.Use { return n.quotas.bank.Uses(n.now()) }

// callForDemand asks the box at an address what callers of its region ask for.
func (n *Node) callForDemand(ctx context.Context, addr string) (out map[string]quota.Use, err error) {
	err = n.peers.Call(ctx, addr, peer.Demand, struct{}{}, &out)
	return out, err
}
