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
	acceptFor  = 2500 * time.Millisecond // after the order to stop all requests are still taken: some callers hold an answer to "which box" for three times its time
	lastCalls  = time.Second             // before the end nothing more is taken: calls take half of that at most, as a rule
	answerBy   = 250 * time.Millisecond  // before the end, each call that was taken has an answer
	serveCheck = 50 * time.Millisecond   // between two looks whether another box serves
)

// Leave begins a planned stop: the box is no longer named to callers, finishes
// what is in flight and ends.
func (n *Node) Leave() {
	n.once.Do(func() {
		n.ends.Store(int64(n.now() + n.settings.Bounds.StopWithin - stopEarly))
		n.leaving.Store(true)
		n.record(decision.Event{
			Kind:   decision.Stop,
			Reason: "told to stop",
		})
		close(n.stop)
	})
}

// drain waits for a planned stop. Requests still come for a while, from callers
// that hold an older answer to "which box". After that only calls are taken, and
// these only while no other box of the region serves; at last the box finishes what
// it has.
func (n *Node) drain(ctx context.Context, cancel context.CancelCauseFunc, servers ...*http.Server) {
	select {
	case <-ctx.Done():
		return
	case <-n.stop:
	}
	n.tellEveryone(false)
	limit, stop := context.WithTimeout(ctx, n.settings.Bounds.StopWithin-stopEarly)
	defer stop()
	sleep.For(limit, min(acceptFor, n.settings.Bounds.StopWithin/2))
	n.closed.Store(true)
	n.tellEveryone(false)
	n.awaitOther(limit)
	for _, s := range servers {
		if err := s.Shutdown(limit); err != nil {
			n.record(decision.Event{
				Kind:   decision.Stop,
				Reason: "requests cut off",
				Detail: err.Error(),
			})
		}
	}
	cancel(ending.ErrPlanned)
}

// awaitOther waits until another box of the region serves, or the box has to end.
// Boxes of a region that are told to stop one soon after the other would otherwise
// all refuse connections at the same time.
func (n *Node) awaitOther(limit context.Context) {
	last := time.Duration(n.ends.Load()) - lastCalls
	for limit.Err() == nil && n.now() < last && !n.otherServes() {
		sleep.For(limit, serveCheck)
	}
}

// otherServes says whether another box of the region serves.
func (n *Node) otherServes() (out bool) {
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		out = len(s.roster.Serving(s.settings.Region, n.now())) > 0
	})
	return out
}

// takesStreams says whether a stream that comes now will be answered to its end, as
// far as the box can tell.
func (n *Node) takesStreams() bool { return !n.closed.Load() }

// answersBy returns the time by which a request that comes now must have its answer,
// and whether there is one: the box is about to end.
func (n *Node) answersBy() (time.Time, bool) {
	if !n.leaving.Load() {
		return time.Time{}, false
	}
	return n.started.Add(time.Duration(n.ends.Load()) - answerBy), true
}
