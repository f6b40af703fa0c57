package quota

import (
	"context"
	"sync"
	"time"

	"github.com/havenrudder/havenrudder/common/decay"
)

// CreditPool holds a box's credit of each organisation. It is safe for concurrent use.
type CreditPool struct {
	mu      sync.Mutex
	credits map[string]*credit
	window  time.Duration
	request func(ctx context.Context, a CreditRequest) (Grant, bool) // sends a request to an allocator; false without a response
	now     func() time.Duration
}

type credit struct {
	units            float64
	used             window
	lastGrant        time.Duration
	unreportedDemand float64 // units that callers requested since the last CreditRequest
	demand           decay.Count
	cost             float64       // of the last request
	pendingRequest   chan struct{} // closed when the request in flight completes; nil if there is none
	refusedUntil     time.Duration
	wait             time.Duration // for callers that are refused until then
}

// NewCreditPool returns an empty credit pool for quotas of the given window. It sends requests to
// allocators by request and reads the clock by now.
func NewCreditPool(window time.Duration, request func(ctx context.Context, a CreditRequest) (Grant, bool), now func() time.Duration) *CreditPool {
	return &CreditPool{
		credits: make(map[string]*credit),
		window:  window,
		request: request,
		now:     now,
	}
}

// Take takes the cost of a request from an organisation's credit, after a request to an allocator
// if the credit does not suffice. If ok is false, the caller should retry after wait.
func (p *CreditPool) Take(ctx context.Context, organisation string, cost float64) (wait time.Duration, ok bool) {
	p.mu.Lock()
	c := p.credit(organisation)
	c.unreportedDemand += cost
	c.cost = cost
	c.demand.Add(cost, p.now(), demandHalfLife)
	for ctx.Err() == nil {
		at := p.now()
		if c.spend(cost, at) {
			p.mu.Unlock()
			return 0, true
		}
		if at < c.refusedUntil {
			wait = c.wait
			p.mu.Unlock()
			return wait, false
		}
		if pendingRequest := c.pendingRequest; pendingRequest != nil {
			p.mu.Unlock()
			select {
			case <-pendingRequest:
			case <-ctx.Done():
			}
			p.mu.Lock()
			continue
		}
		p.requestCredit(ctx, c, organisation, cost)
	}
	p.mu.Unlock()
	return minWait, false
}

// requestCredit requests the credit that a request lacks from an allocator. It unlocks mu meanwhile.
func (p *CreditPool) requestCredit(ctx context.Context, c *credit, organisation string, cost float64) {
	a := c.nextRequest(organisation, p.now())
	a.Need = cost - max(c.units, 0)
	pendingRequest := make(chan struct{})
	c.pendingRequest = pendingRequest
	p.mu.Unlock()
	g, ok := p.request(ctx, a)
	p.mu.Lock()
	c.pendingRequest = nil
	close(pendingRequest)
	if !ok {
		c.unreportedDemand += a.Demand
		g = Grant{
			CallerRetryAfter: millis(minWait),
			RetryAfter:       millis(retryInterval),
		}
	}
	c.applyGrant(g, p.now())
}

// Refund refunds the cost of a request that is known not to have run.
func (p *CreditPool) Refund(organisation string, cost float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.credit(organisation)
	c.units += cost
	c.used.subtract(cost, p.now())
}

// DueRequests returns the requests for credit in advance that are due, for organisations that of
// accepts. It removes the credits of organisations without callers.
func (p *CreditPool) DueRequests(of func(organisation string) bool) (out []CreditRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for name, c := range p.credits {
		if c.pendingRequest != nil || !of(name) {
			continue
		}
		a := c.nextRequest(name, now)
		if a.Demand == 0 && a.Used == 0 && now-c.lastGrant > creditTTL && now > c.refusedUntil {
			delete(p.credits, name)
			continue
		}
		if a.Demand > 0 || perSecond(&c.demand, now) > 0 || a.Used > 0 {
			out = append(out, a)
		}
	}
	return out
}

// AddGrants adds the grants for requests that DueRequests returned. The demand of a request without a
// grant is reported again.
func (p *CreditPool) AddGrants(requests []CreditRequest, grants []Grant) {
	granted := make(map[string]bool, len(grants))
	for _, g := range grants {
		granted[g.Organisation] = true
		p.AddGrant(g)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range requests {
		if !granted[a.Organisation] {
			p.credit(a.Organisation).unreportedDemand += a.Demand
		}
	}
}

// AddGrant adds a grant.
func (p *CreditPool) AddGrant(g Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.credit(g.Organisation).applyGrant(g, p.now())
}

// Balances returns the credit of each organisation.
func (p *CreditPool) Balances() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]float64, len(p.credits))
	for name, c := range p.credits {
		out[name] = c.units
	}
	return out
}

func (p *CreditPool) credit(organisation string) *credit {
	c, ok := p.credits[organisation]
	if !ok {
		c = &credit{
			used: newWindow(p.window),
		}
		p.credits[organisation] = c
	}
	return c
}

// spend takes cost from credit that has not expired.
func (c *credit) spend(cost float64, now time.Duration) bool {
	if now-c.lastGrant > creditTTL {
		c.units = min(c.units, 0)
	}
	if c.units < cost {
		return false
	}
	c.units -= cost
	c.used.add(cost, now)
	return true
}

// nextRequest returns a CreditRequest that reports demand and usage and requests credit in
// advance.
func (c *credit) nextRequest(organisation string, now time.Duration) CreditRequest {
	a := CreditRequest{
		Organisation: organisation,
		Demand:       c.unreportedDemand,
		Used:         c.used.used(now),
	}
	// Credit for a part of a request may expire unused, so a request of a rare caller waits for its own.
	if expected := perSecond(&c.demand, now) * prefetchWindow.Seconds(); expected >= c.cost {
		a.Prefetch = max(0, expected-c.units)
	}
	c.unreportedDemand = 0
	return a
}

func (c *credit) applyGrant(g Grant, now time.Duration) {
	if g.Units > 0 {
		if now-c.lastGrant > creditTTL {
			c.units = min(c.units, 0)
		}
		c.units += g.Units
		c.lastGrant = now
	}
	if g.CallerRetryAfter > 0 {
		c.refusedUntil = now + g.RetryAfter.Duration()
		c.wait = g.CallerRetryAfter.Duration()
	}
}
