package ingress

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/placement"
)

// Reasons for refusals besides those of package placement.
const (
	reasonStarting       placement.Reason = "no policy known yet"
	reasonStalePolicy    placement.Reason = "no route in a policy that may be old"
	reasonBusy           placement.Reason = "box lacks processor time"
	reasonUnknownBuild   placement.Reason = "software version of the stream not known"
	reasonBudget         placement.Reason = "no more tries"
	reasonReplicaFailure placement.Reason = "a replica's own failure, and no more tries"
	reasonDeadline       placement.Reason = whyDeadline
	reasonCallerLeft     placement.Reason = whyCallerLeft
	reasonMisdirected                     = "sent to a replica that has the address of this box"
)

const (
	retryAfterStarting = 300 * time.Millisecond
	retryAfterStopping = time.Second            // restart time of a box that is the only one of its region
	minRetryAfter      = 100 * time.Millisecond // used if the length of a shortage is unknown
	maxRetryAfter      = time.Second
	maxNamedRetryAfter = 30 * time.Second // if the wait follows from what replicas report of themselves
)

// finish sends a final response if no attempt produced one.
func (c *call) finish(ctx context.Context) {
	late := ctx.Err() != nil || c.deadlinePassed()
	switch {
	case c.done:
	case c.state == stateStarted:
		c.abortResponse(c.abortReason(ctx))
	case c.callerLeft():
		if c.state == stateNotRun {
			c.unreserve()
		}
		c.recordEnd(decision.Left, 0, string(reasonCallerLeft))
		panic(http.ErrAbortHandler) // net/http would send 200 to a caller that has closed only its sending side
	case c.failure != nil:
		c.answer(*c.failure, reasonReplicaFailure)
	case c.state == stateMaybeRan && late:
		c.fail(http.StatusGatewayTimeout, reasonDeadline)
	case c.state == stateMaybeRan:
		c.fail(http.StatusBadGateway, c.lastReason())
	case c.isPoison():
		c.refusePoison()
	case c.reason == reasonRevokedKey:
		c.unreserve()
		c.rejectKey(reasonRevokedKey)
	case c.reason == reasonQuota:
		c.refuseQuota()
	case c.reason == ReasonStopping:
		c.refuse(ReasonStopping, c.server.retryAfterStop())
	case late:
		c.refuse(reasonDeadline, 0)
	case c.reason != placement.None:
		c.refuse(c.reason, c.retryAfter)
	default:
		c.refuse(reasonBudget, 0)
	}
}

// abortResponse closes the connection to the caller in the middle of a response, so that
// it is not mistaken for a complete one.
func (c *call) abortResponse(reason placement.Reason) {
	c.recordEnd(decision.Broken, 0, string(reason))
	panic(http.ErrAbortHandler)
}

func (c *call) abortReason(ctx context.Context) placement.Reason {
	switch {
	case c.callerLeft():
		return reasonCallerLeft
	case ctx.Err() != nil, c.deadlinePassed():
		return reasonDeadline
	}
	return c.lastReason()
}

func (c *call) lastReason() placement.Reason { return cmp.Or(c.reason, reasonBudget) }

// fail answers that the request may have run.
func (c *call) fail(status int, reason placement.Reason) {
	c.setRelayResult(resultUnknown)
	c.recordEnd(decision.Unknown, status, string(reason))
	c.w.WriteHeader(status)
}

// refuse answers that the request has not run, with the time to retry after.
func (c *call) refuse(reason placement.Reason, wait time.Duration) {
	limit := maxRetryAfter
	if reason == placement.Limited || reason == placement.Deferring || c.refusedByQueue {
		limit = maxNamedRetryAfter
	}
	wait = min(max(wait, minRetryAfter), limit)
	c.w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 2, 64))
	c.refuseUnavailable(reason)
}

// refuseUnavailable answers with status 503 that the request has not run.
func (c *call) refuseUnavailable(reason placement.Reason) {
	c.unreserve()
	c.refuseWithStatus(http.StatusServiceUnavailable, reason)
}

// refuseWithStatus answers with the status that the request has not run.
func (c *call) refuseWithStatus(status int, reason placement.Reason) {
	c.setRelayResult(resultNotRun)
	c.server.core.Meter.Refusal(string(reason))
	c.recordEnd(decision.Refused, status, string(reason))
	c.w.WriteHeader(status)
}

// retryAfterStop returns the Retry-After of a box that is stopping: short if another box
// of the region is serving.
func (s *Server) retryAfterStop() time.Duration {
	if s.core.OtherBoxServing() {
		return minRetryAfter
	}
	return retryAfterStopping
}

// reject answers that the request is invalid.
func (c *call) reject(status int, reason string) {
	c.setRelayResult(resultNotRun)
	c.recordEnd(decision.Refused, status, reason)
	c.w.WriteHeader(status)
}

// setRelayResult sets the headers that report the outcome to the box that forwarded the
// request, if any.
func (c *call) setRelayResult(result string) {
	if c.relay == nil {
		return
	}
	h := c.w.Header()
	h.Set(headerResult, result)
	h.Set(headerSent, strconv.Itoa(c.sent-c.relay.Sent))
	if build := c.streamBuild(); build != 0 {
		h.Set(headerBuild, strconv.FormatUint(uint64(build), 10))
	}
}
