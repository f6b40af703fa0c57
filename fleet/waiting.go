package fleet

import (
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/admission"
	"github.com/havenrudder/havenrudder/bundle"
	"github.com/havenrudder/havenrudder/queue"
	"github.com/havenrudder/havenrudder/routing"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	maxDispatchTries = 8                      // entries that can't be placed for reasons of their own, in one dispatch
	rateInterval     = 50 * time.Millisecond  // between two computations of a queue's rate
	defaultHold      = 500 * time.Millisecond // time of a request while no replica's is known, as in routing
	baseLatency      = 20 * time.Millisecond  // time to first token without prefill and queueing, as in routing
)

// LeavingBox is the code of a refusal because a planned stop has begun.
const LeavingBox = "leaving"

// Waiting says whether a request may wait for capacity.
type Waiting int

// Ways to place a request. The last two apply only where organisations or priorities compete.
const (
	AtOnce  Waiting = iota // it is placed or refused, whatever waits
	InTurn                 // it is placed unless others precede it, or refused
	InOrder                // it waits for its turn
)

// Order keeps the requests of one service that wait for capacity. *queue.Queue implements it and says
// what the methods do.
type Order interface {
	Arrive(e *queue.Entry, now time.Duration) queue.Verdict
	Return(e *queue.Entry, now time.Duration) queue.Verdict
	Next(now time.Duration) *queue.Entry
	After(e *queue.Entry) *queue.Entry
	Take(e *queue.Entry, now time.Duration)
	Remove(e *queue.Entry)
	Expire(now time.Duration) []*queue.Entry
	Overflow() []*queue.Entry
	SetRate(slots float64)
	Len() int
}

var _ Order = (*queue.Queue)(nil)

// serviceQueue holds the waiting requests of one service.
type serviceQueue struct {
	Order
	waiters map[*queue.Entry]*Waiter
	cost    time.Duration // expected time of a request at a replica
	rateAt  time.Duration // when the rate was computed; 0 for never
}

// Waiter is a request that waits for capacity.
type Waiter struct {
	queue   *serviceQueue
	request Request
	entry   *queue.Entry
	since   time.Duration
	code    admission.Code // why it was not placed when last tried
	outcome chan Outcome
}

// Outcome is what became of a request that waited: it was placed, unless Refused is set.
type Outcome struct {
	Placement Placement
	Refused   *Refused
}

// Outcome returns the channel on which the outcome is sent, once.
func (w *Waiter) Outcome() <-chan Outcome { return w.outcome }

// Competes reports whether requests of a policy wait in order: it has more than one organisation or
// priority.
func Competes(p *bundle.Policy) bool {
	b := p.Bundle()
	return len(b.Organisations) > 1 || len(b.Priorities) > 1
}

// waitsInOrder reports whether a request may wait. One of another region is placed at once, as the box
// that forwarded it may have another replica.
func (f *Fleet) waitsInOrder(req *Request) bool {
	return f.newOrder != nil && !f.stopping && req.Waiting != AtOnce && !req.Foreign && Competes(req.Policy)
}

// becomesFree reports whether a request that was refused may be placed once other requests have ended.
func becomesFree(code admission.Code, c admission.Capacity, replicas []routing.Replica) bool {
	switch code {
	case admission.ShareReached:
		return true // requests of its organisation are in flight
	case admission.Reserved:
		return c.InFlight > 0
	case admission.NoCapacity:
	default:
		return false
	}
	busy := false
	for i := range replicas {
		r := &replicas[i]
		if r.Leaving || r.Ejected || r.Attempted || r.Slots == 0 {
			continue
		}
		if r.Load == 0 && r.PendingPrefill == 0 {
			return false // it is too slow for the request even when idle
		}
		busy = true
	}
	return busy
}

func (f *Fleet) queueOf(service string) *serviceQueue {
	q, ok := f.queues[service]
	if !ok {
		q = &serviceQueue{
			Order:   f.newOrder(),
			waiters: make(map[*queue.Entry]*Waiter),
			cost:    defaultHold,
		}
		f.queues[service] = q
	}
	return q
}

// Arrive places a request, unless others precede it or there is no capacity. It returns a waiter for
// one that waits.
func (f *Fleet) Arrive(req Request, now time.Duration) (Placement, *Refused, *Waiter) {
	if !f.waitsInOrder(&req) {
		p, refused := f.Place(req, now)
		return p, refused, nil
	}
	q := f.queueOf(req.Service.Name)
	f.updateRate(q, &req, now)
	w := q.newWaiter(req, now)
	v := w.enter(now)
	q.refuseDisplaced()
	if v.Refused != "" {
		return f.placeRefused(w, v, now)
	}
	if v.Ahead == 0 {
		p, refused := f.Place(req, now)
		if refused == nil {
			q.Take(w.entry, now)
			return w.placed(p, now), nil, nil
		}
		if !refused.MayWait || req.Waiting == InTurn {
			q.Remove(w.entry)
			return Placement{}, refused, nil
		}
		w.code = admission.Code(refused.Code)
	}
	q.waiters[w.entry] = w
	if v.Ahead > 0 {
		f.dispatch(q, now) // those that precede it may have reached their share
	}
	if !w.waits() {
		o := <-w.outcome
		return o.Placement, o.Refused, nil
	}
	if req.Waiting == InTurn {
		q.Remove(w.entry)
		delete(q.waiters, w.entry)
		return Placement{}, &Refused{
			Code:    string(w.code),
			Wait:    v.Wait,
			MayWait: true,
		}, nil
	}
	return Placement{}, nil, w
}

func (w *Waiter) waits() bool { return w.queue.waiters[w.entry] == w }

// enter adds the request to its queue, or returns why that refuses it.
func (w *Waiter) enter(now time.Duration) queue.Verdict {
	if w.request.Entry != nil {
		return w.queue.Return(w.entry, now)
	}
	return w.queue.Arrive(w.entry, now)
}

// placeRefused handles a request that its queue refuses. While no other one waits, an estimate alone
// does not turn it away.
func (f *Fleet) placeRefused(w *Waiter, v queue.Verdict, now time.Duration) (Placement, *Refused, *Waiter) {
	if w.queue.Len() == 0 {
		p, refused := f.Place(w.request, now)
		if refused == nil {
			return w.placed(p, now), nil, nil
		}
		w.code = admission.Code(refused.Code)
	}
	return Placement{}, w.refusal(v), nil
}

func (q *serviceQueue) newWaiter(req Request, now time.Duration) *Waiter {
	e := req.Entry
	if e == nil {
		e = q.newEntry(&req, now)
	}
	return &Waiter{
		queue:   q,
		request: req,
		entry:   e,
		since:   now,
		code:    admission.NoCapacity,
		outcome: make(chan Outcome, 1),
	}
}

// newEntry returns the entry of a request. It is of use if its answer is complete at its deadline, and
// in time if an engine's first token arrives within the contracted time.
func (q *serviceQueue) newEntry(req *Request, now time.Duration) *queue.Entry {
	e := &queue.Entry{
		Flow:     req.Org.Name,
		Cost:     q.cost,
		Bytes:    req.Bytes,
		Deadline: now + req.TimeLeft - q.cost,
	}
	if p, ok := req.Policy.Priority(req.Org.Priority); ok {
		e.Level = p.Rank
	}
	e.Target = e.Deadline
	if req.Service.Kind == wire.ServiceKindEngine {
		e.Target = now + time.Duration(req.Service.FirstTokenMs)*time.Millisecond - req.Routing.Prefill - baseLatency
	}
	return e
}

// updateRate sets the rate of a queue: this box's equal part of the requests that may be at the usable
// replicas, by the time that a request is there.
func (f *Fleet) updateRate(q *serviceQueue, req *Request, now time.Duration) {
	if q.rateAt > 0 && now-q.rateAt < rateInterval {
		return
	}
	q.rateAt = now
	replicas := f.candidates(*req, now)
	var sum time.Duration
	known := 0
	for i := range replicas {
		if hold := replicas[i].ServiceTime; hold > 0 {
			sum += hold
			known++
		}
	}
	q.cost = defaultHold
	if known > 0 {
		q.cost = sum / time.Duration(known)
	}
	c := f.capacity(*req, replicas, now)
	q.SetRate(float64(c.Limit) / float64(c.Boxes))
}

// Dispatch places waiting requests in their order, and refuses those that can't be placed in time
// any more.
func (f *Fleet) Dispatch(now time.Duration) {
	for _, q := range f.queues {
		f.dispatch(q, now)
	}
}

func (f *Fleet) dispatch(q *serviceQueue, now time.Duration) {
	if len(q.waiters) == 0 {
		return
	}
	for _, w := range q.waiters {
		f.updateRate(q, &w.request, now)
		break
	}
	q.refuseExpired(now)
	failed := make([]*queue.Entry, 0, maxDispatchTries)
	for e := q.Next(now); e != nil && len(failed) < maxDispatchTries; {
		if slices.Contains(failed, e) {
			e = q.After(e)
			continue
		}
		w := q.waiters[e]
		p, refused := f.Place(w.requestAt(now), now)
		switch {
		case refused == nil:
			q.Take(e, now)
			w.deliver(Outcome{
				Placement: w.placed(p, now),
			})
			e = q.Next(now)
		case refused.MayWait:
			w.code = admission.Code(refused.Code)
			if refused.limitReached {
				return
			}
			failed = append(failed, e)
			e = q.After(e)
		default:
			q.Remove(e)
			w.deliver(Outcome{
				Refused: refused,
			})
			e = q.Next(now)
		}
	}
}

// requestAt returns the request with the time that is left to it.
func (w *Waiter) requestAt(now time.Duration) Request {
	req := w.request
	req.TimeLeft -= now - w.since
	if req.Routing.MaxTTFT > 0 {
		req.Routing.MaxTTFT = max(min(req.Routing.MaxTTFT, req.TimeLeft), 1)
	}
	return req
}

// placed returns the placement of a request that need not wait any more.
func (w *Waiter) placed(p Placement, now time.Duration) Placement {
	p.Entry = w.entry
	p.Waited = now - w.since
	return p
}

// refusal returns the refusal of a request by the verdict of its queue.
func (w *Waiter) refusal(v queue.Verdict) *Refused {
	return &Refused{
		Code:       string(w.code),
		Reason:     string(v.Refused),
		RetryAfter: v.RetryAfter,
	}
}

// deliver ends the wait of a request.
func (w *Waiter) deliver(o Outcome) {
	delete(w.queue.waiters, w.entry)
	w.outcome <- o // it has room for one, and the waiter was in the queue until now
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
		w.deliver(Outcome{
			Refused: w.refusal(e.Verdict()),
		})
	}
}

// Withdraw removes a request whose caller has left, and releases the replica that it got meanwhile.
func (f *Fleet) Withdraw(w *Waiter, now time.Duration) {
	if w.waits() {
		w.queue.Remove(w.entry)
		delete(w.queue.waiters, w.entry)
		return
	}
	if o := <-w.outcome; o.Refused == nil {
		f.End(o.Placement, Finish{
			Unsent: true,
		}, now)
	}
}

// StopWaiting refuses all waiting requests, since a planned stop has begun. Further ones are placed at
// once or refused.
func (f *Fleet) StopWaiting() {
	f.stopping = true
	for _, q := range f.queues {
		for _, w := range q.waiters {
			q.Remove(w.entry)
			w.deliver(Outcome{
				Refused: &Refused{
					Code: LeavingBox,
					Wait: time.Second,
				},
			})
		}
	}
}

// WaitingRequests returns the number of requests that wait for capacity.
func (f *Fleet) WaitingRequests() (out int) {
	for _, q := range f.queues {
		out += len(q.waiters)
	}
	return out
}
