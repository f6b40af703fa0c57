package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/events"
	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/wire"
)

func itoa(n int) string { return strconv.Itoa(n) }

var (
	dataPrefix = []byte("data: ")
	dataDone   = []byte("[DONE]")
	newLine    = []byte("\n")
)

const eventFailed = "event: error\ndata: %s\n\n"

// stream is one streamed answer, which may come from several replicas in turn.
// A caller knows that it is whole by the event [DONE]; when no replica can
// finish it, an event named error says so instead.
type stream struct {
	server *Server
	q      *query
	w      http.ResponseWriter
	flush  http.Flusher
	sent   int // tokens sent to the caller
	last   time.Time
}

// serveStream relays a streamed chat completion. When a replica breaks off,
// another resumes at the exact token.
func (s *Server) serveStream(ctx context.Context, w http.ResponseWriter, q *query) {
	flush, ok := w.(http.Flusher)
	if !ok {
		panic("gateway: a response that can't be flushed")
	}
	st := &stream{
		server: s,
		q:      q,
		w:      w,
		flush:  flush,
	}
	ended := s.tryReplicas(ctx, w, q, func(p fleet.Placement) verdict {
		if st.relay(ctx, p) != nil {
			return tryAnother
		}
		return answered
	})
	if q.next != nil { // the stream ended while another replica was chosen
		s.core.Finish(*q.next, fleet.Finish{
			Unsent: true,
		})
	}
	if !ended {
		st.fail(ctx)
	}
}

// fail ends a stream that can't be finished.
func (st *stream) fail(ctx context.Context) {
	f := *refusal(codeBroken, "the answer broke off and no replica could resume it", retrySoon)
	if ctx.Err() != nil {
		f = *refusal(codeDeadline, "the deadline passed", retrySoon)
	}
	f.Ran = wire.RanUnknown
	f.Request = st.q.id
	if st.sent == 0 {
		st.server.refuse(st.w, st.q, f)
		return
	}
	data, err := json.Marshal(f)
	if err != nil {
		panic(errors.Wrap(err, "gateway: refusal"))
	}
	_, _ = fmt.Fprintf(st.w, eventFailed, data)
	st.flush.Flush()
	st.server.core.Observe.Request(st.q.service.Name, f.Code, time.Since(st.q.start))
}

// relay sends the request to p and its tokens to the caller; nil means that the
// stream is whole.
func (st *stream) relay(ctx context.Context, p fleet.Placement) error {
	start := time.Now()
	done := fleet.Finish{
		Failed: true,
	}
	defer func() {
		done.Hold = time.Since(start)
		st.server.core.Finish(p, done)
	}()
	outer := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // a caller that leaves cancels the upstream's work
	resp, err := st.server.send(ctx, st.server.http, st.q, p, st.sent)
	if err != nil {
		done.Failed = ctx.Err() == nil
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return st.passRefusal(resp, p, &done)
	}
	if err := resumed(resp, st.sent); err != nil {
		return err
	}
	watch := st.newWatch(p, cancel)
	watch.start()
	done.Started, err = st.copy(resp, p, start, watch)
	st.q.next = watch.stop()
	done.Failed = err != nil && outer.Err() == nil
	return err
}

// newWatch returns a watch for events at p. It chooses another replica while attempts are left.
func (st *stream) newWatch(p fleet.Placement, cancel func()) *eventWatch {
	tried := append(slices.Clone(st.q.tried), p.Upstream)
	return &eventWatch{
		timeout: eventTimeout(st.q.service),
		cancel:  cancel,
		place: func() (fleet.Placement, bool) {
			if len(tried) >= maxTries {
				return fleet.Placement{}, false
			}
			next, refused := st.server.core.Place(st.server.request(st.q, tried, fleet.AtOnce))
			return next, refused == nil
		},
	}
}

// passRefusal gives the caller an engine's own refusal of the request. One that
// only says that the engine can't now is an error, so that another is tried.
func (st *stream) passRefusal(resp *http.Response, p fleet.Placement, done *fleet.Finish) error {
	if st.sent > 0 || !final(resp.StatusCode) {
		return errors.Newf("gateway: upstream status %d", resp.StatusCode)
	}
	body, err := readAnswer(resp.Body)
	if err != nil {
		return errors.Wrap(err, "gateway")
	}
	done.Failed = false
	st.server.answer(st.w, st.q, p, answer{
		status:   resp.StatusCode,
		header:   resp.Header,
		body:     body,
		unframed: isUnframed(resp),
	})
	return nil
}

// final says whether a status is an upstream's answer to the request, and not
// word of its own state.
func final(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusTooManyRequests
}

// resumed says whether an engine goes on after so many tokens. One that does not
// confirm it would begin anew, and the caller would get tokens twice.
func resumed(resp *http.Response, sent int) error {
	if sent > 0 && resp.Header.Get(HeaderResume) != itoa(sent) {
		return errors.New("gateway: the engine does not resume")
	}
	return nil
}

// copy sends events on until the end. It says whether any came.
func (st *stream) copy(resp *http.Response, p fleet.Placement, start time.Time, watch *eventWatch) (started bool, err error) {
	in := events.NewReader(resp.Body, events.WithMaxIdle(maxIdleBytes))
	defer in.Close()
	for {
		event, ended := in.Next()
		if errors.Is(ended, io.EOF) {
			event = in.Rest() // a stream may lack the empty line at its end
		}
		hasData := events.HasData(event)
		if hasData {
			in.Progressed()
			watch.received()
		}
		for data := range events.Data(event) {
			if !started {
				started = true
				st.begin(resp, p, start)
			}
			whole, err := st.token(data)
			if whole || err != nil {
				return started, err
			}
		}
		if ended != nil {
			return started, ended
		}
		if started && !in.More() {
			st.flush.Flush()
		}
		if hasData {
			watch.passed()
		}
	}
}

// token sends one token on, or the end of the stream; it says whether it was the
// end.
func (st *stream) token(data []byte) (whole bool, err error) {
	if bytes.Equal(data, dataDone) {
		st.server.recordTime(st.q)
		st.server.core.Observe.Request(st.q.service.Name, codeOK, time.Since(st.q.start))
		return true, st.write(dataDone)
	}
	st.observe()
	st.sent++
	st.q.begun = true
	return false, st.write(data)
}

// begin takes in that a replica's first token came, and sends the head of the
// caller's answer.
func (st *stream) begin(resp *http.Response, p fleet.Placement, start time.Time) {
	st.server.core.Start(p, fleet.Started{
		First: time.Since(start),
		Load:  loadOf(resp.Header),
	})
	if st.sent > 0 {
		return
	}
	h := st.w.Header()
	h.Set("Content-Type", typeStream)
	h.Set("Cache-Control", "no-store")
	st.server.describe(h, st.q, p)
	st.w.WriteHeader(http.StatusOK)
}

func (st *stream) observe() {
	now := time.Now()
	if st.sent == 0 {
		st.server.core.Observe.First(st.q.service.Name, now.Sub(st.q.start))
	} else {
		st.server.core.Observe.Between(st.q.service.Name, now.Sub(st.last))
	}
	st.last = now
}

func (st *stream) write(data []byte) error {
	for _, part := range [][]byte{dataPrefix, data, newLine, newLine} {
		if _, err := st.w.Write(part); err != nil {
			return errors.Wrap(err, "gateway: caller")
		}
	}
	return nil
}
