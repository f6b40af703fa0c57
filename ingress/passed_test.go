package ingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/decision"
)

// losses are what a box gets from the box to which it has forwarded a request, without a statement whether
// the request ran.
var losses = map[string]struct {
	out  string
	open bool // the connection stays open
}{
	"nothing, closed": {},
	"nothing": {
		open: true,
	},
	"half a head, closed": {
		out: "HTTP/1.1 503 Service Unavailable\r\nRudder-Res",
	},
	"half a head": {
		out:  "HTTP/1.1 503 Service Unavailable\r\nRudder-Res",
		open: true,
	},
	"a head of itself, no statement": {
		out:  "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		open: true,
	},
	"408 of its server": {
		out: "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	},
	"421 of a replica": {
		out:  "HTTP/1.1 421 Misdirected Request\r\nRudder-Result: answer\r\nRudder-Sent: 1\r\nContent-Length: 0\r\n\r\n",
		open: true,
	},
	"503 of a replica": {
		out:  "HTTP/1.1 503 Service Unavailable\r\nRudder-Result: answer\r\nRudder-Sent: 1\r\nContent-Length: 0\r\n\r\n",
		open: true,
	},
	"unknown": {
		out:  "HTTP/1.1 503 Service Unavailable\r\nRudder-Result: unknown\r\nRudder-Sent: 0\r\nContent-Length: 0\r\n\r\n",
		open: true,
	},
	"a statement that is no result": {
		out:  "HTTP/1.1 503 Service Unavailable\r\nRudder-Result: not-ru\r\nRudder-Sent: 0\r\nContent-Length: 0\r\n\r\n",
		open: true,
	},
	"informational responses, closed": {
		out: "HTTP/1.1 100 Continue\r\n\r\n",
	},
	"no response": {
		out:  "\x16\x03 no answer\r\n\r\n",
		open: true,
	},
	"a head without a body, closed": {
		out: "HTTP/1.1 200 OK\r\nRudder-Result: answer\r\nRudder-Sent: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
	},
}

// Guards against a request that is reported as not run, or sent again, while the box that received it may
// have a replica run it.
func TestARequestThatAnotherBoxReceivedIsNotReportedAsNotRunWithoutItsStatement(t *testing.T) {
	for name, c := range losses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRegion(t, 2)
				g.unresumable = true
				g.list[0].box = true
				l, err := g.link.net.Listen("lossy")("tcp", "")
				is.NoErr(err)
				defer func() { _ = l.Close() }()
				g.list[0].addr = l.Addr().String()
				received := 0
				go func() {
					for {
						nc, err := l.Accept()
						if err != nil {
							return // closed
						}
						received++
						go loseAnswer(nc, c.out, c.open)
					}
				}()
				g.call(t)
				is.Equal(received, 1)
				is.Equal(g.runs(), 0) // at the replica that is left
				at := slices.IndexFunc(g.events, func(e decision.Event) bool { return e.Kind == decision.End })
				t.Logf("%v, status %d, %s", g.events[at].Outcome, g.events[at].Status, g.events[at].Reason)
				is.True(!impliesNotRun(g.events[at].Status))
			})
		})
	}
}

// loseAnswer reads a request, and answers as told.
func loseAnswer(nc net.Conn, out string, open bool) {
	defer func() { _ = nc.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(nc))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body) // the request has no body
	time.Sleep(10 * time.Millisecond)    // of the way
	_, _ = io.WriteString(nc, out)       // the other box sees what it lacks
	if open {
		_, _ = nc.Read(make([]byte, 1)) // until the other box closes
	}
}
