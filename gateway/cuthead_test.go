package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/wire"
)

// scripted is an upstream, or another box, that answers by a script. It closes a connection after an
// answer that is cut.
type scripted struct {
	url string

	mu     sync.Mutex
	script func(id string) (answer string, whole bool)
	runs   map[string]int // by request
	key    string         // that came with the last request
}

func newScripted(t *testing.T) *scripted {
	u := &scripted{
		runs: make(map[string]int),
	}
	u.url = serving(t, u.serve)
	return u
}

func (u *scripted) serve(nc net.Conn) {
	in := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		answer, whole := u.answer(r)
		if _, err := io.WriteString(nc, answer); err != nil || !whole {
			return
		}
	}
}

func (u *scripted) answer(r *http.Request) (string, bool) {
	id := r.Header.Get(HeaderRequestID) + r.Header.Get(HeaderRequest) // of an upstream's request, or a box's
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[id]++
	u.key = r.Header.Get(headerKey)
	return u.script(id)
}

func (u *scripted) set(script func(id string) (answer string, whole bool)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.script = script
}

func (u *scripted) ran(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// answerOf returns an answer to a request with the id as upstreams and boxes send it.
func answerOf(status, id, rest string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: %s\r\n%s", status, HeaderRequestID, id, HeaderRequest, id, rest)
}

// cutTexts are answers that are cut at each byte.
var cutTexts = []struct{ name, before, status, rest string }{
	{"length", "", "200 OK", "Content-Length: 12\r\n\r\nhello, world"},
	{"empty", "", "200 OK", "Content-Length: 0\r\n\r\n"},
	{"chunks and trailer", "", "200 OK", "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n3\r\nabc\r\n0\r\nSum: 10\r\n\r\n"},
	{"hints", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "200 OK", "Content-Length: 2\r\n\r\nok"},
	{"failure of the request", "", "404 Not Found", "Content-Length: 2\r\n\r\nno"},
}

// cutAsks are requests whose answers are cut.
var cutAsks = []struct {
	name         string
	method, path string
	body         string
	mayRepeat    bool
}{
	{"read", http.MethodGet, "/s/shop/x", "", true},
	{"write", http.MethodPost, "/s/shop/x", "{}", false},
	{"chat", http.MethodPost, chatPath, chatBody, true},
	{"stream", http.MethodPost, chatPath, streamBody, true},
}

// toCutting sends a request, and says whether the connection of its caller is cut.
func (ask sent) toCutting(h http.Handler) (w *httptest.ResponseRecorder, brokenOff bool) {
	r := httptest.NewRequest(ask.method, ask.target, strings.NewReader(ask.body))
	r.Header = ask.header
	w = httptest.NewRecorder()
	defer func() {
		reason := recover()
		brokenOff = reason == http.ErrAbortHandler
		if reason != nil && !brokenOff {
			panic(reason)
		}
	}()
	h.ServeHTTP(w, r)
	return w, false
}

// eachCut sends requests whose answers are cut, at one byte after the other, and checks the callers'
// answers.
func eachCut(t *testing.T, newServer func(t *testing.T, url string) *Server) {
	for _, tc := range cutTexts {
		for _, ask := range cutAsks {
			t.Run(tc.name+", "+ask.name, func(t *testing.T) {
				t.Parallel()
				u := newScripted(t)
				s := newServer(t, u.url)
				length := len(tc.before + answerOf(tc.status, "id-000", tc.rest))
				for cut := range length {
					id := fmt.Sprintf("id-%03d", cut)
					u.set(func(id string) (string, bool) {
						return (tc.before + answerOf(tc.status, id, tc.rest))[:cut], false
					})
					h := header(HeaderOrg, "free", HeaderRequest, id, headerKey, id)
					w, brokenOff := sent{ask.method, ask.path, ask.body, h}.toCutting(s)
					if w.Code < http.StatusInternalServerError && !brokenOff {
						t.Errorf("after %d bytes: %d %q", cut, w.Code, w.Body)
					}
					if runs := u.ran(id); runs == 0 || (!ask.mayRepeat && runs > 1) {
						t.Errorf("after %d bytes: ran %d times", cut, runs)
					}
					if w.Header().Get(HeaderRan) == string(wire.RanNotRun) {
						t.Errorf("after %d bytes: said not to have run: %q", cut, w.Body)
					}
				}
			})
		}
	}
}

func TestAnUpstreamsAnswerThatIsCutAnywhereIsNotPassedOn(t *testing.T) {
	eachCut(t, overSockets)
}

// overBox returns a front without replicas before another box.
func overBox(t *testing.T, url string) *Server {
	s := overSockets(t, "")
	s.core.Place = func(fleet.Request) (fleet.Placement, *fleet.Refused) {
		return fleet.Placement{}, &fleet.Refused{
			Code: "full",
		}
	}
	s.core.Away = func(wire.Organisation, wire.Service, bool) []fleet.Box {
		return []fleet.Box{{
			Name:   "other",
			Addr:   strings.TrimPrefix(url, "http://"),
			Region: "there",
		}}
	}
	s.core.LearnLoad = func(string, float64) {}
	return s
}

// Guards against requests that are said not to have run although the other box may have run them.
func TestAnotherBoxsAnswerThatIsCutAnywhereIsNotPassedOn(t *testing.T) {
	eachCut(t, overBox)
}

// Guards against a call that nobody said may be run twice and that net/http sends again, as a kept
// connection ends without an answer.
func TestACallIsForwardedOnceOverAConnectionThatEndsWithoutAnAnswer(t *testing.T) {
	is := is.New(t)
	u := newScripted(t)
	s := overBox(t, u.url)
	ask := func(id string) int {
		w, _ := sent{http.MethodPost, "/s/shop/x", "{}", header(HeaderOrg, "free", HeaderRequest, id, headerKey, id)}.to(s)
		return w.Code
	}
	u.set(func(id string) (string, bool) { return answerOf("200 OK", id, "Content-Length: 2\r\n\r\nok"), true })
	is.Equal(ask("id-1"), http.StatusOK)
	u.set(func(string) (string, bool) { return "", false })
	is.Equal(ask("id-2"), http.StatusBadGateway)
	is.Equal(u.ran("id-2"), 1)
	is.Equal(u.key, "id-2") // it still arrives
}

// Guards against callers who get the status of one answer with the body of another.
func TestTheStartOfAnAnswerIsNotJoinedToTheAnswerAfterIt(t *testing.T) {
	const started = "HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\n"
	for name, newServer := range map[string]func(*testing.T, string) *Server{"upstream": overSockets, "box": overBox} {
		for _, ask := range cutAsks[:3] {
			t.Run(name+", "+ask.name, func(t *testing.T) {
				u := newScripted(t)
				s := newServer(t, u.url)
				for cut := range started {
					id := fmt.Sprintf("id-%03d", cut)
					u.set(func(id string) (string, bool) {
						return started[:cut] + answerOf("200 OK", id, "Content-Length: 2\r\n\r\nok"), true
					})
					w, _ := sent{ask.method, ask.path, ask.body, header(HeaderOrg, "free", HeaderRequest, id)}.to(s)
					if joined := strings.Contains(w.Header().Get("Content-Type"), "HTTP"); joined || w.Code == http.StatusNotFound {
						t.Errorf("after %q: %d %v", started[:cut], w.Code, w.Header())
					}
				}
			})
		}
	}
}
