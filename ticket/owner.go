// Package ticket keeps requests that may not be repeated from running twice.
//
// A ticket names one incarnation of one box, its owner, which alone may run the
// call, and a witness, which knows whether the owner announced that it would.
// Both are pure state machines: time comes in as an argument, messages and
// calls go out as the returned step. docs/design/tickets.md has the table of
// states.
package ticket

import (
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// State is the state of a ticket at its owner.
type State int

// States of a ticket at its owner.
const (
	Issued     State = iota // given out, not yet used
	Announcing              // the witness was told, its answer is awaited
	Dispatched              // the call may be running
	Done                    // the call ran and its answer is held
	Closed                  // the call did not run and never will
	Lost                    // nobody can tell whether the call ran
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"issued", "announcing", "dispatched", "done", "closed", "lost"}[s]
}

// Step is what the owner has to do next for a caller that brings a ticket.
type Step int

// Steps of the owner.
const (
	Announce Step = iota // ask the witness, then call Announced or GiveUp
	Dispatch             // run the call, then call Finish
	Join                 // wait for the call that is under way
	Answer               // give the held answer
	NotRun               // say that it did not run; this is final
	Unknown              // say that nobody can tell
	Foreign              // another incarnation's ticket: ask its witness
	Mismatch             // the ticket was used for another request
)

// String returns the name of the step.
func (s Step) String() string {
	return [...]string{"announce", "dispatch", "join", "answer", "not_run", "unknown", "foreign", "mismatch"}[s]
}

// keepFactor says for how many lives of a ticket its record is kept: a call can
// only begin within the first, so in the second the record's absence is proof.
const keepFactor = 2

// Result is the held outcome of a call that ran.
type Result struct {
	Status   int
	Type     string // content type
	Body     []byte
	Unframed bool // the body ended with its connection, so that it may be incomplete
}

type record struct {
	ticket      wire.Ticket
	state       State
	used        bool   // a request came with it
	fingerprint uint64 // of that request
	result      Result
	done        chan struct{} // closed when the state is final
}

func (r *record) final() bool { return r.state >= Done }

// Owner holds the tickets that one incarnation of a box gave out. It belongs to
// one actor.
type Owner struct {
	name       string
	inc        int
	maxTickets int
	maxBytes   int
	newID      func() string
	records    map[string]*record
	order      []*record // by issue, which is by expiry for equal lives
	bytes      int
}

// OwnerOption changes an Owner.
type OwnerOption func(*Owner)

// WithBounds sets how many tickets and bytes of answers are held.
func WithBounds(tickets, bytes int) OwnerOption {
	return func(o *Owner) {
		o.maxTickets = tickets
		o.maxBytes = bytes
	}
}

// NewOwner returns the owner's part of the incarnation inc of box name. newID
// returns ids that can't be guessed.
func NewOwner(name string, inc int, newID func() string, opts ...OwnerOption) *Owner {
	o := &Owner{
		name:       name,
		inc:        inc,
		maxTickets: 100_000,
		maxBytes:   32 << 20,
		newID:      newID,
		records:    make(map[string]*record),
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Witnessed names the box that is asked to be witness, as last heard of. The
// zero value stands for none.
type Witnessed struct {
	Name  string
	Inc   int
	Clock time.Duration // its own monotonic clock, at or before now
}

// Issue gives out a ticket good for life. It returns false when the box holds
// as many as it may: an old ticket is never forgotten early for a new one.
func (o *Owner) Issue(service, org string, w Witnessed, life, now time.Duration) (wire.Ticket, bool) {
	o.Sweep(now)
	if len(o.records) >= o.maxTickets || o.bytes >= o.maxBytes {
		return wire.Ticket{}, false
	}
	t := wire.Ticket{
		ID:         o.newID(),
		Owner:      o.name,
		Inc:        o.inc,
		Witness:    w.Name,
		WitnessInc: w.Inc,
		WitnessMs:  int(w.Clock.Milliseconds()),
		Service:    service,
		Org:        org,
		IssuedMs:   int(now.Milliseconds()),
		LifeMs:     int(life.Milliseconds()),
	}
	r := &record{
		ticket: t,
		done:   make(chan struct{}),
	}
	o.records[t.ID] = r
	o.order = append(o.order, r)
	return t, true
}

// own returns the record of a ticket that this incarnation gave out. What the
// caller brought must be that very ticket.
func (o *Owner) own(t wire.Ticket) *record {
	r, ok := o.records[t.ID]
	if !ok || r.ticket != t {
		return nil
	}
	return r
}

// Begin takes a request with a ticket in. fingerprint tells requests apart.
func (o *Owner) Begin(t wire.Ticket, fingerprint uint64, now time.Duration) Step {
	if t.Owner != o.name || t.Inc != o.inc {
		return Foreign
	}
	r := o.own(t)
	if r == nil {
		return Unknown // long forgotten, or never ours
	}
	if r.used && r.fingerprint != fingerprint {
		return Mismatch
	}
	if r.state == Issued {
		return o.start(r, fingerprint, now)
	}
	return [...]Step{
		Announcing: Join,
		Dispatched: Join,
		Done:       Answer,
		Closed:     NotRun,
		Lost:       Unknown,
	}[r.state]
}

func (o *Owner) start(r *record, fingerprint uint64, now time.Duration) Step {
	r.used = true
	r.fingerprint = fingerprint
	switch {
	case expired(r.ticket, now):
		o.settle(r, Closed)
		return NotRun
	case r.ticket.Witness == "":
		r.state = Dispatched
		return Dispatch
	}
	r.state = Announcing
	return Announce
}

// Announced takes the witness's answer in. Only Dispatch lets the call run.
func (o *Owner) Announced(id string, ok bool, now time.Duration) Step {
	r := o.records[id]
	if r == nil || r.state != Announcing {
		return NotRun // the answer came too late: the ticket is closed
	}
	if !ok || expired(r.ticket, now) {
		o.settle(r, Closed)
		return NotRun
	}
	r.state = Dispatched
	return Dispatch
}

// Close ends a ticket whose call has not reached an upstream and never will. It
// returns false when the call may be running.
func (o *Owner) Close(id string) bool {
	r := o.records[id]
	if r == nil || r.state == Dispatched || r.state == Done || r.state == Lost {
		return false
	}
	o.settle(r, Closed)
	return true
}

// Finish ends a dispatched call with what became of it.
func (o *Owner) Finish(id string, ran wire.Ran, result Result) {
	r := o.records[id]
	if r == nil || r.state != Dispatched {
		return
	}
	switch ran {
	case wire.RanRan:
		r.result = result
		o.bytes += len(result.Body)
		o.settle(r, Done)
	case wire.RanNotRun:
		o.settle(r, Closed)
	case wire.RanUnknown:
		o.settle(r, Lost)
	}
}

func (o *Owner) settle(r *record, s State) {
	if r.final() {
		return
	}
	r.state = s
	close(r.done)
}

// Wait returns a channel that is closed when the ticket's outcome is final, nil
// when the ticket is not held.
func (o *Owner) Wait(id string) <-chan struct{} {
	r := o.records[id]
	if r == nil {
		return nil
	}
	return r.done
}

// Held returns the state of a ticket and the answer that is held for it.
func (o *Owner) Held(id string) (State, Result, bool) {
	r := o.records[id]
	if r == nil {
		return 0, Result{}, false
	}
	return r.state, r.result, true
}

// CloseUnused ends every ticket that was not dispatched, for a planned stop.
func (o *Owner) CloseUnused() {
	for _, r := range o.records {
		if r.state == Issued || r.state == Announcing {
			o.settle(r, Closed)
		}
	}
}

// Sweep forgets the tickets whose time is over at now. A call that is under way
// keeps its record.
func (o *Owner) Sweep(now time.Duration) {
	n := 0
	for n < len(o.order) && o.forgettable(o.order[n], now) {
		r := o.order[n]
		o.bytes -= len(r.result.Body)
		delete(o.records, r.ticket.ID)
		o.order[n] = nil
		n++
	}
	o.order = o.order[n:]
}

func (o *Owner) forgettable(r *record, now time.Duration) bool {
	under := r.state == Announcing || r.state == Dispatched
	return !under && now > issued(r.ticket)+keepFactor*life(r.ticket)
}

// Len returns the number of tickets held, and the bytes of their answers.
func (o *Owner) Len() (tickets, bytes int) { return len(o.records), o.bytes }

// Counts returns how many tickets are in each state.
func (o *Owner) Counts() map[string]int {
	out := make(map[string]int)
	for _, r := range o.records {
		out[r.state.String()]++
	}
	return out
}

func issued(t wire.Ticket) time.Duration { return time.Duration(t.IssuedMs) * time.Millisecond }

func life(t wire.Ticket) time.Duration { return time.Duration(t.LifeMs) * time.Millisecond }

func expired(t wire.Ticket, now time.Duration) bool { return now > issued(t)+life(t) }
