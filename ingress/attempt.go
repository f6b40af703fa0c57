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

const replicaDialTimeout = 250 * time.Millisecond // within a region a connection takes 5 ms, a lost packet a second

// lateWriteThreshold is the delay between the selection of a replica and the write of the
// request above which the rate limit of cold replicas is notified of the write.
const lateWriteThreshold = 20 * time.Millisecond

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

func endToEndHeaders(h http.Header) http.Header {
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

// endToEndHeaders returns the headers of the request to forward, without its key.
func (c *call) endToEndHeaders() http.Header {
	h := endToEndHeaders(c.r.Header)
	if c.keyed {
		c.server.codec.RemoveKey(h)
	}
	return h
}

// attempt is one attempt to send a request to a replica or box.
type attempt struct {
	call           *call
	target         *Target
	sent           time.Time
	cancel         context.CancelCauseFunc
	result         placement.Result
	writtenAfter   atomic.Int64  // nanoseconds until the request was written; 0 before
	unread         atomic.Value  // a func() bool that reports whether unread bytes of the response have arrived
	number         int           // number of this send of the request, from 1; 0 before it is written
	status         int           // of the response; 0 before
	conn           uint64        // number of the connection on which the response came
	discarded      int           // responses to other requests that came there in its place
	headAfter      time.Duration // time until the head of the response; 0 before
	lastReceived   atomic.Int64  // nanoseconds until bytes of the response last arrived, with the resolution of receivedInterval
	reportedSilent atomic.Bool
	defers         bool   // the response asks to retry later
	survived       bool   // reportSurvived was called
	why            string // why there is no complete response
	framing        exchange.Framing
	rest           int  // bytes of a stream after its last whole event
	announcedSent  int  // number of replicas that another box has announced to send the request to
	forwardedBytes int  // bytes of the request to another box
	receivedBytes  int  // bytes of the response, with its headers if it is another box's
	uncertain      bool // the body ended with its connection, and it is not known whether the replica lives
	tooLong        bool // the body has more than maxAnswerBytes
	memory         reservation
}

func (c *call) attemptReplica(ctx context.Context, t Target) attemptOutcome {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{
		call:   c,
		target: &t,
		sent:   clock.Now(),
		cancel: cancel,
		result: placement.Abandoned,
		memory: c.server.memory.reservation(),
	}
	defer a.memory.release()
	c.progressAt.Store(0)
	stop := a.watchStall(ctx)
	e := a.send(ctx)
	stop()
	cancel(nil) // closes the connection, so that the replica stops its work
	a.reportPoisonOutcome(e)
	a.endTrial(e)
	if a.hasNoResponse() && a.reportedSilent.Load() {
		a.result = placement.Abandoned
	}
	c.server.core.AttemptEnded(&t.Choice, a.result, clock.Since(a.sent))
	a.report(e)
	return e
}

// send sends the request to the replica and returns the response to the caller.
func (a *attempt) send(ctx context.Context) attemptOutcome {
	c := a.call
	c.noteSent()
	h := c.endToEndHeaders()
	answer, err := c.server.replicas.Do(ctx, exchange.Request{
		Addr:        a.target.Choice.Addr,
		Method:      c.r.Method,
		Target:      c.r.RequestURI,
		Host:        c.r.Host,
		Header:      h,
		Body:        c.body,
		ID:          c.facts.ID,
		Carriers:    &c.carriers,
		Matches:     func(h http.Header) bool { return c.server.codec.MatchesRequest(h, c.facts.ID) },
		DialTimeout: c.dialTimeout(replicaDialTimeout),
		OnWrite: func(unread func() bool) error {
			a.writeReplicaHeaders(h)
			return a.beforeWrite(unread)
		},
	})
	if err != nil {
		return a.sendFailed(ctx, err)
	}
	defer func() { _ = answer.Close() }()
	a.noteHead(answer)
	executed := c.server.codec.Executed(answer.Status(), answer.Header())
	a.readLoad(answer) // before the head: the load explains the time that it took
	c.server.core.HeadReceived(&a.target.Choice, Head{
		Took:    a.headAfter,
		Written: a.sent.Add(time.Duration(a.writtenAfter.Load())),
		Signals: a.readSignals(answer),
		Success: executed && answer.Status() < http.StatusBadRequest,
	})
	if !executed {
		return a.refused(answer)
	}
	c.noteReceiver(a.target.Choice.Incarnation)
	return a.pass(ctx, answer)
}

// writeReplicaHeaders sets the headers for the replica. The time left is that of the write, as the connection
// may have taken long.
func (a *attempt) writeReplicaHeaders(h http.Header) {
	c := a.call
	c.server.codec.WriteReplicaHeaders(h, ReplicaHeaders{
		Replica:     a.target.Choice.ID,
		TimeLeft:    clock.Until(c.deadline),
		Urgency:     min(c.urgency, maxUrgency),
		LastEventID: c.lastEvent,
		CopyFrom:    a.target.Choice.CopyFrom,

		Organisation: c.organisation,
	})
}

var (
	errDeclined       = errors.New("ingress: replica wants no request any more") // since it was chosen
	errDeadlinePassed = errors.New("ingress: deadline passed")
)

// beforeWrite records that the request is about to be written, or returns why it may not be.
func (a *attempt) beforeWrite(unread func() bool) error {
	if a.call.detectLeft() {
		return errCallerLeft
	}
	if a.call.deadlinePassed() {
		return errDeadlinePassed
	}
	a.unread.Store(unread)
	took := clock.Since(a.sent)
	a.writtenAfter.Store(max(int64(took), 1))
	a.countSend()
	if clock.Since(a.target.asked) < lateWriteThreshold {
		return nil
	}
	if !a.call.server.core.MayWrite(&a.target.Choice) {
		a.writtenAfter.Store(0)
		return errDeclined
	}
	a.call.server.core.RequestWritten(&a.target.Choice)
	return nil
}

// countSend numbers this send of the request. Another connection after a failed one counts as the same send.
func (a *attempt) countSend() {
	if a.number == 0 {
		a.call.sends++
		a.number = a.call.sends
	}
}

// uncountSend takes the number back of a send of which no byte was written.
func (a *attempt) uncountSend() {
	if a.number > 0 {
		a.call.sends--
		a.number = 0
	}
}

// noteHead records the head of the response and the connection on which it came.
func (a *attempt) noteHead(answer *exchange.Response) {
	a.headAfter = clock.Since(a.sent)
	a.status = answer.Status()
	a.conn = answer.Conn()
	a.discarded = answer.Discarded()
}

// readLoad reports the load that the replica names in the head of its answer.
func (a *attempt) readLoad(answer *exchange.Response) {
	server := a.call.server
	l, ok, err := server.codec.LoadReport(answer.Header())
	if err != nil {
		server.core.MalformedHeader(&a.target.Choice, err)
	}
	if ok {
		server.core.LoadReported(&a.target.Choice, l)
	}
}

// readSignals returns what the replica reports of itself. A misdirected request was answered by
// another replica.
func (a *attempt) readSignals(answer *exchange.Response) *placement.Signals {
	if answer.Status() == http.StatusMisdirectedRequest {
		return nil
	}
	s, err := a.call.server.codec.ReadSignals(answer.Status(), answer.Header())
	if err != nil {
		a.call.server.core.MalformedHeader(&a.target.Choice, err)
	}
	a.defers = s.RetryAfter > 0
	return &s
}

// hasUnread reports whether this box, whose CPU may be overloaded, has unread bytes of the
// response.
func (a *attempt) hasUnread() bool {
	unread, ok := a.unread.Load().(func() bool)
	return ok && unread()
}

// refused handles a response by which the replica reports that it did not run the request.
func (a *attempt) refused(answer *exchange.Response) attemptOutcome {
	a.result = placement.Refused
	if answer.Status() == http.StatusMisdirectedRequest {
		a.result = placement.Misdirected
		a.call.tried = append(a.call.tried, a.target.Choice.Incarnation)
		a.call.received = true
		return unsent
	}
	if a.defers {
		a.result = placement.Deferred
	}
	a.call.rejected = append(a.call.rejected, a.target.Choice.Incarnation)
	a.call.noteReceiver(a.target.Choice.Incarnation)
	return notRun
}

// sendFailed returns the outcome of an attempt without a response from the replica.
func (a *attempt) sendFailed(ctx context.Context, err error) attemptOutcome {
	var e *exchange.Error
	sent := !errors.As(err, &e) || e.Sent()
	if sent {
		a.call.noteReceiver(a.target.Choice.Incarnation)
	} else {
		a.uncountSend()
		a.call.tried = append(a.call.tried, a.target.Choice.Incarnation)
	}
	stalled := errors.Is(context.Cause(ctx), errStalled)
	a.setWhy(ctx, err)
	switch {
	case ctx.Err() != nil && !stalled && sent:
		a.call.state = max(a.call.state, stateMaybeRan)
		return abandoned
	case (ctx.Err() != nil && !stalled) || isSkipped(err):
		a.result = placement.Unsent
		return abandoned
	case errors.Is(err, errDeclined):
		a.result = placement.Declined
		return unsent
	case !sent:
		a.result = placement.Unreachable
		a.call.noteFailedDial()
		return unsent
	case stalled:
		a.result = placement.TimedOut
		return unknown
	}
	a.result = placement.NoResponse
	return unknown
}

// isSkipped reports whether a request was not written since nobody waits for its response any more.
func isSkipped(err error) bool {
	return errors.Is(err, errCallerLeft) || errors.Is(err, errDeadlinePassed)
}

// hasNoResponse reports whether the replica gave no response or an incomplete one.
func (a *attempt) hasNoResponse() bool {
	return a.result == placement.NoResponse || a.result == placement.TimedOut
}

// Logged reasons for which an attempt has no complete response.
const (
	whySilent          = "replica silent"
	whyCallerLeft      = "caller left"
	whyDeadline        = "time is up"
	whyBodyInterrupted = "body broke off"
	whyNoEvent         = "stream without events"
	whyEventTooLong    = "event too long"
	whyAnswerTooLong   = "answer too long"
	whyEndUnknown      = "not known whether the body is complete"
	whyDeclined        = "replica wants no request any more"
)

// setWhy sets why the attempt has no complete response. Causes on this box's side are
// distinguished from failures of the replica.
func (a *attempt) setWhy(ctx context.Context, err error) {
	var e *exchange.Error
	switch {
	case errors.Is(context.Cause(ctx), errStalled):
		a.why = whySilent
	case a.call.callerLeft():
		a.why = whyCallerLeft
	case ctx.Err() != nil, errors.Is(err, errDeadlinePassed):
		a.why = whyDeadline
	case a.tooLong:
		a.why = whyAnswerTooLong
	case errors.Is(err, errDeclined):
		a.why = whyDeclined
	case errors.As(err, &e):
		a.why = "failed to " + e.Stage().String()
	default:
		a.why = whyBodyInterrupted
	}
}

func (a *attempt) report(e attemptOutcome) {
	c := a.call
	outcome := loggedOutcomes[e]
	c.server.core.Meter.Attempt(c.service, string(outcome))
	if a.headAfter > 0 && e == served {
		c.server.core.Meter.FirstResponse(c.service, a.headAfter)
	}
	digest, parts := "", ""
	if a.target.Choice.Incarnation != "" && (e == unknown || e == interrupted) {
		digest = c.content.Digest().String() // shows whether one request made several replicas crash
		parts = c.partIDs()                  // the same for a part of prompts
	}
	c.record(decision.Event{
		Kind:      decision.Try,
		Upstream:  a.target.Choice.Incarnation + a.target.Box,
		Outcome:   outcome,
		Reason:    a.why,
		Status:    a.status,
		Send:      a.number,
		Conn:      a.conn,
		Discarded: a.discarded,
		Digest:    digest,
		Parts:     parts,
		Tries:     c.sent,
		SentMs:    time.Duration(a.writtenAfter.Load()).Milliseconds(),
		HeadMs:    a.headAfter.Milliseconds(),
		TookMs:    clock.Since(a.sent).Milliseconds(),
		Framing:   string(a.framing),
		Rest:      a.rest,
	})
}

var loggedOutcomes = map[attemptOutcome]decision.Outcome{
	served:      decision.Served,
	unsent:      decision.NotRun,
	notRun:      decision.Refused,
	unknown:     decision.Unknown,
	interrupted: decision.Broken,
	abandoned:   decision.Left,
}
