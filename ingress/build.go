package ingress

import (
	"context"
	"strconv"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/exchange"
)

// headerBuild is the software version at which a stream runs, in responses to other boxes: the
// decimal catalog.BuildID.
const headerBuild = "Rudder-Build"

// build returns the software version at which a stream runs; 0 if that is unknown.
func (a *attempt) build(answer *exchange.Response) catalog.BuildID {
	if a.target.Box == "" {
		return catalog.BuildOf(a.call.service, a.target.Choice.Build)
	}
	id, err := strconv.ParseUint(answer.Header().Get(headerBuild), 10, 64)
	if err != nil {
		return 0
	}
	return catalog.BuildID(id)
}

// pinBuild records the software version at which the stream begins, and reports whether a response
// of a version may begin or continue it. The events of two versions do not fit together.
func (c *call) pinBuild(build catalog.BuildID) bool {
	if pinned := c.streamBuild(); pinned != 0 {
		return build == pinned
	}
	if build == 0 {
		c.unresumable.Store(true)
	}
	c.build.Store(uint64(build))
	return true
}

// findBuild finds the software version at which a stream began that the caller takes up. It returns
// false if that is not known, as the stream may not go on at another version.
func (c *call) findBuild(ctx context.Context) bool {
	if c.lastEvent == "" || c.route.Kind != catalog.Stream || c.streamBuild() != 0 {
		return true
	}
	if c.relay != nil || (c.facts.Resumes == "" && len(c.route.Shares) > 1) {
		return false // without the request that began it, the service is not known either
	}
	build := c.server.core.FindBuild(ctx, BuildQuery{
		Route:   c.route,
		Service: c.service,
		Request: c.facts.ID,
		Resumes: c.facts.Resumes,
	})
	c.build.Store(uint64(build))
	return build != 0
}

// serviceKey returns the ID of the request by which the route's service is chosen: that which began
// the stream, for requests that take one up.
func (c *call) serviceKey() string {
	if c.facts.LastEventID != "" && c.facts.Resumes != "" {
		return c.facts.Resumes
	}
	return c.facts.ID
}

// noteBegun reports a stream that begins, so that other boxes can let it go on.
func (c *call) noteBegun() {
	if c.relay == nil && c.route.Repeatable() && !c.unresumable.Load() {
		c.server.core.StreamBegan(c.facts.ID, c.streamBuild())
	}
}

// streamBuild returns the software version at which the stream began; 0 while any may begin it.
func (c *call) streamBuild() catalog.BuildID { return catalog.BuildID(c.build.Load()) }
