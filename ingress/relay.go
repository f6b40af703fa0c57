package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/clock"
)

// Headers between boxes. Callers and replicas never receive them.
const (
	headerRelay  = "Rudder-Relay"  // a relay, in JSON
	headerResult = "Rudder-Result" // in responses: one of the results below
	headerSent   = "Rudder-Sent"   // in responses: number of replicas that the request was sent to, or is about to be if the response is informational
)

// Results that a box reports to the box that forwarded the request.
const (
	resultAnswer  = "answer"  // a replica's response
	resultNotRun  = "not-run" // no replica has run it
	resultUnknown = "unknown" // a replica may have run it
)

// relay is the state of a request that a box forwards to another.
type relay struct {
	Box       string         `json:"box"`
	Region    string         `json:"region"`
	Version   int            `json:"version"` // of the policy that was applied
	Route     *catalog.Route `json:"route"`
	Service   string         `json:"service"`
	LeftMs    int64          `json:"left_ms"`              // time until the deadline
	Sent      int            `json:"sent"`                 // number of replicas that the request was sent to before
	LastEvent string         `json:"last_event,omitempty"` // ID of the last forwarded event

	Build catalog.BuildID `json:"build,omitempty"` // software version at which the stream began; 0 while any may begin it

	Organisation string `json:"organisation,omitempty"` // of the caller
	RetriesPart  bool   `json:"retries_part,omitempty"` // the request is to show whether replicas survive a quarantined part
}

// UnmarshalJSON decodes a relay and validates it.
func (r *relay) UnmarshalJSON(data []byte) error {
	type plain relay
	var v plain
	if err := json.Unmarshal(data, &v); err != nil {
		return errors.Wrap(err, "relay")
	}
	*r = relay(v)
	if r.Box == "" || r.Region == "" || r.Route == nil || r.Service == "" {
		return errors.New("relay: box, region, route and service are needed")
	}
	return nil
}

func removeRelayHeaders(h http.Header) {
	for _, name := range []string{headerRelay, headerResult, headerSent, headerBuild, headerFraming} {
		h.Del(name)
	}
}

func decodeRelay(value string) (*relay, error) {
	var r relay
	if err := json.Unmarshal([]byte(value), &r); err != nil {
		return nil, err
	}
	return &r, nil
}

func (r *relay) encode() string {
	data, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "relay")) // it holds only strings and numbers
	}
	return string(data)
}

// refuseRelay answers to another box that the request was not run here.
func (s *Server) refuseRelay(w http.ResponseWriter, reason string) {
	h := w.Header()
	h.Set(headerResult, resultNotRun)
	h.Set(headerSent, "0")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(reason)) // fails only if the other box has closed the connection
}

// maxAnnounced bounds the informational responses to another box, of which exchange reads a few only.
const maxAnnounced = 8

// announceSent reports to the other box that the request is about to be sent to one more replica, in an
// informational response. If this box is lost, the other one would otherwise exceed the limit of attempts.
func (c *call) announceSent(sent int) {
	n := sent - c.relay.Sent
	if n <= max(c.announcedSent, 1) || n > maxAnnounced {
		return // the other box takes the first one for sent
	}
	c.announcedSent = n
	h := c.w.Header()
	h.Set(headerSent, strconv.Itoa(n))
	c.w.WriteHeader(http.StatusEarlyHints)
	h.Del(headerSent)
}

// noteAnnouncedSent reads the number of replicas that another box is about to have sent the request to.
func (a *attempt) noteAnnouncedSent(h http.Header) {
	n, err := strconv.Atoi(h.Get(headerSent))
	if err != nil {
		return // it announces nothing
	}
	a.announcedSent = max(a.announcedSent, n)
}

// remoteSentCount returns the number of replicas that another box reports to have sent the
// request to.
func remoteSentCount(h http.Header) int {
	n, err := strconv.Atoi(h.Get(headerSent))
	if err != nil || n < 0 {
		return 1 // without a report the request may have been sent
	}
	return n
}

func (c *call) newRelay() *relay {
	return &relay{
		Box:       c.server.box,
		Region:    c.server.region,
		Version:   c.version,
		Route:     c.route,
		Service:   c.service,
		LeftMs:    clock.Until(c.deadline).Milliseconds(),
		Sent:      c.sent,
		LastEvent: c.lastEvent,

		Build:        c.streamBuild(),
		Organisation: c.organisation,
		RetriesPart:  c.retriesPart,
	}
}
