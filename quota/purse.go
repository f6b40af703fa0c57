package quota

import (
	"context"
	"sync"
	"time"

	"github.com/havenrudder/havenrudder/common/decay"
)

// Purse is the credit that a box holds. It may be used by several goroutines.
type Purse struct {
	mu      sync.Mutex
	credits map[string]*credit
	window  time.Duration                                  // of quotas
	ask     func(ctx context.Context, a Ask) (Grant, bool) // seam: asks a bank at once; false where none answers
	now     func() time.Duration                           // seam: the box's clock
}

// credit is what a box holds of an organisation.
type credit struct {
	units   float64
	used    window
	at      time.Duration // when a bank granted some last
	asked   float64       // units that callers asked for and no bank was told of
	demand  decay.Count
	asking  chan struct{} // closed when the question that is under way is answered; nil for none
	refused time.Duration // until then a bank's refusal counts
	wait    time.Duration // that it told callers
}

// NewPurse returns an empty purse that asks banks by ask, takes the time from now and counts what
// is used in a window.
func NewPurse(window time.Duration, ask func(ctx context.Context, a Ask) (Grant, bool), now func() time.Duration) *Purse {
	return &Purse{
		credits: make(map[string]*credit),
		window:  window,
		ask:     ask,
		now:     now,
	}
}

// Take takes the cost of a request from an organisation's credit, after a question to a bank
// where that doesn't do. Where there is none it returns how long the caller should stay away.
func (p *Purse) Take(ctx context.Context, organisation string, cost float64) (wait time.Duration, ok bool) {
	p.mu.Lock()
	c := p.credit(organisation)
	c.asked += cost
	c.demand.Add(cost, p.now(), demandHalf)
	for ctx.Err() == nil {
		at := p.now()
		if c.spend(cost, at) {
			p.mu.Unlock()
			return 0, true
		}
		if at < c.refused {
			wait = c.wait
			p.mu.Unlock()
			return wait, false
		}
		if asking := c.asking; asking != nil {
			p.mu.Unlock()
			select {
			case <-asking:
			case <-ctx.Done():
			}
			p.mu.Lock()
			continue
		}
		p.fetch(ctx, c, organisation, cost)
	}
	p.mu.Unlock()
	return shortWait, false
}

// fetch asks a bank for what a request lacks. The purse is locked before and after.
func (p *Purse) fetch(ctx context.Context, c *credit, organisation string, cost float64) {
	a := c.next(organisation, p.now())
	a.Need = cost - max(c.units, 0)
	asking := make(chan struct{})
	c.asking = asking
	p.mu.Unlock()
	g, ok := p.ask(ctx, a)
	p.mu.Lock()
	c.asking = nil
	close(asking)
	if !ok {
		g = Grant{
			Wait:  millis(shortWait),
			Again: millis(again),
		}
	}
	c.take(g, p.now())
}

// Return gives back what a request took that surely didn't run.
func (p *Purse) Return(organisation string, cost float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.credit(organisation)
	c.units += cost
	c.used.add(-cost, p.now())
}

// Due returns what to ask banks for ahead of need on behalf of some organisations, and forgets
// those without callers.
func (p *Purse) Due(of func(organisation string) bool) (out []Ask) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for name, c := range p.credits {
		if c.asking != nil || !of(name) {
			continue
		}
		a := c.next(name, now)
		if a.Asked == 0 && a.Used == 0 && now-c.at > creditFor && now > c.refused {
			delete(p.credits, name)
			continue
		}
		if a.Asked > 0 || a.Ahead > 0 || a.Used > 0 {
			out = append(out, a)
		}
	}
	return out
}

// Granted takes in what a bank granted for an Ask of Due.
func (p *Purse) Granted(g Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.credit(g.Organisation).take(g, p.now())
}

// Held returns the credit of each organisation.
func (p *Purse) Held() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]float64, len(p.credits))
	for name, c := range p.credits {
		out[name] = c.units
	}
	return out
}

func (p *Purse) credit(organisation string) *credit {
	c, ok := p.credits[organisation]
	if !ok {
		c = &credit{
			used: newWindow(p.window),
		}
		p.credits[organisation] = c
	}
	return c
}

// spend takes a cost from credit that is not too old.
func (c *credit) spend(cost float64, now time.Duration) bool {
	if now-c.at > creditFor {
		c.units = min(c.units, 0)
	}
	if c.units < cost {
		return false
	}
	c.units -= cost
	c.used.add(cost, now)
	return true
}

// next returns a question that tells what callers asked for, and asks for credit ahead.
func (c *credit) next(organisation string, now time.Duration) Ask {
	a := Ask{
		Organisation: organisation,
		Asked:        c.asked,
		Used:         c.used.used(now),
		Ahead:        max(0, perSecond(&c.demand, now)*aheadFor.Seconds()-c.units),
	}
	c.asked = 0
	return a
}

// take takes a grant in.
func (c *credit) take(g Grant, now time.Duration) {
	if g.Units > 0 {
		if now-c.at > creditFor {
			c.units = min(c.units, 0)
		}
		c.units += g.Units
		c.at = now
	}
	if g.Wait > 0 {
		c.refused = now + g.Again.Duration()
		c.wait = g.Wait.Duration()
	}
}
