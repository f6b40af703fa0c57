package ingress

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/common/sleep"
)

const (
	defaultTimeout      = 30 * time.Second // if neither caller nor route sets one
	policyWaitTimeout   = 300 * time.Millisecond
	firstPolicyTimeout  = 500 * time.Millisecond // from the start of a box; a connection to a publisher in another region and a read take 320 ms
	policyPollInterval  = 20 * time.Millisecond
	defaultMaxBodyBytes = 4 << 20 // if the policy sets no limit

	// unreadBodyTimeout is for the body of a request that is refused before it is read: net/http reads up
	// to 256 KiB of it then.
	unreadBodyTimeout = 10 * time.Second
)

// identify reads the properties of the request and finds its route.
func (c *call) identify() bool {
	table := c.awaitTable()
	if table == nil {
		c.refuse(reasonStarting, retryAfterStarting)
		return false
	}
	var err error
	if c.facts, err = c.server.codec.ReadFacts(c.r.Header); err != nil {
		c.reject(http.StatusBadRequest, err.Error())
		return false
	}
	if c.isMisdirected() {
		c.server.codec.WriteMisdirected(c.w.Header(), c.facts.ID)
		c.reject(http.StatusMisdirectedRequest, reasonMisdirected)
		return false
	}
	if table = c.findRoute(table); table == nil {
		return false
	}
	if wait, sheds := c.server.core.Shed(); sheds {
		c.refuse(reasonBusy, wait)
		return false
	}
	if !c.authenticate(table) {
		return false
	}
	if c.route.Kind == catalog.Stream && !c.server.core.AcceptsStreams() {
		c.refuse(ReasonStopping, c.server.retryAfterStop())
		return false
	}
	if c.service == "" {
		c.service = c.route.Service(c.serviceKey())
	}
	organisation := table.OrganisationOf(c.organisation)
	c.rank = table.Rank(c.service, c.route.Priority, organisation)
	c.urgency = table.Urgency(c.service, c.route.Priority, organisation)
	c.setDeadline()
	c.lastEvent = c.facts.LastEventID
	if c.relay != nil && c.relay.LastEvent != "" {
		c.lastEvent = c.relay.LastEvent
	}
	if c.relay != nil {
		c.build.Store(uint64(c.relay.Build))
		c.retriesPart = c.relay.RetriesPart
	}
	return true
}

// isMisdirected reports whether a box sent the request to a replica that has the address of this
// box by its entry. To place it again would send it round until its deadline.
func (c *call) isMisdirected() bool {
	id := c.facts.ExpectedReplica
	return id != "" && c.server.core.IsOwnAddress(id)
}

// awaitTable returns the policy in force. Just after start-up it waits briefly for the
// first one, which is faster than a retry by the caller.
func (c *call) awaitTable() *catalog.Table {
	timeout := max(policyWaitTimeout, firstPolicyTimeout-c.server.core.Uptime())
	for {
		table := c.server.core.Table()
		if table != nil || clock.Since(c.start) > timeout || c.r.Context().Err() != nil {
			return table
		}
		sleep.For(c.r.Context(), policyPollInterval)
	}
}

// findRoute looks up the route and returns the policy that has it, which may be newer than table; nil if there
// is none. A request that another box forwarded keeps the route of that box, so that callers never see an older
// policy after a newer one.
func (c *call) findRoute(table *catalog.Table) *catalog.Table {
	c.version = table.Version()
	if c.relay != nil {
		c.route = c.relay.Route
		c.service = c.relay.Service
		c.sent = c.relay.Sent
		c.budgetCounted = c.sent > 0
		c.received = c.budgetCounted
		if c.relay.Version > c.version {
			c.server.core.NewerPolicySeen(c.relay.Version)
		}
		c.version = c.relay.Version
		return table
	}
	if route, ok := table.Find(c.r.Host, c.r.URL.Path); ok {
		c.route = route
		return table
	}
	if !c.server.core.CatalogFresh(c.r.Context()) {
		c.refuse(reasonStalePolicy, retryAfterStarting) // a newer policy may contain the route
		return nil
	}
	if newer := c.server.core.Table(); newer != table {
		return c.findRoute(newer)
	}
	c.reject(http.StatusNotFound, "no route")
	return nil
}

// setDeadline sets the earliest of the caller's deadline, the route's timeout and the
// end of this box.
func (c *call) setDeadline() {
	timeout := defaultTimeout
	if c.route.Timeout > 0 {
		timeout = c.route.Timeout.Duration()
	}
	if c.facts.Deadline > 0 {
		timeout = min(timeout, c.facts.Deadline)
	}
	if c.relay != nil {
		timeout = time.Duration(c.relay.LeftMs) * time.Millisecond
	}
	c.deadline = c.start.Add(timeout)
	if by, ok := c.server.core.StopDeadline(); ok && by.Before(c.deadline) {
		c.deadline = by // so that the caller receives a response, not a closed connection
	}
}

// readBody reads the complete body, so that it can be sent again.
func (c *call) readBody() bool {
	limit := int64(defaultMaxBodyBytes)
	if t := c.server.core.Table(); t != nil && t.Policy().Limits.BodyBytes > 0 {
		limit = int64(t.Policy().Limits.BodyBytes)
	}
	if c.r.ContentLength == 0 {
		return true
	}
	c.setBodyDeadline(c.deadline)
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
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.w.Header().Set("Connection", "close") // the rest of the body may come
		c.reject(http.StatusRequestTimeout, "body not in time")
		return false
	case err != nil:
		c.reject(http.StatusBadRequest, "body not read")
		return false
	}
	c.setBodyDeadline(time.Time{}) // else its end would look as if the caller had left
	c.body = buf.Bytes()
	return true
}

// setBodyDeadline sets until when the body of the request may be read; the zero time for no bound.
func (c *call) setBodyDeadline(at time.Time) {
	if c.r.ContentLength != 0 {
		_ = http.NewResponseController(c.w).SetReadDeadline(clock.SystemTime(at)) // fails only if the caller has left
	}
}
