// Package bundle holds what operators publish: a signed head over a tree of
// parts named by their content, the check of a bundle as a whole, and the
// policy a box looks things up in.
package bundle

import (
	"slices"

	"github.com/havenrudder/havenrudder/wire"
)

// Policy is a bundle made ready for look-ups. It never changes, so one request
// keeps the policy it began with.
type Policy struct {
	version    int
	bundle     wire.Bundle
	services   map[string]wire.Service
	orgs       map[string]wire.Organisation
	priorities map[string]wire.Priority
	regionOf   map[string]string
}

// NewPolicy returns the policy of b.
func NewPolicy(b wire.Bundle) *Policy {
	p := &Policy{
		version:    b.Version,
		bundle:     b,
		services:   make(map[string]wire.Service),
		orgs:       make(map[string]wire.Organisation),
		priorities: make(map[string]wire.Priority),
		regionOf:   make(map[string]string),
	}
	for _, s := range b.Services {
		p.services[s.Name] = s
	}
	for _, o := range b.Organisations {
		p.orgs[o.Name] = o
	}
	for _, pr := range b.Priorities {
		p.priorities[pr.Name] = pr
	}
	for _, r := range b.Regions {
		for _, d := range r.FailureDomains {
			p.regionOf[d] = r.Name
		}
	}
	return p
}

// Version returns the version of the bundle.
func (p *Policy) Version() int { return p.version }

// Bundle returns the bundle; it must not be changed.
func (p *Policy) Bundle() wire.Bundle { return p.bundle }

// Service returns the service of that name.
func (p *Policy) Service(name string) (wire.Service, bool) {
	s, ok := p.services[name]
	return s, ok
}

// Organisation returns the organisation of that name.
func (p *Policy) Organisation(name string) (wire.Organisation, bool) {
	o, ok := p.orgs[name]
	return o, ok
}

// Priority returns the priority of that name.
func (p *Policy) Priority(name string) (wire.Priority, bool) {
	pr, ok := p.priorities[name]
	return pr, ok
}

// RegionOf returns the region of a failure domain, empty when it is unknown.
func (p *Policy) RegionOf(domain string) string { return p.regionOf[domain] }

// Allowed says whether data of org may enter region for a service. This is the
// one place where residency is decided.
func (p *Policy) Allowed(org wire.Organisation, service wire.Service, region string, homeOnly bool) bool {
	if homeOnly && region != org.Home {
		return false
	}
	return slices.Contains(org.Regions, region) && slices.Contains(service.Regions, region)
}

// Once says whether a call of a service may not be repeated.
func Once(s wire.Service, method, path string) bool {
	return slices.Contains(s.Once, method+" "+path)
}
