package node

import (
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/wire"
)

const maxActive = 32 // boxes of a region that callers are sent to

// activeOf returns the active boxes of a region.
func activeOf(names []string) []string { return rendezvous.Top("callers", names, maxActive) }

// activeSet is the set of active boxes of a region with more boxes than mostTaking; nil means
// all. The others are standby boxes. Each active box sees a larger part of the load of the
// region's replicas, and boxes exchange fewer reports.
type activeSet map[string]bool

// has reports whether a box is active.
func (t activeSet) has(box string) bool { return t == nil || t[box] }

// chooseActive selects the active boxes of all regions. Boxes with the same records agree,
// and one box more or less changes one of them. Boxes of a silent failure domain are replaced
// at once.
func (s *state) chooseActive(own wire.ServingState, now time.Duration) {
	byRegion := make(map[string][]string)
	silent := s.roster.SilentDomains(now)
	for m := range s.roster.AllServing("", now) {
		if m.Status.Callers != "" && !slices.Contains(silent, m.Status.Domain) {
			byRegion[m.Status.Region] = append(byRegion[m.Status.Region], m.Status.Box)
		}
	}
	if s.table != nil && own == wire.ServingStateServing {
		byRegion[s.settings.Region] = append(byRegion[s.settings.Region], s.settings.Box)
	}
	clear(s.active)
	for region, names := range byRegion {
		if len(names) <= maxActive {
			continue
		}
		set := make(activeSet)
		for _, box := range activeOf(names) {
			set[box] = true
		}
		s.active[region] = set
	}
	here := min(len(byRegion[s.settings.Region]), maxActive)
	s.view.ByWords(!s.roster.TellsLoads(), here)
}

// loadReportPackets returns the datagrams with the replicas' load reports for other active boxes,
// where boxes are too many to send each other their own loads.
func (s *state) loadReportPackets(now time.Duration, draw func(n int) int) []roster.Packet {
	here := s.active[s.settings.Region]
	if s.roster.TellsLoads() || !here.has(s.settings.Box) {
		return nil
	}
	var addrs []string
	for m := range s.roster.AllServing(s.settings.Region, now) {
		if here.has(m.Status.Box) && m.Status.Peers != "" {
			addrs = append(addrs, m.Status.Peers)
		}
	}
	return s.roster.TellWords(s.compactLoadReports(now), addrs, draw)
}

// compactLoadReports returns the replicas' load reports in wire form, the latest first.
func (s *state) compactLoadReports(now time.Duration) []roster.CompactWord {
	var out []roster.CompactWord
	for _, w := range s.view.Words(now) {
		out = append(out, roster.CompactWord{
			Replica:  roster.ReplicaIDOf(w.Replica),
			Age:      now - w.At,
			Requests: w.Requests,
			Waiting:  w.Waiting,
			Tokens:   w.Tokens,
			Silent:   w.Silent,
		})
	}
	return out
}

// receiveLoadReports records the load reports that another box forwards.
func (s *state) receiveLoadReports(list []roster.CompactWord, now time.Duration) {
	for _, w := range list {
		id, ok := s.replicaIDs[w.Replica]
		if !ok {
			continue
		}
		s.view.Says(id, placement.Word{
			Requests: w.Requests,
			Waiting:  min(w.Waiting, w.Requests),
			Tokens:   w.Tokens,
			Silent:   w.Silent,
			At:       now - w.Age,
		})
	}
}

// replicaIDs maps the short ids on the wire to the incarnations of the region's replicas.
type replicaIDs map[roster.ReplicaID]string

// add adds an incarnation.
func (n replicaIDs) add(start string) { n[roster.ReplicaIDOf(start)] = start }

// drop removes an incarnation.
func (n replicaIDs) drop(start string) {
	if id := roster.ReplicaIDOf(start); n[id] == start {
		delete(n, id)
	}
}
