package once

import (
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// Op is one thing a caller wants done once.
type Op struct {
	id      int
	begun   time.Duration
	ended   time.Duration
	thought time.Duration // time the caller took of its own
	ran     int           // executions at the service
	told    wire.Ran      // the caller's last word; empty while there is none
	crossed bool          // the caller got another's answer
	tries   int
	attempt int
	done    bool
}

// Ran returns how often the service ran the op.
func (o *Op) Ran() int { return o.ran }

// Told returns what the caller was told last, empty for nothing.
func (o *Op) Told() wire.Ran { return o.told }

// Crossed says whether the caller got the answer to another op.
func (o *Op) Crossed() bool { return o.crossed }

// Done says whether the caller has ended.
func (o *Op) Done() bool { return o.done }

// Ops returns every op so far.
func (w *World) Ops() []*Op { return w.ops }

// Begin starts a caller that follows the documented loop: get a ticket; send;
// without an answer send again, to any box; on "not run" begin anew with a fresh
// ticket; on "ran" or "unknown" stop.
func (w *World) Begin() *Op {
	op := &Op{
		id:    len(w.ops) + 1,
		begun: w.Now(),
	}
	w.ops = append(w.ops, op)
	w.variant.begin(w, op)
	return op
}

// pickBox returns a box that runs; callers find another when one does not
// answer at all.
func (w *World) pickBox() *box { return w.boxes[w.choices.Pick(len(w.boxes))] }

// ticketed is the caller's loop with tickets.
func (w *World) ticketed(op *Op) {
	b := w.pickBox()
	got := false
	w.toBox(b, func() {
		t, ok := b.issue()
		if !ok {
			return // in a box, a refusal; here the caller waits and goes elsewhere
		}
		w.toCaller(func() {
			if !got {
				got = true
				think := w.choices.Think()
				op.thought += think
				w.after(think, func() { w.sendTicket(op, t, b) })
			}
		})
	}, func() {
		if !got {
			got = true
			w.again(op, func() { w.ticketed(op) })
		}
	})
}

// again lets the caller try once more, unless it has ended or given up.
func (w *World) again(op *Op, f func()) {
	if op.done {
		return
	}
	op.tries++
	if op.tries > maxRepeats {
		w.end(op)
		return
	}
	f()
}

func (w *World) end(op *Op) {
	op.done = true
	op.ended = w.Now()
}

// toBox carries a request to a box; missed is called when the caller has waited
// long enough, whether or not an answer came.
func (w *World) toBox(b *box, run, missed func()) {
	fate := w.choices.Fate()
	if !fate.Lost {
		inc := b.inc
		w.after(fate.Delay, func() { w.deliver(b, inc, run) })
	}
	w.after(callerBound, missed)
}

// toCaller carries an answer to a caller.
func (w *World) toCaller(run func()) {
	fate := w.choices.Fate()
	if !fate.Lost {
		w.after(fate.Delay, run)
	}
}

// sendTicket sends the call to b and does as it is told.
func (w *World) sendTicket(op *Op, t wire.Ticket, b *box) {
	if op.done {
		return
	}
	op.attempt++
	attempt := op.attempt
	current := func() bool { return !op.done && op.attempt == attempt }
	w.toBox(b, func() {
		b.serve(op, t, false, func(r reply) {
			w.toCaller(func() {
				if current() {
					w.takeReply(op, r)
				}
			})
		})
	}, func() {
		if current() {
			w.again(op, func() { w.sendTicket(op, t, w.pickBox()) })
		}
	})
}

func (w *World) takeReply(op *Op, r reply) {
	op.attempt++ // later answers to this attempt are not looked at
	op.told = r.ran
	switch r.ran {
	case wire.RanRan:
		op.crossed = r.answer != op.id
		w.end(op)
	case wire.RanNotRun:
		w.again(op, func() {
			op.told = "" // nothing is known yet of the fresh ticket
			w.ticketed(op)
		})
	case wire.RanUnknown:
		w.end(op)
	}
}
