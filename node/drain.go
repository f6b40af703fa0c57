package node

import (
	"context"
	"net/http"
	"time"

	"github.com/havenrudder/havenrudder/common/ending"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/decision"
)

const (
	acceptWindow       = 2500 * time.Millisecond // after the order to stop, in which requests are accepted: callers keep a directory answer for up to three TTLs
	closingWindow      = time.Second             // before the end, in which nothing is accepted
	answerMargin       = 250 * time.Millisecond  // between the last answer and the end
	serveCheckInterval = 50 * time.Millisecond   // between two checks for another serving box
)

// Drain begins a planned stop: the directory no longer returns the box, which completes the
// requests in flight and ends.
func (n *Node) Drain() {
	n.stopOnce.Do(func() {
		n.stopAt.Store(int64(n.now() + n.settings.Bounds.StopTimeout - stopMargin))
		n.leaving.Store(true)
		n.record(decision.Event{
			Kind:   decision.Stop,
			Reason: "told to stop",
		})
		close(n.stop)
	})
}

// drain waits for a planned stop. At first requests are accepted as before, from callers with
// an older directory answer. Then the box rejects new streams, and accepts other requests only
// until another box of the region serves. At last it completes the requests in flight.
func (n *Node) drain(ctx context.Context, cancel context.CancelCauseFunc, servers ...*http.Server) {
	select {
	case <-ctx.Done():
		return
	case <-n.stop:
	}
	_ = n.state.Do((*state).stopWaiting) // it fails only when the box has ended
	n.notifyAll(false)
	limit, stop := context.WithTimeout(ctx, n.settings.Bounds.StopTimeout-stopMargin)
	defer stop()
	sleep.For(limit, min(acceptWindow, n.settings.Bounds.StopTimeout/2))
	n.closed.Store(true)
	n.notifyAll(false)
	n.awaitServingBox(limit)
	for _, s := range servers {
		if err := ending.Shutdown(limit, s); err != nil {
			n.record(decision.Event{
				Kind:   decision.Stop,
				Reason: "requests cut off",
				Detail: err.Error(),
			})
		}
	}
	cancel(ending.ErrPlanned)
}

// awaitServingBox waits until another box of the region serves, or this one has to end, so that
// boxes that stop shortly after each other don't all refuse connections.
func (n *Node) awaitServingBox(limit context.Context) {
	last := time.Duration(n.stopAt.Load()) - closingWindow
	for limit.Err() == nil && n.now() < last && !n.anotherBoxServes() {
		sleep.For(limit, serveCheckInterval)
	}
}

func (n *Node) anotherBoxServes() (out bool) {
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		out = len(s.roster.Serving(s.settings.Region, n.now())) > 0
	})
	return out
}

// acceptsStreams reports whether the box has time to complete a new stream.
func (n *Node) acceptsStreams() bool { return !n.closed.Load() }

// answerDeadline returns the deadline of answers during a planned stop; false when there is none.
func (n *Node) answerDeadline() (time.Time, bool) {
	if !n.leaving.Load() {
		return time.Time{}, false
	}
	return n.started.Add(time.Duration(n.stopAt.Load()) - answerMargin), true
}
