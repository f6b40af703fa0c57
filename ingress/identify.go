package ingress

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/common/sleep"
)

const (
	defaultLife = 30 * time.Second       // of a request whose caller and route say nothing
	policyWait  = 300 * time.Millisecond // a box far from the publisher knows a policy some 350 ms after its start
	policyLook  = 20 * time.Millisecond  // between two looks for one
	defaultBody = 4 << 20                // bytes, where the policy gives no bound
)

// identify finds the route of the request and what it says of itself.
func (c *call) identify() bool {
	table := c.firstTable()
	if table == nil {
		c.refuse(reasonStarting, retryStarting)
		return false
	}
	var err error
	if c.facts, err = c.server.codec.Facts(c.r.Header); err != nil {
		c.reject(http.StatusBadRequest, err.Error())
		return false
	}
	c.version = table.Version()
	if !c.findRoute(table) {
		return false
	}
	if !c.authenticate(table) {
		return false
	}
	if c.route.Kind == catalog.Stream && !c.server.core.Streams() {
		c.refuse(reasonStopping, c.server.retryElsewhere())
		return false
	}
	if c.service == "" {
		c.service = c.route.Service(c.facts.ID)
	}
	organisation := table.OrganisationOf(c.organisation)
	c.rank = table.Rank(c.service, c.route.Priority, organisation)
	c.urgency = table.Urgency(c.service, c.route.Priority, organisation)
	c.setEnd()
	c.lastEvent = c.facts.LastEvent
	if c.relay != nil && c.relay.LastEvent != "" {
		c.lastEvent = c.relay.LastEvent
	}
	return true
}

// firstTable returns the policy in force. Just after its start a box waits a
// little for one, for that is sooner than the caller would be back.
func (c *call) firstTable() *catalog.Table {
	for {
		table := c.server.core.Table()
		if table != nil || clock.Since(c.start) > policyWait || c.r.Context().Err() != nil {
			return table
		}
		sleep.For(c.r.Context(), policyLook)
	}
}

// findRoute looks the route up. A request that another box passed on with a
// newer policy keeps that box's route, so that no caller sees an older policy
// after a newer one.
func (c *call) findRoute(table *catalog.Table) bool {
	if c.relay != nil {
		c.route = c.relay.Route
		c.service = c.relay.Service
		c.sent = c.relay.Sent
		c.counted = c.sent > 0
		c.arrived = c.counted
		if c.relay.Version > c.version {
			c.server.core.Behind(c.relay.Version)
		}
		c.version = c.relay.Version
		return true
	}
	route, ok := table.Find(c.r.Host, c.r.URL.Path)
	switch {
	case ok:
		c.route = route
		return true
	case c.server.core.Current():
		c.reject(http.StatusNotFound, "no route")
	default:
		c.refuse(reasonStale, retryStarting) // a newer policy may have the route
	}
	return false
}

// setEnd sets the time at which the answer is of no use: the caller's deadline, the
// route's timeout or the end of this box, whichever comes first.
func (c *call) setEnd() {
	life := defaultLife
	if c.route.Timeout > 0 {
		life = c.route.Timeout.Duration()
	}
	if c.facts.Deadline > 0 {
		life = min(life, c.facts.Deadline)
	}
	if c.relay != nil {
		life = time.Duration(c.relay.LeftMs) * time.Millisecond
	}
	c.end = c.start.Add(life)
	if by, ok := c.server.core.EndsBy(); ok && by.Before(c.end) {
		c.end = by // an answer that says so is better than a connection that is cut
	}
}

// readBody reads the whole body, so that it can be sent again.
func (c *call) readBody() bool {
	limit := int64(defaultBody)
	if t := c.server.core.Table(); t != nil && t.Policy().Limits.BodyBytes > 0 {
		limit = int64(t.Policy().Limits.BodyBytes)
	}
	if c.r.ContentLength == 0 {
		return true
	}
	var buf bytes.Buffer
	if n := c.r.ContentLength; n > 0 && n <= limit {
		buf.Grow(int(n) + bytes.MinRead)
	}
	_, err := io.Copy(&buf, http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.reject(http.StatusRequestEntityTooLarge, "body too large")
		return false
	case err != nil:
		c.reject(http.StatusBadRequest, "body not read")
		return false
	}
	c.body = buf.Bytes()
	return true
}
