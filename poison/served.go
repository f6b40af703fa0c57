package poison

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	latelyFor = clearsFor   // a request that a tenth of all callers send is answered ten times by then at each of 390 boxes
	servedFor = time.Minute // of each generation: for so long at least a request that is quarantined may be tried again
	maxServed = 8192        // of each generation, some 300 KB
)

// Served are the requests that replicas survived of late: they answered them whole, or went
// on answering for long, for callers of this box. It is safe for use by several goroutines. A
// popular request is under way at most replicas that end, for whatever reason; having been
// served it isn't suspected.
type Served struct {
	seed maphash.Seed

	mu    sync.Mutex
	young map[uint64]time.Duration // when that was last, by the print of its content
	old   map[uint64]time.Duration
	since time.Duration // of the young
}

// NewServed returns an empty Served.
func NewServed() *Served {
	return &Served{
		seed:  maphash.MakeSeed(),
		young: make(map[uint64]time.Duration),
	}
}

// print stands for a content within this process; it costs a tenth of a digest.
func (p *Served) print(c *Content) uint64 {
	var h maphash.Hash
	h.SetSeed(p.seed)
	c.writeTo(&h)
	return h.Sum64()
}

// Add notes that a replica survived a request.
func (p *Served) Add(c *Content, now time.Duration) {
	key := p.print(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if now-p.since > servedFor || len(p.young) >= maxServed {
		p.old = p.young
		p.young = make(map[uint64]time.Duration)
		p.since = now
	}
	p.young[key] = now
}

// Lately says whether a request was served so lately that no end counts for it.
func (p *Served) Lately(c *Content, now time.Duration) bool {
	at, ok := p.last(c)
	return ok && now-at <= latelyFor
}

// Before says whether a request was served at all: it may be tried again.
func (p *Served) Before(c *Content) bool {
	_, ok := p.last(c)
	return ok
}

// last returns when a request was served last.
func (p *Served) last(c *Content) (at time.Duration, ok bool) {
	key := p.print(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok = p.young[key]; ok {
		return at, true
	}
	at, ok = p.old[key]
	return at, ok
}
