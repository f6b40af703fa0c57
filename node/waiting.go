package node

import (
	"math"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/queue"
	"github.com/havenrudder/havenrudder/roster"
)

const (
	maxDispatchTries = 8                     // entries that can't be placed for reasons of their own, in one dispatch
	dispatchInterval = 10 * time.Millisecond // between two dispatches for updates from other boxes, or for arrivals behind others
	weighInterval    = 50 * time.Millisecond // between two comparisons of regions for waiting requests
	maxWeighed       = 64                    // waiting requests whose expected wait is computed then
	rateInterval     = 50 * time.Millisecond // between two computations of a queue's rate
	minWake          = 2 * time.Millisecond  // until a dispatch at a known time
	holdShare        = 8                     // a request whose replicas are ejected is held for at most this part of its latency target
	lateWaitShare    = 0.4                   // part of the latency target from which an expected wait has a request compare the regions
	rejectionShare   = 2                     // part of the time in a slot, until a request may go again to a replica without others of this box that rejected it
)

// waiter is a request that waits for capacity.
type waiter struct {
	queue    *serviceQueue
	query    ingress.TargetQuery
	entry    *queue.Entry
	since    time.Duration // when it arrived
	until    time.Duration // how long it is held at most
	ahead    int           // entries that preceded it on its arrival
	expected time.Duration // wait that was expected on its arrival
	target   chan ingress.Target
	weighed  bool // the regions were compared for it since it waits
}

// serviceQueue holds the requests that wait for capacity of a service.
type serviceQueue struct {
	*queue.Queue
	service   string
	waiters   map[*queue.Entry]*waiter
	weighedAt time.Duration // when requests that wait were last compared with other regions
	rate      float64       // slots that this box may use at once
	rateAt    time.Duration // when it was computed; 0 for never
}

// waitingState is the state of the requests that wait for capacity.
type waitingState struct {
	queues       map[string]*serviceQueue // by service
	stopping     bool                     // a planned stop has begun, so that no request waits any more
	dispatchedAt time.Duration
	wakeAt       time.Duration   // time of the next dispatch that is needed; 0 for none
	loans        []roster.Packet // requests for loans, not yet sent
}

func newWaitingState() waitingState {
	return waitingState{
		queues: make(map[string]*serviceQueue),
	}
}

// queueOf returns the queue of a service.
func (s *state) queueOf(service string) *serviceQueue {
	q, ok := s.waiting.queues[service]
	if !ok {
		q = &serviceQueue{
			Queue:   queue.New(),
			service: service,
			waiters: make(map[*queue.Entry]*waiter),
		}
		s.waiting.queues[service] = q
	}
	return q
}

// waitsInOrder reports whether a request waits in the order of its service. One that may not run in
// this region is placed at once, as the capacity of other regions is not known by requests.
func (s *state) waitsInOrder(ask *ingress.TargetQuery) bool {
	return ask.MayWait && !s.waiting.stopping && s.table != nil && s.table.Competes(ask.Request.Service) && ask.Route.Allows(s.settings.Region)
}

// arrive places a request, unless others precede it or there is no capacity. It returns a waiter for
// one that waits, else its target or the reason of its refusal.
func (s *state) arrive(ask ingress.TargetQuery, now time.Duration, draw func(n int) int) (ingress.Target, *waiter) {
	if !s.waitsInOrder(&ask) {
		t := s.place(ask, now, draw)
		s.noteUnplaced(&t, now)
		return t, nil
	}
	s.countRoute(&ask, now)
	q := s.queueOf(ask.Request.Service)
	s.updateRate(q, now)
	w := s.newWaiter(q, ask, now)
	if ask.Entry == nil {
		if t, ok := s.placeAway(w, now, draw); ok {
			return w.served(t, now), nil
		}
	}
	v := w.enter(now)
	q.refuseDisplaced()
	w.ahead, w.expected = v.Ahead, v.Wait
	if v.Refused != "" {
		return s.placeRefused(w, v, now, draw), nil
	}
	if v.Ahead == 0 {
		t := s.placeWaiter(w, now, draw)
		if t.Reason == placement.None {
			q.Take(w.entry, now)
			return w.served(t, now), nil
		}
		until, ok := s.prospect(w, &t, now)
		if !ok {
			q.Remove(w.entry)
			return w.refused(t.Reason, t.RetryAfter, t.Choice.Blocked), nil
		}
		w.until = until
	}
	q.waiters[w.entry] = w
	s.wakeBy(w.until)
	if v.Ahead > 0 {
		s.dispatchSoon(now, draw)
	}
	return ingress.Target{}, w
}

// placeAway returns a target in another region for a request that would wait here until it is late or
// useless; false if it stays. It is called before the request enters the queue, which would expect its
// work otherwise.
func (s *state) placeAway(w *waiter, now time.Duration, draw func(n int) int) (ingress.Target, bool) {
	wait, fits := w.queue.Prospect(w.entry, now)
	if fits && (wait == 0 || float64(wait+s.slotWait(w.query.Request)) < lateWaitShare*float64(w.query.LatencyTarget)) {
		return ingress.Target{}, false
	}
	return s.chooseAway(w.query, localProspect{
		wait:    wait,
		refused: !fits,
	}, now, draw)
}

// sendWaitingAway sends requests to other regions that would be late here since more urgent ones have
// come after them.
func (s *state) sendWaitingAway(q *serviceQueue, now time.Duration, draw func(n int) int) {
	if now-q.weighedAt < weighInterval {
		return
	}
	q.weighedAt = now
	seen, tries := 0, 0
	for e, w := range q.waiters { // in random order, so that all are compared over time
		if seen++; seen > maxWeighed {
			return
		}
		left := e.Target + s.view.FirstByteTime(w.query.Request) - now
		wait := q.ExpectedWait(e, now)
		if left < 0 || w.weighed || float64(wait+s.slotWait(w.query.Request)) < lateWaitShare*float64(left) {
			continue
		}
		if tries++; tries > maxDispatchTries {
			return
		}
		w.weighed = true
		ask := w.query
		ask.TimeLeft -= now - w.since
		ask.LatencyTarget -= now - w.since
		local := localProspect{
			wait: wait,
		}
		if t, ok := s.chooseAway(ask, local, now, draw); ok {
			q.Remove(e)
			w.deliver(w.served(t, now))
		}
	}
}

// enter adds the request to its queue, or returns why that refuses it.
func (w *waiter) enter(now time.Duration) queue.Verdict {
	if w.query.Entry != nil {
		return w.queue.Return(w.entry, now)
	}
	return w.queue.Arrive(w.entry, now)
}

// placeRefused handles a request that its queue refuses. While no other one waits, an estimate alone
// does not turn it away.
func (s *state) placeRefused(w *waiter, v queue.Verdict, now time.Duration, draw func(n int) int) ingress.Target {
	if w.queue.Len() == 0 {
		if t := s.placeWaiter(w, now, draw); t.Reason == placement.None {
			return w.served(t, now)
		}
	}
	return w.refused(placement.Reason(v.Refused), v.RetryAfter, "")
}

func (s *state) newWaiter(q *serviceQueue, ask ingress.TargetQuery, now time.Duration) *waiter {
	e := ask.Entry
	if e == nil {
		e = s.newEntry(&ask, now)
	}
	return &waiter{
		queue:  q,
		query:  ask,
		entry:  e,
		since:  now,
		until:  e.Deadline,
		target: make(chan ingress.Target, 1),
	}
}

// newEntry returns the entry of a request. It is in time when its first event, or the answer of a
// call, arrives within the latency target, and of use when the answer is complete at its deadline.
func (s *state) newEntry(ask *ingress.TargetQuery, now time.Duration) *queue.Entry {
	cost := s.view.Occupancy(ask.Request)
	return &queue.Entry{
		Level:    ask.Level,
		Flow:     ask.Flow,
		Cost:     cost,
		Bytes:    ask.Bytes,
		Target:   now + ask.LatencyTarget - s.view.FirstByteTime(ask.Request),
		Deadline: now + ask.TimeLeft - cost,
	}
}

// served returns the target of a request that need not wait any more.
func (w *waiter) served(t ingress.Target, now time.Duration) ingress.Target {
	t.Entry = w.entry
	t.Waited = now - w.since
	t.Ahead = w.ahead
	t.Expected = w.expected
	return t
}

// refused returns the refusal of a request.
func (w *waiter) refused(reason placement.Reason, retryAfter time.Duration, blocked string) ingress.Target {
	return ingress.Target{
		Choice: placement.Choice{
			Blocked: blocked,
		},
		Reason:     reason,
		RetryAfter: retryAfter,
		Final:      true,
		Ahead:      w.ahead,
		Expected:   w.expected,
	}
}

// deliver ends the wait of a request.
func (w *waiter) deliver(t ingress.Target) {
	delete(w.queue.waiters, w.entry)
	w.target <- t // it has room for one, and the waiter was in the queue until now
}

// refuse removes a waiting request from its queue and refuses it.
func (w *waiter) refuse(reason placement.Reason, retryAfter time.Duration, blocked string) {
	w.queue.Remove(w.entry)
	w.deliver(w.refused(reason, retryAfter, blocked))
}

// placeWaiter chooses a target. A request may go again to a replica that rejected it, after a pause,
// if there is no other.
func (s *state) placeWaiter(w *waiter, now time.Duration, draw func(n int) int) ingress.Target {
	ask := w.query
	ask.TimeLeft -= now - w.since
	ask.LatencyTarget -= now - w.since
	local := localProspect{
		waited: now - w.since,
	}
	t := s.choose(ask, local, now, draw)
	if t.Reason != placement.None && len(ask.Rejected) > 0 {
		t = s.placeRejected(w, ask, t, now, draw)
	}
	s.noteUnplaced(&t, now)
	return t
}

// placeRejected chooses a target among the replicas that rejected a request, which none of the others
// can run. One with requests of this box gets it when one of these has ended. Of one without any, it
// is not known when it may have a free slot.
func (s *state) placeRejected(w *waiter, ask ingress.TargetQuery, none ingress.Target, now time.Duration, draw func(n int) int) ingress.Target {
	pause := w.since + w.entry.Cost/rejectionShare
	waits := func(replica string) bool {
		r := s.view.Get(replica)
		return now < pause && r != nil && r.Own().Requests == 0
	}
	tried := ask.Request.Tried
	ask.Request.Tried = slices.DeleteFunc(slices.Clone(tried), func(r string) bool { return slices.Contains(ask.Rejected, r) && !waits(r) })
	t := s.choose(ask, localProspect{}, now, draw)
	if t.Reason == placement.None || t.Choice.Busy || !slices.ContainsFunc(ask.Rejected, waits) {
		return t
	}
	ask.Request.Tried = slices.DeleteFunc(slices.Clone(tried), func(r string) bool { return slices.Contains(ask.Rejected, r) })
	if len(s.view.Usable(ask.Request, now)) > 0 {
		none.Choice.Busy = true
		s.wakeBy(pause)
	}
	return none
}

// noteUnplaced asks other boxes for a send to the limited replica for which a request was not placed.
func (s *state) noteUnplaced(t *ingress.Target, now time.Duration) {
	if t.Reason == placement.Limited {
		s.waiting.loans = append(s.waiting.loans, s.askLoans(t.Choice.Blocked, now)...)
	}
}

// prospect reports whether a request that can't be placed now may wait for capacity, and until when.
func (s *state) prospect(w *waiter, t *ingress.Target, now time.Duration) (until time.Duration, ok bool) {
	c := &t.Choice
	limit := w.entry.Deadline
	switch {
	case c.Busy:
		if c.Pause > 0 {
			s.wakeBy(now + c.Pause)
		}
		return w.entry.Deadline, true
	case c.Reason == placement.Deferring:
		limit = w.entry.Target
		fallthrough
	case c.Reason == placement.RateLimited, c.Reason == placement.Limited:
		if at := now + c.Wait; c.Wait > 0 && at <= limit {
			s.wakeBy(at)
			return w.entry.Deadline, true
		}
	}
	until = min(w.since+w.query.Route.LatencyTarget.Duration()/holdShare, w.entry.Deadline)
	return until, c.Recovering && now < until
}

// wakeBy has a dispatch run at a time.
func (s *state) wakeBy(at time.Duration) {
	if s.waiting.wakeAt == 0 || at < s.waiting.wakeAt {
		s.waiting.wakeAt = at
	}
}

// dispatch places waiting requests in their order, and refuses those that can't be placed in time
// any more.
func (s *state) dispatch(now time.Duration, draw func(n int) int) {
	s.waiting.wakeAt = 0
	s.waiting.dispatchedAt = now
	for _, q := range s.waiting.queues {
		if len(q.waiters) > 0 {
			s.dispatchQueue(q, now, draw)
		}
	}
}

// dispatchSoon runs a dispatch now, or soon if one ran a moment ago.
func (s *state) dispatchSoon(now time.Duration, draw func(n int) int) {
	if next := s.waiting.dispatchedAt + dispatchInterval; s.waiting.dispatchedAt > 0 && now < next {
		if s.waitingRequests() > 0 {
			s.wakeBy(next)
		}
		return
	}
	s.dispatch(now, draw)
}

func (s *state) dispatchQueue(q *serviceQueue, now time.Duration, draw func(n int) int) {
	s.updateRate(q, now)
	q.refuseExpired(now)
	s.sendWaitingAway(q, now, draw)
	failed := make([]*queue.Entry, 0, maxDispatchTries)
	for e := q.Next(now); e != nil && len(failed) < maxDispatchTries; {
		if slices.Contains(failed, e) {
			e = q.After(e)
			continue
		}
		w := q.waiters[e]
		t := s.placeWaiter(w, now, draw)
		if t.Reason == placement.None {
			q.Take(e, now)
			w.deliver(w.served(t, now))
			e = q.Next(now)
			continue
		}
		if until, ok := s.prospect(w, &t, now); ok {
			w.until = until
			s.wakeBy(until)
			failed = append(failed, e)
			e = q.After(e)
			continue
		}
		w.refuse(t.Reason, t.RetryAfter, t.Choice.Blocked)
		e = q.Next(now)
	}
	if at, ok := q.NextDeadline(); ok {
		s.wakeBy(at + 1) // it may be placed until then
	}
}

// refuseExpired refuses the requests that can't be placed in time any more.
func (q *serviceQueue) refuseExpired(now time.Duration) {
	for _, e := range q.Expire(now) {
		q.refuseEntry(e)
	}
	q.refuseDisplaced()
}

func (q *serviceQueue) refuseDisplaced() {
	for _, e := range q.Overflow() {
		q.refuseEntry(e)
	}
}

// refuseEntry refuses a request that its queue has removed, with the queue's verdict.
func (q *serviceQueue) refuseEntry(e *queue.Entry) {
	if w, ok := q.waiters[e]; ok {
		v := e.Verdict()
		w.deliver(w.refused(placement.Reason(v.Refused), v.RetryAfter, ""))
	}
}

// expire refuses a request that waits although it can't be placed in time any more.
func (s *state) expire(w *waiter, now time.Duration) {
	if w.waits() {
		wait := w.queue.ExpectedWait(w.entry, now)
		w.refuse(placement.Reason(queue.TooLate), wait, "")
	}
}

func (w *waiter) waits() bool { return w.queue.waiters[w.entry] == w }

// withdraw removes a request whose caller has left, and releases a target that it has got meanwhile.
func (s *state) withdraw(w *waiter, now time.Duration) {
	if w.waits() {
		w.queue.Remove(w.entry)
		delete(w.queue.waiters, w.entry)
		return
	}
	t := <-w.target
	if t.Choice.Incarnation != "" {
		s.view.End(&t.Choice, placement.Unsent, 0, now)
	}
	if t.Box != "" {
		s.settleLink(&t, w.query.Request.Service, 0, 0, now)
	}
}

// stopWaiting refuses all waiting requests, since a planned stop has begun.
func (s *state) stopWaiting() {
	s.waiting.stopping = true
	for _, q := range s.waiting.queues {
		for _, w := range q.waiters {
			w.refuse(ingress.ReasonStopping, 0, "")
		}
	}
}

// waitingRequests returns the number of requests that wait for capacity.
func (s *state) waitingRequests() (out int) {
	for _, q := range s.waiting.queues {
		out += len(q.waiters)
	}
	return out
}

// updateRate sets the rate of a queue: the part of the usable replicas' slots that this box has by its
// share, or its equal part while that is not known.
func (s *state) updateRate(q *serviceQueue, now time.Duration) {
	if q.rateAt > 0 && now-q.rateAt < rateInterval {
		return
	}
	q.rateAt = now
	part := 1 / float64(s.activeBoxes(now))
	if room := s.view.Room(q.service, now); room > 0 && !math.IsInf(s.view.Share(q.service), 1) {
		part = min(s.view.Share(q.service)/room, 1)
	}
	q.rate = part * s.view.UsableSlots(q.service, now)
	q.SetRate(q.rate)
}

// activeBoxes returns the number of active boxes of the region, with this one.
func (s *state) activeBoxes(now time.Duration) int {
	if set := s.active[s.settings.Region]; set != nil {
		return max(len(set), 1)
	}
	out := 1
	for range s.roster.AllServing(s.settings.Region, now) {
		out++
	}
	return out
}
