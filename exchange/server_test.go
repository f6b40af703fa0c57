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

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// peer is the server's end of one connection.
type peer struct {
	net.Conn
	in *bufio.Reader
	n  int // which connection of the server it is, from 0
}

// request reads a whole request.
func (c *peer) request() (*http.Request, error) {
	r, err := http.ReadRequest(c.in)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r, err
}

// say writes s.
func (c *peer) say(s string) {
	_, _ = io.WriteString(c, s) // the client may have closed; it tells the verdict
}

// reset closes the connection in such a way that the client is told of a reset.
func (c *peer) reset() {
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// server runs a script on each connection and closes it afterwards.
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

// newTestPool returns a pool that is closed before the test's servers are.
func newTestPool(t testing.TB, opts ...Option) *Pool {
	p := NewPool(opts...)
	t.Cleanup(p.Close)
	return p
}

// piped returns a dial function whose connections are pipes to the script.
func piped(script func(c *peer)) func(context.Context, string, string) (net.Conn, error) {
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

// always answers each request with the same bytes.
func always(answer string) func(c *peer) {
	return func(c *peer) {
		for {
			if _, err := c.request(); err != nil {
				return
			}
			c.say(answer)
		}
	}
}

// get returns a plain request to addr.
func get(addr string) Request {
	return Request{
		Addr:   addr,
		Method: http.MethodGet,
		Target: "/",
	}
}

// fetch carries the request and reads its answer to the end.
func fetch(p *Pool, req Request) (a *Answer, body string, err error) {
	a, err = p.Do(context.Background(), req)
	if err != nil {
		return nil, "", err
	}
	b, err := io.ReadAll(a)
	_ = a.Close()
	return a, string(b), err
}

// sentAt returns what a failure says of itself.
func sentAt(t testing.TB, err error) (sent bool, stage Stage) {
	t.Helper()
	var e *Error
	if !errors.As(err, &e) {
		t.Fatalf("not an *Error: %v", err)
	}
	return e.Sent(), e.Stage()
}

// awaitNews waits until the only resting connection to addr has bytes or its end to
// read.
func awaitNews(t testing.TB, p *Pool, addr string) {
	t.Helper()
	p.mu.Lock()
	nc := p.addrs[addr].idle[0].nc
	p.mu.Unlock()
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Read(func(fd uintptr) bool {
		return peek(int(fd)) != syscall.EAGAIN
	})
	if err != nil {
		t.Fatal(err)
	}
}
