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

const (
	reasonNoKey      placement.Reason = "no key, or none in its form"
	reasonUnknownKey placement.Reason = "key of no organisation"
	reasonRevokedKey placement.Reason = "key taken away while the request waited"
	reasonStaleKeys  placement.Reason = "keys may have been taken away"
)

const (
	keyWaitTimeout = 300 * time.Millisecond // for a newer policy that may contain the key
	keyRetryAfter  = time.Second            // Retry-After of a box without recent access to the published policy
)

// Keys holds the functions that give access to organisations, their keys and quotas.
type Keys struct {
	WithinLease  func() bool                                                                                            // the table contains no key that was revoked too long ago; called before the table is read
	CatalogFresh func(ctx context.Context) bool                                                                         // the table contains all keys but those of the last seconds
	Reserve      func(ctx context.Context, organisation string, tokens int) (cost float64, wait time.Duration, ok bool) // subtracts the cost of a request from the quota of its organisation, or returns when to retry
	Release      func(organisation string, cost float64)                                                                // adds the cost of a request that is known not to have run back to the quota
}

// authenticate finds the organisation of the caller and reports whether the request may
// proceed. A box that forwarded the request has authenticated it.
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
	valid := c.server.core.Keys.WithinLease()
	org := c.keyOrganisation()
	switch {
	case org != nil && valid:
		c.setOrganisation(org)
	case c.route.Public: // unknown keys are ignored on public routes
	case org != nil:
		c.refuse(reasonStaleKeys, keyRetryAfter)
		return false
	default:
		return c.resolveUnknownKey()
	}
	return true
}

// setOrganisation records the organisation, which restricts the regions that its data may
// enter.
func (c *call) setOrganisation(org *catalog.Organisation) {
	c.organisation = org.Name
	c.route = c.route.ForOrganisation(org)
}

// keyOrganisation returns the organisation that owns the caller's key, or nil.
func (c *call) keyOrganisation() *catalog.Organisation {
	table := c.server.core.Table()
	if table == nil || !c.facts.HasKey {
		return nil
	}
	return table.Organisation(c.facts.Key)
}

// resolveUnknownKey handles a request whose key is unknown. While this box may lack the
// newest policy, it waits for it or answers with a temporary refusal.
func (c *call) resolveUnknownKey() bool {
	for !c.server.core.Keys.CatalogFresh(c.r.Context()) {
		if clock.Since(c.start) > keyWaitTimeout || c.r.Context().Err() != nil {
			c.refuse(reasonStalePolicy, keyRetryAfter)
			return false
		}
		sleep.For(c.r.Context(), policyPollInterval)
		if org := c.keyOrganisation(); org != nil && c.server.core.Keys.WithinLease() {
			c.setOrganisation(org)
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

// keyStillValid reports whether the key still belongs to the organisation. It is checked
// before each attempt, for the key may be revoked while the request waits. A response that
// has started continues.
func (c *call) keyStillValid() bool {
	if c.organisation == "" || c.relay != nil || c.state == stateStarted {
		return true
	}
	valid := c.server.core.Keys.WithinLease()
	org := c.keyOrganisation()
	switch {
	case org == nil || org.Name != c.organisation:
		c.reason = reasonRevokedKey
	case !valid:
		c.reason = reasonStaleKeys
		c.retryAfter = keyRetryAfter
	default:
		return true
	}
	return false
}

func (c *call) rejectKey(reason placement.Reason) {
	c.w.Header().Set("WWW-Authenticate", "Bearer")
	c.server.core.Meter.Refusal(string(reason))
	c.reject(http.StatusUnauthorized, string(reason))
}

// callerIdentity returns the organisation of a request with a key, or else the caller's
// credentials.
func (c *call) callerIdentity() string {
	if c.keyed {
		return c.organisation
	}
	return c.facts.Credentials
}
