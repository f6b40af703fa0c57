package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/havenrudder/havenrudder/admission"
	"github.com/havenrudder/havenrudder/wire"
)

// Codes of refusals beside those of package admission.
const (
	codeStarting     = "starting"
	codeLeaving      = "leaving"
	codeOrganisation = "organisation"
	codeService      = "service"
	codeHeader       = "header"
	codeBody         = "body"
	codeTooLarge     = "too_large"
	codeResidency    = "residency"
	codeLoop         = "loop"
	codeTicketNeeded = "ticket_needed"
	codeTicket       = "ticket"
	codeTicketUsed   = "ticket_used"
	codeTicketsFull  = "tickets_full"
	codeNotRun       = "not_run"
	codeUnknown      = "unknown"
	codeUpstream     = "upstream"
	codeDeadline     = "deadline"
	codeCrossed      = "crossed"
	codeBroken       = "broken"
	codeRetries      = "retries"
)

const (
	retryStarting = time.Second
	retryFull     = time.Second
	retrySoon     = 200 * time.Millisecond
)

// statusOf gives the HTTP status of each code; all others are 503.
var statusOf = map[string]int{
	codeOrganisation:               http.StatusForbidden,
	codeService:                    http.StatusNotFound,
	codeHeader:                     http.StatusBadRequest,
	codeBody:                       http.StatusBadRequest,
	codeTooLarge:                   http.StatusRequestEntityTooLarge,
	codeResidency:                  http.StatusForbidden,
	codeLoop:                       http.StatusLoopDetected,
	codeTicketNeeded:               http.StatusPreconditionRequired,
	codeTicket:                     http.StatusBadRequest,
	codeTicketUsed:                 http.StatusConflict,
	codeUnknown:                    http.StatusBadGateway,
	codeUpstream:                   http.StatusBadGateway,
	codeCrossed:                    http.StatusBadGateway,
	codeBroken:                     http.StatusBadGateway,
	codeDeadline:                   http.StatusGatewayTimeout,
	string(admission.ShareReached): http.StatusTooManyRequests,
}

// refusal returns a refusal of a request that did not run.
func refusal(code, message string, retry time.Duration) *wire.Refusal {
	return &wire.Refusal{
		Code:         code,
		Ran:          wire.RanNotRun,
		Message:      message,
		RetryAfterMs: int(retry.Milliseconds()),
	}
}

func refuseTicketsFull() wire.Refusal {
	return *refusal(codeTicketsFull, "this box gives out no tickets now; another may", retryFull)
}

// refuse answers with a refusal in its one form.
func (s *Server) refuse(w http.ResponseWriter, q *query, f wire.Refusal) {
	f.Request = q.id
	status, ok := statusOf[f.Code]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	h := w.Header()
	h.Set("Content-Type", typeJSON)
	h.Set(HeaderRequest, q.id)
	h.Set(HeaderRan, string(f.Ran))
	if f.RetryAfterMs > 0 {
		h.Set("Retry-After", strconv.Itoa((f.RetryAfterMs+999)/1000))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(f)
	s.core.Observe.Request(q.service.Name, f.Code, time.Since(q.start))
}
