package ingress

import (
	"context"
	"net/http"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/exchange"
	"github.com/havenrudder/havenrudder/placement"
)

const replicaDial = 250 * time.Millisecond // within a region a connection takes some 5 ms, a lost packet a second

// writtenLate is from when on the time from the choice of a replica to the write is told: the
// pace of cold replicas has a tenth of a second for that and the way; on a link that is filled
// by a configuration a new connection took up to 248 ms, and two sends of a box came 0.87 s
// after each other.
const writtenLate = 20 * time.Millisecond

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// onward returns the headers that travel with a message.
func onward(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// onward returns the headers of the request as they travel on, without its key.
func (c *call) onward() http.Header {
	h := onward(c.r.Header)
	if c.keyed {
		c.server.codec.Withhold(h)
	}
	return h
}

// attempt is one try at one replica or box.
type attempt struct {
	call     *call
	target   *Target
	sent     time.Time
	cancel   context.CancelCauseFunc
	result   placement.Result
	begun    atomic.Int64  // nanoseconds until the request was about to be written; 0 while it was not
	unread   atomic.Value  // a func() bool: something of the answer has come and is not read
	first    time.Duration // until the answer's head; 0 while there is none
	heard    atomic.Int64  // nanoseconds until bytes of the answer last came, to about heardEvery
	muted    atomic.Bool   // the silence of its replica was taken in already
	survived bool          // the replica has gone on with its answer for long, and that was told
	why      string        // why there is no answer, or no whole one
}

// tryReplica sends the request to a replica of this region.
func (c *call) tryReplica(ctx context.Context, t Target) ended {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{
		call:   c,
		target: &t,
		sent:   clock.Now(),
		cancel: cancel,
		result: placement.Abandoned,
	}
	stop := a.watchSilence(ctx)
	e := a.replica(ctx)
	stop()
	cancel(nil) // the replica stops its work when its connection closes
	a.tellOutcome(e)
	a.endTrial(e)
	if a.result == placement.Silent && a.muted.Load() {
		a.result = placement.Abandoned
	}
	c.server.core.End(&t.Choice, a.result, clock.Since(a.sent))
	a.report(e)
	return e
}

// replica makes the attempt at a replica.
func (a *attempt) replica(ctx context.Context) ended {
	c := a.call
	c.begin()
	h := c.onward()
	c.server.codec.Send(h, Send{
		Replica:   a.target.Choice.ID,
		Left:      clock.Until(c.end),
		Urgency:   min(c.urgency, maxPriority),
		LastEvent: c.lastEvent,
		CopyFrom:  a.target.Choice.CopyFrom,

		Organisation: c.organisation,
	})
	answer, err := c.server.replicas.Do(ctx, exchange.Request{
		Addr:        a.target.Choice.Addr,
		Method:      c.r.Method,
		Target:      c.r.RequestURI,
		Host:        c.r.Host,
		Header:      h,
		Body:        c.body,
		Owns:        func(h http.Header) bool { return c.server.codec.Owns(h, c.facts.ID) },
		Begin:       a.begin,
		DialTimeout: c.dialTime(replicaDial),
	})
	if err != nil {
		return a.failed(ctx, err)
	}
	defer func() { _ = answer.Close() }() // its connection is closed when it can't be used again
	a.first = clock.Since(a.sent)
	c.server.core.First(&a.target.Choice, a.first)
	if requests, waiting, ok := c.server.codec.Load(answer.Header()); ok {
		c.server.core.Loaded(&a.target.Choice, requests, waiting)
	}
	if !c.server.codec.Ran(answer.Status(), answer.Header()) {
		return a.refused(answer)
	}
	c.note(a.target.Choice.Replica)
	return a.pass(ctx, answer)
}

// begin notes that the request is written now.
func (a *attempt) begin(unread func() bool) {
	a.unread.Store(unread)
	took := clock.Since(a.sent)
	a.begun.Store(max(int64(took), 1))
	if took >= writtenLate {
		a.call.server.core.Written(&a.target.Choice)
	}
}

// hasUnread says whether something of the answer has come that this box, whose processor
// may be behind, has not read.
func (a *attempt) hasUnread() bool {
	unread, ok := a.unread.Load().(func() bool)
	return ok && unread()
}

// refused takes in a replica's word that it did not run the request.
func (a *attempt) refused(answer *exchange.Answer) ended {
	a.result = placement.Refused
	if answer.Status() == http.StatusMisdirectedRequest {
		a.result = placement.Misdirected
		a.call.tried = append(a.call.tried, a.target.Choice.Replica)
		a.call.arrived = true
		return unsent
	}
	a.call.note(a.target.Choice.Replica)
	return notRun
}

// failed says what it means that there is no answer.
func (a *attempt) failed(ctx context.Context, err error) ended {
	var e *exchange.Error
	sent := !errors.As(err, &e) || e.Sent()
	if sent {
		a.call.note(a.target.Choice.Replica)
	} else {
		a.call.tried = append(a.call.tried, a.target.Choice.Replica)
	}
	quiet := errors.Is(context.Cause(ctx), errQuiet)
	a.ending(ctx, err)
	switch {
	case ctx.Err() != nil && !quiet && sent:
		a.call.state = max(a.call.state, maybeRan)
		return abandoned
	case ctx.Err() != nil && !quiet:
		return abandoned
	case !sent:
		a.result = placement.Unreachable
		a.call.noteFailedDial()
		return unsent
	}
	a.result = placement.Silent
	return unknown
}

// Words of the log for why a try came to no whole answer.
const (
	whySilent = "replica silent"
	whyLeft   = "caller left"
	whyTime   = "time is up"
	whyBody   = "body broke off"
)

// ending keeps why a try came to no whole answer: what this box did of itself is told
// apart from what was done to it.
func (a *attempt) ending(ctx context.Context, err error) {
	var e *exchange.Error
	switch {
	case errors.Is(context.Cause(ctx), errQuiet):
		a.why = whySilent
	case a.call.r.Context().Err() != nil:
		a.why = whyLeft
	case ctx.Err() != nil:
		a.why = whyTime
	case errors.As(err, &e):
		a.why = "failed to " + e.Stage().String()
	default:
		a.why = whyBody
	}
}

// report writes down and counts what a try came to.
func (a *attempt) report(e ended) {
	c := a.call
	outcome := outcomes[e]
	c.server.core.Meter.Try(c.service, string(outcome))
	if a.first > 0 && e == served {
		c.server.core.Meter.First(c.service, a.first)
	}
	digest := ""
	if a.target.Choice.Replica != "" && (e == unknown || e == torn) {
		digest = c.content.Digest().String() // tells whether one request is behind the ends of several replicas
	}
	c.record(decision.Event{
		Kind:     decision.Try,
		Upstream: a.target.Choice.Replica + a.target.Box,
		Outcome:  outcome,
		Reason:   a.why,
		Digest:   digest,
		Tries:    c.sent,
		SentMs:   time.Duration(a.begun.Load()).Milliseconds(),
		TookMs:   clock.Since(a.sent).Milliseconds(),
	})
}

// outcomes are the words of the log for what a try came to.
var outcomes = map[ended]decision.Outcome{
	served:    decision.Served,
	unsent:    decision.NotRun,
	notRun:    decision.Refused,
	unknown:   decision.Unknown,
	torn:      decision.Broken,
	abandoned: decision.Left,
}
