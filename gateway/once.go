package gateway

import (
	"bytes"
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/ticket"
	"github.com/havenrudder/havenrudder/wire"
)

// ticketSlack is added to a call's deadline to get the life of its ticket, so
// that a caller can still ask for the answer after its deadline.
const ticketSlack = 30 * time.Second

func (s *Server) issue(q *query) (wire.Ticket, bool) {
	life := time.Duration(q.service.DeadlineMs)*time.Millisecond + ticketSlack
	return s.core.IssueTicket(q.service.Name, q.org.Name, life)
}

// serveOnce runs a call that may not be repeated. It needs a ticket, but for
// callers that know nothing of them, where the bundle lets these run.
func (s *Server) serveOnce(w http.ResponseWriter, r *http.Request, q *query) {
	encoded := r.Header.Get(HeaderTicket)
	if encoded == "" {
		s.serveWithoutTicket(w, r, q)
		return
	}
	t, err := ticket.Decode(encoded)
	if err != nil || t.Service != q.service.Name || t.Org != q.org.Name {
		s.refuse(w, q, *refusal(codeTicket, "this is no ticket for this organisation and service", 0))
		return
	}
	s.serveTicket(w, r, q, t)
}

// serveWithoutTicket refuses with a fresh ticket, or runs the call under a
// ticket of its own. A call with an idempotency key is a repeat of one that may
// have run elsewhere, so it always needs a ticket.
func (s *Server) serveWithoutTicket(w http.ResponseWriter, r *http.Request, q *query) {
	t, ok := s.issue(q)
	if !ok {
		s.refuse(w, q, refuseTicketsFull())
		return
	}
	if !q.service.RunWithoutTicket || r.Header.Get(headerKey) != "" {
		f := *refusal(codeTicketNeeded, "this call may not be repeated: send it with a ticket", 0)
		f.Ticket = ticket.Encode(t)
		s.refuse(w, q, f)
		return
	}
	s.serveTicket(w, r, q, t)
}

func (s *Server) serveTicket(w http.ResponseWriter, r *http.Request, q *query, t wire.Ticket) {
	w.Header().Set(HeaderTicket, ticket.Encode(t))
	claim := s.core.ClaimTicket(r.Context(), t, q.fingerprint())
	switch claim.Step {
	case ticket.Dispatch:
		s.dispatch(r.Context(), w, q, t)
	case ticket.Answer:
		s.answerHeld(w, q, claim.Result)
	case ticket.NotRun:
		s.refuseNotRun(w, q)
	case ticket.Foreign:
		s.serveForeign(w, r, q, t)
	case ticket.Mismatch:
		s.refuse(w, q, *refusal(codeTicketUsed, "this ticket was used for another request", 0))
	default:
		s.refuseUnknown(w, q)
	}
}

// refuseNotRun says that the call did not run and never will under its ticket.
func (s *Server) refuseNotRun(w http.ResponseWriter, q *query) {
	f := *refusal(codeNotRun, "the call did not run and never will under this ticket", cmp.Or(q.retry, retrySoon))
	if t, ok := s.issue(q); ok {
		f.Ticket = ticket.Encode(t)
	}
	s.refuse(w, q, f)
}

func (s *Server) refuseUnknown(w http.ResponseWriter, q *query) {
	f := *refusal(codeUnknown, "nobody can tell whether the call ran; it will not be run again", 0)
	f.Ran = wire.RanUnknown
	s.refuse(w, q, f)
}

// dispatch runs the call, once. A caller that leaves does not stop it once it has been
// placed: its answer is held for a repeat.
func (s *Server) dispatch(caller context.Context, w http.ResponseWriter, q *query, t wire.Ticket) {
	ctx, cancel := context.WithDeadline(context.Background(), q.deadline)
	defer cancel()
	q.ticket = t.ID
	ran, result, p := s.runOnce(ctx, caller, q)
	s.core.FinishTicket(t.ID, ran, result)
	switch ran {
	case wire.RanRan:
		s.recordTime(q)
		s.describe(w.Header(), q, p)
		s.answerHeld(w, q, result)
	case wire.RanNotRun:
		s.refuseNotRun(w, q)
	default:
		s.refuseUnknown(w, q)
	}
}

// runOnce sends the call to one replica. Only while the connection could not
// even be made is another one tried. It waits for capacity until its caller leaves.
func (s *Server) runOnce(ctx, caller context.Context, q *query) (wire.Ran, ticket.Result, fleet.Placement) {
	for len(q.tried) < maxTries && ctx.Err() == nil && !s.endsAfterStop(q) {
		p, refused := s.place(q, q.tried, fleet.InTurn)
		if refused != nil {
			p, refused = s.await(caller, q, refused)
		}
		if refused != nil {
			return wire.RanNotRun, ticket.Result{}, p
		}
		a, err := s.call(ctx, s.once, q, p)
		switch {
		case err == nil:
			return wire.RanRan, resultOf(a), p
		case !unreached(err):
			ran, result := s.lookUp(q, p)
			return ran, result, p
		}
		q.tried = append(q.tried, p.Upstream)
	}
	return wire.RanNotRun, ticket.Result{}, fleet.Placement{}
}

func resultOf(a answer) ticket.Result {
	return ticket.Result{
		Status:   a.status,
		Type:     a.header.Get("Content-Type"),
		Body:     bytes.Clone(a.body),
		Unframed: a.unframed,
	}
}

func (s *Server) answerHeld(w http.ResponseWriter, q *query, held ticket.Result) {
	h := w.Header()
	h.Set("Content-Type", held.Type)
	h.Set(HeaderRequest, q.id)
	h.Set(HeaderRan, string(wire.RanRan))
	q.frame(h, len(held.Body), held.Unframed)
	w.WriteHeader(held.Status)
	_, _ = w.Write(held.Body)
	s.core.Observe.Request(q.service.Name, codeOK, time.Since(q.start))
}

// serveForeign passes a call to the owner of its ticket, one hop. When the
// owner can't be reached, or is another incarnation by now, the witness is
// asked to seal the ticket.
func (s *Server) serveForeign(w http.ResponseWriter, r *http.Request, q *query, t wire.Ticket) {
	if owner, ok := s.core.Owner(t.Owner); ok && len(q.path) == 0 && owner.Name != s.name {
		ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
		defer cancel()
		go s.watchOwner(ctx, cancel, owner.Name)
		if s.forward(ctx, w, q, owner) == nil {
			return
		}
	}
	if s.core.SealTicket(r.Context(), t) == wire.RanNotRun {
		s.refuseNotRun(w, q)
		return
	}
	q.ticket = t.ID
	s.answerLookedUp(w, q)
}

const suspectEvery = 250 * time.Millisecond

// watchOwner ends the wait for an owner that is suspected to be gone, so that a
// caller is not kept until its deadline for an answer that can be given now.
func (s *Server) watchOwner(ctx context.Context, cancel context.CancelFunc, name string) {
	tick := time.NewTicker(suspectEvery)
	defer tick.Stop()
	for !s.core.Suspected(name) {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
	cancel()
}

// answerLookedUp asks the service itself what became of a call that was announced
// and whose owner is gone.
func (s *Server) answerLookedUp(w http.ResponseWriter, q *query) {
	p, refused := s.place(q, nil, fleet.AtOnce)
	if refused != nil {
		s.refuseUnknown(w, q)
		return
	}
	s.core.Finish(p, fleet.Finish{
		Unsent: true,
	})
	switch ran, result := s.lookUp(q, p); ran {
	case wire.RanRan:
		s.answerHeld(w, q, result)
	case wire.RanNotRun:
		s.refuseNotRun(w, q)
	default:
		s.refuseUnknown(w, q)
	}
}
