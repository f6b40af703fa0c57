package exchange

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/clock"
)

const (
	// defaultIdleLimit is how many unused connections are kept to an address;
	// about the requests that one replica runs at once.
	defaultIdleLimit = 64

	// defaultIdleTime is how long an unused connection is kept. The usual servers
	// of models (uvicorn, Node) close theirs after 5 s.
	defaultIdleTime = 4 * time.Second
)

var errPoolClosed = errors.New("the pool is closed")

// Pool holds connections by address. It is safe for use by several goroutines.
type Pool struct {
	dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	onDial      func(addr string)
	idleLimit   int
	idleTime    time.Duration
	busyTimeout time.Duration // 0 for that of the dialer
	heard       heard

	mu      sync.Mutex
	addrs   map[string]*members
	timer   *time.Timer // runs sweep; nil until a connection first rests
	sweepAt time.Time   // when sweep runs next; zero for not at all
	closed  bool
}

// members are the open connections to one address.
type members struct {
	all  map[*conn]struct{}
	idle []*conn // in the order in which they came to rest
}

// Option changes a pool under construction.
type Option func(*Pool)

// WithDial sets how connections are made.
func WithDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(p *Pool) {
		p.dial = dial
	}
}

// WithIdleLimit sets how many unused connections are kept to one address.
func WithIdleLimit(perAddr int) Option {
	return func(p *Pool) {
		p.idleLimit = perAddr
	}
}

// WithIdleTime sets how long an unused connection is kept at most. The other
// side's Keep-Alive field may shorten it.
func WithIdleTime(d time.Duration) Option {
	return func(p *Pool) {
		p.idleTime = d
	}
}

// WithBusyTimeout sets how long a connection that carries a request waits for a peer which
// acknowledges nothing; one at rest keeps the time of NewDialer. A request has its own
// time, and where it can't be sent again nothing is gained by an end before that: the
// link of this side may be full.
func WithBusyTimeout(d time.Duration) Option {
	return func(p *Pool) {
		p.busyTimeout = d
	}
}

// WithOnDial sets a function that is called before each attempt to connect, by
// the goroutine that wants the connection.
func WithOnDial(f func(addr string)) Option {
	return func(p *Pool) {
		p.onDial = f
	}
}

// NewPool returns a pool without connections.
func NewPool(opts ...Option) *Pool {
	p := &Pool{
		dial:      NewDialer().DialContext,
		onDial:    func(string) {},
		idleLimit: defaultIdleLimit,
		idleTime:  defaultIdleTime,
		addrs:     make(map[string]*members),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Open returns how many connections to addr are open, both busy and unused.
func (p *Pool) Open(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.addrs[addr]
	if m == nil {
		return 0
	}
	return len(m.all)
}

// CloseAddr closes all connections to addr, also those that carry a request. Use
// it when the other side is known to be dead.
func (p *Pool) CloseAddr(addr string) {
	for _, c := range p.conns(addr) {
		c.close()
	}
}

// Close closes all connections. Later requests fail without being sent.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	if p.timer != nil {
		p.timer.Stop()
	}
	var addrs []string
	for addr := range p.addrs {
		addrs = append(addrs, addr)
	}
	p.mu.Unlock()
	for _, addr := range addrs {
		p.CloseAddr(addr)
	}
}

// Reach makes a connection to addr, whatever others are kept, and keeps it for the
// next request there. Its error says that addr, or the way to it, answers nobody
// within the limit.
func (p *Pool) Reach(ctx context.Context, addr string, limit time.Duration) error {
	c, err := p.open(ctx, &Request{
		Addr:        addr,
		DialTimeout: limit,
	})
	if err != nil {
		return err
	}
	p.put(c, p.idleTime)
	return nil
}

// conns returns the open connections to addr.
func (p *Pool) conns(addr string) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.addrs[addr]
	if m == nil {
		return nil
	}
	list := make([]*conn, 0, len(m.all))
	for c := range m.all {
		list = append(list, c)
	}
	return list
}

// open makes a connection for the request.
func (p *Pool) open(ctx context.Context, req *Request) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, req.DialTimeout)
	defer cancel()
	p.onDial(req.Addr)
	nc, err := p.dial(ctx, "tcp", req.Addr)
	if err != nil {
		return nil, err
	}
	p.heard.note(req.Addr)
	c := newConn(p, req.Addr, nc)
	if !p.add(c) {
		_ = nc.Close() // never used: nothing can be lost on it
		return nil, errPoolClosed
	}
	p.use(c)
	return c, nil
}

// add takes a new connection in. It says false when the pool is closed.
func (p *Pool) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	m := p.addrs[c.addr]
	if m == nil {
		m = &members{
			all: make(map[*conn]struct{}),
		}
		p.addrs[c.addr] = m
	}
	m.all[c] = struct{}{}
	return true
}

// take returns a kept connection to addr that another request may use, or nil.
func (p *Pool) take(addr string) *conn {
	for {
		c, fresh := p.pop(addr)
		if c == nil {
			return nil
		}
		if fresh && quiet(c.nc) {
			c.reused = true
			p.use(c)
			return c
		}
		c.close()
	}
}

// use has a connection bear silence for as long as a request may take.
func (p *Pool) use(c *conn) {
	if p.busyTimeout > 0 {
		c.limitUnacked(p.busyTimeout)
	}
}

// pop takes the connection out that came to rest last, since it is the likeliest
// to be still open, and says whether it may be used at this time.
func (p *Pool) pop(addr string) (c *conn, fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.addrs[addr]
	if m == nil || len(m.idle) == 0 {
		return nil, false
	}
	last := len(m.idle) - 1
	c = m.idle[last]
	m.idle[last] = nil // so that the slice doesn't hold it in memory
	m.idle = m.idle[:last]
	return c, clock.Now().Before(c.until)
}

// put keeps the connection for another request for at most the time of rest.
func (p *Pool) put(c *conn, rest time.Duration) {
	c.calm()
	if surplus := p.keep(c, rest); surplus != nil {
		surplus.close()
	}
}

// keep lets c rest and returns the connection, if any, that is one too many: the
// one that has rested longest, or c itself when none is kept.
func (p *Pool) keep(c *conn, rest time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed {
		return nil
	}
	if p.closed || p.idleLimit <= 0 {
		return c
	}
	m := p.addrs[c.addr]
	c.until = clock.Now().Add(rest)
	m.idle = append(m.idle, c)
	p.schedule(c.until)
	if len(m.idle) <= p.idleLimit {
		return nil
	}
	surplus := m.idle[0]
	m.idle = slices.Delete(m.idle, 0, 1)
	return surplus
}

// forget takes the connection out of the pool. It says false when that was done
// before.
func (p *Pool) forget(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed {
		return false
	}
	c.closed = true
	m := p.addrs[c.addr]
	delete(m.all, c)
	if i := slices.Index(m.idle, c); i >= 0 {
		m.idle = slices.Delete(m.idle, i, i+1)
	}
	if len(m.all) == 0 {
		delete(p.addrs, c.addr)
	}
	return true
}

// schedule sees to it that sweep runs at the given time at the latest. It is
// called with mu held.
func (p *Pool) schedule(at time.Time) {
	if !p.sweepAt.IsZero() && !at.Before(p.sweepAt) {
		return
	}
	p.sweepAt = at
	if p.timer == nil {
		p.timer = time.AfterFunc(clock.Until(at), p.sweep)
		return
	}
	p.timer.Reset(clock.Until(at))
}

// sweep closes the connections that have rested for long enough.
func (p *Pool) sweep() {
	for _, c := range p.expired() {
		c.close()
	}
}

// expired takes the connections out that have rested for long enough, and
// schedules the next sweep when others still rest.
func (p *Pool) expired() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweepAt = time.Time{}
	if p.closed {
		return nil
	}
	now := clock.Now()
	var out []*conn
	for _, m := range p.addrs {
		m.idle = slices.DeleteFunc(m.idle, func(c *conn) bool {
			if now.Before(c.until) {
				p.schedule(c.until)
				return false
			}
			out = append(out, c)
			return true
		})
	}
	return out
}
