package exchange

import (
	"sync"
	"time"

	"github.com/havenrudder/havenrudder/common/clock"
)

// activity records the last two addresses from which bytes were received or to which a
// connection was established. It is safe for concurrent use.
type activity struct {
	mu       sync.Mutex
	last     receipt
	previous receipt // from another address than last
}

type receipt struct {
	addr string
	at   time.Time
}

func (h *activity) record(addr string) {
	now := clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last.addr != addr {
		h.previous = h.last
	}
	h.last = receipt{
		addr: addr,
		at:   now,
	}
}

// lastExcept returns the time of the last activity of any address but excluded.
func (h *activity) lastExcept(excluded string) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last.addr == excluded {
		return h.previous.at
	}
	return h.last.at
}

// LastActivityExcept returns when bytes were last received from, or a connection was last
// established to, any address but excluded; zero for never. It distinguishes a failed server
// from a failed link of this box.
func (p *Pool) LastActivityExcept(excluded string) time.Time { return p.activity.lastExcept(excluded) }
