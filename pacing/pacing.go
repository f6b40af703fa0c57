// Package pacing limits the rate at which all boxes of a region together send
// requests to a cold replica. In every sliding second
//
//	sends <= perSecond x Overage + Slack
//
// holds without coordination between the boxes (Limiter does the same for the rate limits
// that replicas name, and lends shares). A box derives its share from the
// names of the replica and of the boxes: with n boxes and bound as the right side
// above, the k = min(n, floor(bound)) boxes that rank highest for the replica send
// at most floor(bound/k) requests each in a window of 1.1 s; the others send none.
//
// # Why the bound holds
//
// The shares under one list of boxes add up to at most bound, and neither a longer
// list nor a lower perSecond raises the share of a box. So the bound holds in a
// window if the list behind each send contains all boxes that send in that window.
// The caller ensures this: it keeps a failed box listed for a window after its last
// send, and it sets the start of a Pacer to the time from which its box and all others
// list each other. The Pacer then waits until no earlier send counts, including those
// of a previous process of the same name.
//
// # Late arrivals
//
// A send may arrive long after its write, for example when a partition heals, and then
// together with later ones. So a send takes part of the share until its answer begins, and
// for a window from then on less the slack. One without an answer takes it until a window,
// less the slack, after its latest possible arrival: the end of its connection does not show
// that it has arrived. A Pacer keeps a box that is no longer listed on the list for as long,
// as it may have failed with sends under way, and waits for as long after its start.
//
// Times are read from the monotonic clock since the start of the process. A Pacer is
// not safe for concurrent use.
package pacing

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/havenrudder/havenrudder/common/rendezvous"
)

const (
	slack         = 100 * time.Millisecond // for the delay between write and arrival
	window        = time.Second + slack
	retention     = maxTransit + window - slack // from the write of an unanswered send until it no longer counts
	maxWriteDelay = 300 * time.Millisecond      // between Take and the write; a new connection takes up to 250 ms
	handover      = maxWriteDelay + retention   // from Take until the send no longer counts
	gapDivisor    = 2                           // sets the minimum gap between sends: window / (gapDivisor x share); 2 leaves room to catch up after a pause
	maxWarm       = 512                         // warm replicas whose recent sends are kept; more than a box sends to while a send counts
)

// Limit limits how far the sends to a cold replica may exceed its rate.
type Limit struct {
	Overage float64 // factor of the replica's rate
	Slack   float64 // additional sends in each second
}

type cold struct {
	perSecond float64
	until     time.Duration
	sends     *history
}

// Pacer is the rate limiter of one box for sends to cold replicas.
type Pacer struct {
	self   string
	terms  Limit
	start  time.Duration
	latest time.Duration
	cold   map[string]*cold
	warm   *simplelru.LRU[string, *history]
	listed recentList
}

// Option configures a Pacer.
type Option func(*Pacer)

// WithStart sets the time from which this box and all others list each other. It
// defaults to the start of the process. The Pacer allows no sends to cold replicas
// until sends made before it no longer count.
func WithStart(now time.Duration) Option {
	return func(p *Pacer) {
		p.start = now
	}
}

// New returns the pacer of the box self.
func New(self string, terms Limit, opts ...Option) *Pacer {
	warm, err := simplelru.NewLRU[string, *history](maxWarm, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	p := &Pacer{
		self:  self,
		terms: terms,
		cold:  make(map[string]*cold),
		warm:  warm,
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Box returns the name of the box.
func (p *Pacer) Box() string { return p.self }

// SetLimit replaces the limit. Earlier sends still count.
func (p *Pacer) SetLimit(terms Limit) {
	p.terms = terms
}

// SetStart replaces the start time, as WithStart sets it.
func (p *Pacer) SetStart(now time.Duration) {
	p.start = now
}

// MarkCold records that replica is cold until the given time and serves perSecond requests
// meanwhile. Further calls replace the rate; they may extend until but not shorten it.
func (p *Pacer) MarkCold(replica string, perSecond float64, until time.Duration) {
	c := p.cold[replica]
	if c == nil {
		p.sweep()
		c = &cold{
			sends: p.removeWarm(replica),
		}
		p.cold[replica] = c
	}
	c.perSecond = perSecond
	c.until = max(c.until, until)
}

// MarkWarm records that replica is no longer cold. Its recent sends are kept in case it
// turns cold again within the window.
func (p *Pacer) MarkWarm(replica string) {
	c := p.cold[replica]
	if c == nil {
		return
	}
	delete(p.cold, replica)
	p.warm.Add(replica, c.sends)
}

// Remove removes the record of a replica that has left. Its recent sends are kept as
// by MarkWarm: a replica that is delisted for a moment must not receive its share twice.
func (p *Pacer) Remove(replica string) {
	p.MarkWarm(replica)
}

// IsCold reports whether replica is recorded as cold.
func (p *Pacer) IsCold(replica string, now time.Duration) bool {
	return p.coldAt(replica, now) != nil
}

// Allow reports whether a send to replica is allowed now, which it always is if the
// replica is not cold. It counts no send. The list names all boxes of the region that
// may be alive or have sent within the last window, including this one. It must not be
// modified afterwards.
func (p *Pacer) Allow(replica string, boxes []string, now time.Duration) bool {
	return p.NextAllowed(replica, boxes, now) <= now
}

// Take reports whether a send to replica is allowed, and counts it if so. It takes
// the same list of boxes as Allow.
func (p *Pacer) Take(replica string, boxes []string, now time.Duration) bool {
	p.latest = max(p.latest, now)
	p.listed.update(boxes, now)
	if !p.Allow(replica, boxes, now) {
		return false
	}
	if c := p.coldAt(replica, now); c != nil {
		c.sends.trim(now, window)
		c.sends.add(now)
		return true
	}
	p.MarkWarm(replica) // its record may have expired
	p.warmHistory(replica).addBounded(now)
	return true
}

// MarkSent records that a send allowed by Take at the time taken is written only now, for
// example since its connection had to be opened. The send then counts from its write.
func (p *Pacer) MarkSent(replica string, taken, now time.Duration) {
	p.latest = max(p.latest, now)
	p.history(replica).move(taken, now)
}

// MayWrite reports whether a send allowed by Take at the time taken may still be written. One
// that the box delays for longer than maxWriteDelay, for example as it stood still, may not.
func (p *Pacer) MayWrite(replica string, taken, now time.Duration) bool {
	return p.coldAt(replica, now) == nil || now < taken+maxWriteDelay
}

// MarkArrived records that a send allowed by Take at the time taken has arrived, as its answer
// begins, or that it will not, as it was never written.
func (p *Pacer) MarkArrived(replica string, taken, now time.Duration) {
	p.latest = max(p.latest, now)
	p.history(replica).answer(taken, now)
}

// NextAllowed returns the earliest time, from now on, at which a send to replica is allowed.
// For a box without a share this is the time at which the replica is no longer cold.
func (p *Pacer) NextAllowed(replica string, boxes []string, now time.Duration) time.Duration {
	c := p.coldAt(replica, now)
	if c == nil {
		return now
	}
	share := p.share(replica, c, p.listed.update(boxes, now))
	if share == 0 {
		return c.until
	}
	next := max(now, p.start+handover, c.sends.next(share, window, now))
	return min(next, c.until)
}

// share returns how many sends to replica this box may make in a window.
func (p *Pacer) share(replica string, c *cold, boxes []string) int {
	bound := max(0, c.perSecond*p.terms.Overage+p.terms.Slack)
	senders := min(float64(len(boxes)), math.Floor(bound))
	if senders < 1 {
		return 0
	}
	top := rendezvous.Top(replica, boxes, int(senders))
	if !slices.Contains(top, p.self) {
		return 0
	}
	return int(bound / senders)
}

// coldAt returns the record of replica if it is cold now, otherwise nil.
func (p *Pacer) coldAt(replica string, now time.Duration) *cold {
	c := p.cold[replica]
	if c == nil || now >= c.until {
		return nil
	}
	return c
}

// history returns the recent sends to a replica.
func (p *Pacer) history(replica string) *history {
	if c := p.cold[replica]; c != nil {
		return c.sends
	}
	return p.warmHistory(replica)
}

// warmHistory returns the recent sends to a warm replica.
func (p *Pacer) warmHistory(replica string) *history {
	h, ok := p.warm.Get(replica)
	if ok {
		return h
	}
	h = &history{}
	p.warm.Add(replica, h)
	return h
}

// removeWarm removes replica from the warm ones and returns its recent sends.
func (p *Pacer) removeWarm(replica string) *history {
	h, ok := p.warm.Peek(replica)
	if !ok {
		return &history{}
	}
	p.warm.Remove(replica)
	return h
}

// sweep moves the replicas whose record has expired to the warm ones.
func (p *Pacer) sweep() {
	for replica, c := range p.cold {
		if p.latest >= c.until {
			p.MarkWarm(replica)
		}
	}
}
