package ingress

import (
	"context"
	"net/http"
	"strconv"

	"github.com/havenrudder/havenrudder/placement"
)

// reasonQuota is of a request beyond what its organisation may use.
const reasonQuota placement.Reason = "quota of its organisation used up"

// reserve takes the request's cost from its organisation's quota, before it is first sent, and
// says whether there was as much. However often it is sent it counts once, and where another box
// passed it on it was counted there.
func (c *call) reserve(ctx context.Context) bool {
	if c.organisation == "" || c.relay != nil || c.reserved {
		return true
	}
	cost, wait, ok := c.server.core.Keys.Reserve(ctx, c.organisation, c.facts.Prompt+c.facts.MostOut)
	if !ok {
		c.reason = reasonQuota
		c.wait = wait
		return false
	}
	c.reserved = true
	c.cost = cost
	return true
}

// unreserve gives the request's cost back, for it surely hasn't run.
func (c *call) unreserve() {
	if c.reserved && c.cost > 0 {
		c.server.core.Keys.Unreserve(c.organisation, c.cost)
	}
	c.cost = 0
}

// refuseQuota turns away a request beyond its organisation's quota.
func (c *call) refuseQuota() {
	c.w.Header().Set("Retry-After", strconv.FormatFloat(c.wait.Seconds(), 'f', 2, 64))
	c.turnAwayWith(http.StatusTooManyRequests, reasonQuota)
}
