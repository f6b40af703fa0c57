package catalog

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// BuildID identifies a version of the software of a service's replicas, without an order. The zero
// value stands for none.
type BuildID uint64

// BuildOf returns the ID of a version of a service's software; 0 for an empty one, which is unknown.
func BuildOf(service, version string) BuildID {
	if version == "" {
		return 0
	}
	return max(BuildID(xxhash.Sum64String(service+"\x00"+version)), 1)
}

// BuildID returns the ID of the replica's software version; 0 if that is unknown.
func (r Replica) BuildID() BuildID { return BuildOf(r.Service, r.Build) }

// buildIndex counts the replicas of each software version.
type buildIndex struct {
	byService map[string]map[BuildID]int
	byRegion  map[BuildID]map[string]int // without leaving replicas
	changed   map[string]time.Time       // when the set of a service's versions last changed
	first     map[string]time.Time       // when it became known
}

func newBuildIndex() buildIndex {
	return buildIndex{
		byService: make(map[string]map[BuildID]int),
		byRegion:  make(map[BuildID]map[string]int),
		changed:   make(map[string]time.Time),
		first:     make(map[string]time.Time),
	}
}

func (x *buildIndex) add(r Replica, now time.Time) {
	build := r.BuildID()
	if addTo(x.byService, r.Service, build, 1) {
		x.changed[r.Service] = now
	}
	if _, ok := x.first[r.Service]; !ok {
		x.first[r.Service] = now
	}
	if !r.Leaving {
		addTo(x.byRegion, build, r.Region, 1)
	}
}

func (x *buildIndex) remove(r Replica, now time.Time) {
	build := r.BuildID()
	if addTo(x.byService, r.Service, build, -1) {
		x.changed[r.Service] = now
	}
	if !r.Leaving {
		addTo(x.byRegion, build, r.Region, -1)
	}
}

// addTo adds n to a count, and reports whether it was or becomes 0.
func addTo[K, L comparable](counts map[K]map[L]int, key K, item L, n int) (appeared bool) {
	if counts[key] == nil {
		counts[key] = make(map[L]int)
	}
	was := counts[key][item]
	counts[key][item] = was + n
	if was+n == 0 {
		delete(counts[key], item)
	}
	if len(counts[key]) == 0 {
		delete(counts, key)
	}
	return was == 0 || was+n == 0
}

// HasBuild reports whether a region has a replica with a software version that does not leave.
func (c *Content) HasBuild(build BuildID, region string) bool {
	return c.builds.byRegion[build][region] > 0
}

// HasBuildIn is HasBuild for any region that a filter accepts.
func (c *Content) HasBuildIn(build BuildID, accepts func(region string) bool) bool {
	for region := range c.builds.byRegion[build] {
		if accepts(region) {
			return true
		}
	}
	return false
}

// BuildUse is what a copy knows of the software versions of a service.
type BuildUse struct {
	Build BuildID       // one of them; 0 if there are none
	Sole  time.Duration // for which it is known to be the only one; 0 if there are others
	Since time.Duration // for which the copy has known the service
}

// BuildUse returns what the copy knows of the software versions of a service.
func (c *Content) BuildUse(service string) (use BuildUse) {
	builds := c.builds.byService[service]
	if len(builds) == 0 {
		return BuildUse{}
	}
	for build := range builds {
		use.Build = max(use.Build, build)
	}
	now := c.now()
	use.Since = now.Sub(c.builds.first[service])
	if len(builds) == 1 {
		use.Sole = now.Sub(c.builds.changed[service])
	}
	return use
}
