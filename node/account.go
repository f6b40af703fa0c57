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
	accountLimit = 300 * time.Millisecond // for an answer; a later one tells nothing new
	silentAfter  = 2                      // questions without an answer until others are told; 32 boxes that found it out by themselves sent three requests each to an engine that had gone dark
)

// asked is an engine that this box asks for its account.
type asked struct {
	start string
	addr  string
}

// engines returns the engines that this box asks now. One box asks a busy one on behalf of
// the others of its region, by rendezvous of those that take callers, which agree on it;
// while they don't, an engine is asked by two or by none.
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

// runAccounts asks engines for their accounts again and again until ctx ends.
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

// askAccount asks an engine for its account.
func (n *Node) askAccount(ctx context.Context, a asked) {
	ctx, cancel := context.WithTimeout(ctx, accountLimit)
	defer cancel()
	at := n.now()
	got, err := n.adapter.Account(ctx, n.replicas, a.addr)
	n.meter.Account(err == nil)
	n.state.Post(func(s *state) {
		start, news := s.startOf(a.start, got.Born, n.now())
		n.recordStateChanges(news)
		s.account(start, got, err == nil, at, n.now())
	})
}

// startOf returns which start of a replica gave an account: one that began at a time,
// where that is said. A later one than was known is taken in, for its entry may be a
// heartbeat behind.
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
		return next.Start(), nil // of which nothing is known any more
	case born <= s.told[info.ID]:
		return known, nil // it was overruled
	}
	s.told[info.ID] = born
	return next.Start(), s.take(adopted(info, svc, id), now)
}

// account takes in an engine's account of a time, or that it gave none.
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
		return // it may be this box that hears nothing
	}
	s.view.Says(start, placement.Word{
		Silent: true,
		At:     at,
	})
}

// forgetTold drops which starts engines told that are gone.
func (s *state) forgetTold() {
	known := make(map[string]bool)
	for _, r := range s.view.Replicas() {
		known[r.ID()] = true
	}
	maps.DeleteFunc(s.told, func(id string, _ int64) bool { return !known[id] })
}
