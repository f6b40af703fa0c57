package node

// This file takes requests' costs from quotas, and asks banks. Who is a bank, and what banks of
// different regions tell each other, is in banks.go.

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
)

const (
	bankLimit    = 120 * time.Millisecond // for an answer of a bank: a few ms, and what its ends take
	bankAvoid    = time.Second            // that a box which didn't answer isn't asked
	bankBeats    = 2                      // beats between two questions ahead of need
	demandBeats  = 2                      // beats between two questions to other regions' banks
	usualWindow  = 8 * time.Second        // of quotas, where the settings name none
	overageShare = 0.2                    // of what quotas may be exceeded by as a factor that is let through, so that errors of the count refuse nothing within a quota
	slackShare   = 0.25                   // of the units beside that are let through, for the same
	startsFor    = 3 * time.Second        // of a box's start, in which requests wait until it knows its region
	startWait    = 300 * time.Millisecond // that they wait
	startLook    = 40 * time.Millisecond  // between two looks
)

// quotas is a box's part in the quotas of organisations.
type quotas struct {
	bank   *quota.Bank
	purse  *quota.Purse
	shares *quota.Shares
	view   atomic.Pointer[bankView]
	due    [bankShards]atomic.Bool // a bank is asked ahead of need
	heard  atomic.Bool             // banks of other regions are asked
	beats  int                     // the task that beats owns it

	mu    sync.Mutex
	avoid map[string]time.Duration // by address: boxes that didn't answer, and until when
}

// bankAsk is a question to a bank.
type bankAsk struct {
	From quota.Asker `json:"from"`
	Asks []quota.Ask `json:"asks"`
}

// newQuotas returns a box's part in the quotas.
func (n *Node) newQuotas() *quotas {
	regions := slices.Sorted(maps.Values(n.settings.Regions))
	return &quotas{
		bank:   quota.NewBank(),
		purse:  quota.NewPurse(n.quotaWindow(), n.askBankNow, n.now),
		shares: quota.NewShares(n.settings.Region, slices.Compact(regions)),
		avoid:  make(map[string]time.Duration),
	}
}

// reserve takes a request's cost from its organisation's quota. Where that is used up it returns
// when the caller should come back.
func (n *Node) reserve(ctx context.Context, organisation string, tokens int) (cost float64, wait time.Duration, ok bool) {
	o := n.table.Load().OrganisationOf(organisation)
	if o == nil || !o.Quota.Bounded() {
		return 0, 0, true
	}
	cost = quota.Cost(o.Quota, tokens)
	n.awaitBanks(ctx)
	wait, ok = n.quotas.purse.Take(ctx, organisation, cost)
	n.meter.Quota(organisation, cost, ok)
	return cost, wait, ok
}

// awaitBanks waits, at a box that has just started, until it knows its region: a part of a bank of
// its own, which it would have, is less than a request.
func (n *Node) awaitBanks(ctx context.Context) {
	for began := n.now(); began < startsFor && n.now()-began < startWait && ctx.Err() == nil; {
		if v := n.quotas.view.Load(); v != nil && v.complete {
			return
		}
		sleep.For(ctx, startLook)
	}
}

// terms returns what boxes let through of an organisation's requests, over all regions.
func (n *Node) terms(organisation string) (quota.Terms, bool) {
	t := n.table.Load()
	if t == nil {
		return quota.Terms{}, false
	}
	o := t.OrganisationOf(organisation)
	if o == nil || !o.Quota.Bounded() {
		return quota.Terms{}, false
	}
	b := n.settings.Bounds
	window := n.quotaWindow()
	limit := o.Quota.PerSecond*window.Seconds() + o.Quota.Burst
	return quota.Terms{
		Units:  limit*(1+overageShare*b.QuotaOverage) + slackShare*b.QuotaSlack,
		Window: window,
	}, true
}

// quotaWindow returns over which time quotas are counted.
func (n *Node) quotaWindow() time.Duration { return cmp.Or(n.settings.Bounds.QuotaWindow, usualWindow) }

// asker returns this box as one that asks a bank.
func (n *Node) asker() quota.Asker {
	return quota.Asker{
		Box: n.settings.Box,
		Up:  n.now(),
	}
}

// grant answers a box that asks this one as a bank.
func (n *Node) grant(from quota.Asker, asks []quota.Ask) []quota.Grant {
	known := fewestKnown
	if v := n.quotas.view.Load(); v != nil {
		known = v.known
	}
	return n.quotas.bank.Grant(from, asks, quota.Round{
		Terms:  n.terms,
		Shares: n.quotas.shares,
		Known:  known,
		Draw:   n.jitter,
	}, n.now())
}

// askBankNow asks a bank on behalf of a request that waits. Where the bank knows of no quota, for
// its policy is older, this box is its own.
func (n *Node) askBankNow(ctx context.Context, a quota.Ask) (quota.Grant, bool) {
	asks := []quota.Ask{a}
	out := n.askBanks(ctx, shardOf(a.Organisation), asks)
	if len(out) == 0 {
		out = n.grant(n.asker(), asks)
	}
	if len(out) == 0 {
		return quota.Grant{}, false
	}
	return out[0], true
}

// askBanks asks the bank of a shard, or the next choice where it doesn't answer. Where none does,
// this box is its own bank, for its part.
func (n *Node) askBanks(ctx context.Context, shard int, asks []quota.Ask) []quota.Grant {
	v := n.quotas.view.Load()
	if v == nil {
		return n.grant(n.asker(), asks)
	}
	for _, b := range v.near[shard] {
		if b.Box == n.settings.Box {
			break
		}
		if n.quotas.avoids(b.Peers, n.now()) {
			continue
		}
		out, err := n.requestCredit(ctx, b.Peers, asks)
		if err == nil {
			return out
		}
		if ctx.Err() == nil {
			n.quotas.avoidFor(b.Peers, n.now()+bankAvoid)
			n.bankLost(b.Box, err)
		}
	}
	return n.grant(n.asker(), asks)
}

// bankLost writes down that a bank didn't answer.
func (n *Node) bankLost(box string, err error) {
	n.record(decision.Event{
		Kind:     decision.Lost,
		Upstream: box,
		Reason:   "bank of quotas",
		Detail:   err.Error(),
	})
}

// callBank asks the box at an address as a bank.
func (n *Node) callBank(ctx context.Context, addr string, asks []quota.Ask) (out []quota.Grant, err error) {
	ctx, cancel := context.WithTimeout(ctx, bankLimit)
	defer cancel()
	err = n.peers.Call(ctx, addr, peer.Quota, bankAsk{
		From: n.asker(),
		Asks: asks,
	}, &out)
	return out, err
}

// avoids says whether a box didn't answer of late.
func (q *quotas) avoids(addr string, now time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	until, ok := q.avoid[addr]
	if ok && now >= until {
		delete(q.avoid, addr)
	}
	return ok && now < until
}

// avoidFor has a box not asked until a time.
func (q *quotas) avoidFor(addr string, until time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.avoid[addr] = until
}

// hasQuotas says whether any organisation has one.
func (n *Node) hasQuotas() bool {
	t := n.table.Load()
	return t != nil && t.Quotas()
}

// keepQuotas works out who is a bank, asks ahead of need, and has banks of other regions asked.
func (n *Node) keepQuotas(ctx context.Context) {
	if !n.hasQuotas() {
		return
	}
	var v *bankView
	_ = n.state.Do(func(s *state) { v = s.banks(n.now()) })
	if v == nil { // the box has ended
		return
	}
	n.quotas.view.Store(v)
	n.quotas.beats++
	if n.quotas.beats%bankBeats == 0 {
		n.askAhead(ctx)
	}
	if n.quotas.beats%demandBeats == 0 && n.isBank(v) && n.quotas.heard.CompareAndSwap(false, true) {
		n.tasks.Go(func() {
			defer n.quotas.heard.Store(false)
			n.hearRegions(ctx, v)
		})
	}
}

// askAhead asks each bank of the region ahead of need. A bank counts the boxes that ask it, so each
// is asked, whether anything is needed or not.
func (n *Node) askAhead(ctx context.Context) {
	for shard := range bankShards {
		due := &n.quotas.due[shard]
		if !due.CompareAndSwap(false, true) {
			continue
		}
		list := n.quotas.purse.Due(func(organisation string) bool { return shardOf(organisation) == shard })
		n.tasks.Go(func() {
			defer due.Store(false)
			for _, g := range n.askBanks(ctx, shard, list) {
				n.quotas.purse.Granted(g)
			}
		})
	}
}
