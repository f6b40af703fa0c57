package catalog

const (
	maxPolicies  = 8      // recent versions from which other boxes may request a delta
	maxOldRoutes = 12_000 // of all recorded policies but the newest, some 4 MB
)

// policies are the newest policy and some earlier ones, as bases of deltas.
type policies struct {
	list      []*Policy // the newest last
	announced int       // newest version that other boxes have reported
}

// newest returns the newest policy, nil for none.
func (p *policies) newest() *Policy {
	if len(p.list) == 0 {
		return nil
	}
	return p.list[len(p.list)-1]
}

// add adds a policy if its version is higher.
func (p *policies) add(next *Policy) {
	if was := p.newest(); next == nil || (was != nil && next.Version <= was.Version) {
		return
	}
	kept := append(p.list[:len(p.list):len(p.list)], next) // callers of Policies may still hold the old list
	for len(kept) > maxPolicies || (len(kept) > 1 && routeCount(kept[:len(kept)-1]) > maxOldRoutes) {
		kept = kept[1:]
	}
	p.list = kept
}

func routeCount(list []*Policy) (n int) {
	for _, p := range list {
		n += len(p.Routes)
	}
	return n
}

// Policy returns the newest policy, nil for none.
func (c *Content) Policy() *Policy { return c.policies.newest() }

// Policies returns some recent policies, the newest last. They must not be changed.
func (c *Content) Policies() []*Policy { return c.policies.list }

// RecordPolicyVersion records that a version of the policy exists.
func (c *Content) RecordPolicyVersion(version int) {
	c.policies.announced = max(c.policies.announced, version)
}

// MissingPolicyVersion returns the version of a reported policy that is missing here, 0 for none.
func (c *Content) MissingPolicyVersion() int {
	if p := c.Policy(); p != nil && p.Version >= c.policies.announced {
		return 0
	}
	return c.policies.announced
}

// newestPolicyVersion returns the newest version of a policy that is recorded or reported.
func (c *Content) newestPolicyVersion() int {
	if due := c.MissingPolicyVersion(); due > 0 {
		return due
	}
	if p := c.Policy(); p != nil {
		return p.Version
	}
	return 0
}
