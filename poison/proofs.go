package poison

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	provedFor = 3 * time.Second // a request that a tenth of all callers send is answered three times by then at each of 390 boxes
	maxProofs = 4096            // of each generation
)

// Proofs are the requests that got a whole answer at this box of late. It is safe for use
// by several goroutines. A popular request is under way at most replicas that end, for
// whatever reason; with a proof it isn't suspected.
type Proofs struct {
	seed maphash.Seed

	mu    sync.Mutex
	young map[uint64]time.Duration // when it was answered, by the print of its content
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

// Add notes that a request was answered whole.
func (p *Proofs) Add(c *Content, now time.Duration) {
	key := p.print(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if now-p.since > provedFor || len(p.young) >= maxProofs {
		p.old = p.young
		p.young = make(map[uint64]time.Duration)
		p.since = now
	}
	p.young[key] = now
}

// Has says whether a request was answered whole of late.
func (p *Proofs) Has(c *Content, now time.Duration) bool {
	key := p.print(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.young[key]
	if !ok {
		at, ok = p.old[key]
	}
	return ok && now-at <= provedFor
}
