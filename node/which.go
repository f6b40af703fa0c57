package node

import (
	"maps"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/decay"
	"github.com/havenrudder/havenrudder/wire"
)

// Figures of the regions that are named for a host whose routes have different homes.
const (
	asksHalf = 30 * time.Second // time in which half of the requests seen of a route is forgotten
	asksMin  = 20.0             // requests seen of a host's bound routes from which their shares are known
	homeMost = 0.97             // share of them whose data may enter a region that is named; the platform bounds the rest to one in 20
)

// asked counts a request for a route whose data is bound.
func (s *state) asked(route string, now time.Duration) {
	n := s.asks[route]
	n.Add(1, now, asksHalf)
	s.asks[route] = n
}

// forgetRoutes drops what was seen of routes that the policy has no more.
func (s *state) forgetRoutes() {
	known := make(map[string]bool)
	for _, r := range s.table.Policy().Routes {
		known[r.Name] = true
	}
	maps.DeleteFunc(s.asks, func(route string, _ decay.Count) bool { return !known[route] })
}

// homeOfMost says whether a region may process the data of a host: of all its routes,
// or of nearly all requests that this box saw of late for those that are bound. A route
// that is hardly used then doesn't keep callers from the home of all others.
func (s *state) homeOfMost(host, region string, now time.Duration) bool {
	if s.table == nil {
		return false
	}
	if s.table.HomeOfAll(host, region) {
		return true
	}
	all, allowed := 0.0, 0.0
	for _, r := range s.table.Homes(host) {
		n := s.asks[r.Name].At(now, asksHalf)
		all += n
		if r.Allows(region) {
			allowed += n
		}
	}
	return all >= asksMin && allowed >= homeMost*all
}

// which returns the boxes to name to a caller in a region: the ready ones there.
// Where there is none, those of regions that the host's data may enter; then
// those of the region, and of these regions, that are leaving but still take requests;
// and at last those of all other regions. Boxes of other regions than the caller's get
// no data that may not enter them: a host whose data is bound, or not known to be
// free, is named none of them, and its callers keep the answer that they have.
func (s *state) which(host, region string, own wire.ServingState, now time.Duration) []string {
	serving, leaving := wire.ServingStateServing, wire.ServingStateLeaving
	near := func(r string) bool { return r == region }
	home := func(r string) bool { return s.homeOfMost(host, r, now) }
	free := func(string) bool { return s.table != nil && !s.table.Bound(host) }
	steps := []struct {
		state wire.ServingState
		in    func(region string) bool
	}{
		{serving, near},
		{serving, home},
		{leaving, near},
		{leaving, home},
		{serving, free},
	}
	for _, step := range steps {
		if out := s.named(own, now, step.state, step.in); len(out) > 0 {
			slices.Sort(out)
			return out[:min(len(out), maxNamed)]
		}
	}
	return nil
}

// maxNamed is the most boxes that one answer to "which box" names.
const maxNamed = 64

// named returns where the boxes of some regions in a state take requests. One that
// has closed to callers says so by telling no address for them; this one's own state
// is empty then. Boxes of a failure domain that fell silent as a whole are left out:
// by the time after which a lone box counts as lost, callers were named them for up to
// 6 s more.
func (s *state) named(own wire.ServingState, now time.Duration, want wire.ServingState, in func(region string) bool) []string {
	var out []string
	consider := func(box, region, callers string) {
		standsBy := want == wire.ServingStateServing && !s.taking[region].has(box)
		if in(region) && !standsBy {
			out = append(out, callers)
		}
	}
	silent := s.roster.SilentDomains(now)
	for m := range s.roster.All() {
		if slices.Contains(silent, m.Status.Domain) {
			continue
		}
		if m.State() == want && m.Status.Callers != "" && s.roster.Alive(m.Status.Box, now) {
			consider(m.Status.Box, m.Status.Region, m.Status.Callers)
		}
	}
	if s.table != nil && own == want {
		consider(s.settings.Box, s.settings.Region, s.settings.Callers)
	}
	return out
}
