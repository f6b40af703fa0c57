package node

import (
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/wire"
)

const maxActive = 32 // boxes of a region that callers are sent to

// activeOf returns the active boxes of a region.
func activeOf(names []string) []string { return rendezvous.Top("callers", names, maxActive) }

// activeSet is the set of active boxes of a region with more boxes than maxActive; nil means
// all. The others are standby boxes. Each active box sees a larger part of the load of the
// region's replicas, and boxes exchange fewer reports.
type activeSet map[string]bool

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
	s.view.UseReports(!s.roster.SharesLoads(), here)
}
