package node

import (
	"maps"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/decay"
	"github.com/havenrudder/havenrudder/wire"
)

// Limits of the choice of a region for a host whose routes have different homes.
const (
	routeHalfLife    = 30 * time.Second // half-life of the request count of a route
	minRouteRequests = 20.0             // requests for a host's bound routes from which their shares are used
	minHomeShare     = 0.97             // share of them whose data may enter a region; the platform allows one in 20 that may not
)

func (s *state) countRouteRequest(route string, now time.Duration) {
	n := s.routeRequests[route]
	n.Add(1, now, routeHalfLife)
	s.routeRequests[route] = n
}

// pruneRoutes drops the counts of routes that the policy no longer contains.
func (s *state) pruneRoutes() {
	known := make(map[string]bool)
	for _, r := range s.table.Policy().Routes {
		known[r.Name] = true
	}
	maps.DeleteFunc(s.routeRequests, func(route string, _ decay.Count) bool { return !known[route] })
}

// homeOfMost reports whether a region may process the data of all routes of a host, or of nearly
// all recent requests for its bound routes: a rarely used route must not keep callers away.
func (s *state) homeOfMost(host, region string, now time.Duration) bool {
	if s.table == nil {
		return false
	}
	if s.table.AllowsAllRoutes(host, region) {
		return true
	}
	all, allowed := 0.0, 0.0
	for _, r := range s.table.RegionBoundRoutes(host) {
		n := s.routeRequests[r.Name].At(now, routeHalfLife)
		all += n
		if r.Allows(region) {
			allowed += n
		}
	}
	return all >= minRouteRequests && allowed >= minHomeShare*all
}

// directoryAddrs returns the addresses of boxes for a caller in a region, from the first of these
// groups that has any: serving boxes of the region, serving boxes of the host's home regions,
// leaving boxes of the region, leaving boxes of the home regions, and, for a host without
// bound data, serving boxes of all regions. Without any, callers keep their last answer.
func (s *state) directoryAddrs(host, region string, own wire.ServingState, now time.Duration) []string {
	serving, leaving := wire.ServingStateServing, wire.ServingStateLeaving
	near := func(r string) bool { return r == region }
	home := func(r string) bool { return s.homeOfMost(host, r, now) }
	free := func(string) bool { return s.table != nil && !s.table.IsRegionBound(host) }
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
		if out := s.callerAddrs(own, now, step.state, step.in); len(out) > 0 {
			slices.Sort(out)
			return out[:min(len(out), maxDirectoryAddrs)]
		}
	}
	return nil
}

const maxDirectoryAddrs = 64 // boxes in a directory answer

// callerAddrs returns the addresses for callers of the boxes in a state and in some regions. A box
// that is closed to callers sends no such address. Boxes of a silent failure domain are left
// out, since the timeout of a single box is longer.
func (s *state) callerAddrs(own wire.ServingState, now time.Duration, want wire.ServingState, in func(region string) bool) []string {
	var out []string
	consider := func(box, region, callers string) {
		isStandby := want == wire.ServingStateServing && !s.active[region].has(box)
		if in(region) && !isStandby {
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
		consider(s.settings.Box, s.settings.Region, s.settings.CallerAddr)
	}
	return out
}
