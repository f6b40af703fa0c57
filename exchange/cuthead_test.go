package exchange

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// wholeAnswers are complete responses, each with the shapes in which a head or body may be sent.
var wholeAnswers = []struct{ name, answer string }{
	{"length", "HTTP/1.1 200 OK\r\nId: 2\r\nSeal: s\r\nContent-Length: 12\r\n\r\nhello, world"},
	{"empty", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n"},
	{"no content", "HTTP/1.1 204 No Content\r\nId: 2\r\n\r\n"},
	{"chunks", "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n3;x=y\r\nabc\r\n0\r\n\r\n"},
	{"trailer", "HTTP/1.1 200 OK\r\nId: 2\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nSum: 10\r\n\r\n"},
	{"bare line ends", "HTTP/1.1 200 OK\nId: 2\nContent-Length: 12\n\nhello, world"},
	{"folded lines", "HTTP/1.1 200 OK\r\nId: 2\r\nX: a\r\n b\r\n\tc\r\nContent-Length: 2\r\n\r\nok"},
	{"failure", "HTTP/1.1 500 Internal Server Error\r\nId: 2\r\nContent-Length: 2\r\n\r\nno"},
	{"rejection", "HTTP/1.1 503 Service Unavailable\r\nId: 2\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"},
	{"misdirected", "HTTP/1.1 421 Misdirected Request\r\nId: 2\r\nContent-Length: 0\r\n\r\n"},
	{"informational", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nok"},
	{"after another", "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 3\r\n\r\nno\nHTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nok"},
}

// bytesConn is a connection that brings some bytes, and then its end.
type bytesConn struct {
	io.Reader
}

func (bytesConn) Write(p []byte) (int, error)      { return len(p), nil }
func (bytesConn) Close() error                     { return nil }
func (bytesConn) LocalAddr() net.Addr              { return nil }
func (bytesConn) RemoteAddr() net.Addr             { return nil }
func (bytesConn) SetDeadline(time.Time) error      { return nil }
func (bytesConn) SetReadDeadline(time.Time) error  { return nil }
func (bytesConn) SetWriteDeadline(time.Time) error { return nil }

// bring returns the outcome of a request whose connection brings these bytes and ends, and how many
// of them belong to the response.
func bring(t testing.TB, answer []byte) (a *Response, body string, used int, err error) {
	t.Helper()
	p := newTestPool(t, WithDial(func(context.Context, string, string) (net.Conn, error) {
		return bytesConn{
			Reader: bytes.NewReader(answer),
		}, nil
	}))
	req := get("x")
	req.Matches = matchesTwo
	a, err = p.Do(t.Context(), req)
	if err != nil {
		return nil, "", 0, err
	}
	b, err := io.ReadAll(a)
	used = len(answer) - a.conn.reader.Buffered()
	_ = a.Close()
	return a, string(b), used, err
}

func matchesTwo(h http.Header) bool { return h.Get("Id") == "2" }

func TestAnAnswerThatIsCutAnywhereIsNeverComplete(t *testing.T) {
	for _, tc := range wholeAnswers {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, _, used, err := bring(t, []byte(tc.answer))
			is.NoErr(err)
			is.Equal(used, len(tc.answer))
			for cut := range tc.answer {
				_, body, _, err := bring(t, []byte(tc.answer[:cut]))
				if err == nil {
					t.Errorf("the first %d bytes, %q, are complete with body %q", cut, tc.answer[:cut], body)
				}
			}
		})
	}
}

func TestAnAnswerThatIsResetAnywhereIsNeverComplete(t *testing.T) {
	answers := append(wholeAnswers[:len(wholeAnswers):len(wholeAnswers)], struct{ name, answer string }{
		"until close", "HTTP/1.1 200 OK\r\nId: 2\r\nSeal: s\r\n\r\nhello",
	})
	for _, tc := range answers {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, func(c *peer) {
				_, _ = c.request()
				c.send(tc.answer[:c.n]) // each connection is reset one byte later
				c.reset()
			})
			p := newTestPool(t)
			for cut := range tc.answer {
				req := get(s.addr)
				req.Matches = matchesTwo
				_, body, err := fetch(p, req)
				if err == nil {
					t.Errorf("the first %d bytes are complete with body %q", cut, body)
				}
				is.Equal(p.OpenConns(s.addr), 0)
			}
		})
	}
}

func FuzzAnAnswerThatIsCutIsNeverComplete(f *testing.F) {
	for _, tc := range wholeAnswers {
		for cut := range tc.answer {
			f.Add([]byte(tc.answer), uint16(cut))
		}
	}
	f.Fuzz(func(t *testing.T, answer []byte, cut uint16) {
		a, _, used, err := bring(t, answer)
		if err != nil || a.Framing() == FramedByClose || int(cut) >= used {
			return // not complete, or not known from its bytes
		}
		if _, body, _, err := bring(t, answer[:cut]); err == nil {
			t.Fatalf("%q is complete with body %q", answer[:cut], body)
		}
	})
}

// earlier are responses to another request, which may be cut where the next one is due.
var earlier = []struct{ name, answer string }{
	{"misdirected", "HTTP/1.1 421 Misdirected Request\r\nTrailer: Sum\r\nContent-Type: text/plain\r\nId: 1\r\nInstance: i-1\r\nContent-Length: 0\r\n\r\n"},
	{"rejection", "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 0.5\r\nId: 1\r\nContent-Length: 3\r\n\r\nno\n"},
	{"failure", "HTTP/1.1 500 Internal Server Error\r\nLoad: 1,2,3\r\nId: 1\r\nContent-Length: 5\r\n\r\noops\n"},
	{"success", "HTTP/1.1 200 OK\r\nTrailer: Sum\r\nSeal: one\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\nSum: 1\r\n\r\n"},
	{"informational", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
}

// Guards against the status or fields of one response that are taken for those of the next.
func TestAnAnswerIsNotJoinedToTheStartOfAnother(t *testing.T) {
	for _, first := range earlier {
		for _, own := range wholeAnswers[:10] {
			t.Run(first.name+" before "+own.name, func(t *testing.T) {
				want, wantBody, _, err := bring(t, []byte(own.answer))
				is.New(t).NoErr(err)
				for cut := range first.answer {
					a, body, _, err := bring(t, []byte(first.answer[:cut]+own.answer))
					if err != nil {
						continue
					}
					got := fmt.Sprint(a.Status(), a.Header(), body)
					if got != fmt.Sprint(want.Status(), want.Header(), wantBody) {
						t.Errorf("after %q: %s", first.answer[:cut], got)
					}
				}
			})
		}
	}
}

func TestAnAnswerWithAFieldThatMentionsHTTPIsReturned(t *testing.T) {
	for _, value := range []string{"HTTP/1.1 proxy", "1.1 a (HTTP/1.1 20)", "http 200"} {
		is := is.New(t)
		_, body, _, err := bring(t, []byte(strings.Replace(wholeAnswers[0].answer, "Seal: s", "Via: "+value, 1)))
		is.NoErr(err)
		is.Equal(body, "hello, world")
	}
}
