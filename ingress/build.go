package ingress

import (
	"strconv"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/exchange"
)

// headerBuild is the software version at which a stream runs, in responses to other boxes: the
// decimal catalog.BuildID.
const headerBuild = "Rudder-Build"

// build returns the software version at which a stream runs; 0 if a box does not report it.
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

// streamBuild returns the software version at which the stream began; 0 while any may begin it.
func (c *call) streamBuild() catalog.BuildID { return catalog.BuildID(c.build.Load()) }
