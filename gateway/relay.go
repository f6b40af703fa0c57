package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/bundle"
	"github.com/havenrudder/havenrudder/common/heads"
	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/routing"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	maxTries        = 3        // tries of one request in all
	waitingOverhead = 12 << 10 // memory of a request that waits besides its body: head, buffers of its connection, goroutine
)

// serveChat relays a chat completion.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	early := &query{
		header: r.Header,
		start:  time.Now(),
	}
	if f := s.readBody(w, r, early); f != nil {
		s.refuse(w, early, *f)
		return
	}
	c, err := parseChat(early.body)
	if err != nil {
		s.refuse(w, early, *refusal(codeBody, err.Error(), 0))
		return
	}
	q, f := s.identify(r, serviceOf(s.core.Policy(), r.Header.Get(HeaderService), c.Model))
	if f != nil {
		s.refuse(w, q, *f)
		return
	}
	q.body = early.body
	q.stream = c.Stream
	q.target = "/v1/chat/completions"
	s.serveRepeatable(w, r, q)
}

// servePlain relays a call of a plain service.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	service := r.PathValue("service")
	q, f := s.identify(r, service)
	if f == nil {
		f = s.readBody(w, r, q)
	}
	if f != nil {
		s.refuse(w, q, *f)
		return
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/s/"+service)
	q.target = path
	if r.URL.RawQuery != "" {
		q.target += "?" + r.URL.RawQuery
	}
	q.once = bundle.Once(q.service, r.Method, path) || !repeatable(r)
	if q.once {
		s.serveOnce(w, r, q)
		return
	}
	s.serveRepeatable(w, r, q)
}

// repeatable says whether a call may be repeated as far as its method tells; a
// caller that brings a ticket says that it may not.
func repeatable(r *http.Request) bool {
	return r.Header.Get(HeaderTicket) == ""
}

// serveRepeatable relays a request that may be tried again.
func (s *Server) serveRepeatable(w http.ResponseWriter, r *http.Request, q *query) {
	if s.endsAfterStop(q) {
		s.refuse(w, q, *refusal(codeLeaving, "this box is about to end", retrySoon))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if q.stream {
		s.serveStream(ctx, w, q)
		return
	}
	f := *refusal(codeUpstream, "no upstream gave a whole answer", retrySoon)
	ended := s.tryReplicas(ctx, w, q, func(p fleet.Placement) verdict {
		a, err := s.call(ctx, s.clientFor(q), q, p)
		if err == nil {
			s.answer(w, q, p, a)
			return answered
		}
		f.Ran = wire.RanUnknown // it may be repeated, so this only informs
		if !q.idempotent() && !unreached(err) {
			return giveUp // nobody said that it may be run twice
		}
		return tryAnother
	})
	if ended {
		return
	}
	if ctx.Err() != nil {
		f = *refusal(codeDeadline, "the deadline passed", retrySoon)
		f.Ran = wire.RanUnknown
	}
	s.refuse(w, q, f)
}

// verdict is what came of trying one replica.
type verdict int

const (
	answered   verdict = iota // the caller has its answer
	tryAnother                // this replica failed
	giveUp                    // another must not be tried
)

// tryReplicas places a request on one replica after another until one answers.
// When there is none for the first try, the request goes to another region or is
// refused. It returns true when the caller has been answered one way or another.
func (s *Server) tryReplicas(ctx context.Context, w http.ResponseWriter, q *query, try func(fleet.Placement) verdict) bool {
	for len(q.tried) < maxTries && ctx.Err() == nil {
		p, refused, elsewhere := s.nextPlacement(ctx, w, q)
		if elsewhere {
			return true
		}
		if refused != nil {
			if len(q.tried) == 0 {
				s.refusePlace(w, q, refused)
			}
			return len(q.tried) == 0
		}
		switch try(p) {
		case answered:
			return true
		case giveUp:
			return false
		case tryAnother:
			q.tried = append(q.tried, p.Upstream)
		}
	}
	return false
}

// nextPlacement returns the replica of the next attempt. A request that finds none at once goes to
// another region, or waits if none takes it; elsewhere is true if its caller has been answered there.
func (s *Server) nextPlacement(ctx context.Context, w http.ResponseWriter, q *query) (p fleet.Placement, refused *fleet.Refused, elsewhere bool) {
	if q.next != nil {
		p, q.next = *q.next, nil
		return p, nil, false
	}
	p, refused = s.place(q, q.tried, fleet.InTurn)
	if refused == nil {
		return p, nil, false
	}
	if len(q.tried) == 0 && refused.Code != codeRetries && s.serveAway(ctx, w, q) {
		return p, nil, true
	}
	p, refused = s.await(ctx, q, refused)
	return p, refused, false
}

// await waits for a replica if the request may, which was refused at first.
func (s *Server) await(ctx context.Context, q *query, refused *fleet.Refused) (fleet.Placement, *fleet.Refused) {
	if !refused.MayWait {
		q.retry = refused.RetryAfter
		return fleet.Placement{}, refused
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	p, refused := s.core.Await(ctx, s.request(q, q.tried, fleet.InOrder))
	if refused != nil {
		q.retry = refused.RetryAfter
		return p, refused
	}
	q.entry = p.Entry
	return p, nil
}

// idempotent says whether a request may be run twice for all that is known: by
// its method, or because an engine answers it.
func (q *query) idempotent() bool {
	return q.service.Kind == wire.ServiceKindEngine || (q.method != http.MethodPost && q.method != http.MethodPatch)
}

// clientFor returns the client for a request: the one that keeps connections may
// send a request anew when one of them turns out to be closed.
func (s *Server) clientFor(q *query) *http.Client {
	if q.idempotent() {
		return s.http
	}
	return s.once
}

func (s *Server) place(q *query, tried []string, waiting fleet.Waiting) (fleet.Placement, *fleet.Refused) {
	p, refused := s.core.Place(s.request(q, tried, waiting))
	if p.Entry != nil {
		q.entry = p.Entry
	}
	return p, refused
}

// request returns what the box needs to place q. One that another box forwarded doesn't wait, as that
// box may have another replica, and neither does a stream that has begun.
func (s *Server) request(q *query, tried []string, waiting fleet.Waiting) fleet.Request {
	if len(q.path) > 0 || q.begun {
		waiting = fleet.AtOnce
	}
	return fleet.Request{
		Org:     q.org,
		Service: q.service,
		Policy:  q.policy,
		Routing: q.routingRequest(),
		Tried:   tried,
		Foreign: q.foreign(s.region),
		Explain: q.explain,

		Waiting:  waiting,
		TimeLeft: time.Until(q.deadline),
		Bytes:    len(q.body) + waitingOverhead,
		Entry:    q.entry,
	}
}

// answer is a whole answer of an upstream.
type answer struct {
	status   int
	header   http.Header
	body     []byte
	unframed bool // the body ended with its connection
}

var (
	errCrossed   = errors.New("gateway: answer to another request")
	errJoined    = errors.New("gateway: head holds the start of another answer")
	errConnected = errors.New("gateway: request had a connection")
)

// roundTrip sends a request and returns its answer, unless its head is joined from those of two. Errors
// after the request had a connection are marked with errConnected.
func roundTrip(client *http.Client, r *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	resp, err := client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil && connected.Load() {
		err = errors.Mark(err, errConnected)
	}
	if err != nil {
		return nil, err
	}
	if heads.Joined(resp) {
		_ = resp.Body.Close()
		return nil, errJoined
	}
	return resp, nil
}

// call sends q to a placement and returns its whole answer.
func (s *Server) call(ctx context.Context, client *http.Client, q *query, p fleet.Placement) (answer, error) {
	start := time.Now()
	done := fleet.Finish{
		Failed: true,
	}
	defer func() {
		done.Hold = time.Since(start)
		s.core.Finish(p, done)
	}()
	resp, err := s.send(ctx, client, q, p, 0)
	if err != nil {
		done.Failed = ctx.Err() == nil
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	s.core.Start(p, fleet.Started{
		First: time.Since(start),
		Load:  loadOf(resp.Header),
	})
	done.Started = true
	if !final(resp.StatusCode) { // the body of a failure is not used
		done.Failed = ctx.Err() == nil
		return answer{}, errors.Newf("gateway: upstream status %d", resp.StatusCode)
	}
	body, err := readAnswer(resp.Body)
	done.Failed = err != nil && ctx.Err() == nil
	return answer{
		status:   resp.StatusCode,
		header:   resp.Header,
		body:     body,
		unframed: isUnframed(resp),
	}, err
}

// send starts a call and checks that its answer belongs to it.
func (s *Server) send(ctx context.Context, client *http.Client, q *query, p fleet.Placement, resume int) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, q.method, p.URL+q.target, bytes.NewReader(q.body))
	if err != nil {
		return nil, errors.Wrap(err, "gateway")
	}
	q.fillHeader(r.Header, resume)
	if s.sends.isRepeat(p.URL, q.id) {
		client = s.once
	}
	resp, err := roundTrip(client, r)
	if err != nil {
		return nil, errors.Wrap(err, "gateway")
	}
	if id := resp.Header.Get(HeaderRequestID); id != q.id && (id != "" || q.service.Kind == wire.ServiceKindEngine) {
		_ = resp.Body.Close()
		s.log.WithField("request", q.id).WithField("upstream", p.Upstream).Error("answer to another request")
		return nil, errCrossed
	}
	return resp, nil
}

// passed are the headers of callers that upstreams get.
var passed = []string{"Content-Type", "Accept", "Accept-Language", "Authorization", headerKey}

func (q *query) fillHeader(h http.Header, resume int) {
	for _, name := range passed {
		if v := q.header.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	h.Set(HeaderRequestID, q.id)
	h.Set(HeaderOrg, q.org.Name)
	if q.ticket != "" {
		h.Set(HeaderTicketID, q.ticket)
	}
	if pr, ok := q.policy.Priority(q.org.Priority); ok {
		h.Set(HeaderPriority, string(rune('0'+pr.Rank)))
	}
	if resume > 0 {
		h.Set(HeaderResume, itoa(resume))
	}
}

func loadOf(h http.Header) *wire.Load {
	value := h.Get(HeaderLoad)
	if value == "" {
		return nil
	}
	var load wire.Load
	if json.Unmarshal([]byte(value), &load) != nil {
		return nil
	}
	return &load
}

// returned are the headers of upstreams that callers get.
var returned = []string{"Content-Type", "Content-Language", "Location", "ETag", "Cache-Control"}

func (s *Server) answer(w http.ResponseWriter, q *query, p fleet.Placement, a answer) {
	h := w.Header()
	for _, name := range returned {
		if v := a.header.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	s.describe(h, q, p)
	q.frame(h, len(a.body), a.unframed)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
	s.recordTime(q)
	s.core.Observe.Request(q.service.Name, codeOK, time.Since(q.start))
}

const codeOK = "ok"

// describe says where a request went and, when asked, why.
func (s *Server) describe(h http.Header, q *query, p fleet.Placement) {
	h.Set(HeaderRequest, q.id)
	h.Set(HeaderUpstream, p.Upstream)
	h.Set(HeaderRan, string(wire.RanRan))
	if q.explain {
		h.Set(HeaderExplain, explain(p.Choice))
	}
}

func explain(c routing.Choice) string {
	data, err := json.Marshal(c)
	if err != nil {
		return ""
	}
	return string(data)
}

// unreached says whether err proves that no byte of a request left: no connection was made. A failed dial
// alone does not, since net/http sends a request again whose kept connection ended without an answer.
func unreached(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && !errors.Is(err, errConnected)
}
