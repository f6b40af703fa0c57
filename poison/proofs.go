package poison

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	provedFor = acquitsFor  // a request that a tenth of all callers send is answered ten times by then at each of 390 boxes
	keptFor   = time.Minute // of each generation: for so long at least a proof lets a request be tried again
	maxProofs = 8192        // of each generation, some 300 KB
)

// Proofs are the requests that a replica of late answered whole, or ran for long, for a
// caller of this box. It is safe for use by several goroutines. A popular request is under
// way at most replicas that end, for whatever reason; with a proof it isn't suspected.
type Proofs struct {
	seed maphash.Seed

	mu    sync.Mutex
	young map[uint64]time.Duration // when it was proved last, by the print of its content
	old   map[uint64]time.Duration
	since time.Duration // of the young
}

// NewProofs returns empty proofs.
func NewProofs() *Proofs {
	return &Proofs{
		seed:  maphash.MakeSeed(),
		young: make(map[uint64]time.Duration),
	}
}

// print stands for a content within this process; it costs a tenth of a digest.
func (p *Proofs) print(c *Content) uint64 {
	var h maphash.Hash
	h.SetSeed(p.seed)
	c.writeTo(&h)
	return h.Sum64()
}

// Add notes that a request was proved innocent.
func (p *Proofs) Add(c *Content, now time.Duration) {
	key := p.print(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if now-p.since > keptFor || len(p.young) >= maxProofs {
		p.old = p.young
		p.young = make(map[uint64]time.Duration)
		p.since = now
	}
	p.young[key] = now
}

// Has says whether a request was proved innocent so lately that no end is held against it.
func (p *Proofs) Has(c *Content, now time.Duration) bool {
	at, ok := p.last(c)
	return ok && now-at <= provedFor
}

// Had says whether a request was proved innocent once: it may be tried again.
func (p *Proofs) Had(c *Content) bool {
	_, ok := p.last(c)
	return ok
}

// last returns when a request was proved innocent last.
func (p *Proofs) last(c *Content) (at time.Duration, ok bool) {
	key := p.print(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok = p.young[key]; ok {
		return at, true
	}
	at, ok = p.old[key]
	return at, ok
}
