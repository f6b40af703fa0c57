package ingress

import (
	"context"
	"net/http"
	"strconv"

	"github.com/havenrudder/havenrudder/placement"
)

const reasonQuota placement.Reason = "quota of its organisation used up"

// reserve takes the cost of the request from its organisation's quota before it is first
// sent, and reports whether enough was left. A request counts once, at the box that received
// it from the caller.
func (c *call) reserve(ctx context.Context) bool {
	if c.organisation == "" || c.relay != nil || c.reserved {
		return true
	}
	cost, retryAfter, ok := c.server.core.Keys.Reserve(ctx, c.organisation, c.facts.PromptTokens+c.facts.MaxOutputTokens)
	if !ok {
		c.reason = reasonQuota
		c.retryAfter = retryAfter
		return false
	}
	c.reserved = true
	c.cost = cost
	return true
}

// unreserve adds the cost of a request that has not run back to the quota.
func (c *call) unreserve() {
	if c.reserved && c.cost > 0 {
		c.server.core.Keys.Release(c.organisation, c.cost)
	}
	c.cost = 0
}

func (c *call) refuseQuota() {
	c.w.Header().Set("Retry-After", strconv.FormatFloat(c.retryAfter.Seconds(), 'f', 2, 64))
	c.refuseWithStatus(http.StatusTooManyRequests, reasonQuota)
}
