package node

import (
	"context"
	"maps"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/placement"
)

const (
	accountLimit = 300 * time.Millisecond // for an answer
	silentAfter  = 2                      // consecutive unanswered requests after which an engine is reported as silent
)

// asked is an engine from which this box requests usage reports.
type asked struct {
	start string
	addr  string
}

// engines returns the engines from which this box requests usage reports now. One active box
// of the region, selected by rendezvous hashing, does so for each busy engine. While boxes
// have different records, an engine may receive requests from two boxes or from none.
func (s *state) engines(now time.Duration) []asked {
	here := s.taking[s.settings.Region]
	if s.roster.TellsLoads() || s.table == nil || !here.has(s.settings.Box) {
		return nil
	}
	names := []string{s.settings.Box}
	for m := range s.roster.AllServing(s.settings.Region, now) {
		if here.has(m.Status.Box) {
			names = append(names, m.Status.Box)
		}
	}
	mine := func(start string) bool { return rendezvous.Top(start, names, 1)[0] == s.settings.Box }
	unanswered := func(start string) bool { return s.unanswered[start] > 0 }
	var out []asked
	for _, r := range s.view.Questions(now, mine, unanswered) {
		out = append(out, asked{
			start: r.Start(),
			addr:  r.Info().Addr,
		})
	}
	return out
}

// runAccounts starts a task that requests usage reports of engines until ctx is done.
func (n *Node) runAccounts(ctx context.Context) {
	if n.adapter.Account == nil {
		return
	}
	n.tasks.Go(func() {
		for ctx.Err() == nil {
			sleep.For(ctx, placement.AskEvery)
			var list []asked
			_ = n.state.Do(func(s *state) { list = s.engines(n.now()) }) // it fails only when the box has ended
			for _, a := range list {
				n.tasks.Go(func() { n.askAccount(ctx, a) })
			}
		}
	})
}

// askAccount requests and records the usage report of an engine.
func (n *Node) askAccount(ctx context.Context, a asked) {
	ctx, cancel := context.WithTimeout(ctx, accountLimit)
	defer cancel()
	at := n.now()
	got, err := n.adapter.Account(ctx, n.replicas, a.addr)
	n.meter.Account(err == nil)
	n.state.Post(func(s *state) {
		start, news := s.startOf(a.start, got.Born, n.now())
		n.recordBeliefs(news)
		s.account(start, got, err == nil, at, n.now())
	})
}

// startOf returns the incarnation of a replica that sent a usage report. An incarnation later
// than the recorded one is applied, since its catalog entry may be a heartbeat late.
func (s *state) startOf(known string, born int64, now time.Duration) (string, []placement.Belief) {
	info, svc := s.listed(known)
	if svc == nil || born == 0 || info.Born == 0 || born == info.Born {
		return known, nil
	}
	id := Identity{
		ID:   info.ID,
		Born: born,
	}
	next := info
	next.Born = born
	switch {
	case born < info.Born:
		return next.Start(), nil // without a record
	case born <= s.told[info.ID]:
		return known, nil // the catalog has overruled it
	}
	s.told[info.ID] = born
	return next.Start(), s.take(adopted(info, svc, id), now)
}

// account records an engine's usage report, or that it sent none.
func (s *state) account(start string, got Account, ok bool, at, now time.Duration) {
	if ok {
		delete(s.unanswered, start)
		s.view.Says(start, placement.Word{
			Requests: got.Running + got.Waiting,
			Waiting:  got.Waiting,
			Tokens:   got.Tokens,
			At:       at,
		})
		return
	}
	s.unanswered[start]++
	if s.unanswered[start] < silentAfter || !s.roster.HeardWithin(placement.AskEvery*silentAfter, now) {
		return // this box may be cut off itself
	}
	s.view.Says(start, placement.Word{
		Silent: true,
		At:     at,
	})
}

// forgetTold drops the reported incarnations of replicas that have no record.
func (s *state) forgetTold() {
	known := make(map[string]bool)
	for _, r := range s.view.Replicas() {
		known[r.ID()] = true
	}
	maps.DeleteFunc(s.told, func(id string, _ int64) bool { return !known[id] })
}
