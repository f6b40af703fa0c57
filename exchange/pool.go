package exchange

import (
	"context"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/clock"
)

const (
	defaultIdleLimit = 64

	// defaultIdleTime is shorter than the idle timeout of uvicorn and Node, 5 s.
	defaultIdleTime = 4 * time.Second

	// dialLateness is how late a dial ends at its timeout at most unless this process is held up.
	dialLateness = 20 * time.Millisecond
)

var errPoolClosed = errors.New("connection pool is closed")

// Pool is a pool of connections by address. It is safe for concurrent use.
type Pool struct {
	dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	onDial      func(addr string)
	idleLimit   int
	idleTime    time.Duration
	busyTimeout time.Duration // TCP user timeout of a busy connection; 0 for the dialer's
	activity    activity
	seed        maphash.Seed  // of the keys of requests
	opened      atomic.Uint64 // connections

	mu      sync.Mutex
	addrs   map[string]*addrConns
	timer   *time.Timer // runs sweep; nil until a connection becomes idle
	sweepAt time.Time   // when sweep runs next; zero if not scheduled
	closed  bool
}

type addrConns struct {
	all  map[*conn]struct{}
	idle []*conn // least recently used first
}

// Option configures a Pool.
type Option func(*Pool)

// WithDial sets the dial function.
func WithDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(p *Pool) {
		p.dial = dial
	}
}

// WithIdleLimit sets the maximum number of idle connections per address.
func WithIdleLimit(perAddr int) Option {
	return func(p *Pool) {
		p.idleLimit = perAddr
	}
}

// WithIdleTime sets the maximum time that a connection stays idle. The server's Keep-Alive
// header may shorten it.
func WithIdleTime(d time.Duration) Option {
	return func(p *Pool) {
		p.idleTime = d
	}
}

// WithBusyUserTimeout sets the TCP user timeout of connections that carry a request; idle ones
// have that of NewDialer. A longer timeout keeps requests that can't be retried alive while
// the link of this box is congested.
func WithBusyUserTimeout(d time.Duration) Option {
	return func(p *Pool) {
		p.busyTimeout = d
	}
}

// WithOnDial sets a function that is called before each dial, by the dialing goroutine.
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
		addrs:     make(map[string]*addrConns),
		seed:      maphash.MakeSeed(),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// OpenConns returns the number of open connections to addr, both busy and idle.
func (p *Pool) OpenConns(addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.addrs[addr]
	if m == nil {
		return 0
	}
	return len(m.all)
}

// CloseAddr closes all connections to addr, also those that carry a request. Use it when
// the server is known to be dead.
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

// Probe opens a new connection to addr within the limit and adds it to the pool. It serves
// as a reachability probe.
func (p *Pool) Probe(ctx context.Context, addr string, limit time.Duration) error {
	c, err := p.connect(ctx, &Request{
		Addr:        addr,
		DialTimeout: limit,
	})
	if err != nil {
		return err
	}
	p.release(c, p.idleTime)
	return nil
}

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

// connect opens a connection. A dial that ended late is repeated once: this process was held up,
// and an open connection would be dropped with the timeout.
func (p *Pool) connect(ctx context.Context, req *Request) (*conn, error) {
	nc, took, err := p.dialOnce(ctx, req)
	if err != nil && took > req.DialTimeout+dialLateness && ctx.Err() == nil {
		nc, _, err = p.dialOnce(ctx, req)
	}
	if err != nil {
		return nil, err
	}
	p.activity.record(req.Addr)
	c := newConn(p, req.Addr, nc)
	if !p.add(c) {
		_ = nc.Close()
		return nil, errPoolClosed
	}
	p.extendTimeout(c)
	return c, nil
}

func (p *Pool) dialOnce(ctx context.Context, req *Request) (nc net.Conn, took time.Duration, err error) {
	start := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, req.DialTimeout)
	defer cancel()
	p.onDial(req.Addr)
	nc, err = p.dial(ctx, "tcp", req.Addr)
	return nc, clock.Since(start), err
}

// add registers a new connection. It returns false if the pool is closed.
func (p *Pool) add(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	m := p.addrs[c.addr]
	if m == nil {
		m = &addrConns{
			all: make(map[*conn]struct{}),
		}
		p.addrs[c.addr] = m
	}
	m.all[c] = struct{}{}
	return true
}

// keyOf returns the key of a request's ID.
func (p *Pool) keyOf(id string) requestKey {
	if id == "" {
		return 0
	}
	return requestKey(max(maphash.String(p.seed, id), 1))
}

// acquire returns a usable idle connection that may carry the request, or nil.
func (p *Pool) acquire(req *Request) *conn {
	for {
		c, usable := p.popIdle(req)
		if c == nil {
			return nil
		}
		if usable && isHealthy(c.nc) {
			c.reused = true
			p.extendTimeout(c)
			return c
		}
		c.close()
	}
}

// extendTimeout sets the TCP user timeout of a connection that is about to carry a request.
func (p *Pool) extendTimeout(c *conn) {
	if p.busyTimeout > 0 {
		c.setConnTimeout(p.busyTimeout)
	}
}

// popIdle removes the most recently used idle connection that may carry the request, the likeliest to be
// still open, and reports whether its idle time has not expired.
func (p *Pool) popIdle(req *Request) (c *conn, usable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.addrs[req.Addr]
	if m == nil {
		return nil, false
	}
	for i, c := range slices.Backward(m.idle) {
		if !c.hasCarried(req) {
			m.idle = slices.Delete(m.idle, i, i+1)
			return c, clock.Now().Before(c.expiresAt)
		}
	}
	return nil, false
}

// release returns the connection to the pool for at most idleTime.
func (p *Pool) release(c *conn, idleTime time.Duration) {
	c.resetUserTimeout()
	if surplus := p.addIdle(c, idleTime); surplus != nil {
		surplus.close()
	}
}

// addIdle marks c idle and returns the connection, if any, that exceeds the idle limit: the
// least recently used one, or c itself if the pool retains none.
func (p *Pool) addIdle(c *conn, idleTime time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed {
		return nil
	}
	if p.closed || p.idleLimit <= 0 {
		return c
	}
	m := p.addrs[c.addr]
	c.expiresAt = clock.Now().Add(idleTime)
	m.idle = append(m.idle, c)
	p.schedule(c.expiresAt)
	if len(m.idle) <= p.idleLimit {
		return nil
	}
	surplus := m.idle[0]
	m.idle = slices.Delete(m.idle, 0, 1)
	return surplus
}

// remove removes the connection from the pool. It returns false if it was removed before.
func (p *Pool) remove(c *conn) bool {
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

// schedule makes sweep run at the given time at the latest. The caller holds p.mu.
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

func (p *Pool) sweep() {
	for _, c := range p.expired() {
		c.close()
	}
}

// expired removes the connections whose idle time has expired, and schedules the next
// sweep if others are still idle.
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
			if now.Before(c.expiresAt) {
				p.schedule(c.expiresAt)
				return false
			}
			out = append(out, c)
			return true
		})
	}
	return out
}
