package exchange

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// behaviours are the server's reactions to a request, by the first segment of its path.
var behaviours = map[string]func(c *peer, id string) (keepOpen bool){
	"answer":  func(c *peer, id string) bool { c.send(idResponse(id)); return true },
	"chunks":  func(c *peer, id string) bool { c.send(idChunks(id, true)); return true },
	"cut":     func(c *peer, id string) bool { c.send(idChunks(id, false)); return false },
	"end":     func(c *peer, id string) bool { c.send("HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\n" + id); return false },
	"drop":    func(*peer, string) bool { return false },
	"reset":   func(c *peer, _ string) bool { c.reset(); return false },
	"leave":   func(c *peer, id string) bool { c.send(idResponse(id)); return false },
	"twice":   func(c *peer, id string) bool { c.send(idResponse(id) + idResponse(id)); return true },
	"crossed": func(c *peer, id string) bool { c.send(idResponse("0") + idResponse(id)); return true },
}

func idResponse(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
}

func idChunks(id string, finished bool) string {
	s := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", id, len(id), id)
	if finished {
		s += "0\r\n\r\n"
	}
	return s
}

type arrivals struct {
	mu     sync.Mutex
	counts map[string]int
}

func (l *arrivals) serve(c *peer) {
	for {
		r, err := http.ReadRequest(c.in)
		if err != nil {
			return
		}
		behaviour, id, _ := strings.Cut(strings.TrimPrefix(r.RequestURI, "/"), "/")
		l.mu.Lock()
		l.counts[id]++
		l.mu.Unlock()
		if r.Header.Get("Unread") == "" {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
		if !behaviours[behaviour](c, id) {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// Whatever the server does, a request arrives at most once, Sent is true for each one that
// arrived, and a body that ends with io.EOF belongs to the request.
func TestARequestArrivesAtMostOnce(t *testing.T) {
	l := &arrivals{
		counts: make(map[string]int),
	}
	s := newServer(t, l.serve)
	names := slices.Sorted(maps.Keys(behaviours))
	next := 0
	var unsent, sent []string
	rapid.Check(t, func(t *rapid.T) {
		p := NewPool()
		defer p.Close()
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			next++
			id := fmt.Sprint(next)
			behaviour := rapid.SampledFrom(names).Draw(t, "deed")
			req := get(s.addr)
			req.Target = "/" + behaviour + "/" + id
			req.Body = make([]byte, rapid.SampledFrom([]int{0, 10, 50_000, 1_000_000}).Draw(t, "size"))
			if rapid.Bool().Draw(t, "unread") {
				req.Header = http.Header{"Unread": {"yes"}}
			}
			req.Matches = func(h http.Header) bool { return h.Get("Id") == id }
			_, body, err := fetch(p, req)
			if err == nil && (body != id || behaviour == "cut" || behaviour == "drop" || behaviour == "reset") {
				t.Fatalf("%s: body %q accepted as complete", req.Target, body)
			}
			if e, ok := err.(*Error); ok && !e.Sent() {
				unsent = append(unsent, id)
				continue
			}
			sent = append(sent, id)
		}
	})
	is := is.New(t)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range unsent {
		is.Equal(l.counts[id], 0)
	}
	for _, id := range sent {
		is.True(l.counts[id] <= 1)
	}
	is.True(len(sent) > 0)
}
