// Package fleet is what one box knows of boxes and upstreams, and the decisions
// that follow from it: which box to name to a caller, and which replica a request
// is counted into. It is pure: time comes in as an argument. The box holds it in
// an actor; the measurements drive it in virtual time.
package fleet

import (
	"maps"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/havenrudder/havenrudder/admission"
	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/membership"
	"github.com/havenrudder/havenrudder/routing"
	"github.com/havenrudder/havenrudder/upstream"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	warmPrefixes = 8192 // prefixes remembered with the replicas that computed them
	warmReplicas = 64   // replicas remembered of one prefix
)

// Fleet is the view of one box. It belongs to one actor.
type Fleet struct {
	self      string
	addr      string // of this box, for callers
	domain    string
	region    string
	table     *membership.Table // boxes of this failure domain
	inventory *upstream.Inventory
	lists     map[string]listed // by failure domain
	limiters  map[string]*admission.Limiter
	warm      *lru.Cache[string, []string] // prefix to replicas, newest first
	regions   map[string]Summary           // of other regions
	turn      int                          // spreads callers without a prefix
	scratch   []routing.Replica            // candidates of the request at hand
	newOrder  func() Order                 // nil if no request waits
	queues    map[string]*serviceQueue     // requests that wait for capacity, by service
	stopping  bool                         // a planned stop has begun, so that no request waits any more
}

// listed is the platform's list of one failure domain with its age.
type listed struct {
	index int
	fleet wire.Fleet
	taken time.Duration
}

// Box is where a box answers.
type Box struct {
	Name   string
	Region string
	Addr   string // for callers
}

// Option changes a Fleet.
type Option func(*Fleet)

// WithOrder has requests of competing organisations or priorities wait for capacity, in an order of
// their own for each service. Without it they are placed at once or not at all.
func WithOrder(newOrder func() Order) Option { return func(f *Fleet) { f.newOrder = newOrder } }

// New returns the view of box self, which answers callers at addr.
func New(self, addr, region, domain string, opts ...Option) *Fleet {
	warm, err := lru.New[string, []string](warmPrefixes)
	if err != nil {
		panic(err) // only for a size below 1
	}
	f := &Fleet{
		self:      self,
		addr:      addr,
		domain:    domain,
		region:    region,
		table:     membership.NewTable(self),
		inventory: upstream.NewInventory(),
		lists:     make(map[string]listed),
		limiters:  make(map[string]*admission.Limiter),
		warm:      warm,
		regions:   make(map[string]Summary),
		queues:    make(map[string]*serviceQueue),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Table returns the boxes of the failure domain.
func (f *Fleet) Table() *membership.Table { return f.table }

// Inventory returns the replicas of the region.
func (f *Fleet) Inventory() *upstream.Inventory { return f.inventory }

// TakeList takes a list of the platform's in; an older one is left out.
func (f *Fleet) TakeList(index int, list wire.Fleet, now time.Duration) bool {
	old, ok := f.lists[list.FailureDomain]
	if ok && index <= old.index {
		return false
	}
	f.lists[list.FailureDomain] = listed{
		index: index,
		fleet: list,
		taken: now,
	}
	if list.FailureDomain == f.domain {
		f.table.List(list.Boxes)
	}
	if list.Region == f.region {
		f.inventory.List(list.FailureDomain, list.Upstreams)
	}
	return true
}

// List is a list that was taken in.
type List struct {
	Domain string
	Index  int
	Taken  time.Duration
}

// Lists returns the lists that were taken in, by failure domain.
func (f *Fleet) Lists() []List {
	out := make([]List, 0, len(f.lists))
	for _, domain := range slices.Sorted(maps.Keys(f.lists)) {
		out = append(out, List{
			Domain: domain,
			Index:  f.lists[domain].index,
			Taken:  f.lists[domain].taken,
		})
	}
	return out
}

// Export returns the lists that were taken in, for a box of the same failure
// domain that starts. Upstreams of other regions are left out: no box sends there.
func (f *Fleet) Export() []wire.FleetUpdate {
	out := make([]wire.FleetUpdate, 0, len(f.lists))
	for _, domain := range slices.Sorted(maps.Keys(f.lists)) {
		l := f.lists[domain]
		list := l.fleet
		if list.Region != f.region {
			list.Upstreams = []wire.UpstreamEntry{}
		}
		out = append(out, wire.FleetUpdate{
			Index: l.index,
			Fleet: list,
		})
	}
	return out
}

// InFlight returns the requests of each service that are in flight from this box.
func (f *Fleet) InFlight() map[string]int {
	out := make(map[string]int, len(f.limiters))
	for service, l := range f.limiters {
		out[service] = l.InFlight()
	}
	return out
}

func (f *Fleet) limiter(service string) *admission.Limiter {
	l, ok := f.limiters[service]
	if !ok {
		l = admission.NewLimiter()
		f.limiters[service] = l
	}
	return l
}

// Serving returns the names of the other boxes of the failure domain that serve.
func (f *Fleet) Serving(now time.Duration) []string {
	return f.table.Names(func(name string) bool { return f.table.Serving(name, now) })
}

// Readers returns the n boxes of the failure domain that do a task named by key
// for the others, among those alive that can read the platform.
func (f *Fleet) Readers(key string, n int, now time.Duration) []string {
	names := f.table.Names(func(name string) bool {
		m, _ := f.table.Get(name)
		return f.table.Alive(name, now) && !m.Blind
	})
	return rendezvous.Top(key, append(names, f.self), n)
}

// Reads says whether this box is one of Readers.
func (f *Fleet) Reads(key string, n int, now time.Duration) bool {
	return slices.Contains(f.Readers(key, n, now), f.self)
}

// boxes returns how many boxes share the replicas of the region.
func (f *Fleet) boxes(now time.Duration) int {
	n := 1 + len(f.Serving(now))
	for domain, l := range f.lists {
		if domain != f.domain && l.fleet.Region == f.region {
			n += len(l.fleet.Boxes)
		}
	}
	return n
}

// Find returns a box of any failure domain by its name.
func (f *Fleet) Find(name string) (Box, bool) {
	if m, ok := f.table.Get(name); ok && m.Callers != "" {
		return Box{
			Name:   name,
			Region: f.region,
			Addr:   m.Callers,
		}, true
	}
	for _, l := range f.lists {
		for _, b := range l.fleet.Boxes {
			if b.Name == name {
				return Box{
					Name:   name,
					Region: l.fleet.Region,
					Addr:   b.Callers,
				}, true
			}
		}
	}
	return Box{}, false
}

// OtherPeers returns the peer addresses of the listed boxes of other failure
// domains, in order.
func (f *Fleet) OtherPeers() []string {
	var out []string
	for domain, l := range f.lists {
		if domain == f.domain {
			continue
		}
		for _, e := range l.fleet.Boxes {
			out = append(out, e.Peers)
		}
	}
	slices.Sort(out)
	return out
}

// RegionBoxes returns the listed boxes of a region outside this failure domain,
// in the order of key.
func (f *Fleet) RegionBoxes(region, key string) []Box {
	byName := make(map[string]Box)
	for domain, l := range f.lists {
		if domain == f.domain || l.fleet.Region != region {
			continue
		}
		for _, b := range l.fleet.Boxes {
			if b.State == wire.ServingStateServing {
				byName[b.Name] = Box{
					Name:   b.Name,
					Region: region,
					Addr:   b.Callers,
				}
			}
		}
	}
	out := make([]Box, 0, len(byName))
	for _, name := range rendezvous.Rank(key, slices.Collect(maps.Keys(byName))) {
		out = append(out, byName[name])
	}
	return out
}
