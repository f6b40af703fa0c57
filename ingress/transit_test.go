package ingress

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/internal/fakes"
)

const transitWrites = 64 // of one connection that are under way at once

// transitLink is a link to a replica. While it is held up, all data stays under way. What a box has
// written is delivered also after the box has ended its connection.
type transitLink struct {
	mu    sync.Mutex
	until time.Time // for which it is held up
	conns []*transitConn
}

// hold holds the link up for d from now.
func (l *transitLink) hold(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = clock.Now().Add(d)
}

func (l *transitLink) freeAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until
}

// wait returns once the link is free.
func (l *transitLink) wait() {
	for clock.Until(l.freeAt()) > 0 {
		time.Sleep(clock.Until(l.freeAt()))
	}
}

// reset ends all connections on the side of the boxes. What they have written stays under way.
func (l *transitLink) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.end()
	}
}

// spoil lets all boxes read bytes that are no answer.
func (l *transitLink) spoil() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.spoilt.Store(true)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends a read; it fails only on a closed connection
	}
}

// through returns a dial function whose connections go through the link.
func (l *transitLink) through(dial fakes.Dial) fakes.Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if err := waitUntil(l.freeAt(), ctx.Done()); err != nil {
			return nil, ctx.Err()
		}
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &transitConn{
			Conn:  nc,
			link:  l,
			wrote: make(chan []byte, transitWrites),
			done:  make(chan struct{}),
		}
		go c.deliver()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conns = append(l.conns, c)
		return c, nil
	}
}

// transitConn is a connection through a transitLink.
type transitConn struct {
	net.Conn
	link  *transitLink
	wrote chan []byte
	done  chan struct{}
	once  sync.Once

	spoilt atomic.Bool
}

// deliver passes on what was written, and then the end of the connection.
func (c *transitConn) deliver() {
	defer func() { _ = c.Conn.Close() }()
	for {
		select {
		case p := <-c.wrote:
			if !c.pass(p) {
				return
			}
			continue
		default:
		}
		select {
		case p := <-c.wrote:
			if !c.pass(p) {
				return
			}
		case <-c.done:
			if len(c.wrote) == 0 {
				return
			}
		}
	}
}

func (c *transitConn) pass(p []byte) bool {
	c.link.wait()
	_, err := c.Conn.Write(p)
	return err == nil
}

// Write puts data under way.
func (c *transitConn) Write(p []byte) (int, error) {
	select {
	case <-c.done:
		return 0, syscall.ECONNRESET
	default:
	}
	select {
	case c.wrote <- bytes.Clone(p):
		return len(p), nil
	case <-c.done:
		return 0, syscall.ECONNRESET
	}
}

// Read returns what has passed the link.
func (c *transitConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.spoilt.Load() {
		return copy(p, "no answer\r\n\r\n"), nil
	}
	if waitUntil(c.link.freeAt(), c.done) != nil {
		return 0, syscall.ECONNRESET
	}
	select {
	case <-c.done:
		return 0, syscall.ECONNRESET
	default:
		return n, err
	}
}

func (c *transitConn) end() {
	c.once.Do(func() {
		close(c.done)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends a read; it fails only on a closed connection
	})
}

// Close ends the connection on the side of the box.
func (c *transitConn) Close() error {
	c.end()
	return nil
}
