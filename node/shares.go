package node

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/short"
	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/queue"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/share"
	"github.com/havenrudder/havenrudder/wire"
)

// idleReportTime is the time after its last work in which a box reports that it has none, so that
// the others know of it although datagrams are lost.
const idleReportTime = 2 * share.MaxAge

// unknownAge is the age of a report that does not exist.
const unknownAge = share.MaxAge + 1

// serviceShare is the part of one competing service's capacity that this box has.
type serviceShare struct {
	levels    []share.Level // this box's demand, as last reported
	flows     [share.MaxLevels]share.Flows
	busyAt    time.Duration // last report with work
	contended bool          // the demand of the region exceeds what its replicas take
}

// waitingDemand returns the requests of a service that wait at this box, by level.
func (s *state) waitingDemand(service string) (out []share.Level) {
	q, ok := s.waiting.queues[service]
	if !ok {
		return nil
	}
	for level := range queue.MaxLevels {
		if n, _, flows := q.Waiting(level); n > 0 {
			out = append(out, share.Level{
				Urgency: level,
				Waiting: n,
				Flows:   flows,
			})
		}
	}
	return out
}

// ownDemand returns the demand of this box for a service, by level.
func (s *state) ownDemand(service string) []share.Level {
	var byLevel [share.MaxLevels]share.Level
	for i, n := range s.view.Running(service) {
		byLevel[i].Urgency = i
		byLevel[i].Running = n
	}
	for _, l := range s.waitingDemand(service) {
		at := &byLevel[min(max(l.Urgency, 0), share.MaxLevels-1)]
		at.Waiting += l.Waiting
		at.Flows += l.Flows
	}
	return slices.DeleteFunc(byLevel[:], func(l share.Level) bool { return l.Running == 0 && l.Waiting == 0 })
}

// reportDemand returns the demand of this box for its status, the services with the most requests
// first, and records it for updateShares: shares computed from what others know of this box add up.
func (s *state) reportDemand(now time.Duration) []wire.ServiceDemand {
	var out []wire.ServiceDemand
	shares := make(map[string]*serviceShare)
	for _, svc := range s.table.Policy().Services {
		if !s.table.Competes(svc.Name) {
			continue
		}
		sh, ok := s.shares[svc.Name]
		if !ok {
			sh = &serviceShare{
				busyAt: -idleReportTime,
			}
		}
		shares[svc.Name] = sh
		sh.levels = s.ownDemand(svc.Name)
		for i := range sh.levels {
			l := &sh.levels[i]
			l.Flows = sh.flows[l.Urgency].Recent(l.Flows, now)
		}
		if len(sh.levels) > 0 {
			sh.busyAt = now
		}
		if now-sh.busyAt < idleReportTime {
			out = append(out, wireDemand(svc.Name, sh.levels))
		}
	}
	s.shares = shares
	slices.SortStableFunc(out, func(a, b wire.ServiceDemand) int { return cmp.Compare(requestsOf(b), requestsOf(a)) })
	return out
}

func wireDemand(service string, levels []share.Level) wire.ServiceDemand {
	out := wire.ServiceDemand{
		Service: int(short.Of(service)),
	}
	for _, l := range levels {
		out.Levels = append(out.Levels, wire.LevelDemand{
			Urgency: l.Urgency,
			Running: l.Running,
			Waiting: l.Waiting,
			Flows:   l.Flows,
		})
	}
	return out
}

func requestsOf(d wire.ServiceDemand) (n int) {
	for _, l := range d.Levels {
		n += l.Running + l.Waiting
	}
	return n
}

// updateShares sets the share of this box of each competing service, and no bound for others.
// There is none either until all boxes of the region are recorded.
func (s *state) updateShares(now time.Duration) {
	if s.table == nil {
		return
	}
	members, complete := s.sharingMembers(now)
	for _, svc := range s.table.Policy().Services {
		sh, ok := s.shares[svc.Name]
		if !ok || !complete {
			s.view.SetShare(svc.Name, math.Inf(1), false)
			continue
		}
		self := share.Demand{
			Levels: sh.levels,
		}
		others := make([]share.Demand, 0, len(members))
		for _, m := range members {
			others = append(others, memberDemand(m, int(short.Of(svc.Name)), now))
		}
		inFlight, contended := share.Divide(s.view.Room(svc.Name, now), self, others)
		sh.contended = contended
		s.view.SetShare(svc.Name, inFlight, contended)
	}
}

// sharingMembers returns the other boxes of the region that have work or are sent callers; ok is
// false until all boxes of the region are recorded.
func (s *state) sharingMembers(now time.Duration) (out []*roster.Member, ok bool) {
	if s.sharers(now) == nil {
		return nil, false
	}
	active := s.active[s.settings.Region]
	for m := range s.roster.All() {
		if m.Status.Region != s.settings.Region || !s.roster.Alive(m.Status.Box, now) {
			continue
		}
		if active.has(m.Status.Box) || len(m.Demand) > 0 {
			out = append(out, m)
		}
	}
	return out, true
}

// memberDemand returns the demand of another box for a service, which is unknown while its last
// report of work is too old, and just after this box has first heard of it.
func memberDemand(m *roster.Member, service int, now time.Duration) share.Demand {
	out := share.Demand{
		Age: now - m.DemandAt,
	}
	at := slices.IndexFunc(m.Demand, func(d wire.ServiceDemand) bool { return d.Service == service })
	switch {
	case len(m.Demand) == 0 && now-m.FirstSeen <= share.MaxAge:
		out.Age = unknownAge
	case at < 0, len(m.Demand[at].Levels) == 0:
		out.Age = 0 // idle until it reports work
	default:
		for _, l := range m.Demand[at].Levels {
			out.Levels = append(out.Levels, share.Level{
				Urgency: l.Urgency,
				Running: l.Running,
				Waiting: l.Waiting,
				Flows:   l.Flows,
			})
		}
	}
	return out
}

// contended reports whether a request of a service is refused for the share of this box while the
// region has no capacity left.
func (s *state) contended(service string, reason placement.Reason) bool {
	sh, ok := s.shares[service]
	return ok && sh.contended && reason == placement.Full
}

// shareReached reports whether this box has its share of a service in flight while the region has no
// capacity left.
func (s *state) shareReached(service string) bool {
	return s.contended(service, placement.Full) && float64(s.running(service)) >= s.view.Share(service)
}

// running returns the requests of a service that this box has in flight in its region.
func (s *state) running(service string) (n int) {
	for _, running := range s.view.Running(service) {
		n += running
	}
	return n
}

// isUnshared reports whether the share of this box doesn't bound a request, since it can't wait
// here: it was forwarded by another box, is on trial, or continues a stream.
func isUnshared(ask ingress.TargetQuery) bool {
	return ask.Forwarded || ask.Trial != nil || ask.Request.Build != 0
}

func (s *state) dumpShares(now time.Duration) (out []ShareDump) {
	for _, service := range slices.Sorted(maps.Keys(s.shares)) {
		d := ShareDump{
			Service:   service,
			Requests:  s.view.Share(service),
			Capacity:  s.view.Room(service, now),
			Contended: s.shares[service].contended,
		}
		if math.IsInf(d.Requests, 1) {
			d.Requests = -1 // JSON has no infinite numbers
		}
		for _, n := range s.view.Running(service) {
			d.InFlight += n
		}
		out = append(out, d)
	}
	return out
}
