package once

import (
	"encoding/json"
	"strconv"

	"github.com/havenrudder/havenrudder/ticket"
	"github.com/havenrudder/havenrudder/wire"
)

func itoa(n int) string { return strconv.Itoa(n) }

// Sizes of messages between boxes, in bytes: a ticket with the envelope of
// JSON-RPC, and an answer.
const (
	envelope   = 43
	answerSize = envelope + 11
)

func ticketSize(t wire.Ticket) int {
	data, err := json.Marshal(t)
	if err != nil {
		panic(err) // plain strings and numbers always encode
	}
	return len(data) + envelope
}

// serve takes a call with a ticket in, as package gateway does.
func (b *box) serve(op *Op, t wire.Ticket, forwarded bool, tell func(reply)) {
	switch step := b.owner.Begin(t, uint64(op.id), b.clock()); step {
	case ticket.Announce:
		b.join(t.ID, tell)
		b.announce(op, t)
	case ticket.Dispatch:
		b.join(t.ID, tell)
		b.dispatch(op, t)
	case ticket.Join:
		b.join(t.ID, tell)
	case ticket.Answer, ticket.NotRun:
		b.tellHeld(t.ID, tell)
	case ticket.Foreign:
		b.serveForeign(op, t, forwarded, tell)
	default:
		tell(reply{
			ran: wire.RanUnknown,
		})
	}
}

func (b *box) join(id string, tell func(reply)) {
	b.waiting[id] = append(b.waiting[id], func() { b.tellHeld(id, tell) })
}

// settle tells those that wait, once the outcome is final: a late or repeated
// answer of the witness changes nothing.
func (b *box) settle(id string) {
	if state, _, ok := b.owner.Held(id); ok && state < ticket.Done {
		return
	}
	for _, tell := range b.waiting[id] {
		tell()
	}
	delete(b.waiting, id)
}

func (b *box) tellHeld(id string, tell func(reply)) {
	state, result, ok := b.owner.Held(id)
	out := reply{
		ran: wire.RanUnknown,
	}
	switch {
	case ok && state == ticket.Done:
		out.ran = wire.RanRan
		out.answer, _ = strconv.Atoi(string(result.Body))
	case ok && state == ticket.Closed:
		out.ran = wire.RanNotRun
	}
	tell(out)
}

// announce asks the witness and runs the call when it may.
func (b *box) announce(op *Op, t wire.Ticket) {
	w := b.world
	witness := w.byName(t.Witness)
	taken := func(ok bool) func() {
		return func() {
			if b.owner.Announced(t.ID, ok, b.clock()) == ticket.Dispatch {
				b.dispatch(op, t)
				return
			}
			b.settle(t.ID)
		}
	}
	w.send(b, witness, ticketSize(t), func() {
		ok := witness.witness.Announce(t, witness.clock())
		w.send(witness, b, answerSize, taken(ok))
	})
	inc := b.inc
	w.after(announceBound, func() { w.deliver(b, inc, taken(false)) })
}

// dispatch sends the call to the service.
func (b *box) dispatch(op *Op, t wire.Ticket) {
	b.world.call(b, op, func(ran wire.Ran) {
		b.owner.Finish(t.ID, ran, ticket.Result{
			Status: 200,
			Body:   []byte(itoa(op.id)),
		})
		b.settle(t.ID)
	})
}

// call runs op at the service, unless it gets lost on the way, and tells b what
// it can know of that.
func (w *World) call(b *box, op *Op, done func(wire.Ran)) {
	fate := w.choices.Serve()
	inc := b.inc
	back := func(ran wire.Ran) func() { return func() { done(ran) } }
	if fate.Lost && !w.choices.Answer() {
		w.after(fate.Delay, func() { w.deliver(b, inc, back(wire.RanNotRun)) }) // the connection was never made
		return
	}
	w.after(fate.Delay, func() {
		op.ran++
		ran := wire.RanRan
		if fate.Lost {
			ran = wire.RanUnknown // the answer is lost
		}
		w.after(fate.Delay, func() { w.deliver(b, inc, back(ran)) })
	})
}

// serveForeign passes a call to the owner of its ticket, or has it sealed.
func (b *box) serveForeign(op *Op, t wire.Ticket, forwarded bool, tell func(reply)) {
	owner := b.world.byName(t.Owner)
	if forwarded || owner == b {
		b.seal(t, tell)
		return
	}
	told := false
	first := func(r reply) {
		if !told {
			told = true
			tell(r)
		}
	}
	w := b.world
	w.send(b, owner, ticketSize(t), func() {
		owner.serve(op, t, true, func(r reply) { w.send(owner, b, answerSize, func() { first(r) }) })
	})
	inc := b.inc
	w.after(forwardBound, func() {
		w.deliver(b, inc, func() {
			if !told {
				told = true
				b.seal(t, tell)
			}
		})
	})
}

// seal asks the witness whether the call can still run.
func (b *box) seal(t wire.Ticket, tell func(reply)) {
	w := b.world
	witness := w.byName(t.Witness)
	unknown := reply{
		ran: wire.RanUnknown,
	}
	if witness == nil {
		tell(unknown)
		return
	}
	if witness == b {
		tell(reply{
			ran: b.witness.Seal(t, b.clock()),
		})
		return
	}
	first := once(tell)
	w.send(b, witness, ticketSize(t), func() {
		ran := witness.witness.Seal(t, witness.clock())
		w.send(witness, b, answerSize, func() {
			first(reply{
				ran: ran,
			})
		})
	})
	inc := b.inc
	w.after(announceBound, func() { w.deliver(b, inc, func() { first(unknown) }) })
}

// once passes the first of several answers on.
func once(tell func(reply)) func(reply) {
	told := false
	return func(r reply) {
		if !told {
			told = true
			tell(r)
		}
	}
}
