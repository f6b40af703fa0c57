package box

import (
	"context"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/gateway"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/ticket"
	"github.com/havenrudder/havenrudder/wire"
)

// announceTimeout bounds the question to a witness, which is in the same failure
// domain. A call that is not run for it costs its caller one more round.
const announceTimeout = 100 * time.Millisecond

// ticketState is what one actor holds of tickets, as owner and as witness.
type ticketState struct {
	owner   *ticket.Owner
	witness *ticket.Witness
}

func newTicketState(s wire.Settings, inc int) *ticketState {
	return &ticketState{
		owner:   ticket.NewOwner(s.Box, inc, newID, ticket.WithBounds(s.Limits.Tickets, s.Limits.AnswerBytes)),
		witness: ticket.NewWitness(s.Box, inc, s.Limits.Tickets),
	}
}

// aloneAfter is how long a box that hears of no other goes on looking before it
// takes itself for the last one of its failure domain. Only then does it give
// out tickets without a witness.
const aloneAfter = 10 * time.Second

// witnessFor chooses the box that witnesses a ticket: one of this failure domain
// that serves, spread by key.
func (b *Box) witnessFor(key string) (w ticket.Witnessed) {
	_ = b.fleet.Do(func(f *fleet.Fleet) {
		names := f.Serving(b.now())
		if len(names) == 0 {
			return
		}
		m, _ := f.Table().Get(rendezvous.Top(key, names, 1)[0])
		w = ticket.Witnessed{
			Name:  m.Name,
			Inc:   m.Inc,
			Clock: m.Clock,
		}
	})
	return w
}

func (b *Box) issueTicket(service, org string, life time.Duration) (t wire.Ticket, ok bool) {
	if b.leaving.Load() {
		return wire.Ticket{}, false
	}
	w := b.witnessFor(newID())
	if w.Name == "" && b.now() < aloneAfter {
		return wire.Ticket{}, false // not alone, only new: another box has to give the ticket
	}
	_ = b.tickets.Do(func(s *ticketState) { t, ok = s.owner.Issue(service, org, w, life, b.now()) })
	return t, ok
}

// claimTicket says what to do for a caller that brings a ticket. It asks the
// witness, and waits for a call that is under way.
func (b *Box) claimTicket(ctx context.Context, t wire.Ticket, fingerprint uint64) gateway.Claim {
	step, wait := b.beginTicket(t, fingerprint)
	switch step {
	case ticket.Announce:
		return gateway.Claim{
			Step: b.announce(ctx, t),
		}
	case ticket.Join:
		select {
		case <-wait:
			return b.heldTicket(t)
		case <-ctx.Done():
			return gateway.Claim{
				Step: ticket.Unknown,
			}
		}
	case ticket.Answer:
		return b.heldTicket(t)
	}
	return gateway.Claim{
		Step: step,
	}
}

func (b *Box) beginTicket(t wire.Ticket, fingerprint uint64) (step ticket.Step, wait <-chan struct{}) {
	step = ticket.Unknown
	_ = b.tickets.Do(func(s *ticketState) {
		step = s.owner.Begin(t, fingerprint, b.now())
		wait = s.owner.Wait(t.ID)
	})
	return step, wait
}

// announce asks the witness for leave. Whatever is not a plain yes closes the
// ticket, so that the call never runs.
func (b *Box) announce(ctx context.Context, t wire.Ticket) ticket.Step {
	ok := b.askWitness(ctx, t)
	step := ticket.NotRun
	_ = b.tickets.Do(func(s *ticketState) { step = s.owner.Announced(t.ID, ok, b.now()) })
	return step
}

func (b *Box) askWitness(ctx context.Context, t wire.Ticket) bool {
	addr := b.peerAddr(t.Witness)
	if addr == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var out wire.Announced
	req := wire.Announce{
		Ticket: t,
	}
	err := b.peers.Call(ctx, addr, peer.Announce, req, &out)
	return err == nil && out.Ok
}

func (b *Box) peerAddr(name string) (addr string) {
	_ = b.fleet.Do(func(f *fleet.Fleet) {
		if m, ok := f.Table().Get(name); ok {
			addr = m.Peers
		}
	})
	return addr
}

// heldTicket returns the final outcome of a ticket of this box.
func (b *Box) heldTicket(t wire.Ticket) gateway.Claim {
	out := gateway.Claim{
		Step: ticket.Unknown,
	}
	_ = b.tickets.Do(func(s *ticketState) {
		state, result, ok := s.owner.Held(t.ID)
		switch {
		case ok && state == ticket.Done:
			out.Step = ticket.Answer
			out.Result = result
		case ok && state == ticket.Closed:
			out.Step = ticket.NotRun
		}
	})
	return out
}

func (b *Box) finishTicket(id string, ran wire.Ran, result ticket.Result) {
	_ = b.tickets.Do(func(s *ticketState) { s.owner.Finish(id, ran, result) })
}

// sealTicket makes sure that a ticket of another owner never runs if it was not
// announced, and says what is known of it.
func (b *Box) sealTicket(ctx context.Context, t wire.Ticket) wire.Ran {
	if t.Witness == b.settings.Box {
		return b.sealHere(t)
	}
	addr := b.peerAddr(t.Witness)
	if addr == "" {
		return wire.RanUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var out wire.Sealed
	req := wire.Seal{
		Ticket: t,
	}
	if b.peers.Call(ctx, addr, peer.Seal, req, &out) != nil {
		return wire.RanUnknown
	}
	return out.Ran
}

func (b *Box) sealHere(t wire.Ticket) wire.Ran {
	ran := wire.RanUnknown
	_ = b.tickets.Do(func(s *ticketState) { ran = s.witness.Seal(t, b.now()) })
	return ran
}

func (b *Box) announceHere(t wire.Ticket) bool {
	ok := false
	_ = b.tickets.Do(func(s *ticketState) { ok = s.witness.Announce(t, b.now()) })
	return ok
}
