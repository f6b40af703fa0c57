package node

import (
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/wire"
)

const mostTaking = 32 // boxes of a region that its callers are told to use

// takersOf returns which of a region's boxes its callers are told to use.
func takersOf(names []string) []string { return rendezvous.Top("callers", names, mostTaking) }

// taking are the boxes that callers of a region are told to use, where it has more of
// them than mostTaking; nil for all. The others stand by. A box before 98 others sees
// a hundredth of what its region's replicas do, and tells and is told the more the
// fewer these are.
type taking map[string]bool

// has says whether a box is one of them.
func (t taking) has(box string) bool { return t == nil || t[box] }

// chooseTaking works out again which boxes callers are told to use. All boxes that
// know of the same ones agree, and one box more or less moves one. Those of a failure
// domain that fell silent as a whole make place for others at once.
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

// tellWords returns what tells other boxes the replicas' words, where boxes are so many
// that they don't tell each other their loads.
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

// compactWords returns the replicas' words as boxes tell them, the latest first.
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

// hearWords takes in the replicas' words that another box passes on.
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

// shortNames are the starts of the region's replicas by the short ids that boxes name them
// by. They cost no byte more than names of replicas would.
type shortNames map[roster.ReplicaID]string

// add takes a start in that is known from now on.
func (n shortNames) add(start string) { n[roster.ReplicaIDOf(start)] = start }

// drop takes in that a start is forgotten.
func (n shortNames) drop(start string) {
	if id := roster.ReplicaIDOf(start); n[id] == start {
		delete(n, id)
	}
}
