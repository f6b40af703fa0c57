// Package ingress is the path of a request through a box: it finds the route,
// chooses where the request goes, passes it on, and passes the answer back. It
// never presents part of an answer as the whole, and says that a request was not
// run only where that is known.
package ingress

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/exchange"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/poison"
)

// Part is a part of a prompt.
type Part = placement.Part

// Facts are what a decision needs of a caller's request.
type Facts struct {
	ID        string
	Deadline  time.Duration // how long the caller will wait; 0 when it says nothing
	Prompt    int           // tokens
	MostOut   int           // tokens of the answer at most
	Guess     int           // tokens of the answer as the caller guesses; 0 for none
	Parts     []Part        // of the prompt; the last one is the request's own
	LastEvent string        // id of the last event that the caller has of a broken stream
	Caller    string        // credentials of the caller; empty for none
	Key       catalog.Key   // that the caller shows
	HasKey    bool          // there is one, in the form that keys have
}

// Send is what a replica is told beside the caller's own headers.
type Send struct {
	Replica   string        // id that must match, or the replica doesn't run the request
	Left      time.Duration // time until the answer is of no use
	Urgency   int           // 0 goes first; below 0 for none
	LastEvent string        // id of the last event passed on, to go on after it
	CopyFrom  string        // address of a replica that may keep a beginning of the prompt; empty for none

	Organisation string // of the caller; empty where its requests need no key
}

// Codec reads and writes the headers of requests and answers.
type Codec struct {
	Facts    func(h http.Header) (Facts, error)
	Withhold func(h http.Header) // removes the key, which no replica and no other box is to see
	Send     func(h http.Header, s Send)
	Owns     func(h http.Header, id string) bool                  // an answer belongs to the request of that id
	Ran      func(status int, h http.Header) bool                 // false: the replica says that it did not run the request
	Genuine  func(h http.Header) bool                             // an answer of success is as a replica made it
	Load     func(h http.Header) (requests, waiting int, ok bool) // that the replica says it has, and how many of them wait; false where it doesn't say
}

// Target is where a request goes next: to a replica, to another box, or nowhere
// for a reason.
type Target struct {
	Choice  placement.Choice // Choice.Replica is empty when it goes to a box, or nowhere
	Box     string           // box of another region
	BoxAddr string           // where it takes requests from boxes
	Region  string           // of the box
	Reason  placement.Reason // why it goes nowhere
	Wait    time.Duration    // when to ask again, where that is known
	AgeMs   int64            // age of what is believed of the other region
}

// addr returns where the target takes requests.
func (t *Target) addr() string {
	if t.Box != "" {
		return t.BoxAddr
	}
	return t.Choice.Addr
}

// Ask is a question for a target.
type Ask struct {
	Trial      *poison.Digest // of a request on trial: it runs apart from others that are
	Request    placement.Request
	Route      *catalog.Route
	Left       time.Duration // time until the answer is of no use
	Goal       time.Duration // what is left of the route's goal
	Relayed    bool          // the request came from another box, and goes to no third
	TriedBoxes []string
	NoRegions  []string // regions that refused the request or could not be reached
}

// Core is the box behind the path. Its fields are the seams between them.
type Core struct {
	Table    func() *catalog.Table    // nil until a policy is known
	Current  func() bool              // what is published was read of late
	Leaving  func() bool              // a planned stop has begun
	Streams  func() bool              // a stream that comes now can be answered to its end
	Others   func() bool              // another box of the region serves
	EndsBy   func() (time.Time, bool) // when a planned stop is over, if one has begun
	Place    func(Ask) Target
	Begin    func(service string)      // a request is sent for the first time
	Repeat   func(service string) bool // asks to send one again
	Written  func(c *placement.Choice) // the request is written to the replica only now, a while after its choice
	First    func(c *placement.Choice, took time.Duration)
	Heard    func(c *placement.Choice)
	Quiet    func(c *placement.Choice, sent time.Time) time.Duration // how long its replica has been silent towards this box
	Muted    func(c *placement.Choice)                               // its replica is silent under a request that waits on
	Other    func(next Ask) (Target, bool)                           // where a request would go, without counting it in
	Loaded   func(c *placement.Choice, requests, waiting int)        // the replica says that it has so many requests, this one included, of which so many wait
	Streamed func(service string, events, guess int)                 // a whole stream had so many events, where the caller guessed so many tokens
	End      func(c *placement.Choice, r placement.Result, took time.Duration)
	BoxLost  func(box string)                  // a box could not be reached
	Crossed  func(box, region string, ok bool) // whether a request to a box of a region was answered
	Behind   func(version int)                 // another box knows a newer policy, of a version
	Record   func(decision.Event)
	Poison   Poison
	Keys     Keys
	Meter    Meter
}

// Meter is told the figures of requests.
type Meter struct {
	Request func(service, outcome string, took time.Duration)
	First   func(service string, took time.Duration)
	Try     func(service, outcome string)
	Refusal func(reason string)
	Forward func(region, outcome string)
	Resumed func(service string)
}

// Server takes requests from callers and from other boxes.
type Server struct {
	box      string
	region   string
	codec    Codec
	core     Core
	replicas *exchange.Pool
	boxes    *exchange.Pool
	reaching atomic.Bool // a watch over silence makes a connection, which proves the way for all
}

// New returns the path of a box in a region.
func New(box, region string, codec Codec, core Core, replicas, boxes *exchange.Pool) *Server {
	return &Server{
		box:      box,
		region:   region,
		codec:    codec,
		core:     core,
		replicas: replicas,
		boxes:    boxes,
	}
}

// Callers returns the handler for callers.
func (s *Server) Callers() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		dropRelay(r.Header)
		s.serve(w, r, nil)
	})
}

// Boxes returns the handler for requests that other boxes pass on.
func (s *Server) Boxes() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		relay, err := decodeRelay(r.Header.Get(headerRelay))
		if err != nil {
			s.refuseRelay(w, "bad relay header: "+err.Error())
			return
		}
		dropRelay(r.Header)
		s.serve(w, r, relay)
	})
}

// serve answers one request; relay is nil when a caller sent it.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, relay *relay) {
	if relay == nil && s.core.Leaving() {
		w.Header().Set("Connection", "close") // callers then use another box
	}
	c := &call{
		server: s,
		w:      w,
		r:      r,
		relay:  relay,
		start:  clock.Now(),
		state:  untouched,
	}
	if !c.identify() || !c.readBody() {
		return
	}
	c.takeContent()
	ctx, cancel := context.WithTimeout(r.Context(), clock.Until(c.end)+endSlack)
	defer cancel()
	c.run(ctx)
}
