package bundle

import (
	"fmt"
	"maps"
	"slices"

	"github.com/havenrudder/havenrudder/config"
	"github.com/havenrudder/havenrudder/schema"
	"github.com/havenrudder/havenrudder/wire"
)

// Parse reads a bundle file and returns every mistake in it at once.
func Parse(file string, data []byte) (wire.Bundle, error) {
	var b wire.Bundle
	doc, err := config.Decode(schema.Bundle, file, data, &b)
	if err != nil {
		return wire.Bundle{}, err
	}
	c := &checker{
		bundle: b,
		at:     doc.Mistake,
	}
	c.run()
	if len(c.list) > 0 {
		return wire.Bundle{}, config.NewMistakesError(c.list...)
	}
	return b, nil
}

// Check returns every contradiction within b, without lines.
func Check(b wire.Bundle) error {
	c := &checker{
		bundle: b,
		at: func(pointer, want string) config.Mistake {
			return config.Mistake{
				File: "bundle",
				Path: pointer,
				Want: want,
			}
		},
	}
	c.run()
	if len(c.list) > 0 {
		return config.NewMistakesError(c.list...)
	}
	return nil
}

type checker struct {
	bundle     wire.Bundle
	at         func(pointer, want string) config.Mistake
	list       []config.Mistake
	regions    names
	priorities names
}

// names are the names of one kind that were seen.
type names map[string]bool

func (c *checker) addf(pointer, format string, args ...any) {
	c.list = append(c.list, c.at(pointer, fmt.Sprintf(format, args...)))
}

func (c *checker) run() {
	c.checkRegions()
	c.checkServices()
	c.checkPriorities()
	c.checkOrganisations()
}

func (c *checker) checkRegions() {
	c.regions = make(names)
	domains := make(names)
	for i, r := range c.bundle.Regions {
		c.checkUnique(fmt.Sprintf("/regions/%d/name", i), r.Name, c.regions)
		for n, d := range r.FailureDomains {
			c.checkUnique(fmt.Sprintf("/regions/%d/failure_domains/%d", i, n), d, domains)
		}
	}
}

func (c *checker) checkUnique(pointer, name string, seen names) {
	if seen[name] {
		c.addf(pointer, "%q stands here a second time", name)
	}
	seen[name] = true
}

func (c *checker) checkKnownRegions(pointer string, list []string) {
	for i, name := range list {
		if !c.regions[name] {
			c.addf(fmt.Sprintf("%s/%d", pointer, i), "no region %q, want one of %v", name, slices.Sorted(maps.Keys(c.regions)))
		}
	}
}

func (c *checker) checkServices() {
	seen := make(names)
	for i, s := range c.bundle.Services {
		at := fmt.Sprintf("/services/%d", i)
		c.checkUnique(at+"/name", s.Name, seen)
		c.checkKnownRegions(at+"/regions", s.Regions)
		if s.Kind == wire.ServiceKindEngine && s.Model == "" {
			c.addf(at, "an engine needs a model")
		}
		if s.Kind == wire.ServiceKindEngine && len(s.Once) > 0 {
			c.addf(at+"/once", "only a plain service has calls that may not be repeated")
		}
	}
}

func (c *checker) checkPriorities() {
	c.priorities = make(names)
	sum := 0.0
	for i, p := range c.bundle.Priorities {
		c.checkUnique(fmt.Sprintf("/priorities/%d/name", i), p.Name, c.priorities)
		sum += p.ReservedShare
	}
	if sum > 1 {
		c.addf("/priorities", "reserved shares sum to %.2f, want at most 1", sum)
	}
}

func (c *checker) checkOrganisations() {
	seen := make(names)
	for i, o := range c.bundle.Organisations {
		at := fmt.Sprintf("/organisations/%d", i)
		c.checkUnique(at+"/name", o.Name, seen)
		c.checkKnownRegions(at+"/regions", o.Regions)
		c.checkHome(at, o)
		if !c.priorities[o.Priority] {
			c.addf(at+"/priority", "no priority %q", o.Priority)
		}
	}
}

func (c *checker) checkHome(at string, o wire.Organisation) {
	if !slices.Contains(o.Regions, o.Home) {
		c.addf(at+"/home", "home %q is not among the regions its data may enter, %v", o.Home, o.Regions)
	}
	for _, s := range c.bundle.Services {
		reachable := slices.ContainsFunc(s.Regions, func(r string) bool { return slices.Contains(o.Regions, r) })
		if !reachable {
			c.addf(at+"/regions", "service %q can't be reached: it is served in %v only", s.Name, s.Regions)
		}
	}
}
