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
	usageReportTimeout = 300 * time.Millisecond // for an answer
	maxUnanswered      = 2                      // consecutive unanswered requests after which an engine is reported as silent
)

// reportTarget is an engine from which this box requests usage reports.
type reportTarget struct {
	start string
	addr  string
}

// reportTargets returns the engines from which this box requests usage reports now. One active box
// of the region, selected by rendezvous hashing, does so for each busy engine. While boxes
// have different records, an engine may receive requests from two boxes or from none.
func (s *state) reportTargets(now time.Duration) []reportTarget {
	here := s.active[s.settings.Region]
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
	var out []reportTarget
	for _, r := range s.view.Questions(now, mine, unanswered) {
		out = append(out, reportTarget{
			start: r.Start(),
			addr:  r.Info().Addr,
		})
	}
	return out
}

// runUsageReports starts a task that requests usage reports of engines until ctx is done.
func (n *Node) runUsageReports(ctx context.Context) {
	if n.adapter.Account == nil {
		return
	}
	n.tasks.Go(func() {
		for ctx.Err() == nil {
			sleep.For(ctx, placement.AskEvery)
			var list []reportTarget
			_ = n.state.Do(func(s *state) { list = s.reportTargets(n.now()) }) // it fails only when the box has ended
			for _, a := range list {
				n.tasks.Go(func() { n.requestUsageReport(ctx, a) })
			}
		}
	})
}

func (n *Node) requestUsageReport(ctx context.Context, a reportTarget) {
	ctx, cancel := context.WithTimeout(ctx, usageReportTimeout)
	defer cancel()
	at := n.now()
	got, err := n.adapter.Account(ctx, n.replicaPool, a.addr)
	n.meter.Account(err == nil)
	n.state.Post(func(s *state) {
		start, news := s.reportingIncarnation(a.start, got.Born, n.now())
		n.recordStateChanges(news)
		s.recordUsageReport(start, got, err == nil, at, n.now())
	})
}

// reportingIncarnation returns the incarnation of a replica that sent a usage report. A later
// one than recorded is applied, since its catalog entry may be a heartbeat late.
func (s *state) reportingIncarnation(recorded string, born int64, now time.Duration) (string, []placement.Belief) {
	info, svc := s.listed(recorded)
	if svc == nil || born == 0 || info.Born == 0 || born == info.Born {
		return recorded, nil
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
	case born <= s.reportedBorn[info.ID]:
		return recorded, nil // the catalog has overruled it
	}
	s.reportedBorn[info.ID] = born
	return next.Start(), s.applyUpdate(replacementUpdate(info, svc, id), now)
}

// recordUsageReport records an engine's usage report, or that it sent none.
func (s *state) recordUsageReport(start string, got Account, ok bool, at, now time.Duration) {
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
	if s.unanswered[start] < maxUnanswered || !s.roster.HeardWithin(placement.AskEvery*maxUnanswered, now) {
		return // this box may be cut off itself
	}
	s.view.Says(start, placement.Word{
		Silent: true,
		At:     at,
	})
}

// pruneReportedBorn drops the reported incarnations of replicas that have no record.
func (s *state) pruneReportedBorn() {
	known := make(map[string]bool)
	for _, r := range s.view.Replicas() {
		known[r.ID()] = true
	}
	maps.DeleteFunc(s.reportedBorn, func(id string, _ int64) bool { return !known[id] })
}
