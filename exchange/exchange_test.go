package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

var errBroken = errors.New("broken")

func TestARequestIsWrittenAsItWasGiven(t *testing.T) {
	const ua = "User-Agent"
	cases := []struct {
		name string
		req  Request
		want string
	}{
		{"plain", Request{Target: "/a%2Fb?x=%20&y"}, "GET /a%2Fb?x=%20&y HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"two slashes", Request{Target: "//a//b"}, "GET //a//b HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"odd characters", Request{Target: "/<\"é|?"}, "GET /<\"é|? HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"star", Request{Method: "OPTIONS", Target: "*"}, "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"agent", Request{Target: "/", Header: http.Header{ua: {"me"}}}, "GET / HTTP/1.1\r\nHost: h\r\nUser-Agent: me\r\n\r\n"},
		{"header", Request{Target: "/", Header: http.Header{"X-A": {"1", "2"}}}, "GET / HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nX-A: 2\r\n\r\n"},
		{"body", Request{Method: "POST", Target: "/", Body: []byte("abc")}, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"},
		{"empty post", Request{Method: "POST", Target: "/"}, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"},
		{"get with body", Request{Target: "/", Body: []byte("abc")}, "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			got := make([]byte, len(tc.want))
			s := newServer(t, func(c *peer) {
				_, _ = io.ReadFull(c, got)
				c.send(okResponse)
			})
			tc.req.Addr = s.addr
			tc.req.Host = "h"
			before := tc.req.Header.Clone()
			_, body, err := fetch(newTestPool(t), tc.req)
			is.NoErr(err)
			is.Equal(body, "ok")
			is.Equal(string(got), tc.want)
			is.Equal(tc.req.Header, before) // the caller's header is not modified
		})
	}
}

func TestARequestThatCannotBeWrittenUnchangedIsRefused(t *testing.T) {
	for _, req := range []Request{
		{Target: ""},
		{Target: "/a b"},
		{Target: "/a\r\nX: y"},
		{Target: "/", Method: "G T"},
		{Target: "/", Method: "GET\r\n"},
	} {
		is := is.New(t)
		p := newTestPool(t, WithOnDial(func(string) { t.Error("dialled") }))
		_, err := p.Do(t.Context(), req)
		sent, stage := errorDetails(t, err)
		is.Equal(sent, false)
		is.Equal(stage, StageWrite)
	}
}

func TestAFailedDialHasSentNothing(t *testing.T) {
	is := is.New(t)
	p := newTestPool(t, WithDial(func(context.Context, string, string) (net.Conn, error) {
		return nil, errBroken
	}))
	_, err := p.Do(t.Context(), get("x"))
	sent, stage := errorDetails(t, err)
	is.Equal(sent, false)
	is.Equal(stage, StageDial)
	is.True(errors.Is(err, errBroken))
	is.Equal(p.OpenConns("x"), 0)
}

func TestADialEndsAtItsTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newTestPool(t, WithDial(func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}))
		start := time.Now()
		_, err := p.Do(t.Context(), get("x"))
		is.Equal(time.Since(start), 500*time.Millisecond)
		sent, stage := errorDetails(t, err)
		is.Equal(sent, false)
		is.Equal(stage, StageDial)
	})
}

// Guards against a reachable server taken for unreachable as this process got no processor.
func TestADialWhoseTimeoutPassedWhileTheProcessWasHeldUpIsRepeatedOnce(t *testing.T) {
	cases := []struct {
		name  string
		late  time.Duration // end of the first dial after its timeout
		fails int           // dials in a row
		dials int
		ok    bool
	}{
		{"held up", 100 * time.Millisecond, 1, 2, true},
		{"held up, and unreachable", 100 * time.Millisecond, 2, 2, false},
		{"held up longer than the caller has time", 10 * time.Second, 1, 1, false},
		{"not held up", 0, 1, 1, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				dials := 0
				connect := dialPipe(respondWith(okResponse))
				p := newTestPool(t, WithDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
					dials++
					if dials > tc.fails {
						return connect(ctx, network, addr)
					}
					<-ctx.Done()
					time.Sleep(tc.late)
					return nil, ctx.Err()
				}))
				ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
				defer cancel()
				a, err := p.Do(ctx, get("x"))
				is.Equal(err == nil, tc.ok)
				is.Equal(dials, tc.dials)
				if err == nil {
					is.NoErr(a.Close())
				}
				p.Close()
			})
		})
	}
}

func TestARequestThatIsReadAndDroppedArrivesOnce(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int32
	s := newServer(t, func(c *peer) {
		for {
			r, err := c.request()
			if err != nil {
				return
			}
			if r.URL.Path == "/drop" {
				arrived.Add(1)
				return
			}
			c.send(okResponse)
		}
	})
	p := newTestPool(t)
	_, _, err := fetch(p, get(s.addr))
	is.NoErr(err)
	req := get(s.addr)
	req.Target = "/drop"
	_, _, err = fetch(p, req)
	sent, stage := errorDetails(t, err)
	is.Equal(sent, true)
	is.Equal(stage, StageResponse)
	_, _, err = fetch(p, get(s.addr)) // a retry would have arrived by now
	is.NoErr(err)
	is.Equal(arrived.Load(), int32(1))
	is.Equal(s.conns.Load(), int32(2))
}

// limitedConn is a connection whose writes fail after a number of bytes. It exposes no file
// descriptor.
type limitedConn struct {
	net.Conn
	left *int
}

func (f limitedConn) Write(p []byte) (int, error) {
	n := min(len(p), *f.left)
	*f.left -= n
	n, err := f.Conn.Write(p[:n])
	if err == nil && n < len(p) {
		err = errBroken
	}
	return n, err
}

// dialLimited connects by TCP. The first connection accepts *left bytes.
func dialLimited(left *int) func(context.Context, string, string) (net.Conn, error) {
	first := true
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := NewDialer().DialContext(ctx, network, addr)
		if err != nil || !first {
			return nc, err
		}
		first = false
		return limitedConn{
			Conn: nc,
			left: left,
		}, nil
	}
}

func TestAReusedConnectionThatAcceptsNoByteIsReplaced(t *testing.T) {
	for _, size := range []int{0, 100, 100_000} {
		is := is.New(t)
		s := newServer(t, respondWith(okResponse))
		left := 1 << 20
		p := newTestPool(t, WithDial(dialLimited(&left)))
		_, _, err := fetch(p, get(s.addr))
		is.NoErr(err)
		left = 0
		req := get(s.addr)
		req.Body = make([]byte, size)
		a, body, err := fetch(p, req)
		is.NoErr(err)
		is.Equal(body, "ok")
		is.Equal(a.Reused(), false)
		is.Equal(s.conns.Load(), int32(2))
	}
}

func TestAReusedConnectionThatAcceptedAByteIsNotReplaced(t *testing.T) {
	is := is.New(t)
	s := newServer(t, respondWith(okResponse))
	left := 1 << 20
	p := newTestPool(t, WithDial(dialLimited(&left)))
	_, _, err := fetch(p, get(s.addr))
	is.NoErr(err)
	left = 1
	_, _, err = fetch(p, get(s.addr))
	sent, stage := errorDetails(t, err)
	is.Equal(sent, true)
	is.Equal(stage, StageWrite)
	is.Equal(s.conns.Load(), int32(1))
	is.Equal(p.OpenConns(s.addr), 0)
}

func TestANewConnectionThatAcceptsNoByteIsNotReplaced(t *testing.T) {
	is := is.New(t)
	s := newServer(t, respondWith(okResponse))
	left := 0
	p := newTestPool(t, WithDial(dialLimited(&left)))
	_, _, err := fetch(p, get(s.addr))
	sent, stage := errorDetails(t, err)
	is.Equal(sent, false)
	is.Equal(stage, StageWrite)
	is.True(errors.Is(err, errBroken))
}

func TestResponsesToOtherRequestsAreDiscardedOrCloseTheConnection(t *testing.T) {
	const (
		ours    = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nme"
		late    = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nother"
		chunked = "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n"
		endless = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nother"
		last    = "HTTP/1.1 408 Too late\r\nId: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	)
	long := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537)
	fits := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", 65536)
	cases := []struct {
		name     string
		method   string
		response string
		ok       bool
	}{
		{"length", "GET", late + ours, true},
		{"chunks", "GET", chunked + ours, true},
		{"just short enough", "GET", fits + ours, true},
		{"no length", "GET", endless, false},
		{"too long", "GET", long + ours, false},
		{"two", "GET", late + late + ours, false},
		{"connection close", "GET", last, false},
		{"head", "HEAD", late + ours, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, respondWith(tc.response))
			p := newTestPool(t)
			req := get(s.addr)
			req.Method = tc.method
			req.Matches = func(h http.Header) bool { return h.Get("Id") == "2" }
			_, body, err := fetch(p, req)
			if tc.ok {
				is.NoErr(err)
				is.Equal(body, "me")
				is.Equal(p.OpenConns(s.addr), 1)
				return
			}
			sent, stage := errorDetails(t, err)
			is.Equal(sent, true)
			is.Equal(stage, StageMismatch)
			is.Equal(p.OpenConns(s.addr), 0)
		})
	}
}

// Guards against a second copy of a response that is taken for that to a later send of the same request.
func TestAConnectionThatHasCarriedARequestIsNotUsedForItAgain(t *testing.T) {
	is := is.New(t)
	s := newServer(t, respondWith(okResponse))
	p := newTestPool(t)
	send := func(id string) (conn uint64) {
		req := get(s.addr)
		req.ID = id
		a, _, err := fetch(p, req)
		is.NoErr(err)
		return a.Conn()
	}
	is.Equal(send("a"), uint64(1))
	is.Equal(send("b"), uint64(1))
	is.Equal(send("a"), uint64(2))
	is.Equal(send("b"), uint64(2)) // the most recently used one that has not carried it
	is.Equal(send("a"), uint64(3))
	is.Equal(send("b"), uint64(3))
	is.Equal(send(""), uint64(3))
	is.Equal(send(""), uint64(3)) // requests without an ID use any
	is.Equal(send("b"), uint64(4))
	is.Equal(p.OpenConns(s.addr), 4)
}

func TestAConnectionIsUsedForARequestAgainAfterManyOthers(t *testing.T) {
	is := is.New(t)
	s := newServer(t, respondWith(okResponse))
	p := newTestPool(t)
	for i := range maxCarried + 1 {
		req := get(s.addr)
		req.ID = strconv.Itoa(i)
		_, _, err := fetch(p, req)
		is.NoErr(err)
	}
	req := get(s.addr)
	req.ID = "0"
	a, _, err := fetch(p, req)
	is.NoErr(err)
	is.True(a.Reused())
	is.Equal(s.conns.Load(), int32(1))
}

// Guards against a second copy that comes after many other responses of its connection.
func TestAConnectionIsNotUsedAgainForASendOfTheSameRequestAfterManyOthers(t *testing.T) {
	is := is.New(t)
	s := newServer(t, respondWith(okResponse))
	p := newTestPool(t)
	var carriers Carriers
	send := func(id string, carriers *Carriers) (conn uint64) {
		req := get(s.addr)
		req.ID = id
		req.Carriers = carriers
		a, _, err := fetch(p, req)
		is.NoErr(err)
		return a.Conn()
	}
	is.Equal(send("a", &carriers), uint64(1))
	for i := range maxCarried + 1 {
		is.Equal(send(strconv.Itoa(i), nil), uint64(1))
	}
	is.Equal(send("a", &carriers), uint64(2))
	is.Equal(send("a", &carriers), uint64(3))
}

func TestTheEndOfTheContextEndsAnExchangeAtOnce(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
	for _, size := range []int{0, 10 << 20} {
		is := is.New(t)
		gone := make(chan struct{})
		received := make(chan struct{})
		s := newServer(t, func(c *peer) {
			_, _ = http.ReadRequest(c.in)
			close(received)
			_, _ = io.Copy(io.Discard, c.in)
			close(gone)
		})
		p := newTestPool(t)
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-received
			cancel()
		}()
		req := get(s.addr)
		req.Body = make([]byte, size)
		_, err := p.Do(ctx, req)
		sent, stage := errorDetails(t, err)
		is.Equal(sent, true)
		is.Equal(stage, StageResponse)
		is.True(errors.Is(err, context.Canceled))
		<-gone
		is.Equal(p.OpenConns(s.addr), 0)
	}

	is := is.New(t)
	gone := make(chan struct{})
	s := newServer(t, func(c *peer) {
		_, _ = c.request()
		c.send(head + "abc")
		_, _ = io.Copy(io.Discard, c.in)
		close(gone)
	})
	p := newTestPool(t)
	ctx, cancel := context.WithCancel(t.Context())
	a, err := p.Do(ctx, get(s.addr))
	is.NoErr(err)
	_, err = io.ReadFull(a, make([]byte, 3))
	is.NoErr(err)
	go cancel() // before or during the read
	_, err = a.Read(make([]byte, 1))
	is.Equal(err, context.Canceled)
	<-gone
	_, err = a.Read(make([]byte, 1))
	is.Equal(err, context.Canceled)
	is.NoErr(a.Close())
	is.Equal(p.OpenConns(s.addr), 0)
}

func TestAnEndedContextSendsNothing(t *testing.T) {
	is := is.New(t)
	s := newServer(t, respondWith(okResponse))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := newTestPool(t).Do(ctx, get(s.addr))
	sent, stage := errorDetails(t, err)
	is.Equal(sent, false)
	is.Equal(stage, StageDial)
	is.True(errors.Is(err, context.Canceled))
}

func TestBeginIsCalledBeforeEachWrite(t *testing.T) {
	is := is.New(t)
	s := newServer(t, func(c *peer) {
		c.request()
		c.send(okResponse)
	})
	calls := 0
	onWrite := func(func() bool) error {
		calls++
		return nil
	}
	_, _, err := fetch(newTestPool(t), Request{
		Addr:    s.addr,
		Target:  "/",
		OnWrite: onWrite,
	})
	is.NoErr(err)
	is.Equal(calls, 1)
	_, _, err = fetch(newTestPool(t), Request{
		Addr:    "127.0.0.1:1", // no listener
		Target:  "/",
		OnWrite: onWrite,
	})
	is.True(err != nil)
	is.Equal(calls, 1)
}

// Guards against a request that is written although its sender no longer wants that.
func TestARequestThatOnWriteDeclinesIsNotSent(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	s := newServer(t, func(c *peer) {
		if _, err := c.request(); err != nil {
			return // the connection has ended without a request
		}
		received.Add(1)
		c.send(okResponse)
	})
	calls := 0
	errNotNow := errors.New("not now")
	_, _, err := fetch(newTestPool(t), Request{
		Addr:   s.addr,
		Target: "/",
		OnWrite: func(func() bool) error {
			calls++
			return errNotNow
		},
	})
	is.True(errors.Is(err, errNotNow))
	var e *Error
	is.True(errors.As(err, &e))
	is.True(!e.Sent())
	is.Equal(calls, 1)
	is.Equal(received.Load(), int64(0))
}

// Guards against a request that is written although its context has ended while it waited for a connection.
func TestARequestIsNotWrittenOnceItsContextHasEnded(t *testing.T) {
	is := is.New(t)
	arrived := make(chan bool, 1)
	s := newServer(t, func(c *peer) {
		_, err := c.request()
		arrived <- err == nil
	})
	for range 20 {
		p := newTestPool(t)
		ctx, cancel := context.WithCancel(t.Context())
		req := get(s.addr)
		req.OnWrite = func(func() bool) error {
			cancel()
			return nil
		}
		_, err := p.Do(ctx, req)
		is.True(errors.Is(err, context.Canceled))
		sent, stage := errorDetails(t, err)
		is.True(!sent)
		is.Equal(stage, StageWrite)
		p.Close()
		is.True(!<-arrived)
	}
}
