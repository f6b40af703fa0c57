package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/ticket"
	"github.com/havenrudder/havenrudder/wire"
)

// HeaderTicketID tells a plain service the id of the ticket it runs a call
// under, by which it may be asked afterwards.
const HeaderTicketID = "X-Ticket-Id"

const (
	ticketField = "{ticket}"
	lookUpBound = 2 * time.Second
)

// lookUp asks a service what became of a call, where the bundle names a path for
// that. 200 means that it ran, with its answer; 410 that it did not and never
// will, which a service may say only when it refuses the ticket from then on;
// all else that the service can't tell.
func (s *Server) lookUp(q *query, p fleet.Placement) (wire.Ran, ticket.Result) {
	if q.service.Lookup == "" {
		return wire.RanUnknown, ticket.Result{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookUpBound)
	defer cancel()
	target := p.URL + strings.ReplaceAll(q.service.Lookup, ticketField, q.ticket)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return wire.RanUnknown, ticket.Result{}
	}
	r.Header.Set(HeaderOrg, q.org.Name)
	resp, err := roundTrip(s.once, r) // a kept connection may bring an answer to an earlier request
	if err != nil {
		return wire.RanUnknown, ticket.Result{}
	}
	defer func() { _ = resp.Body.Close() }()
	return lookedUp(resp)
}

func lookedUp(resp *http.Response) (wire.Ran, ticket.Result) {
	switch resp.StatusCode {
	case http.StatusGone:
		return wire.RanNotRun, ticket.Result{}
	case http.StatusOK:
	default:
		return wire.RanUnknown, ticket.Result{}
	}
	body, err := readAnswer(resp.Body)
	if err != nil {
		return wire.RanUnknown, ticket.Result{}
	}
	return wire.RanRan, ticket.Result{
		Status:   resp.StatusCode,
		Type:     resp.Header.Get("Content-Type"),
		Body:     body,
		Unframed: isUnframed(resp),
	}
}
