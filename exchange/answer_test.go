package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestABodyEndsWithEOFOnlyWhenItIsComplete(t *testing.T) {
	const (
		length  = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"
		chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		endless = "HTTP/1.1 200 OK\r\n\r\n"
	)
	cases := []struct {
		name     string
		response string
		reset    bool
		ok       bool
	}{
		{"length", length + "abcdef", false, true},
		{"length cut", length + "abc", false, false},
		{"length reset", length + "abc", true, false},
		{"chunks", chunked + "3\r\nabc\r\n0\r\n\r\n", false, true},
		{"chunks cut between", chunked + "3\r\nabc\r\n", false, false},
		{"chunks cut inside", chunked + "3\r\nab", false, false},
		{"chunks cut before the last line", chunked + "3\r\nabc\r\n0\r\n", false, false},
		{"chunks reset", chunked + "3\r\nabc\r\n", true, false},
		{"until close", endless + "abc", false, true},
		{"until close, reset", endless + "abc", true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			read := make(chan struct{})
			s := newServer(t, func(c *peer) {
				_, _ = c.request()
				c.send(tc.response)
				if tc.reset {
					<-read // a reset discards what the client hasn't read
					c.reset()
				}
			})
			a, err := newTestPool(t).Do(t.Context(), get(s.addr))
			is.NoErr(err)
			_, err = io.ReadFull(a, make([]byte, 2))
			is.NoErr(err)
			close(read)
			_, err = io.Copy(io.Discard, a)
			is.Equal(err == nil, tc.ok)
			_, again := a.Read(make([]byte, 1))
			is.Equal(again == io.EOF, tc.ok)
			is.NoErr(a.Close())
			is.Equal(a.conn.pool.OpenConns(s.addr) == 1, tc.name == "length" || tc.name == "chunks")
		})
	}
}

// The kernel reports a reset either to the writing or to the reading goroutine.
func TestAResetReportedToTheWriterIsNotEOF(t *testing.T) {
	for range 100 {
		is := is.New(t)
		read := make(chan struct{})
		s := newServer(t, func(c *peer) {
			_, _ = http.ReadRequest(c.in)
			c.send("HTTP/1.1 200 OK\r\n\r\nabc")
			<-read
			c.reset()
		})
		req := get(s.addr)
		req.Body = make([]byte, 10<<20)
		p := newTestPool(t)
		a, err := p.Do(t.Context(), req)
		is.NoErr(err)
		_, err = io.ReadFull(a, make([]byte, 3))
		is.NoErr(err)
		close(read)
		_, err = a.Read(make([]byte, 1))
		is.True(err != nil)
		is.True(err != io.EOF)
		is.NoErr(a.Close())
	}
}

func TestABodyEndedByCloseIsCompleteWhenTheRequestIsUnread(t *testing.T) {
	is := is.New(t)
	over := make(chan struct{})
	s := newServer(t, func(c *peer) {
		_, _ = http.ReadRequest(c.in)
		c.send("HTTP/1.1 200 OK\r\n\r\nabc")
		_ = c.Conn.(*net.TCPConn).CloseWrite()
		<-over
	})
	req := get(s.addr)
	req.Body = make([]byte, 10<<20)
	_, body, err := fetch(newTestPool(t), req)
	close(over)
	is.NoErr(err)
	is.Equal(body, "abc")
}

func TestAResponseMayArriveBeforeTheBodyIsRead(t *testing.T) {
	is := is.New(t)
	bodyErr := make(chan error, 1)
	resume := make(chan struct{})
	s := newServer(t, func(c *peer) {
		r, err := http.ReadRequest(c.in)
		if err != nil {
			bodyErr <- err
			return
		}
		c.send("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc")
		<-resume
		_, err = io.Copy(io.Discard, r.Body)
		bodyErr <- err
		c.send("def")
	})
	req := get(s.addr)
	req.Body = make([]byte, 10<<20)
	a, err := newTestPool(t).Do(t.Context(), req)
	is.NoErr(err)
	b := make([]byte, 6)
	_, err = io.ReadFull(a, b[:3])
	is.NoErr(err)
	close(resume)
	_, err = io.ReadFull(a, b[3:])
	is.NoErr(err)
	is.Equal(string(b), "abcdef")
	is.NoErr(<-bodyErr)
	is.NoErr(a.Close())
}

func TestAConnectionWithAPartlyWrittenRequestIsClosed(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	s := newServer(t, func(c *peer) {
		_, _ = http.ReadRequest(c.in)
		c.send(okResponse)
		<-gone
	})
	p := newTestPool(t)
	req := get(s.addr)
	req.Body = make([]byte, 10<<20)
	a, body, err := fetch(p, req)
	is.NoErr(err)
	is.Equal(body, "ok")
	is.Equal(p.OpenConns(s.addr), 0)
	<-a.write.done // the write ends though the server keeps the connection open
	close(gone)
}

func TestAConnectionIsKeptAfterALongBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newTestPool(t, WithDial(dialPipe(respondWith(okResponse))))
		req := get("x")
		req.Body = make([]byte, 1<<20)
		for i := range 3 {
			a, err := p.Do(t.Context(), req)
			is.NoErr(err)
			synctest.Wait() // the writer has ended
			b, err := io.ReadAll(a)
			is.NoErr(err)
			is.Equal(string(b), "ok")
			is.Equal(a.Reused(), i > 0)
			is.NoErr(a.Close())
		}
	})
}

func TestAFailedWriteLeavesAGracePeriodForTheResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		left := 9000
		dial := dialPipe(func(c *peer) {
			_, _ = io.Copy(io.Discard, c) // never responds
		})
		p := newTestPool(t, WithDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := dial(ctx, network, addr)
			return limitedConn{
				Conn: nc,
				left: &left,
			}, err
		}))
		req := get("x")
		req.Body = make([]byte, 10_000)
		start := time.Now()
		_, err := p.Do(t.Context(), req)
		sent, stage := errorDetails(t, err)
		is.Equal(sent, true)
		is.Equal(stage, StageResponse)
		is.Equal(time.Since(start), responseGrace)
	})
}

func TestResponsesWithoutABody(t *testing.T) {
	cases := []struct {
		name     string
		method   string
		response string
		length   int64
		chunked  bool
	}{
		{"head", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", 7, false},
		{"head of chunks", "HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", -1, true},
		{"head without length", "HEAD", "HTTP/1.1 200 OK\r\n\r\n", -1, false},
		{"no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", 0, false},
		{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", 0, false},
		{"empty", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, respondWith(tc.response))
			p := newTestPool(t)
			req := get(s.addr)
			req.Method = tc.method
			for range 2 {
				a, err := p.Do(t.Context(), req)
				is.NoErr(err)
				length, chunked := a.BodyLength()
				is.Equal(length, tc.length)
				is.Equal(chunked, tc.chunked)
				is.NoErr(a.Close())
				is.Equal(p.OpenConns(s.addr), 1) // idle, though nothing was read
				_, err = a.Read(make([]byte, 1))
				is.Equal(err, io.EOF)
			}
			is.Equal(s.conns.Load(), int32(1))
		})
	}
}

func TestInformationalResponsesAreSkipped(t *testing.T) {
	const hint = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	cases := []struct {
		name     string
		response string
		ok       bool
	}{
		{"two", "HTTP/1.1 100 Continue\r\n\r\n" + hint + okResponse, true},
		{"as many as are read before the final one", strings.Repeat(hint, maxResponses-1) + okResponse, true},
		{"too many", strings.Repeat(hint, maxResponses) + okResponse, false},
		{"protocol switch", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", false},
		{"long header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxHeaderBytes+readerSize), false},
		{"not HTTP", "SSH-2.0-x\r\n", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, respondWith(tc.response))
			_, body, err := fetch(newTestPool(t), get(s.addr))
			if tc.ok {
				is.NoErr(err)
				is.Equal(body, "ok")
				return
			}
			sent, stage := errorDetails(t, err)
			is.Equal(sent, true)
			is.Equal(stage, StageResponse)
		})
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	cases := []struct {
		value string
		want  time.Duration
		ok    bool
	}{
		{"", 0, false},
		{"timeout=5", 5 * time.Second, true},
		{"max=10, Timeout=7", 7 * time.Second, true},
		{`timeout="3"`, 3 * time.Second, true},
		{"timeout=0", 0, true},
		{"timeout=-1", 0, false},
		{"timeout=x", 0, false},
		{"timeout=9999999999", 24 * time.Hour, true},
		{"max=5", 0, false},
	}
	for _, tc := range cases {
		is := is.New(t)
		got, ok := keepAliveTimeout(http.Header{"Keep-Alive": {tc.value}})
		is.Equal(got, tc.want)
		is.Equal(ok, tc.ok)
	}
}

// Guards against a body that was reset and looks complete, as the kernel reports a reset only once, and
// then to the check for unread bytes.
func TestAResetReportedToTheCheckForUnreadBytesIsNotEOF(t *testing.T) {
	is := is.New(t)
	read := make(chan struct{})
	reset := make(chan struct{})
	s := newServer(t, func(c *peer) {
		_, _ = c.request()
		c.send("HTTP/1.1 200 OK\r\n\r\nabc")
		<-read
		c.reset()
		close(reset)
	})
	req := get(s.addr)
	var unread func() bool
	req.OnWrite = func(f func() bool) error {
		unread = f
		return nil
	}
	a, err := newTestPool(t).Do(t.Context(), req)
	is.NoErr(err)
	_, err = io.ReadFull(a, make([]byte, 3))
	is.NoErr(err)
	close(read)
	<-reset
	for !unread() { // also true once the connection has ended
		time.Sleep(time.Millisecond)
	}
	_, err = a.Read(make([]byte, 1))
	is.True(err != nil)
	is.True(err != io.EOF)
	is.NoErr(a.Close())
}

func TestTheHeadersOfInformationalResponsesAreReported(t *testing.T) {
	is := is.New(t)
	s := newServer(t, respondWith("HTTP/1.1 103 Early Hints\r\nSent: 2\r\n\r\nHTTP/1.1 103 Early Hints\r\nSent: 3\r\n\r\n"+okResponse))
	var got []string
	req := get(s.addr)
	req.OnInformational = func(h http.Header) { got = append(got, h.Get("Sent")) }
	_, body, err := fetch(newTestPool(t), req)
	is.NoErr(err)
	is.Equal(body, "ok")
	is.Equal(got, []string{"2", "3"})
}
