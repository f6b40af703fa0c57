package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	_ "github.com/havenrudder/havenrudder/internal/fixed"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// peer is the server's end of a connection.
type peer struct {
	net.Conn
	in *bufio.Reader
	n  int // number of the connection, from 0
}

func (c *peer) request() (*http.Request, error) {
	r, err := http.ReadRequest(c.in)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

// send writes s, and ignores errors since the client may have closed the connection.
func (c *peer) send(s string) {
	_, _ = io.WriteString(c, s)
}

// reset closes the connection with a TCP reset.
func (c *peer) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

type server struct {
	addr  string
	conns atomic.Int32
}

func newServer(t testing.TB, script func(c *peer)) *server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{
		addr: ln.Addr().String(),
	}
	var all sync.WaitGroup
	all.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			c := &peer{
				Conn: nc,
				in:   bufio.NewReader(nc),
				n:    int(s.conns.Add(1)) - 1,
			}
			all.Go(func() {
				defer func() { _ = nc.Close() }()
				script(c)
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		all.Wait()
	})
	return s
}

// newTestPool returns a pool that is closed before the servers of the test.
func newTestPool(t testing.TB, opts ...Option) *Pool {
	p := NewPool(opts...)
	t.Cleanup(p.Close)
	return p
}

// dialPipe returns a dial function that connects to the script by in-memory pipes.
func dialPipe(script func(c *peer)) func(context.Context, string, string) (net.Conn, error) {
	n := 0
	return func(context.Context, string, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		c := &peer{
			Conn: theirs,
			in:   bufio.NewReader(theirs),
			n:    n,
		}
		n++
		go func() {
			defer func() { _ = theirs.Close() }()
			script(c)
		}()
		return ours, nil
	}
}

func respondWith(response string) func(c *peer) {
	return func(c *peer) {
		for {
			if _, err := c.request(); err != nil {
				return
			}
			c.send(response)
		}
	}
}

func get(addr string) Request {
	return Request{
		Addr:   addr,
		Method: http.MethodGet,
		Target: "/",
	}
}

// fetch sends the request and reads the response body.
func fetch(p *Pool, req Request) (a *Response, body string, err error) {
	a, err = p.Do(context.Background(), req)
	if err != nil {
		return nil, "", err
	}
	b, err := io.ReadAll(a)
	_ = a.Close()
	return a, string(b), err
}

func errorDetails(t testing.TB, err error) (sent bool, stage Stage) {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) {
		t.Fatalf("not an *Error: %v", err)
	}
	return e.Sent(), e.Stage()
}

// awaitUnread waits until the only idle connection to addr has unread bytes or is closed.
func awaitUnread(t testing.TB, p *Pool, addr string) {
	t.Helper()
	p.mu.Lock()
	nc := p.addrs[addr].idle[0].nc
	p.mu.Unlock()
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Read(func(fd uintptr) bool {
		_, err := peek(int(fd))
		return err != syscall.EAGAIN
	})
	if err != nil {
		t.Fatal(err)
	}
}
