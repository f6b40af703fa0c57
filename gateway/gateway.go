// Package gateway is the HTTP front of a box: it tells callers which box to
// use, relays their requests to upstreams, and never presents part of an answer
// as the whole.
package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/havenrudder/havenrudder/bundle"
	"github.com/havenrudder/havenrudder/common/ending"
	"github.com/havenrudder/havenrudder/common/recent"
	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/ticket"
	"github.com/havenrudder/havenrudder/wire"
)

// Claim is what the owner's side of a ticket says.
type Claim struct {
	Step   ticket.Step
	Result ticket.Result
}

// Observe is told of what callers saw.
type Observe struct {
	Request func(service, code string, took time.Duration)
	First   func(service string, d time.Duration)
	Between func(service string, d time.Duration)
}

// Core is the box behind the front. Its fields are the seams between them.
type Core struct {
	Policy       func() *bundle.Policy // nil until the box serves
	Leaving      func() bool
	StopDeadline func() (time.Time, bool) // until when answers are due, if a planned stop has begun
	Place        func(fleet.Request) (fleet.Placement, *fleet.Refused)
	Await        func(context.Context, fleet.Request) (fleet.Placement, *fleet.Refused) // Place for a request that waits in order
	Start        func(fleet.Placement, fleet.Started)
	Finish       func(fleet.Placement, fleet.Finish)
	WhichBox     func(org wire.Organisation, service wire.Service, prefix string) []string
	Away         func(org wire.Organisation, service wire.Service, homeOnly bool) []fleet.Box
	RegionLoad   func() float64 // requests over slots in this region
	LearnLoad    func(region string, load float64)
	Owner        func(name string) (fleet.Box, bool)
	Suspected    func(name string) bool // whether a box has not been heard of for some time

	IssueTicket  func(service, org string, life time.Duration) (wire.Ticket, bool)
	ClaimTicket  func(ctx context.Context, t wire.Ticket, fingerprint uint64) Claim
	FinishTicket func(id string, ran wire.Ran, result ticket.Result)
	SealTicket   func(ctx context.Context, t wire.Ticket) wire.Ran

	Observe Observe
}

// Server is the front of one box.
type Server struct {
	name   string
	region string
	limits wire.Limits
	core   Core
	log    logrus.FieldLogger
	http   *http.Client // keeps connections, for calls that may be repeated
	once   *http.Client // a connection a call, so that nothing is sent twice below us and each answer is to that call
	newID  func() string
	scheme string // of other boxes
	sends  sends

	usualTimes ending.UsualTimes // of served requests, by service
	mux        *http.ServeMux
}

// Option changes a Server.
type Option func(*Server)

// WithTransport sets the transports; once must not reuse connections.
func WithTransport(shared, once http.RoundTripper) Option {
	return func(s *Server) {
		s.http = &http.Client{
			Transport:     shared,
			CheckRedirect: noRedirect,
		}
		s.once = &http.Client{
			Transport:     once,
			CheckRedirect: noRedirect,
		}
	}
}

// noRedirect hands redirects on to the caller: following one would send data to
// a place no rule was asked about.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// WithTLS passes requests on to other boxes over TLS.
func WithTLS() Option { return func(s *Server) { s.scheme = "https://" } }

// WithLog sets the logger.
func WithLog(log logrus.FieldLogger) Option { return func(s *Server) { s.log = log } }

// New returns the front of box name in region.
func New(name, region string, limits wire.Limits, newID func() string, core Core, opts ...Option) *Server {
	s := &Server{
		name:   name,
		region: region,
		limits: limits,
		core:   core,
		log:    logrus.StandardLogger(),
		newID:  newID,
		scheme: "http://",
		mux:    http.NewServeMux(),
		sends: sends{
			recent: recent.NewSet[send](maxRecentSends),
		},
	}
	shared := http.DefaultTransport.(*http.Transport).Clone()
	shared.MaxResponseHeaderBytes = maxHeaderBytes
	WithTransport(shared, &http.Transport{
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableKeepAlives:      true,
	})(s)
	for _, opt := range opts {
		opt(s)
	}
	s.mux.HandleFunc("GET /healthz", s.serveHealth)
	s.mux.HandleFunc("GET /v1/box", s.serveWhichBox)
	s.mux.HandleFunc("POST /v1/chat/completions", s.serveChat)
	s.mux.HandleFunc("/s/{service}/", s.servePlain)
	return s
}

var _ http.Handler = (*Server)(nil)

// ServeHTTP answers callers and other boxes.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderBox, s.name)
	if r.Header.Get(HeaderPath) != "" {
		w.Header().Set(HeaderRegionLoad, strconv.FormatFloat(s.core.RegionLoad(), 'f', 2, 64))
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if s.core.Policy() == nil || s.core.Leaving() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveWhichBox answers the question which box to use, and gives a ticket when
// one is asked for.
func (s *Server) serveWhichBox(w http.ResponseWriter, r *http.Request) {
	q, refusal := s.identify(r, r.URL.Query().Get("service"))
	if refusal != nil {
		s.refuse(w, q, *refusal)
		return
	}
	out := wire.WhichBox{
		Boxes: s.core.WhichBox(q.org, q.service, r.Header.Get(HeaderPrefix)),
		TtlMs: whichBoxTTL,
	}
	if r.URL.Query().Get("ticket") != "" {
		t, ok := s.issue(q)
		if !ok {
			s.refuse(w, q, refuseTicketsFull())
			return
		}
		out.Ticket = ticket.Encode(t)
	}
	w.Header().Set("Content-Type", typeJSON)
	_ = json.NewEncoder(w).Encode(out)
}

const (
	whichBoxTTL = 5000 // milliseconds
	typeJSON    = "application/json"
	typeStream  = "text/event-stream"
)
