package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/wire"
)

// Guards against requests that are said not to have run: the box that got one ends without an answer, and
// net/http sends the request again by itself, over a connection that can't be made.
func TestARequestWhoseBoxEndsAfterItGotTheRequestIsNotSaidNotToHaveRun(t *testing.T) {
	for _, ask := range cutAsks {
		if !ask.mayRepeat {
			continue
		}
		t.Run(ask.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			var got atomic.Int32
			go endWithSecond(l, &got)
			s := overBox(t, "http://"+l.Addr().String())
			for _, id := range []string{"id-1", "id-2"} {
				h := header(HeaderOrg, "free", HeaderRequest, id, headerKey, id)
				w, _ := sent{ask.method, ask.path, ask.body, h}.toCutting(s)
				t.Logf("%s: status %d, ran %q", id, w.Code, w.Header().Get(HeaderRan))
				if id == "id-2" {
					is.Equal(got.Load(), int32(2))
					is.True(w.Header().Get(HeaderRan) != string(wire.RanNotRun))
				}
			}
		})
	}
}

// endWithSecond is a box that answers one request, and ends with the second one.
func endWithSecond(l net.Listener, got *atomic.Int32) {
	nc, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	in := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if got.Add(1) == 2 {
			_ = l.Close()
			return
		}
		answer := answerOf("200 OK", r.Header.Get(HeaderRequest), "Content-Length: 2\r\n\r\nok")
		if _, err := io.WriteString(nc, answer); err != nil {
			return
		}
	}
}
