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
	if s.roster.SharesLoads() || s.table == nil || !here.has(s.settings.Box) {
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
	for _, r := range s.view.EnginesToPoll(now, mine, unanswered) {
		out = append(out, reportTarget{
			start: r.Incarnation(),
			addr:  r.Info().Addr,
		})
	}
	return out
}

// runUsageReports starts a task that requests usage reports of engines until ctx is done.
func (n *Node) runUsageReports(ctx context.Context) {
	if n.adapter.RequestUsageReport == nil {
		return
	}
	n.tasks.Go(func() {
		for ctx.Err() == nil {
			sleep.For(ctx, placement.PollInterval)
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
	got, err := n.adapter.RequestUsageReport(ctx, n.replicaPool, a.addr)
	n.meter.UsageReport(err == nil)
	n.state.Post(func(s *state) {
		start, changes := s.reportingIncarnation(a.start, got.StartedAt, n.now())
		n.recordStateChanges(changes)
		defer n.dispatchSoon(s)
		s.recordUsageReport(start, got, err == nil, at, n.now())
		if err != nil {
			return
		}
		n.recordStateChanges(s.recordSignalsOf(start, got.Signals, placement.Span{
			From: at,
			To:   n.now(),
		}))
		if got.Malformed != nil && s.view.NoteMalformed(start) {
			n.logMalformed(start, got.Malformed)
		}
	})
}

// reportingIncarnation returns the incarnation of a replica that sent a usage report. A later
// one than recorded is applied, since its catalog entry may be a heartbeat late.
func (s *state) reportingIncarnation(recorded string, born int64, now time.Duration) (string, []placement.Change) {
	info, svc := s.listed(recorded)
	if svc == nil || born == 0 || info.StartedAt == 0 || born == info.StartedAt {
		return recorded, nil
	}
	id := Identity{
		ID:        info.ID,
		StartedAt: born,
	}
	next := info
	next.StartedAt = born
	switch {
	case born < info.StartedAt:
		return next.Incarnation(), nil // without a record
	case born <= s.reportedBorn[info.ID]:
		return recorded, nil // the catalog has overruled it
	}
	s.reportedBorn[info.ID] = born
	return next.Incarnation(), s.applyUpdate(replacementUpdate(info, svc, id), now)
}

// recordUsageReport records an engine's usage report, or that it sent none.
func (s *state) recordUsageReport(start string, got UsageReport, ok bool, at, now time.Duration) {
	if ok {
		delete(s.unanswered, start)
		s.view.RecordReport(start, placement.LoadReport{
			Requests: got.Running + got.Waiting,
			Waiting:  got.Waiting,
			Tokens:   got.Tokens,
			At:       at,
		})
		return
	}
	s.unanswered[start]++
	if s.unanswered[start] < maxUnanswered || !s.roster.ReceivedWithin(placement.PollInterval*maxUnanswered, now) {
		return // this box may be cut off itself
	}
	s.view.RecordReport(start, placement.LoadReport{
		Unresponsive: true,
		At:           at,
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
