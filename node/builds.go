package node

import (
	"slices"

	"github.com/havenrudder/havenrudder/ingress"
)

// hasBuild reports whether a replica that a request may reach, in this region or another, has the
// software version at which its stream began.
func (s *state) hasBuild(ask ingress.TargetQuery) bool {
	build := ask.Request.Build
	if ask.Route.Allows(s.settings.Region) && s.view.HasBuild(build) {
		return true
	}
	return !ask.Forwarded && slices.ContainsFunc(s.content.RegionsWith(build), func(region string) bool {
		return region != s.settings.Region && ask.Route.Allows(region)
	})
}
