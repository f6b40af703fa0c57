package box

import (
	"cmp"
	"maps"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/havenrudder/havenrudder/admission"
	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/gateway"
	"github.com/havenrudder/havenrudder/membership"
	"github.com/havenrudder/havenrudder/routing"
	"github.com/havenrudder/havenrudder/upstream"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	warmPrefixes = 8192 // prefixes remembered with the replica that computed them
	retriesUsed  = "retries"
)

// fleetState is what one actor knows of boxes and upstreams.
type fleetState struct {
	domain    string
	region    string
	table     *membership.Table // boxes of this failure domain
	inventory *upstream.Inventory
	lists     map[string]listed // by failure domain
	domains   map[string]bool   // failure domains that the bundle names
	limiters  map[string]*admission.Limiter
	warm      *lru.Cache[string, string] // prefix to replica
	turn      int                        // spreads callers without a prefix
	seq       int                        // of heartbeats
}

// listed is the platform's list of one failure domain with its age.
type listed struct {
	index int
	fleet wire.Fleet
	taken time.Duration
}

func newFleetState(s wire.Settings) *fleetState {
	warm, err := lru.New[string, string](warmPrefixes)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &fleetState{
		domain:    s.FailureDomain,
		region:    s.Region,
		table:     membership.NewTable(s.Box),
		inventory: upstream.NewInventory(),
		lists:     make(map[string]listed),
		limiters:  make(map[string]*admission.Limiter),
		warm:      warm,
	}
}

// takeList takes a list in; an older one is left out.
func (s *fleetState) takeList(index int, f wire.Fleet, now time.Duration) bool {
	old, ok := s.lists[f.FailureDomain]
	if ok && index <= old.index {
		return false
	}
	s.lists[f.FailureDomain] = listed{
		index: index,
		fleet: f,
		taken: now,
	}
	if f.FailureDomain == s.domain {
		s.table.List(f.Boxes)
	}
	if f.Region == s.region {
		s.inventory.List(f.FailureDomain, f.Upstreams)
	}
	return true
}

func (s *fleetState) limiter(service string) *admission.Limiter {
	l, ok := s.limiters[service]
	if !ok {
		l = admission.NewLimiter()
		s.limiters[service] = l
	}
	return l
}

// boxes returns how many boxes share the replicas of the region.
func (s *fleetState) boxes(now time.Duration) int {
	n := 1 + len(s.table.Names(func(name string) bool { return s.table.Serving(name, now) }))
	for domain, l := range s.lists {
		if domain != s.domain && l.fleet.Region == s.region {
			n += len(l.fleet.Boxes)
		}
	}
	return n
}

// place admits a request and counts it into the replica that is chosen for it.
func (s *fleetState) place(req gateway.PlaceRequest, now time.Duration) (gateway.Placement, *gateway.Refused) {
	limiter := s.limiter(req.Service.Name)
	if req.Retry && !limiter.Retry() {
		return gateway.Placement{}, &gateway.Refused{
			Code: retriesUsed,
		}
	}
	replicas := s.candidates(req, now)
	code := limiter.Admit(req.Org, req.Policy.Bundle().Priorities, s.capacity(req, replicas, now))
	choice := routing.Decide(req.Routing, replicas, req.Explain)
	if code == admission.None && choice.Name == "" {
		code = admission.NoCapacity
	}
	if code != admission.None {
		return gateway.Placement{}, &gateway.Refused{
			Code:   string(code),
			Wait:   choice.Wait,
			Choice: choice,
		}
	}
	limiter.Begin(req.Org)
	gen := s.inventory.Begin(choice.Name)
	if req.Routing.Affinity != "" {
		s.warm.Add(req.Routing.Affinity, choice.Name)
	}
	return gateway.Placement{
		Upstream: choice.Name,
		URL:      s.inventory.Get(choice.Name).URL,
		Gen:      gen,
		Choice:   choice,
		Org:      req.Org,
		Service:  req.Service.Name,
	}, nil
}

func (s *fleetState) candidates(req gateway.PlaceRequest, now time.Duration) []routing.Replica {
	all := s.inventory.Of(req.Service.Name)
	warm, _ := s.warm.Get(req.Routing.Affinity)
	out := make([]routing.Replica, 0, len(all))
	for _, r := range all {
		out = append(out, routing.Replica{
			Name:    r.Name,
			Load:    r.Load(now),
			Slots:   cmp.Or(r.Slots, req.Service.InFlight),
			First:   r.First,
			Hold:    r.Hold,
			Warm:    r.Name == warm,
			Leaving: r.Leaving,
			Out:     r.Out(now),
			Tried:   slices.Contains(req.Tried, r.Name),
		})
	}
	return out
}

func (s *fleetState) capacity(req gateway.PlaceRequest, replicas []routing.Replica, now time.Duration) admission.Capacity {
	c := admission.Capacity{
		Boxes: s.boxes(now),
	}
	for i := range replicas {
		r := &replicas[i]
		if r.Leaving || r.Out {
			continue
		}
		c.Limit += routing.Limit(r.Slots, req.Routing.Queue)
		c.Used += r.Load
	}
	return c
}

// end counts a request out.
func (s *fleetState) end(p gateway.Placement, f gateway.Finish, now time.Duration) {
	s.limiter(p.Service).End(p.Org)
	s.inventory.End(p.Upstream, p.Gen, upstream.Ended{
		Failed: f.Failed,
		First:  f.First,
		Hold:   f.Hold,
	}, now)
	if f.Load != nil {
		s.inventory.Report(p.Upstream, *f.Load, now)
	}
}

// namedBoxes returns the addresses of boxes for a caller, best first: the
// serving boxes of this failure domain in the order of the caller's prefix, then
// those of the region's other failure domains.
func (s *fleetState) namedBoxes(self, addr, key string, leaving bool, now time.Duration) []string {
	names := s.table.Names(func(name string) bool { return s.table.Serving(name, now) })
	if !leaving {
		names = append(names, self)
	}
	out := make([]string, 0, len(names))
	for _, name := range rendezvous.Rank(key, names) {
		if name == self {
			out = append(out, addr)
			continue
		}
		m, _ := s.table.Get(name)
		out = append(out, m.Callers)
	}
	for _, b := range s.regionBoxes(s.region, key) {
		out = append(out, b.Addr)
	}
	return out
}

// regionBoxes returns the listed boxes of a region outside this failure domain,
// in the order of key.
func (s *fleetState) regionBoxes(region, key string) []gateway.Box {
	byName := make(map[string]gateway.Box)
	for domain, l := range s.lists {
		if domain == s.domain || l.fleet.Region != region {
			continue
		}
		for _, b := range l.fleet.Boxes {
			if b.State == wire.ServingStateServing {
				byName[b.Name] = gateway.Box{
					Name:   b.Name,
					Region: region,
					Addr:   b.Callers,
				}
			}
		}
	}
	out := make([]gateway.Box, 0, len(byName))
	for _, name := range rendezvous.Rank(key, slices.Collect(maps.Keys(byName))) {
		out = append(out, byName[name])
	}
	return out
}

// find returns a box of any failure domain by its name.
func (s *fleetState) find(name string) (gateway.Box, bool) {
	if m, ok := s.table.Get(name); ok && m.Callers != "" {
		return gateway.Box{
			Name:   name,
			Region: s.region,
			Addr:   m.Callers,
		}, true
	}
	for _, l := range s.lists {
		for _, b := range l.fleet.Boxes {
			if b.Name == name {
				return gateway.Box{
					Name:   name,
					Region: l.fleet.Region,
					Addr:   b.Callers,
				}, true
			}
		}
	}
	return gateway.Box{}, false
}
