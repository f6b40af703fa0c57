package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/clock"
)

// Headers between boxes. They never reach callers or replicas.
const (
	headerRelay  = "Rudder-Relay"  // a relay, in JSON
	headerResult = "Rudder-Result" // of a box: what became of the request, in one word
	headerSent   = "Rudder-Sent"   // of a box: to how many replicas the request was sent
)

// Results that one box tells another.
const (
	resultAnswer  = "answer"  // a replica's answer
	resultNotRun  = "not-run" // no replica has run it
	resultUnknown = "unknown" // a replica may have run it
)

// relay is what a box tells another about a request that it passes on.
type relay struct {
	Box       string         `json:"box"`
	Region    string         `json:"region"`
	Version   int            `json:"version"` // of the policy that decided
	Route     *catalog.Route `json:"route"`
	Service   string         `json:"service"`
	LeftMs    int64          `json:"left_ms"`              // time until the answer is of no use
	Sent      int            `json:"sent"`                 // replicas that the request was sent to before
	LastEvent string         `json:"last_event,omitempty"` // id of the last event passed on

	Organisation string `json:"organisation,omitempty"` // of the caller
}

// UnmarshalJSON decodes a relay and checks it.
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

// dropRelay removes the headers that only boxes may set.
func dropRelay(h http.Header) {
	for _, name := range []string{headerRelay, headerResult, headerSent} {
		h.Del(name)
	}
}

// decodeRelay reads the header that encode wrote.
func decodeRelay(value string) (*relay, error) {
	var r relay
	if err := json.Unmarshal([]byte(value), &r); err != nil {
		return nil, err
	}
	return &r, nil
}

// encode returns the relay as the value of a header.
func (r *relay) encode() string {
	data, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "relay")) // it holds only strings and numbers
	}
	return string(data)
}

// refuseRelay tells another box that the request was not run here.
func (s *Server) refuseRelay(w http.ResponseWriter, reason string) {
	h := w.Header()
	h.Set(headerResult, resultNotRun)
	h.Set(headerSent, "0")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(reason)) // the other box has gone when this fails
}

// sentThere returns to how many replicas another box sent a request.
func sentThere(h http.Header) int {
	n, err := strconv.Atoi(h.Get(headerSent))
	if err != nil || n < 0 {
		return 1 // it doesn't say, so suppose that it did
	}
	return n
}

// relayed returns what another box is told of this request.
func (c *call) relayed() *relay {
	return &relay{
		Box:       c.server.box,
		Region:    c.server.region,
		Version:   c.version,
		Route:     c.route,
		Service:   c.service,
		LeftMs:    clock.Until(c.end).Milliseconds(),
		Sent:      c.sent,
		LastEvent: c.lastEvent,

		Organisation: c.organisation,
	}
}
