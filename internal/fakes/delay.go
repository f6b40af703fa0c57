package fakes

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// Dial opens a connection.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// Delayed returns a dial whose connections carry every byte so much later, in
// both directions. A negative delay stands for a link that is cut.
func Delayed(dial Dial, delay func(addr string) time.Duration) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		d := delay(addr)
		if d < 0 {
			return nil, &net.OpError{
				Op:  "dial",
				Net: network,
				Err: io.ErrClosedPipe,
			}
		}
		conn, err := dial(ctx, network, addr)
		if err != nil || d == 0 {
			return conn, err
		}
		return newDelayedConn(conn, d), nil
	}
}

type chunk struct {
	due  time.Time
	data []byte
	err  error
}

const chunks = 1024 // of one direction on their way at once

// delayedConn carries bytes both ways through queues that hold them back.
type delayedConn struct {
	net.Conn
	delay time.Duration
	out   chan chunk
	in    chan chunk
	rest  []byte
	err   error
	once  sync.Once
	done  chan struct{}
}

func newDelayedConn(conn net.Conn, d time.Duration) *delayedConn {
	c := &delayedConn{
		Conn:  conn,
		delay: d,
		out:   make(chan chunk, chunks),
		in:    make(chan chunk, chunks),
		done:  make(chan struct{}),
	}
	go c.pumpOut()
	go c.pumpIn()
	return c
}

func (c *delayedConn) hold(due time.Time) bool {
	t := time.NewTimer(time.Until(due))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.done:
		return false
	}
}

func (c *delayedConn) pumpOut() {
	for {
		select {
		case next := <-c.out:
			if !c.hold(next.due) {
				return
			}
			if _, err := c.Conn.Write(next.data); err != nil {
				_ = c.Close()
				return
			}
		case <-c.done:
			return
		}
	}
}

func (c *delayedConn) pumpIn() {
	for {
		buf := make([]byte, 32<<10)
		n, err := c.Conn.Read(buf)
		next := chunk{
			due:  time.Now().Add(c.delay),
			data: buf[:n],
			err:  err,
		}
		select {
		case c.in <- next:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// Write sends data later.
func (c *delayedConn) Write(data []byte) (int, error) {
	next := chunk{
		due:  time.Now().Add(c.delay),
		data: append([]byte(nil), data...),
	}
	select {
	case c.out <- next:
		return len(data), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Read returns data that arrived long enough ago.
func (c *delayedConn) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.err != nil {
			return 0, c.err
		}
		select {
		case next := <-c.in:
			if !c.hold(next.due) {
				return 0, net.ErrClosed
			}
			c.rest = next.data
			c.err = next.err
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Close closes the connection at once.
func (c *delayedConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
