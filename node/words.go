package node

import (
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/wire"
)

const mostTaking = 32 // boxes of a region that callers are sent to

// takersOf returns the active boxes of a region.
func takersOf(names []string) []string { return rendezvous.Top("callers", names, mostTaking) }

// taking is the set of active boxes of a region with more boxes than mostTaking; nil means
// all. The others are standby boxes. Each active box sees a larger part of the load of the
// region's replicas, and boxes exchange fewer reports.
type taking map[string]bool

// has reports whether a box is active.
func (t taking) has(box string) bool { return t == nil || t[box] }

// chooseTaking selects the active boxes of all regions. Boxes with the same records agree,
// and one box more or less changes one of them. Boxes of a silent failure domain are replaced
// at once.
func (s *state) chooseTaking(own wire.ServingState, now time.Duration) {
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
	clear(s.taking)
	for region, names := range byRegion {
		if len(names) <= mostTaking {
			continue
		}
		set := make(taking)
		for _, box := range takersOf(names) {
			set[box] = true
		}
		s.taking[region] = set
	}
	here := min(len(byRegion[s.settings.Region]), mostTaking)
	s.view.ByWords(!s.roster.TellsLoads(), here)
}

// tellWords returns the datagrams with the replicas' load reports for other active boxes,
// where boxes are too many to send each other their own loads.
func (s *state) tellWords(now time.Duration, draw func(n int) int) []roster.Packet {
	here := s.taking[s.settings.Region]
	if s.roster.TellsLoads() || !here.has(s.settings.Box) {
		return nil
	}
	var addrs []string
	for m := range s.roster.AllServing(s.settings.Region, now) {
		if here.has(m.Status.Box) && m.Status.Peers != "" {
			addrs = append(addrs, m.Status.Peers)
		}
	}
	return s.roster.TellWords(s.compactWords(now), addrs, draw)
}

// compactWords returns the replicas' load reports in wire form, the latest first.
func (s *state) compactWords(now time.Duration) []roster.CompactWord {
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

// hearWords records the load reports that another box forwards.
func (s *state) hearWords(list []roster.CompactWord, now time.Duration) {
	for _, w := range list {
		id, ok := s.short[w.Replica]
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

// shortNames maps the short ids on the wire to the incarnations of the region's replicas.
type shortNames map[roster.ReplicaID]string

// add adds an incarnation.
func (n shortNames) add(start string) { n[roster.ReplicaIDOf(start)] = start }

// drop removes an incarnation.
func (n shortNames) drop(start string) {
	if id := roster.ReplicaIDOf(start); n[id] == start {
		delete(n, id)
	}
}
