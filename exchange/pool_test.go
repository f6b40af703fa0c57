package exchange

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func TestAnIdleConnectionIsReused(t *testing.T) {
	is := is.New(t)
	s := newServer(t, respondWith(okResponse))
	dials := 0
	p := newTestPool(t, WithOnDial(func(addr string) {
		is.Equal(addr, s.addr)
		dials++
	}))
	for i := range 5 {
		a, body, err := fetch(p, get(s.addr))
		is.NoErr(err)
		is.Equal(body, "ok")
		is.Equal(a.Status(), 200)
		is.Equal(a.Header().Get("Content-Length"), "2")
		is.Equal(a.Reused(), i > 0)
		is.Equal(p.OpenConns(s.addr), 1)
	}
	is.Equal(dials, 1)
}

func TestAConnectionWithAnUnfinishedExchangeIsNotReused(t *testing.T) {
	cases := []struct {
		name       string
		response   string
		read       int
		connection string // the request's Connection header
	}{
		{"the body is not read", okResponse, 1, ""},
		{"bytes follow", okResponse + "x", 2, ""},
		{"the response has connection close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 2, ""},
		{"an old version", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", 2, ""},
		{"the request has connection close", okResponse, 2, "x, Close"},
		{"no idle time", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", 2, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, respondWith(tc.response))
			p := newTestPool(t)
			req := get(s.addr)
			if tc.connection != "" {
				req.Header = map[string][]string{"Connection": {tc.connection}}
			}
			a, err := p.Do(t.Context(), req)
			is.NoErr(err)
			_, err = io.ReadFull(a, make([]byte, tc.read))
			is.NoErr(err)
			is.NoErr(a.Close())
			is.NoErr(a.Close()) // idempotent
			is.Equal(p.OpenConns(s.addr), 0)
		})
	}
}

func TestAnIdleConnectionWithUnreadBytesIsNotReused(t *testing.T) {
	for _, extra := range []string{"", okResponse} { // closed, or an unexpected response
		is := is.New(t)
		release := make(chan struct{})
		s := newServer(t, func(c *peer) {
			if c.n > 0 {
				respondWith(okResponse)(c)
				return
			}
			_, _ = c.request()
			c.send(okResponse)
			<-release
			c.send(extra)
			if extra != "" {
				_, _ = io.Copy(io.Discard, c)
			}
		})
		p := newTestPool(t)
		_, _, err := fetch(p, get(s.addr))
		is.NoErr(err)
		close(release)
		awaitUnread(t, p, s.addr)
		a, body, err := fetch(p, get(s.addr))
		is.NoErr(err)
		is.Equal(body, "ok")
		is.Equal(a.Reused(), false)
		is.Equal(p.OpenConns(s.addr), 1)
	}
}

func TestAnIdleConnectionIsClosedAfterItsIdleTime(t *testing.T) {
	const short = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 2\r\n\r\nok"
	cases := []struct {
		name     string
		response string
		idleTime time.Duration
	}{
		{"idle time of the pool", okResponse, 10 * time.Second},
		{"idle time of the server", short, 1500 * time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := newTestPool(t, WithDial(dialPipe(respondWith(tc.response))), WithIdleTime(10*time.Second))
				_, _, err := fetch(p, get("x"))
				is.NoErr(err)
				time.Sleep(tc.idleTime - time.Millisecond)
				a, _, err := fetch(p, get("x"))
				is.NoErr(err)
				is.True(a.Reused())
				time.Sleep(tc.idleTime - time.Millisecond)
				synctest.Wait()
				is.Equal(p.OpenConns("x"), 1) // each use restarts the idle time
				time.Sleep(time.Millisecond)
				synctest.Wait()
				is.Equal(p.OpenConns("x"), 0)
			})
		})
	}
}

func TestOneTimerClosesAllConnectionsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newTestPool(t, WithDial(dialPipe(respondWith(okResponse))), WithIdleTime(10*time.Second))
		for _, addr := range []string{"a", "b", "c"} {
			_, _, err := fetch(p, get(addr))
			is.NoErr(err)
			time.Sleep(time.Second)
		}
		time.Sleep(6 * time.Second) // 9 s after the first
		for expired, addr := range []string{"a", "b", "c"} {
			is.Equal(p.OpenConns("a")+p.OpenConns("b")+p.OpenConns("c"), 3-expired)
			time.Sleep(time.Second)
			synctest.Wait()
			is.Equal(p.OpenConns(addr), 0)
		}
	})
}

func TestAnExpiredConnectionIsNotReusedBeforeTheSweep(t *testing.T) {
	is := is.New(t)
	s := newServer(t, respondWith(okResponse))
	p := newTestPool(t, WithIdleTime(time.Hour))
	_, _, err := fetch(p, get(s.addr))
	is.NoErr(err)
	p.mu.Lock()
	p.addrs[s.addr].idle[0].expiresAt = time.Now()
	p.mu.Unlock()
	a, _, err := fetch(p, get(s.addr))
	is.NoErr(err)
	is.Equal(a.Reused(), false)
	is.Equal(p.OpenConns(s.addr), 1)
}

func TestNoMoreConnectionsAreKeptThanTheLimit(t *testing.T) {
	for _, limit := range []int{0, 2} {
		is := is.New(t)
		s := newServer(t, respondWith(okResponse))
		p := newTestPool(t, WithIdleLimit(limit))
		var answers []*Response
		for range 5 {
			a, err := p.Do(t.Context(), get(s.addr))
			is.NoErr(err)
			answers = append(answers, a)
		}
		is.Equal(p.OpenConns(s.addr), 5)
		for _, a := range answers {
			_, err := io.Copy(io.Discard, a)
			is.NoErr(err)
			is.NoErr(a.Close())
		}
		is.Equal(p.OpenConns(s.addr), limit)
	}
}

func TestCloseAddrFailsRequestsInFlight(t *testing.T) {
	is := is.New(t)
	asked := make(chan struct{})
	s := newServer(t, func(c *peer) {
		for {
			r, err := c.request()
			if err != nil {
				return
			}
			if r.URL.Path == "/wait" {
				close(asked)
				continue
			}
			c.send(okResponse)
		}
	})
	other := newServer(t, respondWith(okResponse))
	p := newTestPool(t)
	a, err := p.Do(t.Context(), get(s.addr))
	is.NoErr(err)
	for _, addr := range []string{s.addr, other.addr} {
		_, _, err = fetch(p, get(addr))
		is.NoErr(err)
	}
	is.Equal(p.OpenConns(s.addr), 2) // one busy, one idle
	failed := make(chan error)
	go func() {
		req := get(s.addr)
		req.Target = "/wait"
		_, err := p.Do(context.Background(), req)
		failed <- err
	}()
	<-asked
	p.CloseAddr(s.addr)
	sent, stage := errorDetails(t, <-failed)
	is.Equal(sent, true)
	is.Equal(stage, StageResponse)
	is.Equal(p.OpenConns(s.addr), 0)
	is.NoErr(a.Close()) // doesn't return to the pool
	is.Equal(p.OpenConns(s.addr), 0)
	is.Equal(p.OpenConns(other.addr), 1)
	_, _, err = fetch(p, get(s.addr)) // the address may be used again
	is.NoErr(err)
}

func TestAClosedPoolSendsNothing(t *testing.T) {
	is := is.New(t)
	s := newServer(t, respondWith(okResponse))
	p := NewPool()
	_, _, err := fetch(p, get(s.addr))
	is.NoErr(err)
	p.Close()
	is.Equal(p.OpenConns(s.addr), 0)
	_, err = p.Do(t.Context(), get(s.addr))
	sent, stage := errorDetails(t, err)
	is.Equal(sent, false)
	is.Equal(stage, StageDial)
	is.True(errors.Is(err, errPoolClosed))
	p.Close()
}

// Guards against a congested link that ends requests before their own timeout: the TCP user
// timeout is short only for idle connections.
func TestABusyConnectionHasALongerUserTimeout(t *testing.T) {
	is := is.New(t)
	s := newServer(t, respondWith(okResponse))
	var nc net.Conn
	dial := func(ctx context.Context, network, addr string) (c net.Conn, err error) {
		c, err = NewDialer().DialContext(ctx, network, addr)
		nc = c
		return c, err
	}
	p := NewPool(WithDial(dial), WithBusyUserTimeout(20*time.Second))
	defer p.Close()
	limit := func() int {
		raw, err := nc.(*net.TCPConn).SyscallConn()
		is.NoErr(err)
		var value int
		is.NoErr(raw.Control(func(fd uintptr) {
			value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
		}))
		is.NoErr(err)
		return value
	}
	for range 2 { // on a new connection, and on a reused one
		a, err := p.Do(t.Context(), Request{
			Addr:   s.addr,
			Target: "/",
		})
		is.NoErr(err)
		is.Equal(limit(), 20000)
		_, err = io.ReadAll(a)
		is.NoErr(err)
		is.NoErr(a.Close())
		is.Equal(limit(), 2000)
	}
	is.Equal(s.conns.Load(), int32(1))
}

func TestADialledSocketDetectsAnUnreachablePeer(t *testing.T) {
	is := is.New(t)
	s := newServer(t, respondWith(okResponse))
	nc, err := NewDialer().DialContext(t.Context(), "tcp", s.addr)
	is.NoErr(err)
	defer func() { _ = nc.Close() }()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	option := func(level, name int) int {
		var value int
		cerr := raw.Control(func(fd uintptr) {
			value, err = syscall.GetsockoptInt(int(fd), level, name)
		})
		is.NoErr(cerr)
		is.NoErr(err)
		return value
	}
	is.Equal(option(syscall.IPPROTO_TCP, tcpUserTimeout), 2000)
	is.Equal(option(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE), 1)
	is.Equal(option(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL), 1)
	is.Equal(option(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT), 2)
	is.True(option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE) != 0)
}
