package catalog

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// BuildID identifies a version of the software of a service's replicas, without an order. The zero
// value stands for none.
type BuildID uint64

// BuildOf returns the ID of a version of a service's software.
func BuildOf(service, version string) BuildID {
	return max(BuildID(xxhash.Sum64String(service+"\x00"+version)), 1)
}

// BuildID returns the ID of the replica's software version.
func (r Replica) BuildID() BuildID { return BuildOf(r.Service, r.Build) }

// RegionsWith returns the regions that have a replica with a software version which neither leaves
// nor is in an evacuated failure domain, sorted. It must not be changed.
func (c *Content) RegionsWith(build BuildID) []string {
	if c.builds == nil {
		c.builds = c.findBuilds()
	}
	return c.builds[build]
}

// findBuilds returns the regions that have replicas of each software version.
func (c *Content) findBuilds() map[BuildID][]string {
	out := make(map[BuildID][]string)
	for _, r := range c.replicas {
		if r.Leaving || c.evacuated[r.Domain] {
			continue
		}
		regions := out[r.BuildID()]
		if at, found := slices.BinarySearch(regions, r.Region); !found {
			out[r.BuildID()] = slices.Insert(regions, at, r.Region)
		}
	}
	return out
}
