// Package catalog holds what is published to the boxes: the policy that routes requests, the
// replicas that serve them, and the evacuated failure domains. It also keeps a box's copy of
// it up to date.
package catalog

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Kind is what may be done with a request whose outcome is unknown.
type Kind string

// Kinds of routes.
const (
	Repeatable Kind = "repeatable" // may run any number of times
	Once       Kind = "once"       // may run at most once
	Stream     Kind = "stream"     // the response is a stream of events
)

// Millis is a time in milliseconds in JSON.
type Millis float64

// Duration returns the time.
func (m Millis) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Share is the fraction of a route's requests that a service receives.
type Share struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"` // relative to the sum of the route's weights
}

// Route is a rule for requests with a host and a path prefix.
type Route struct {
	Name          string   `json:"name"`
	Host          string   `json:"host"`
	Prefix        string   `json:"prefix"` // begins and ends with a slash
	Kind          Kind     `json:"kind"`
	Attempts      int      `json:"attempts"`          // maximum number of attempts on different replicas
	Timeout       Millis   `json:"timeout_ms"`        // until the response is complete
	LatencyTarget Millis   `json:"goal_ms"`           // target of the time to the response, or to a stream's first event
	GapTarget     Millis   `json:"gap_goal_ms"`       // target of the maximum gap between events; 0 for none
	Priority      int      `json:"priority"`          // 0 is the most urgent
	Shares        []Share  `json:"shares"`            // services that run it
	Resumable     bool     `json:"resumable"`         // a stream can be resumed on another replica after an event
	Homes         []string `json:"homes,omitempty"`   // regions that its data may enter; empty for all
	NoRegion      bool     `json:"nowhere,omitempty"` // no region may process its data
	Public        bool     `json:"public,omitempty"`  // its requests need no key
}

// Repeatable reports whether a request may run again when its outcome is unknown.
func (r *Route) Repeatable() bool {
	return r.Kind == Repeatable || (r.Kind == Stream && r.Resumable)
}

// Allows reports whether the route's data may be processed in a region. All residency
// decisions are made here.
func (r *Route) Allows(region string) bool {
	return !r.NoRegion && (len(r.Homes) == 0 || slices.Contains(r.Homes, region))
}

// Service returns the service that runs the request of an id. The choice depends on the id
// alone, in proportion to the weights.
func (r *Route) Service(id string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := int(xxhash.Sum64String(id) % uint64(max(total, 1)))
	for _, s := range r.Shares {
		at -= s.Weight
		if at < 0 {
			return s.Service
		}
	}
	return r.Shares[0].Service
}

// check returns the first error in the route.
func (r *Route) check() error {
	switch {
	case r.Host == "":
		return errors.Newf("route %q: no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return errors.Newf("route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	case r.Kind != Repeatable && r.Kind != Once && r.Kind != Stream:
		return errors.Newf("route %q: unknown kind %q", r.Name, r.Kind)
	case len(r.Shares) == 0:
		return errors.Newf("route %q: no service", r.Name)
	case r.Timeout <= 0:
		return errors.Newf("route %q: no timeout", r.Name)
	}
	for _, s := range r.Shares {
		if s.Service == "" || s.Weight < 0 {
			return errors.Newf("route %q: bad share of %q", r.Name, s.Service)
		}
	}
	return nil
}

// Engine describes the replicas of a model service.
type Engine struct {
	Slots       int     `json:"slots"`                 // concurrent requests
	Memory      int     `json:"memory"`                // tokens, shared by running requests and cached prompts
	TokenBytes  int     `json:"token_bytes,omitempty"` // bytes of memory per token
	LinkMbps    float64 `json:"link_mbps,omitempty"`   // bandwidth between two replicas, in Mbit/s; 0 for none
	CopiesCache bool    `json:"copies,omitempty"`      // replicas copy their caches to each other
}

// Service is a group of replicas that run the same requests.
type Service struct {
	Name          string  `json:"name"`
	HealthPath    string  `json:"health_path"`
	Connections   int     `json:"connections"`     // maximum per replica, from all boxes together
	ColdFor       Millis  `json:"cold_for_ms"`     // after a replica's start
	ColdPerSecond float64 `json:"cold_per_second"` // requests to a cold replica; 0 for no bound
	Engine        *Engine `json:"engine,omitempty"`
}

// Limits bound the requests of callers.
type Limits struct {
	BodyBytes int `json:"body_bytes"`
}

// Policy is one published version of routes and services.
type Policy struct {
	Version  int       `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`

	Keyed         bool           `json:"keyed,omitempty"` // requests need a key, except on public routes
	Organisations []Organisation `json:"organisations,omitempty"`
}

// UnmarshalJSON decodes and validates a policy.
func (p *Policy) UnmarshalJSON(data []byte) error {
	type plain Policy
	var v plain
	if err := json.Unmarshal(data, &v); err != nil {
		return errors.Wrap(err, "policy")
	}
	*p = Policy(v)
	return p.Check()
}

// Check returns the first error in the policy.
func (p *Policy) Check() error {
	if p.Version < 1 {
		return errors.New("policy: no version")
	}
	for i := range p.Routes {
		if err := p.Routes[i].check(); err != nil {
			return errors.Wrap(err, "policy")
		}
	}
	return errors.Wrap(p.checkOrganisations(), "policy")
}

// Table is an index of a policy. It is immutable, so a request uses one table throughout.
type Table struct {
	policy                 Policy
	byHost                 map[string][]*Route // longest prefix first
	services               map[string]*Service
	priorityRange          map[string]priorityRange // of the routes of each service
	byKey                  map[Key]*Organisation
	byName                 map[string]*Organisation
	quotas                 bool // an organisation has a quota
	organisationPriorities priorityRange
}

// NewTable returns the table of a policy.
func NewTable(p Policy) *Table {
	t := &Table{
		policy:        p,
		byHost:        make(map[string][]*Route),
		services:      make(map[string]*Service, len(p.Services)),
		priorityRange: make(map[string]priorityRange, len(p.Services)),
		byKey:         make(map[Key]*Organisation, len(p.Organisations)),
		byName:        make(map[string]*Organisation, len(p.Organisations)),
	}
	for i := range p.Organisations {
		t.addOrganisation(&p.Organisations[i])
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
		t.addPriorities(r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range p.Services {
		t.services[p.Services[i].Name] = &p.Services[i]
	}
	return t
}

// Version returns the version of the policy.
func (t *Table) Version() int { return t.policy.Version }

// Policy returns the policy; it must not be changed.
func (t *Table) Policy() Policy { return t.policy }

// Find returns the route with the longest prefix for a host, with or without a port, and a
// path.
func (t *Table) Find(host, path string) (*Route, bool) {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// AllowsAllRoutes reports whether some routes of a host are bound to regions and all routes allow
// this one.
func (t *Table) AllowsAllRoutes(host, region string) bool {
	barred := func(r *Route) bool { return !r.Allows(region) }
	return t.IsRegionBound(host) && !slices.ContainsFunc(t.byHost[hostName(host)], barred)
}

// IsRegionBound reports whether any route of a host is bound to regions.
func (t *Table) IsRegionBound(host string) bool {
	return slices.ContainsFunc(t.byHost[hostName(host)], func(r *Route) bool { return len(r.Homes) > 0 })
}

// RegionBoundRoutes returns the routes of a host that are bound to regions.
func (t *Table) RegionBoundRoutes(host string) []*Route {
	var out []*Route
	for _, r := range t.byHost[hostName(host)] {
		if len(r.Homes) > 0 {
			out = append(out, r)
		}
	}
	return out
}

// hostName returns a host in lower case without its port.
func hostName(host string) string {
	host = strings.ToLower(host)
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	return host
}

// Service returns the service of a name, nil for none.
func (t *Table) Service(name string) *Service { return t.services[name] }
