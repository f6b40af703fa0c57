package node

import (
	"context"
	"time"

	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/queue"
)

// place chooses a target for a request and counts the request there. The request may wait for
// capacity until ctx is done.
func (n *Node) place(ctx context.Context, ask ingress.TargetQuery) ingress.Target {
	t := ingress.Target{
		Reason: placement.NoReplica,
	}
	var w *waiter
	_ = n.state.Do(func(s *state) {
		t, w = s.arrive(ask, n.now(), n.draw)
		n.afterDispatch(s)
	})
	if w != nil {
		t = n.await(ctx, w)
	}
	n.meterTarget(ctx, &ask, &t)
	if t.Choice.PrefillTokens >= notifyTokens {
		n.sendLoads()
	}
	return t
}

// await returns the target of a request that waits for capacity, or its refusal.
func (n *Node) await(ctx context.Context, w *waiter) (t ingress.Target) {
	timer := time.NewTimer(max(w.entry.Deadline-n.now(), 0))
	defer timer.Stop()
	select {
	case t = <-w.target:
		return t
	case <-ctx.Done():
		_ = n.state.Do(func(s *state) {
			s.withdraw(w, n.now())
			n.dispatchSoon(s)
		})
		return w.refused(placement.Reason(queue.TooLate), 0, "")
	case <-timer.C:
	}
	if err := n.state.Do(func(s *state) { s.expire(w, n.now()) }); err != nil {
		return w.refused(ingress.ReasonStopping, 0, "")
	}
	return <-w.target // it was delivered before, or is the refusal
}

// meterTarget counts the wait of a request, or why it got no target.
func (n *Node) meterTarget(ctx context.Context, ask *ingress.TargetQuery, t *ingress.Target) {
	switch t.Reason {
	case placement.RateLimited:
		n.meter.ColdSendRateLimited()
	case placement.Limited:
		n.meter.LimitedSend()
	}
	level := min(max(ask.Level, 0), queue.MaxLevels-1)
	switch {
	case t.Reason == placement.None && t.Waited > 0:
		n.meter.QueueWait(ask.Request.Service, level, t.Waited)
	case t.Final && ctx.Err() == nil:
		n.meter.QueueRefused(ask.Request.Service, string(t.Reason), level)
	}
	if t.Reason == placement.Reason(queue.Displaced) {
		n.meter.QueueDisplaced(ask.Request.Service, level)
	}
}

// dispatch places waiting requests, after capacity may have become free. It runs in the actor.
func (n *Node) dispatch(s *state) {
	if s.waitingRequests() > 0 {
		s.dispatch(n.now(), n.draw)
		n.afterDispatch(s)
	}
}

// dispatchSoon is dispatch after one of the many updates from other boxes.
func (n *Node) dispatchSoon(s *state) {
	if s.waitingRequests() > 0 {
		s.dispatchSoon(n.now(), n.draw)
		n.afterDispatch(s)
	}
}

// afterDispatch sends the requests for loans, and sets the timer for the next dispatch that is
// needed at a known time. It runs in the actor.
func (n *Node) afterDispatch(s *state) {
	if loans := s.waiting.loans; len(loans) > 0 {
		s.waiting.loans = nil
		n.sendPackets(loans) // datagrams are sent without waiting
	}
	at := s.waiting.wakeAt
	if at == 0 || at == n.wakeAt {
		return
	}
	n.wakeAt = at
	in := max(at-n.now(), minWake)
	if n.wakeTimer != nil {
		n.wakeTimer.Reset(in)
		return
	}
	n.wakeTimer = time.AfterFunc(in, func() {
		n.state.Post(func(s *state) {
			n.wakeAt = 0
			n.dispatch(s)
		})
	})
}

// updateQueues refuses and places waiting requests, as records expire without an event, and updates
// the metrics of the queues. It runs in the actor.
func (n *Node) updateQueues(s *state) {
	n.dispatch(s)
	for _, q := range s.waiting.queues {
		for level := range queue.MaxLevels {
			waiting, _, _ := q.Waiting(level)
			n.meter.QueueWaiting(q.service, level, waiting)
		}
	}
}
