package catalog

const (
	maxPolicies  = 8      // that are kept: versions that others may know whose questions come at once; a storm of changes brings one each 60 ms
	maxOldRoutes = 12_000 // of them together, but for the newest, some 4 MB
)

// policies are the newest policy and some before it, from which others may go on.
type policies struct {
	list      []*Policy // the newest last
	announced int       // version of the newest that exists by others' word
}

// newest returns the newest policy, nil for none.
func (p *policies) newest() *Policy {
	if len(p.list) == 0 {
		return nil
	}
	return p.list[len(p.list)-1]
}

// take takes a policy in if its version is higher.
func (p *policies) add(next *Policy) {
	if was := p.newest(); next == nil || (was != nil && next.Version <= was.Version) {
		return
	}
	kept := append(p.list[:len(p.list):len(p.list)], next) // who was told of the list has it still
	for len(kept) > maxPolicies || (len(kept) > 1 && routeCount(kept[:len(kept)-1]) > maxOldRoutes) {
		kept = kept[1:]
	}
	p.list = kept
}

// routesOf returns how many routes some policies have.
func routeCount(list []*Policy) (n int) {
	for _, p := range list {
		n += len(p.Routes)
	}
	return n
}

// Policy returns the newest policy, nil for none.
func (c *Content) Policy() *Policy { return c.policies.newest() }

// Policies returns the newest policy, last, and some before it. They must not be
// changed.
func (c *Content) Policies() []*Policy { return c.policies.list }

// HeardOfPolicy takes in that a policy of a version exists.
func (c *Content) HeardOfPolicy(version int) {
	c.policies.announced = max(c.policies.announced, version)
}

// PolicyDue returns the version of a policy that exists and isn't known here, 0 for
// none.
func (c *Content) PolicyDue() int {
	if p := c.Policy(); p != nil && p.Version >= c.policies.announced {
		return 0
	}
	return c.policies.announced
}

// newestPolicy returns the version of the newest policy that is known or heard of. Who
// learns a revision learns with it which policy there is at it.
func (c *Content) newestPolicyVersion() int {
	if due := c.PolicyDue(); due > 0 {
		return due
	}
	if p := c.Policy(); p != nil {
		return p.Version
	}
	return 0
}
