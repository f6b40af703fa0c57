package gateway

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/havenrudder/havenrudder/bundle"
	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/wire"
)

const rules = `{
  "version": 1,
  "regions": [{"name": "here", "failure_domains": ["h"]}, {"name": "there", "failure_domains": ["t"]}],
  "services": [
    {"name": "engine", "kind": "engine", "regions": ["here", "there"], "model": "m"},
    {"name": "shop", "kind": "plain", "regions": ["here", "there"], "once": ["POST /pay"], "run_without_ticket": true},
  ],
  "priorities": [{"name": "p", "rank": 3}],
  "organisations": [
    {"name": "free", "home": "here", "regions": ["here", "there"], "priority": "p"},
    {"name": "abroad", "home": "there", "regions": ["there"], "priority": "p"},
    {"name": "guest", "home": "there", "regions": ["there", "here"], "priority": "p"},
  ],
}`

// answering is an upstream in place of the network.
type answering func(r *http.Request) (*http.Response, error)

// RoundTrip answers a request.
func (f answering) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func echo(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK,
		Header: http.Header{
			HeaderRequestID: {r.Header.Get(HeaderRequestID)},
			"Content-Type":  {typeJSON},
		},
		Body:    io.NopCloser(strings.NewReader(`{}`)),
		Request: r,
	}, nil
}

// server returns a front whose core places everything on one upstream. It counts
// placements that were not finished.
func server(t testing.TB, upstream answering, open *int) *Server {
	b, err := bundle.Parse("rules", []byte(rules))
	if err != nil {
		t.Fatal(err)
	}
	policy := bundle.NewPolicy(b)
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	core := Core{
		Policy:       func() *bundle.Policy { return policy },
		Leaving:      func() bool { return false },
		StopDeadline: func() (time.Time, bool) { return time.Time{}, false },
		Place: func(fleet.Request) (fleet.Placement, *fleet.Refused) {
			*open++
			return fleet.Placement{
				Upstream: "u",
				URL:      "http://upstream",
			}, nil
		},
		Start:       func(fleet.Placement, fleet.Started) {},
		Finish:      func(fleet.Placement, fleet.Finish) { *open-- },
		WhichBox:    func(wire.Organisation, wire.Service, string) []string { return []string{"127.0.0.1:1"} },
		RegionLoad:  func() float64 { return 0.5 },
		IssueTicket: func(string, string, time.Duration) (wire.Ticket, bool) { return wire.Ticket{}, false },
		Observe: Observe{
			Request: func(string, string, time.Duration) {},
			First:   func(string, time.Duration) {},
			Between: func(string, time.Duration) {},
		},
	}
	limits := wire.Limits{
		BodyBytes: 1 << 16,
	}
	return New("box", "here", limits, func() string { return "id" }, core, WithLog(quiet), WithTransport(upstream, upstream))
}

type sent struct {
	method string
	target string
	body   string
	header http.Header
}

func (s sent) to(h http.Handler) (*httptest.ResponseRecorder, wire.Refusal) {
	r := httptest.NewRequest(s.method, s.target, strings.NewReader(s.body))
	for name, values := range s.header {
		r.Header[name] = values
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	var f wire.Refusal
	_ = json.Unmarshal(w.Body.Bytes(), &f)
	return w, f
}

const (
	chatPath = "/v1/chat/completions"
	chatBody = `{"model":"m","messages":[]}`
)

func header(pairs ...string) http.Header {
	h := make(http.Header)
	for i := 0; i < len(pairs); i += 2 {
		h.Set(pairs[i], pairs[i+1])
	}
	return h
}

func TestBadInputGetsAClearRefusalThatDidNotRun(t *testing.T) {
	cases := []struct {
		name string
		sent sent
		code string
		want int
	}{
		{"no organisation", sent{http.MethodPost, chatPath, chatBody, header()}, codeOrganisation, http.StatusForbidden},
		{"unknown model", sent{http.MethodPost, chatPath, `{"model":"x","messages":[]}`, header(HeaderOrg, "free")}, codeService, http.StatusNotFound},
		{"no JSON", sent{http.MethodPost, chatPath, `{`, header(HeaderOrg, "free")}, codeBody, http.StatusBadRequest},
		{"no messages", sent{http.MethodPost, chatPath, `{"model":"m"}`, header(HeaderOrg, "free")}, codeBody, http.StatusBadRequest},
		{"too large", sent{http.MethodPost, chatPath, strings.Repeat("x", 1<<17), header(HeaderOrg, "free")}, codeTooLarge, http.StatusRequestEntityTooLarge},
		{"bad deadline", sent{http.MethodPost, chatPath, chatBody, header(HeaderOrg, "free", HeaderDeadline, "-1")}, codeHeader, http.StatusBadRequest},
		{"bad residency", sent{http.MethodPost, chatPath, chatBody, header(HeaderOrg, "free", HeaderResidency, "away")}, codeHeader, http.StatusBadRequest},
		{"bad id", sent{http.MethodPost, chatPath, chatBody, header(HeaderOrg, "free", HeaderRequest, "a b")}, codeHeader, http.StatusBadRequest},
		{"data of another region", sent{http.MethodPost, chatPath, chatBody, header(HeaderOrg, "abroad")}, codeResidency, http.StatusForbidden},
		{"home only, away from home", sent{http.MethodPost, chatPath, chatBody, header(HeaderOrg, "guest", HeaderResidency, "home")}, codeResidency, http.StatusForbidden},
		{"it was here before", sent{http.MethodPost, chatPath, chatBody, header(HeaderOrg, "free", HeaderPath, "here/box")}, codeLoop, http.StatusLoopDetected},
		{"too many boxes", sent{http.MethodPost, chatPath, chatBody, header(HeaderOrg, "free", HeaderPath, "here/1,here/2,here/3")}, codeLoop, http.StatusLoopDetected},
		{"between regions twice", sent{http.MethodPost, chatPath, chatBody, header(HeaderOrg, "free", HeaderPath, "here/x,there/y")}, codeLoop, http.StatusLoopDetected},
		{"bad ticket", sent{http.MethodPost, "/s/shop/pay", "x", header(HeaderOrg, "free", HeaderTicket, "!")}, codeTicket, http.StatusBadRequest},
		{"unknown service", sent{http.MethodGet, "/s/none/x", "", header(HeaderOrg, "free")}, codeService, http.StatusNotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			open := 0
			s := server(t, func(*http.Request) (*http.Response, error) {
				t.Error("it reached the upstream")
				return nil, io.EOF
			}, &open)
			w, f := c.sent.to(s)
			is.Equal(f.Code, c.code)
			is.Equal(w.Code, c.want)
			is.Equal(f.Ran, wire.RanNotRun)
			is.Equal(open, 0)
		})
	}
}

func TestAnAnswerToAnotherRequestIsNeverPassedOn(t *testing.T) {
	is := is.New(t)
	open := 0
	s := server(t, func(r *http.Request) (*http.Response, error) {
		resp, err := echo(r)
		resp.Header.Set(HeaderRequestID, "another")
		return resp, err
	}, &open)
	w, f := sent{http.MethodPost, chatPath, chatBody, header(HeaderOrg, "free")}.to(s)
	is.Equal(w.Code, http.StatusBadGateway)
	is.Equal(f.Ran, wire.RanUnknown)
	is.Equal(open, 0)
}

func TestARedirectOfAnUpstreamIsNotFollowed(t *testing.T) {
	is := is.New(t)
	open := 0
	calls := 0
	s := server(t, func(r *http.Request) (*http.Response, error) {
		calls++
		resp, err := echo(r)
		resp.StatusCode = http.StatusTemporaryRedirect
		resp.Header.Set("Location", "http://elsewhere/")
		return resp, err
	}, &open)
	w, _ := sent{http.MethodGet, "/s/shop/x", "", header(HeaderOrg, "free")}.to(s)
	is.Equal(w.Code, http.StatusTemporaryRedirect)
	is.Equal(calls, 1)
}

func TestTheUpstreamGetsThePathAsItCame(t *testing.T) {
	is := is.New(t)
	open := 0
	var got string
	s := server(t, func(r *http.Request) (*http.Response, error) {
		got = r.URL.RequestURI()
		return echo(r)
	}, &open)
	sent{http.MethodGet, "/s/shop/a%2Fb?x=1", "", header(HeaderOrg, "free")}.to(s)
	is.Equal(got, "/a%2Fb?x=1")
}

// streamOf answers with events; without the end when it is to break off.
func streamOf(r *http.Request, resume string, events ...string) *http.Response {
	resp, _ := echo(r)
	resp.Header.Set("Content-Type", typeStream)
	resp.Header.Set(HeaderResume, resume)
	var b strings.Builder
	for _, e := range events {
		b.WriteString("data: " + e + "\n\n")
	}
	resp.Body = io.NopCloser(strings.NewReader(b.String()))
	return resp
}

const streamBody = `{"model":"m","stream":true,"messages":[]}`

func TestAnEngineThatDoesNotConfirmThatItResumesIsNotAskedForTheRest(t *testing.T) {
	for _, confirms := range []bool{true, false} {
		is := is.New(t)
		open := 0
		calls := 0
		s := server(t, func(r *http.Request) (*http.Response, error) {
			calls++
			if calls == 1 {
				return streamOf(r, "", "1", "2"), nil // breaks off
			}
			if confirms {
				return streamOf(r, r.Header.Get(HeaderResume), "3", "[DONE]"), nil
			}
			return streamOf(r, "", "1", "2", "3", "[DONE]"), nil // begins anew
		}, &open)
		w, _ := sent{http.MethodPost, chatPath, streamBody, header(HeaderOrg, "free")}.to(s)
		is.Equal(strings.Contains(w.Body.String(), "[DONE]"), confirms)
		is.Equal(strings.Count(w.Body.String(), "data: 1\n"), 1) // no token twice
		is.Equal(strings.Contains(w.Body.String(), "event: error"), !confirms)
		is.Equal(open, 0)
	}
}

// torn is a body that breaks off.
type torn struct {
	io.Reader
}

// Read reads, and tells that it broke off at its end.
func (r torn) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func TestAStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	cases := []struct {
		name string
		body io.Reader
		at   string // where it goes on; empty for nowhere, as it is whole
	}{
		{"torn between lines", torn{strings.NewReader("data: 1\n\ndata: 2\n")}, "1"},
		{"torn in a line", torn{strings.NewReader("data: 1\n\ndata: 2\n\ndata: ")}, "2"},
		{"ended in a line", strings.NewReader("data: 1\n\ndata: 2"), "1"},
		{"ended without an empty line", strings.NewReader("data: 1\n\ndata: 2\n"), "2"},
		{"whole without an empty line", strings.NewReader("data: 1\n\ndata: 2\n\ndata: 3\n\ndata: [DONE]\n"), ""},
		{"carriage returns, and no space", strings.NewReader("data:1\r\n\r\ndata:2\r\n\r\ndata:3\r\n\r\ndata:[DONE]\r\n\r\n"), ""},
		{"a comment and then nothing", torn{strings.NewReader(": wait\n\n")}, "0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			open := 0
			at := ""
			calls := 0
			s := server(t, func(r *http.Request) (*http.Response, error) {
				calls++
				if calls == 1 {
					resp := streamOf(r, "")
					resp.Body = io.NopCloser(c.body)
					return resp, nil
				}
				at = cmp.Or(r.Header.Get(HeaderResume), "0")
				has, err := strconv.Atoi(at)
				is.NoErr(err)
				return streamOf(r, at, []string{"1", "2", "3", "[DONE]"}[has:]...), nil
			}, &open)
			w, _ := sent{http.MethodPost, chatPath, streamBody, header(HeaderOrg, "free")}.to(s)
			is.Equal(w.Body.String(), "data: 1\n\ndata: 2\n\ndata: 3\n\ndata: [DONE]\n\n")
			is.Equal(at, c.at)
			is.Equal(w.Result().Header.Get("Content-Type"), typeStream) // as it was sent
			is.Equal(open, 0)
		})
	}
}

func TestAnEnginesOwnRefusalIsPassedOnAndItsTroublesAreNot(t *testing.T) {
	for status, want := range map[int]int{http.StatusBadRequest: 1, http.StatusTooManyRequests: maxTries, http.StatusInternalServerError: maxTries} {
		for _, body := range []string{chatBody, streamBody} {
			is := is.New(t)
			open := 0
			calls := 0
			s := server(t, func(r *http.Request) (*http.Response, error) {
				calls++
				resp, err := echo(r)
				resp.StatusCode = status
				return resp, err
			}, &open)
			w, _ := sent{http.MethodPost, chatPath, body, header(HeaderOrg, "free")}.to(s)
			is.Equal(calls, want)
			is.Equal(w.Code == status, want == 1)
			is.Equal(open, 0)
		}
	}
}

func TestACallThatNobodySaidMayBeRepeatedIsNotSentTwice(t *testing.T) {
	is := is.New(t)
	open := 0
	calls := 0
	s := server(t, func(*http.Request) (*http.Response, error) {
		calls++
		return nil, io.ErrUnexpectedEOF // after bytes may have left
	}, &open)
	w, f := sent{http.MethodPost, "/s/shop/cart", "x", header(HeaderOrg, "free")}.to(s)
	is.Equal(calls, 1)
	is.Equal(w.Code, http.StatusBadGateway)
	is.Equal(f.Ran, wire.RanUnknown)
	sent{http.MethodGet, "/s/shop/cart", "", header(HeaderOrg, "free")}.to(s)
	is.Equal(calls, 1+maxTries)
}

// FuzzFront sends anything: whatever comes back is an answer or a refusal in its
// one form, and nothing is left in flight.
func FuzzFront(f *testing.F) {
	f.Add("POST", chatPath, chatBody, "free", "", "", "")
	f.Add("GET", "/v1/box?service=shop&ticket=1", "", "free", "home", "", "5")
	f.Add("POST", "/s/shop/pay", "x", "free", "", "e30", "")
	f.Add("DELETE", "/s/shop/../..", "", "guest", "", "", "99999999")
	f.Fuzz(func(t *testing.T, method, target, body, org, residency, ticket, deadline string) {
		r, err := http.NewRequest(method, "http://box"+target, strings.NewReader(body))
		if err != nil || !strings.HasPrefix(target, "/") {
			t.Skip("no request")
		}
		for name, value := range map[string]string{HeaderOrg: org, HeaderResidency: residency, HeaderTicket: ticket, HeaderDeadline: deadline} {
			if value != "" {
				r.Header.Set(name, value)
			}
		}
		open := 0
		w := httptest.NewRecorder()
		s := server(t, echo, &open)
		s.core.ClaimTicket = nil // no ticket that fuzzing makes may get this far
		s.core.IssueTicket = func(string, string, time.Duration) (wire.Ticket, bool) { return wire.Ticket{}, false }
		s.ServeHTTP(w, r)
		if open != 0 {
			t.Fatalf("%d in flight", open)
		}
		var refused wire.Refusal
		if ran := w.Header().Get(HeaderRan); ran == string(wire.RanNotRun) && json.Unmarshal(w.Body.Bytes(), &refused) != nil {
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
	})
}
