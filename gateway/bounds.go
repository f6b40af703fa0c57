package gateway

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/wire"
)

// Bounds of what upstreams and other boxes send; docs/design/limits.md lists them.
const (
	maxHeaderBytes    = 64 << 10               // of the head of an answer
	maxAnswer         = 8 << 20                // bytes of an answer that is held until it is whole
	maxForwarded      = 1 << 30                // bytes of another box's answer without a length: 60 s on a link of 150 Mbit/s
	maxIdleBytes      = 64 << 10               // of a stream between two events: comments and empty lines, some 10 bytes each
	minEventTimeout   = 2 * time.Second        // between two events
	eventPollInterval = 250 * time.Millisecond // between two queries for another replica
)

// headerFraming is set in answers to other boxes whose upstream ended the body with its
// connection. Between boxes each body has a length or chunks, so that the loss of a box is noticed.
const (
	headerFraming   = "Havenrudder-Framing"
	framedByClose   = "close"
	framingIdentity = "identity"
)

var (
	errTooLarge = errors.New("gateway: answer too large")
	errNotRun   = errors.New("gateway: forward refused")
)

// readAnswer reads a body that is held until it is whole.
func readAnswer(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswer+1))
	if err == nil && len(data) > maxAnswer {
		err = errTooLarge
	}
	return data, err
}

// isUnframed reports whether only the end of its connection says where the body of an answer ends.
// The body may then be incomplete: a crash of the upstream looks the same.
func isUnframed(resp *http.Response) bool {
	if resp.Header.Get(headerFraming) == framedByClose {
		return true
	}
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		return false
	}
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.ProtoMajor < 2
}

// frame sets the headers that say where the body of an answer ends. Callers get a body that ended
// with its connection as such, since it may be incomplete.
func (q *query) frame(h http.Header, length int, unframed bool) {
	if unframed && len(q.path) == 0 {
		h.Set("Transfer-Encoding", framingIdentity) // net/http then adds neither a length nor chunks
		return
	}
	if unframed {
		h.Set(headerFraming, framedByClose)
	}
	h.Set("Content-Length", itoa(length))
}

// boundedReader ends a body that announces no length with an error where it is too long.
type boundedReader struct {
	io.Reader
	left int64
}

// Read reads from the body.
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errTooLarge
	}
	n, err := r.Reader.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// eventTimeout returns how long a stream may be without an event while other bytes arrive: an engine
// whose requests wait may send keep-alives.
func eventTimeout(service wire.Service) time.Duration {
	return max(time.Duration(service.FirstTokenMs)*time.Millisecond, minEventTimeout)
}

// eventWatch ends an attempt whose stream is without an event for too long, if another replica
// can continue it. Otherwise the request waits until its deadline: the keep-alives may be true.
type eventWatch struct {
	timeout time.Duration
	place   func() (fleet.Placement, bool) // another replica
	cancel  func()

	mu      sync.Mutex
	timer   *time.Timer
	waiting time.Time // for an event since then; zero while an event is passed on
	stopped bool
	next    *fleet.Placement
}

// start begins to watch.
func (w *eventWatch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = time.Now()
	w.timer = time.AfterFunc(w.timeout, w.check)
}

// received is called with an event, which may take long to be passed on to a slow caller.
func (w *eventWatch) received() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = time.Time{}
}

// passed is called when an event has been passed on.
func (w *eventWatch) passed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting = time.Now()
}

func (w *eventWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	left := w.timeout
	if !w.waiting.IsZero() {
		left -= time.Since(w.waiting)
	}
	if left > 0 {
		w.timer.Reset(left)
		return
	}
	p, ok := w.place()
	if !ok {
		w.timer.Reset(eventPollInterval)
		return
	}
	w.next = &p
	w.stopped = true
	w.cancel()
}

// stop ends the watch. It returns the replica at which the stream continues, nil if the watch has
// not ended the attempt.
func (w *eventWatch) stop() *fleet.Placement {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
	return w.next
}
