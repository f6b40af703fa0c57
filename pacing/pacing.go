// Package pacing bounds what all boxes of a region together send to a replica
// that is cold: in every sliding second
//
//	sends <= perSecond x Overage + Slack
//
// without messages between the boxes. A box derives its share from the replica's
// name and the names of the boxes. With bound the right side above and n boxes,
// the k = min(n, floor(bound)) boxes that rank highest for the replica send at
// most floor(bound/k) each in a window of 1.1 s, and the others nothing.
//
// # Why the sum holds
//
// The shares under one list of boxes add up to at most bound. A longer list
// never gives a box more: it ranks no higher, and either k = floor(bound) and
// the share is 1, or k = n and floor(bound/n) falls with n. A lower perSecond
// never gives a box more either. So the bound holds in a window when the list
// behind each send contains all boxes that send in that window. A box that has
// just started sends nothing until it knows all the others and they know it, which
// is not found out here, and waits for one window from then on: what they sent
// before they knew it, and what a process of the same name before it sent, is out
// of the window. A lost box has to stay listed for a window after its last send.
// A send counts from its write, where that is told to be later than Take (see Sent).
//
// Time is the monotonic clock since the start of the process. A Pacer belongs to
// one actor: it is not safe for concurrent use.
package pacing

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/havenrudder/havenrudder/common/rendezvous"
)

const (
	// window is the second of the bound and a tenth for the delay between the write
	// of a send, or Take where it is written soon after, and its arrival.
	window = 1100 * time.Millisecond
	// spread is how many sends of one box would fit into a window at the least
	// gap, as a multiple of its share: 2 leaves room to catch up after a pause.
	spread = 2
	// maxWarm is the number of warm replicas whose last sends are remembered: more
	// than a box sends to within a second.
	maxWarm = 512
)

// Terms says how far the sends to a cold replica may exceed its known rate.
type Terms struct {
	// Overage is a factor on the replica's rate.
	Overage float64
	// Slack is a number of sends in each second beyond that.
	Slack float64
}

// cold is a replica known to be cold.
type cold struct {
	perSecond float64
	until     time.Duration
	sends     *history
}

// Pacer decides which sends to cold replicas this box may make.
type Pacer struct {
	self   string
	terms  Terms
	start  time.Duration
	latest time.Duration
	cold   map[string]*cold
	warm   *simplelru.LRU[string, *history]
}

// Option changes a Pacer under construction.
type Option func(*Pacer)

// WithStart sets the time from which the box counts as alive; without it, it is
// the start of the process. Nothing goes to cold replicas for one window after
// it, so it must not be before the other boxes know this one.
func WithStart(now time.Duration) Option {
	return func(p *Pacer) {
		p.start = now
	}
}

// New returns the pacer of the box self.
func New(self string, terms Terms, opts ...Option) *Pacer {
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

// SetTerms replaces the terms. Sends made before still count.
func (p *Pacer) SetTerms(terms Terms) {
	p.terms = terms
}

// SetStart sets from when on the box knows the others that may send, in place of its
// start. Nothing goes to cold replicas for one window after it.
func (p *Pacer) SetStart(now time.Duration) {
	p.start = now
}

// Cold notes that replica is cold until then and serves perSecond meanwhile. Of
// several calls the latest until stays, and the rate of the last call.
func (p *Pacer) Cold(replica string, perSecond float64, until time.Duration) {
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

// Warm notes that replica is no longer cold. Its last sends stay remembered in
// case it turns cold again within the window.
func (p *Pacer) Warm(replica string) {
	c := p.cold[replica]
	if c == nil {
		return
	}
	delete(p.cold, replica)
	p.warm.Add(replica, c.sends)
}

// Forget drops what is known about a replica that has left. Its last sends stay
// within the memory of warm replicas, as for Warm: a replica that disappears
// from a view for a moment must not be sent its share twice.
func (p *Pacer) Forget(replica string) {
	p.Warm(replica)
}

// IsCold reports whether replica is known to be cold.
func (p *Pacer) IsCold(replica string, now time.Duration) bool {
	return p.coldAt(replica, now) != nil
}

// Allow reports whether a send to replica is allowed now and counts nothing.
// Boxes are the names of all boxes of the region that may be alive or have sent
// within the last window, this one included. A replica that isn't cold may
// always be sent to.
func (p *Pacer) Allow(replica string, boxes []string, now time.Duration) bool {
	return p.Next(replica, boxes, now) <= now
}

// Take counts a send to replica if it is allowed, and reports whether it is.
// Boxes is as for Allow.
func (p *Pacer) Take(replica string, boxes []string, now time.Duration) bool {
	p.latest = max(p.latest, now)
	if !p.Allow(replica, boxes, now) {
		return false
	}
	if c := p.coldAt(replica, now); c != nil {
		c.sends.trim(now)
		c.sends.add(now)
		return true
	}
	p.Warm(replica) // its time may be over
	p.warmHistory(replica).remember(now)
	return true
}

// Sent notes that a send which was taken at a time is written only now: a new connection
// may take a quarter of a second, of which the window has a tenth. The sends of a box are so
// a window apart as they are written, too.
func (p *Pacer) Sent(replica string, taken, now time.Duration) {
	p.latest = max(p.latest, now)
	if c := p.cold[replica]; c != nil {
		c.sends.move(taken, now)
		return
	}
	p.warmHistory(replica).move(taken, now)
}

// Next returns the time of the next send that will be allowed to replica under
// the same boxes: now, or a later time. A box without a share waits until the
// replica is no longer cold.
func (p *Pacer) Next(replica string, boxes []string, now time.Duration) time.Duration {
	c := p.coldAt(replica, now)
	if c == nil {
		return now
	}
	share := p.share(replica, c, boxes)
	if share == 0 {
		return c.until
	}
	next := max(now, p.start+window, c.sends.next(share, now))
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

// coldAt returns what is known of replica if it is cold now, otherwise nil.
func (p *Pacer) coldAt(replica string, now time.Duration) *cold {
	c := p.cold[replica]
	if c == nil || now >= c.until {
		return nil
	}
	return c
}

// warmHistory returns the remembered sends of a warm replica.
func (p *Pacer) warmHistory(replica string) *history {
	h, ok := p.warm.Get(replica)
	if ok {
		return h
	}
	h = &history{}
	p.warm.Add(replica, h)
	return h
}

// removeWarm takes the remembered sends of replica out of the warm ones.
func (p *Pacer) removeWarm(replica string) *history {
	h, ok := p.warm.Peek(replica)
	if !ok {
		return &history{}
	}
	p.warm.Remove(replica)
	return h
}

// sweep moves the replicas whose time is over to the warm ones, so that replicas
// nobody asks for any more don't pile up.
func (p *Pacer) sweep() {
	for replica, c := range p.cold {
		if p.latest >= c.until {
			p.Warm(replica)
		}
	}
}
