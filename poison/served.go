package poison

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	recentWindow     = clearanceWindow // a request that a tenth of the callers send completes several times in it at each box
	generationTTL    = time.Minute     // minimum time in which a quarantined request that was served before may be retried
	maxPerGeneration = 8192            // some 300 KB
)

// Served holds the requests that replicas survived recently for callers of this box. These
// aren't suspect: a popular request is under way at most replicas that crash for any reason.
// Served is safe for concurrent use.
type Served struct {
	seed maphash.Seed

	mu           sync.Mutex
	current      map[uint64]time.Duration // time last served by fingerprint
	previous     map[uint64]time.Duration
	currentSince time.Duration
}

// NewServed returns an empty Served.
func NewServed() *Served {
	return &Served{
		seed:    maphash.MakeSeed(),
		current: make(map[uint64]time.Duration),
	}
}

// fingerprint returns a hash that is valid within this process and cheaper than a digest.
func (p *Served) fingerprint(c *Content) uint64 {
	var h maphash.Hash
	h.SetSeed(p.seed)
	c.writeTo(&h)
	return h.Sum64()
}

// Add records that a replica survived a request: the response is complete, or has run for long.
func (p *Served) Add(c *Content, now time.Duration) {
	p.addKey(p.fingerprint(c), now)
}

// AddParts is Add for the parts of a prompt.
func (p *Served) AddParts(list []Digest, now time.Duration) {
	for _, d := range list {
		p.addKey(d.key(), now)
	}
}

func (p *Served) addKey(key uint64, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now-p.currentSince > generationTTL || len(p.current) >= maxPerGeneration {
		p.previous = p.current
		p.current = make(map[uint64]time.Duration)
		p.currentSince = now
	}
	p.current[key] = now
}

// ServedRecently reports whether a request was served so recently that crashes don't count for
// it.
func (p *Served) ServedRecently(c *Content, now time.Duration) bool {
	return p.isRecent(p.fingerprint(c), now)
}

func (p *Served) isRecent(key uint64, now time.Duration) bool {
	at, ok := p.lastKey(key)
	return ok && now-at <= recentWindow
}

// WasServed reports whether a request was served within the retained generations, so that it may
// be retried.
func (p *Served) WasServed(c *Content) bool {
	_, ok := p.lastKey(p.fingerprint(c))
	return ok
}

func (p *Served) lastKey(key uint64) (at time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok = p.current[key]; ok {
		return at, true
	}
	at, ok = p.previous[key]
	return at, ok
}
