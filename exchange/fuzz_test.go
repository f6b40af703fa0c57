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

// deeds are what the server does with a request, by the first part of its path.
var deeds = map[string]func(c *peer, id string) (goOn bool){
	"answer":  func(c *peer, id string) bool { c.say(idAnswer(id)); return true },
	"chunks":  func(c *peer, id string) bool { c.say(idChunks(id, true)); return true },
	"cut":     func(c *peer, id string) bool { c.say(idChunks(id, false)); return false },
	"end":     func(c *peer, id string) bool { c.say("HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\n" + id); return false },
	"drop":    func(*peer, string) bool { return false },
	"reset":   func(c *peer, _ string) bool { c.reset(); return false },
	"leave":   func(c *peer, id string) bool { c.say(idAnswer(id)); return false },
	"twice":   func(c *peer, id string) bool { c.say(idAnswer(id) + idAnswer(id)); return true },
	"crossed": func(c *peer, id string) bool { c.say(idAnswer("0") + idAnswer(id)); return true },
}

func idAnswer(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
}

func idChunks(id string, finished bool) string {
	s := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", id, len(id), id)
	if finished {
		s += "0\r\n\r\n"
	}
	return s
}

// ledger counts the arrivals of each request.
type ledger struct {
	mu      sync.Mutex
	arrived map[string]int
}

func (l *ledger) serve(c *peer) {
	for {
		r, err := http.ReadRequest(c.in)
		if err != nil {
			return
		}
		deed, id, _ := strings.Cut(strings.TrimPrefix(r.RequestURI, "/"), "/")
		l.mu.Lock()
		l.arrived[id]++
		l.mu.Unlock()
		if r.Header.Get("Unread") == "" {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
		if !deeds[deed](c, id) {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
}

// Whatever the other side does, a request arrives at most once, one that arrived
// is never said to be unsent, and a body that ends well is the request's own.
func TestARequestArrivesAtMostOnce(t *testing.T) {
	l := &ledger{
		arrived: make(map[string]int),
	}
	s := newServer(t, l.serve)
	names := slices.Sorted(maps.Keys(deeds))
	next := 0
	var unsent, sent []string
	rapid.Check(t, func(t *rapid.T) {
		p := NewPool()
		defer p.Close()
		for range rapid.IntRange(1, 20).Draw(t, "requests") {
			next++
			id := fmt.Sprint(next)
			deed := rapid.SampledFrom(names).Draw(t, "deed")
			req := get(s.addr)
			req.Target = "/" + deed + "/" + id
			req.Body = make([]byte, rapid.SampledFrom([]int{0, 10, 50_000, 1_000_000}).Draw(t, "size"))
			if rapid.Bool().Draw(t, "unread") {
				req.Header = http.Header{"Unread": {"yes"}}
			}
			req.Owns = func(h http.Header) bool { return h.Get("Id") == id }
			_, body, err := fetch(p, req)
			if err == nil && (body != id || deed == "cut" || deed == "drop" || deed == "reset") {
				t.Fatalf("%s: body %q taken for whole", req.Target, body)
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
		is.Equal(l.arrived[id], 0)
	}
	for _, id := range sent {
		is.True(l.arrived[id] <= 1)
	}
	is.True(len(sent) > 0)
}
