package exchange

import (
	"sync"
	"time"

	"github.com/havenrudder/havenrudder/common/clock"
)

// heard keeps which two addresses something came from last, and when: bytes, or a
// connection that was taken. It is safe for use by several goroutines.
type heard struct {
	mu     sync.Mutex
	last   heardFrom
	before heardFrom // of another address
}

// heardFrom is one address and when something came from it.
type heardFrom struct {
	addr string
	at   time.Time
}

// note takes in that something came from addr now.
func (h *heard) note(addr string) {
	now := clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last.addr != addr {
		h.before = h.last
	}
	h.last = heardFrom{
		addr: addr,
		at:   now,
	}
}

// from returns when something came last from any address but one.
func (h *heard) from(but string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last.addr == but {
		return h.before.at
	}
	return h.last.at
}

// Heard returns when bytes came last from any address but one, or a connection was made
// there; zero for never. So a silent address is told apart from a way on which nothing
// comes through.
func (p *Pool) Heard(but string) time.Time { return p.heard.from(but) }
