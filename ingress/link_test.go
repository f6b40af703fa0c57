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

// link is a box's link. While it is full, nothing comes through, and nothing is lost. While
// the box's processor is behind, what has come lies unread, and connections are made.
type link struct {
	net    *fakes.Network
	mu     sync.Mutex
	till   time.Time
	behind time.Time
	down   time.Time // until when every connection is refused
	dials  int       // that were begun
}

func (l *link) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return clock.Now().Before(l.down)
}

// refuse has every connection be refused for a time.
func (l *link) refuse(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = clock.Now().Add(d)
}

// fill makes the link full for a time.
func (l *link) fill(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.till = clock.Now().Add(d)
}

// fallBehind has the box's processor read nothing for a time.
func (l *link) fallBehind(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.behind = clock.Now().Add(d)
}

// full returns until when the link is full.
func (l *link) full() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.till
}

// late returns until when what comes now is not read.
func (l *link) late() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.behind.After(l.till) {
		return l.behind
	}
	return l.till
}

// dialled returns how many connections were begun.
func (l *link) dialled() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dials
}

// waitTill waits until a time, or done is closed.
func waitTill(till time.Time, done <-chan struct{}) error {
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
	if err := waitTill(l.full(), ctx.Done()); err != nil {
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
	unread atomic.Bool // bytes have come and aren't read
}

// Read reads what came through the link.
func (c *throughLink) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.unread.Store(n > 0 && clock.Now().After(c.link.full()))
	defer c.unread.Store(false)
	if passed := waitTill(c.link.late(), c.done); passed != nil {
		return 0, passed
	}
	return n, err
}

// SyscallConn shows to the kernel's calls whether bytes are unread.
func (c *throughLink) SyscallConn() (syscall.RawConn, error) { return (*rawLink)(c), nil }

// rawLink is a connection over a link as the kernel knows it.
type rawLink throughLink

// Control gives f a socket with an unread byte if the connection has some.
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

// Close closes the connection.
func (c *throughLink) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
