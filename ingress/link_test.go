package ingress

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/internal/fakes"
)

// link is a box's link. While it is congested, data and connections are delayed, but not lost.
// While the CPU of the box is overloaded, received data stays unread, but connections are made.
type link struct {
	net          *fakes.Network
	mu           sync.Mutex
	fullUntil    time.Time
	unreadUntil  time.Time
	refusedUntil time.Time
	dials        int
}

func (l *link) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return clock.Now().Before(l.refusedUntil)
}

func (l *link) refuse(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusedUntil = clock.Now().Add(d)
}

// fill congests the link for d.
func (l *link) fill(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fullUntil = clock.Now().Add(d)
}

// delayReads leaves received data unread for d.
func (l *link) delayReads(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreadUntil = clock.Now().Add(d)
}

// full returns until when the link is congested.
func (l *link) full() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fullUntil
}

// deliveredAt returns when data that arrives now is read.
func (l *link) deliveredAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreadUntil.After(l.fullUntil) {
		return l.unreadUntil
	}
	return l.fullUntil
}

func (l *link) dialled() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dials
}

func waitUntil(till time.Time, done <-chan struct{}) error {
	timer := time.NewTimer(clock.Until(till))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-done:
		return net.ErrClosed
	}
}

func (l *link) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	l.mu.Lock()
	l.dials++
	l.mu.Unlock()
	if l.isDown() {
		return nil, net.ErrClosed
	}
	if err := waitUntil(l.full(), ctx.Done()); err != nil {
		return nil, ctx.Err()
	}
	c, err := l.net.Dial("box")(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &throughLink{
		Conn: c,
		link: l,
		done: make(chan struct{}),
	}, nil
}

// throughLink is a connection over a link.
type throughLink struct {
	net.Conn
	link   *link
	done   chan struct{}
	once   sync.Once
	unread atomic.Bool // bytes have arrived and are not read
}

// Read reads data that has passed the link.
func (c *throughLink) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.unread.Store(n > 0 && clock.Now().After(c.link.full()))
	defer c.unread.Store(false)
	if passed := waitUntil(c.link.deliveredAt(), c.done); passed != nil {
		return 0, passed
	}
	return n, err
}

// SyscallConn returns a connection whose socket reports unread bytes.
func (c *throughLink) SyscallConn() (syscall.RawConn, error) { return (*rawLink)(c), nil }

type rawLink throughLink

// Control calls f with a socket that has an unread byte if the connection has some.
func (c *rawLink) Control(f func(fd uintptr)) error {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		return err
	}
	if c.unread.Load() {
		_, err = syscall.Write(pair[1], []byte("x"))
	}
	f(uintptr(pair[0]))
	return errors.Join(err, syscall.Close(pair[0]), syscall.Close(pair[1]))
}

func (c *rawLink) Read(f func(fd uintptr) bool) error {
	return c.Control(func(fd uintptr) { f(fd) })
}

func (*rawLink) Write(func(uintptr) bool) error { return syscall.ENOTSUP }

func (c *throughLink) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
