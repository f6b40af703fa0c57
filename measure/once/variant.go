package once

import "github.com/havenrudder/havenrudder/wire"

// Variant is a way to keep a call from running twice.
type Variant string

// Variants.
const (
	Witnessed  Variant = "owner_with_witness" // ours
	OwnerAlone Variant = "owner_alone"        // tickets without a witness
	KeyHashed  Variant = "key_hashed"         // an idempotency key hashed to an owner among the boxes alive
	BlindRetry Variant = "blind_retry"        // the caller sends again, boxes know nothing
)

// Variants returns all variants, ours first.
func Variants() []Variant { return []Variant{Witnessed, OwnerAlone, KeyHashed, BlindRetry} }

func (v Variant) witnessed() bool { return v == Witnessed }

func (v Variant) begin(w *World, op *Op) {
	switch v {
	case Witnessed, OwnerAlone:
		w.ticketed(op)
	case KeyHashed:
		w.sendUntil(op, w.serveKeyed)
	case BlindRetry:
		w.sendUntil(op, w.serveBlind)
	}
}

// sendUntil sends a call to any box until an answer comes.
func (w *World) sendUntil(op *Op, serve func(b *box, op *Op, tell func(reply))) {
	if op.done {
		return
	}
	op.attempt++
	attempt := op.attempt
	current := func() bool { return !op.done && op.attempt == attempt }
	b := w.pickBox()
	w.toBox(b, func() {
		serve(b, op, func(r reply) {
			w.toCaller(func() {
				if !current() {
					return
				}
				op.told = r.ran
				if r.ran == wire.RanRan {
					op.crossed = r.answer != op.id
					w.end(op)
					return
				}
				w.again(op, func() { w.sendUntil(op, serve) })
			})
		})
	}, func() {
		if current() {
			w.again(op, func() { w.sendUntil(op, serve) })
		}
	})
}

// serveBlind runs every call that comes.
func (w *World) serveBlind(b *box, op *Op, tell func(reply)) {
	w.call(b, op, func(ran wire.Ran) {
		tell(reply{
			ran:    ran,
			answer: op.id,
		})
	})
}

// keyed is a call that a box ran for a key.
type keyed struct {
	done    bool
	waiting []func()
}

// serveKeyed passes a call to the box that its key belongs to among those
// believed to be alive.
func (w *World) serveKeyed(b *box, op *Op, tell func(reply)) {
	for n := range w.boxes {
		i := (op.id + n) % len(w.boxes)
		if i == b.index {
			b.runKeyed(op, tell)
			return
		}
		if b.believesAlive(i) {
			owner := w.boxes[i]
			w.send(b, owner, envelope, func() {
				owner.runKeyed(op, func(r reply) { w.send(owner, b, answerSize, func() { tell(r) }) })
			})
			return
		}
	}
}

func (b *box) runKeyed(op *Op, tell func(reply)) {
	ran := reply{
		ran:    wire.RanRan,
		answer: op.id,
	}
	k, ok := b.keyed[op.id]
	if ok && k.done {
		tell(ran)
		return
	}
	if ok {
		k.waiting = append(k.waiting, func() { tell(ran) })
		return
	}
	k = &keyed{
		waiting: []func(){func() { tell(ran) }},
	}
	b.keyed[op.id] = k
	b.world.call(b, op, func(got wire.Ran) {
		if got != wire.RanRan {
			delete(b.keyed, op.id) // the next repeat runs it again
			return
		}
		k.done = true
		for _, f := range k.waiting {
			f()
		}
	})
}
