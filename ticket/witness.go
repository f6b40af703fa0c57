package ticket

import (
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

type mark struct {
	sealed bool // else announced
	until  time.Duration
}

// Witness knows which calls their owners announced. It judges time by its own
// clock alone: a ticket bears the reading of that clock that the owner had last
// heard, so no two clocks are ever compared. It belongs to one actor.
type Witness struct {
	name  string
	inc   int
	max   int
	marks map[string]mark
	order []string
}

// NewWitness returns the witness's part of the incarnation inc of box name,
// which holds no more than bound tickets.
func NewWitness(name string, inc, bound int) *Witness {
	return &Witness{
		name:  name,
		inc:   inc,
		max:   bound,
		marks: make(map[string]mark),
	}
}

func (w *Witness) mine(t wire.Ticket) bool { return t.Witness == w.name && t.WitnessInc == w.inc }

func stamp(t wire.Ticket) time.Duration { return time.Duration(t.WitnessMs) * time.Millisecond }

// Announce takes the owner's word that it will run the call. Only when it
// returns true may the owner do so.
func (w *Witness) Announce(t wire.Ticket, now time.Duration) bool {
	if !w.mine(t) || stamp(t) > now || now > stamp(t)+life(t) {
		return false
	}
	if m, ok := w.marks[t.ID]; ok {
		return !m.sealed
	}
	return w.put(t, false, now)
}

// Seal makes sure that a call that was not announced never runs, and says what
// is known of it: not run, or unknown.
func (w *Witness) Seal(t wire.Ticket, now time.Duration) wire.Ran {
	if !w.mine(t) || stamp(t) > now {
		return wire.RanUnknown
	}
	m, ok := w.marks[t.ID]
	switch {
	case ok && m.sealed:
		return wire.RanNotRun
	case ok:
		return wire.RanUnknown
	case now > stamp(t)+keepFactor*life(t):
		return wire.RanUnknown // a mark would be forgotten by now
	case now > stamp(t)+life(t):
		return wire.RanNotRun // no announcement is taken any more
	case w.put(t, true, now):
		return wire.RanNotRun
	}
	return wire.RanUnknown
}

func (w *Witness) put(t wire.Ticket, sealed bool, now time.Duration) bool {
	w.Sweep(now)
	if len(w.marks) >= w.max {
		return false
	}
	w.marks[t.ID] = mark{
		sealed: sealed,
		until:  stamp(t) + keepFactor*life(t),
	}
	w.order = append(w.order, t.ID)
	return true
}

// Sweep forgets the marks whose time is over at now.
func (w *Witness) Sweep(now time.Duration) {
	n := 0
	for n < len(w.order) && now > w.marks[w.order[n]].until {
		delete(w.marks, w.order[n])
		n++
	}
	w.order = w.order[n:]
}

// Len returns the number of tickets held.
func (w *Witness) Len() int { return len(w.marks) }
