package gateway

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/admission"
	"github.com/havenrudder/havenrudder/common/events"
	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/wire"
)

// serveAway sends a request that found no replica here to another region, when
// its data may go there and it was not forwarded before. It reports whether the
// caller has been answered.
func (s *Server) serveAway(ctx context.Context, w http.ResponseWriter, q *query) bool {
	if len(q.path) > 0 {
		return false
	}
	for _, box := range s.core.Away(q.org, q.service, q.homeOnly) {
		if !q.policy.Allowed(q.org, q.service, box.Region, q.homeOnly) {
			continue
		}
		err := s.forward(ctx, w, q, box)
		if err == nil {
			return true
		}
		mayHaveRun := !unreached(err) && !errors.Is(err, errNotRun)
		q.mayHaveRun = q.mayHaveRun || mayHaveRun
		if !q.idempotent() && mayHaveRun {
			f := *refusal(codeUpstream, "no upstream gave a whole answer", retrySoon)
			f.Ran = wire.RanUnknown // nobody said that it may be run twice
			s.refuse(w, q, f)
			return true
		}
	}
	return false
}

// refusePlace refuses a request that found no replica.
func (s *Server) refusePlace(w http.ResponseWriter, q *query, refused *fleet.Refused) {
	message := cmp.Or(refused.Reason, "no replica can take the request in time")
	retry := cmp.Or(refused.RetryAfter, admission.RetryAfter(refused.Wait, q.spread())) // those of a queue differ already
	f := *refusal(refused.Code, message, retry)
	if q.mayHaveRun {
		f = *refusal(codeUpstream, "no upstream gave a whole answer", retry)
		f.Ran = wire.RanUnknown
	}
	if q.explain {
		w.Header().Set(HeaderExplain, explain(refused.Choice))
	}
	s.refuse(w, q, f)
}

// forward relays a request to another box and its answer back. An error means
// that nothing was sent to the caller yet.
func (s *Server) forward(ctx context.Context, w http.ResponseWriter, q *query, box fleet.Box) error {
	target := s.scheme + box.Addr + q.target
	if q.service.Kind == wire.ServiceKindPlain {
		target = s.scheme + box.Addr + "/s/" + q.service.Name + q.target
	}
	r, err := http.NewRequestWithContext(ctx, q.method, target, bytes.NewReader(q.body))
	if err != nil {
		return errors.Wrap(err, "gateway: forward")
	}
	q.fillForward(r.Header, s.hop())
	resp, err := roundTrip(s.http, r)
	if err != nil {
		return errors.Wrap(err, "gateway: forward")
	}
	defer func() { _ = resp.Body.Close() }()
	s.learnLoad(box.Region, resp.Header.Get(HeaderRegionLoad))
	if resp.Header.Get(HeaderRequest) != q.id {
		return errCrossed
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderRan) == string(wire.RanNotRun) && q.header.Get(HeaderTicket) == "" {
		return errNotRun
	}
	return s.passBack(w, q, resp)
}

// forwarded are the headers of callers that the next box gets.
var forwarded = []string{
	"Content-Type", "Accept", "Accept-Language", "Authorization", headerKey,
	HeaderOrg, HeaderService, HeaderResidency, HeaderTicket, HeaderPrefix, HeaderExplain,
}

// lowerCaseKey is headerKey in a form that net/http does not recognise. It would take the request for one that
// it may send again if a kept connection ends without an answer.
const lowerCaseKey = "idempotency-key"

func (q *query) fillForward(h http.Header, hop string) {
	for _, name := range forwarded {
		if v := q.header.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	if key := h[headerKey]; key != nil && !q.idempotent() {
		delete(h, headerKey)
		h[lowerCaseKey] = key
	}
	h.Set(HeaderService, q.service.Name)
	h.Set(HeaderRequest, q.id)
	h.Set(HeaderPath, strings.Join(append(q.path[:len(q.path):len(q.path)], hop), ","))
	left := max(time.Until(q.deadline).Milliseconds(), 1)
	h.Set(HeaderDeadline, itoa(int(left)))
}

// backed are the headers of the next box that callers get.
var backed = []string{
	"Content-Type", "Content-Language", "Location", "ETag", "Cache-Control", "Retry-After",
	HeaderRequest, HeaderBox, HeaderUpstream, HeaderRan, HeaderTicket, HeaderExplain,
}

// passBack relays an answer as it comes. Where it breaks off, the connection to
// the caller is cut, so that no part is taken for the whole.
func (s *Server) passBack(w http.ResponseWriter, q *query, resp *http.Response) error {
	var held []byte
	unframed := isUnframed(resp)
	if unframed { // once it has begun, an interruption would look like its end
		var err error
		if held, err = readAnswer(resp.Body); err != nil {
			return err
		}
	}
	for _, name := range backed {
		if v := resp.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	if resp.ContentLength >= 0 || unframed {
		q.frame(w.Header(), max(int(resp.ContentLength), len(held)), unframed)
	}
	w.WriteHeader(resp.StatusCode)
	if unframed {
		_, _ = w.Write(held)
	} else if err := copyBack(w, resp); err != nil {
		s.core.Observe.Request(q.service.Name, codeBroken, time.Since(q.start))
		panic(http.ErrAbortHandler) // the library's way to cut a connection
	}
	s.core.Observe.Request(q.service.Name, codeForwarded, time.Since(q.start))
	return nil
}

const (
	codeForwarded = "forwarded"
	copyBuffer    = 16 << 10
)

// copyBack passes on the body of another box's answer within its bounds.
func copyBack(w http.ResponseWriter, resp *http.Response) error {
	body := &boundedReader{
		Reader: resp.Body,
		left:   maxForwarded,
	}
	switch {
	case resp.ContentLength >= 0:
		return copyFlushing(w, resp.Body)
	case strings.HasPrefix(resp.Header.Get("Content-Type"), typeStream):
		return copyEvents(w, body)
	}
	return copyFlushing(w, body)
}

// copyEvents passes on a stream of another box in whole events.
func copyEvents(w http.ResponseWriter, body io.Reader) error {
	flush, _ := w.(http.Flusher)
	in := events.NewReader(body, events.WithMaxIdle(maxIdleBytes))
	defer in.Close()
	for {
		event, ended := in.Next()
		if ended != nil {
			event = in.Rest()
		}
		if _, err := w.Write(event); err != nil {
			return errors.Wrap(err, "gateway: caller")
		}
		if events.HasData(event) {
			in.Progressed()
		}
		if flush != nil && !in.More() {
			flush.Flush()
		}
		if errors.Is(ended, io.EOF) {
			return nil
		}
		if ended != nil {
			return errors.Wrap(ended, "gateway: forward")
		}
	}
}

func copyFlushing(w http.ResponseWriter, body io.Reader) error {
	flush, _ := w.(http.Flusher)
	buf := make([]byte, copyBuffer)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return errors.Wrap(werr, "gateway: caller")
			}
			if flush != nil {
				flush.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "gateway: forward")
		}
	}
}

// learnLoad takes in what another region says of its load with every answer, so
// that no message of its own is needed for it.
func (s *Server) learnLoad(region, value string) {
	load, err := strconv.ParseFloat(value, 64)
	if err == nil && region != s.region && load >= 0 {
		s.core.LearnLoad(region, load)
	}
}
