package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/placement"
)

// Reasons of refusals for a request's key.
const (
	reasonNoKey      placement.Reason = "no key, or none in its form"
	reasonUnknownKey placement.Reason = "key of no organisation"
	reasonLostKey    placement.Reason = "key taken away while the request waited"
	reasonKeysOld    placement.Reason = "keys may have been taken away"
)

const (
	keyWait  = 300 * time.Millisecond // for a newer policy, which may have the key: a box asks others for one at once
	keyRetry = time.Second            // a box that has no sound way to what is published seldom gets one sooner
)

// Keys is what a box knows of organisations, their keys and quotas. Its fields are seams.
type Keys struct {
	Hold      func() bool                                                                                            // no key that the table has is known to have been taken away too long ago; it is asked before the table
	Current   func() bool                                                                                            // the table has all keys, but for those of the last seconds
	Reserve   func(ctx context.Context, organisation string, tokens int) (cost float64, wait time.Duration, ok bool) // takes a request's cost from its organisation's quota, or says when to come back
	Unreserve func(organisation string, cost float64)                                                                // gives it back, for the request surely hasn't run
}

// authenticate finds the organisation of the caller, and says whether the request may go on. A
// box that passed the request on has done so.
func (c *call) authenticate(table *catalog.Table) bool {
	if c.relay != nil {
		c.organisation = c.relay.Organisation
		c.keyed = c.organisation != ""
		return true
	}
	c.keyed = table.Keyed()
	if !c.keyed {
		return true
	}
	held := c.server.core.Keys.Hold()
	o := c.holder()
	switch {
	case o != nil && held:
		c.comesFrom(o)
	case c.route.Public: // a key that isn't known counts for nothing there
	case o != nil:
		c.refuse(reasonKeysOld, keyRetry)
		return false
	default:
		return c.denied()
	}
	return true
}

// comesFrom takes in whose request it is, and by that which regions its data may enter.
func (c *call) comesFrom(o *catalog.Organisation) {
	c.organisation = o.Name
	c.route = c.route.For(o)
}

// holder returns the organisation that holds the caller's key by the policy in force, nil for
// none.
func (c *call) holder() *catalog.Organisation {
	table := c.server.core.Table()
	if table == nil || !c.facts.HasKey {
		return nil
	}
	return table.Organisation(c.facts.Key)
}

// denied answers a request whose key isn't known. While this box may be behind what is
// published, a policy that has the key may be on its way, and the request isn't turned away for
// good.
func (c *call) denied() bool {
	for !c.server.core.Keys.Current() {
		if clock.Since(c.start) > keyWait || c.r.Context().Err() != nil {
			c.refuse(reasonStale, keyRetry)
			return false
		}
		sleep.For(c.r.Context(), policyLook)
		if o := c.holder(); o != nil && c.server.core.Keys.Hold() {
			c.comesFrom(o)
			return true
		}
	}
	reason := reasonNoKey
	if c.facts.HasKey {
		reason = reasonUnknownKey
	}
	c.rejectKey(reason)
	return false
}

// keyHolds says whether the caller's key still is its organisation's. It is asked before each
// try, for a key may be taken away, or this box may lose its way to what is published, while a
// request waits. An answer that was begun goes on: its request came while the key held.
func (c *call) keyHolds() bool {
	if c.organisation == "" || c.relay != nil || c.state == begun {
		return true
	}
	held := c.server.core.Keys.Hold()
	o := c.holder()
	switch {
	case o == nil || o.Name != c.organisation:
		c.reason = reasonLostKey
	case !held:
		c.reason = reasonKeysOld
		c.wait = keyRetry
	default:
		return true
	}
	return false
}

// rejectKey answers that the caller needs another key.
func (c *call) rejectKey(reason placement.Reason) {
	c.w.Header().Set("WWW-Authenticate", "Bearer")
	c.server.core.Meter.Refusal(string(reason))
	c.reject(http.StatusUnauthorized, string(reason))
}

// caller returns who sends the request: its organisation, whatever key it shows, or else the
// credentials that it shows.
func (c *call) caller() string {
	if c.keyed {
		return c.organisation
	}
	return c.facts.Caller
}
