package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/bundle"
	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/queue"
	"github.com/havenrudder/havenrudder/routing"
	"github.com/havenrudder/havenrudder/wire"
)

// Headers that callers send and get. docs/operate/callers.md explains each.
const (
	HeaderOrg        = "Havenrudder-Organisation"
	HeaderService    = "Havenrudder-Service"
	HeaderResidency  = "Havenrudder-Residency"
	HeaderDeadline   = "Havenrudder-Deadline-Ms"
	HeaderTicket     = "Havenrudder-Ticket"
	HeaderPrefix     = "Havenrudder-Prefix"
	HeaderExplain    = "Havenrudder-Explain"
	HeaderRequest    = "Havenrudder-Request"
	HeaderBox        = "Havenrudder-Box"
	HeaderUpstream   = "Havenrudder-Upstream"
	HeaderRan        = "Havenrudder-Ran"
	HeaderPath       = "Havenrudder-Path"        // boxes a request came by; between boxes only
	HeaderRegionLoad = "Havenrudder-Region-Load" // between boxes only
	headerKey        = "Idempotency-Key"
)

// Headers between boxes and upstreams.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderLoad      = "X-Engine-Load"
	HeaderResume    = "X-Resume-Tokens"
	HeaderPriority  = "X-Engine-Priority"
)

const (
	residencyHome = "home"
	maxHops       = 2   // boxes a request may come by before this one
	maxPrefix     = 256 // bytes of a prefix key
	maxID         = 128 // bytes of a request id
	prefixBytes   = 1024
	bytesPerToken = 4                      // rough, of prompt text
	prefillToken  = 200 * time.Microsecond // rough time to compute one token of a prompt
	queueShare    = 0.5                    // requests that may wait at a replica, as a share of its slots
	requestIDForm = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_."
)

// query is a request, checked.
type query struct {
	id       string
	org      wire.Organisation
	service  wire.Service
	policy   *bundle.Policy // the one version this request sees
	homeOnly bool
	explain  bool
	deadline time.Time
	path     []string // boxes it came by, each region/name
	method   string
	target   string // path and query at the upstream
	header   http.Header
	body     []byte
	tried    []string         // replicas at which it failed
	next     *fleet.Placement // replica of the next attempt, nil if not yet chosen
	once     bool
	ticket   string        // id of the ticket it runs under, empty for none
	entry    *queue.Entry  // its position among those that wait, nil until it was placed in order
	retry    time.Duration // when a queue that refused it expects free capacity for it, 0 for none
	stream   bool
	begun    bool // a part of the stream was sent

	mayHaveRun bool // another box got it, and its answer is lost
	start      time.Time
}

// identify finds the policy, organisation and service of a request.
func (s *Server) identify(r *http.Request, service string) (*query, *wire.Refusal) {
	q := &query{
		start:   time.Now(),
		explain: r.Header.Get(HeaderExplain) != "",
		header:  r.Header,
		method:  r.Method,
	}
	if refusal := s.identifyRequest(r, q); refusal != nil {
		return q, refusal
	}
	q.policy = s.core.Policy()
	if q.policy == nil {
		return q, refusal(codeStarting, "this box has no bundle yet", retryStarting)
	}
	var ok bool
	if q.org, ok = q.policy.Organisation(r.Header.Get(HeaderOrg)); !ok {
		return q, refusal(codeOrganisation, "header "+HeaderOrg+" must name an organisation of the bundle", 0)
	}
	if q.service, ok = q.policy.Service(service); !ok {
		return q, refusal(codeService, "no such service", 0)
	}
	return q, s.identifyRules(r, q)
}

func (s *Server) identifyRequest(r *http.Request, q *query) *wire.Refusal {
	q.id = r.Header.Get(HeaderRequest)
	if q.id == "" {
		q.id = s.newID()
	}
	if len(q.id) > maxID || strings.Trim(q.id, requestIDForm) != "" {
		q.id = ""
		return refusal(codeHeader, "header "+HeaderRequest+" must be letters, digits, '-', '_' or '.'", 0)
	}
	if path := r.Header.Get(HeaderPath); path != "" {
		q.path = strings.Split(path, ",")
	}
	if len(q.path) > maxHops || slices.Contains(q.path, s.hop()) || s.crossings(q.path) > 1 {
		return refusal(codeLoop, "the request came by here before, by too many boxes or between regions twice", 0)
	}
	if len(r.Header.Get(HeaderPrefix)) > maxPrefix {
		return refusal(codeHeader, "header "+HeaderPrefix+" is too long", 0)
	}
	return nil
}

// crossings returns how often a request went from one region to another on its
// way here.
func (s *Server) crossings(path []string) int {
	n := 0
	last := ""
	for _, hop := range append(path[:len(path):len(path)], s.hop()) {
		region, _, _ := strings.Cut(hop, "/")
		if last != "" && region != last {
			n++
		}
		last = region
	}
	return n
}

// identifyRules checks residency, again on every box that a request comes by,
// from the bundle alone.
func (s *Server) identifyRules(r *http.Request, q *query) *wire.Refusal {
	switch r.Header.Get(HeaderResidency) {
	case "":
	case residencyHome:
		q.homeOnly = true
	default:
		return refusal(codeHeader, "header "+HeaderResidency+" must be absent or \"home\"", 0)
	}
	if !q.policy.Allowed(q.org, q.service, s.region, q.homeOnly) {
		return refusal(codeResidency, "data of this organisation may not enter region "+s.region+" for this service", 0)
	}
	deadline, err := parseDeadline(r.Header.Get(HeaderDeadline), q.service.DeadlineMs)
	if err != nil {
		return refusal(codeHeader, "header "+HeaderDeadline+" must be 1 to 3600000", 0)
	}
	q.deadline = q.start.Add(deadline)
	s.boundByStop(q)
	return nil
}

const maxDeadlineMs = 3_600_000

func parseDeadline(value string, byDefault int) (time.Duration, error) {
	ms := byDefault
	if value != "" {
		var err error
		if ms, err = strconv.Atoi(value); err != nil || ms < 1 || ms > maxDeadlineMs {
			return 0, errors.New("deadline")
		}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (s *Server) hop() string { return s.region + "/" + s.name }

// readBody reads the body within its bound.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, q *query) *wire.Refusal {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.limits.BodyBytes)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal(codeTooLarge, "the body is larger than "+strconv.Itoa(s.limits.BodyBytes)+" bytes", 0)
	}
	if err != nil {
		return refusal(codeBody, "the body could not be read", 0)
	}
	q.body = body
	return nil
}

// chat is the part of a chat completion request that the front looks at; all
// else goes to the engine as it came.
type chat struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
}

// parseChat decodes the body of a chat completion request.
func parseChat(body []byte) (chat, error) {
	var c chat
	if err := json.Unmarshal(body, &c); err != nil {
		return chat{}, errors.Wrap(err, "body")
	}
	if c.Model == "" || len(c.Messages) == 0 || c.Messages[0] != '[' {
		return chat{}, errors.New("body: model and messages are needed")
	}
	return c, nil
}

// serviceOf returns the service a chat request is for: the one it names, or the
// only engine service that has the model.
func serviceOf(p *bundle.Policy, named, model string) string {
	if named != "" || p == nil {
		return named
	}
	found := ""
	for _, svc := range p.Bundle().Services {
		if svc.Kind != wire.ServiceKindEngine || (svc.Model != model && !slices.Contains(svc.Adapters, model)) {
			continue
		}
		if found != "" {
			return ""
		}
		found = svc.Name
	}
	return found
}

// routingRequest returns what the decision needs to know of q.
func (q *query) routingRequest() routing.Request {
	out := routing.Request{
		RequestKey: q.id,
		QueueRatio: queueShare,
	}
	if q.service.Kind != wire.ServiceKindEngine {
		return out
	}
	out.PrefixKey = q.affinity()
	out.Prefill = time.Duration(len(q.body)/bytesPerToken) * prefillToken
	out.MaxTTFT = min(time.Duration(q.service.FirstTokenMs)*time.Millisecond, time.Until(q.deadline))
	return out
}

// affinity returns the key of the prompt's prefix: what the caller says, else
// the beginning of the body.
func (q *query) affinity() string {
	if prefix := q.header.Get(HeaderPrefix); prefix != "" {
		return q.org.Name + "/" + prefix
	}
	head := q.body[:min(len(q.body), prefixBytes)]
	return q.org.Name + "/" + strconv.FormatUint(xxhash.Sum64(head), 16)
}

// fingerprint tells requests apart, so that one ticket serves one request only.
func (q *query) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{q.org.Name, q.service.Name, q.method, q.target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(q.body)
	return d.Sum64()
}

// spread returns a number from 0 up to 1 that differs between requests.
func (q *query) spread() float64 {
	return float64(xxhash.Sum64String(q.id)>>11) / (1 << 53)
}

// foreign says whether the request came from another region.
func (q *query) foreign(region string) bool {
	for _, hop := range q.path {
		if from, _, _ := strings.Cut(hop, "/"); from != region {
			return true
		}
	}
	return false
}
