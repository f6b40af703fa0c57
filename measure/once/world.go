// Package once runs the state machines of package ticket in virtual time, under
// faults, beside simpler ways to keep a call from running twice, and counts how
// often each is wrong. It holds no copy of the machines: boxes here and boxes
// that serve run the same code.
package once

import (
	"time"

	"github.com/havenrudder/havenrudder/measure/virtual"
	"github.com/havenrudder/havenrudder/ticket"
	"github.com/havenrudder/havenrudder/wire"
)

// Times of the world. Boxes of a failure domain are near each other.
const (
	ticketLife     = 20 * time.Second
	announceBound  = 100 * time.Millisecond // as in package box
	forwardBound   = 2 * time.Second
	callerBound    = 4 * time.Second // a caller waits so long for an answer
	heartbeatEvery = 2 * time.Second
	aliveFor       = 6 * time.Second
	thinkMax       = 5 * time.Second // from the answer to "which box", with the ticket, to the call
	maxRepeats     = 12              // repeats of a caller until it gives up
)

// Fate is what becomes of a message.
type Fate struct {
	Lost  bool
	Twice bool
	Delay time.Duration
}

// Choices are the seams through which a run is steered: by a seed in a
// measurement, by draws in a test.
type Choices struct {
	Fate   func() Fate // of a message between boxes, or between caller and box
	Serve  func() Fate // of a call to the service; a lost one may be lost either way
	Pick   func(n int) int
	Think  func() time.Duration // of a caller that has its ticket
	Answer func() bool          // of a lost call: whether it was the answer that was lost
}

// World is a failure domain of boxes, a service and callers.
type World struct {
	variant Variant
	choices Choices
	clock   virtual.Clock
	boxes   []*box
	cut     map[[2]int]bool // from, to: messages are lost
	ids     int
	ops     []*Op
	bytes   int
}

// New returns a world of n boxes.
func New(v Variant, n int, c Choices) *World {
	w := &World{
		variant: v,
		choices: c,
		cut:     make(map[[2]int]bool),
	}
	for i := range n {
		b := &box{
			world: w,
			index: i,
		}
		w.boxes = append(w.boxes, b)
		b.restart()
	}
	for _, b := range w.boxes {
		w.heartbeat(b)
	}
	return w
}

// Now returns the time of the world.
func (w *World) Now() time.Duration { return w.clock.Now() }

// Boxes returns the number of boxes.
func (w *World) Boxes() int { return len(w.boxes) }

func (w *World) after(d time.Duration, run func()) { w.clock.After(d, run) }

// RunUntil runs what happens up to a time.
func (w *World) RunUntil(t time.Duration) { w.clock.RunUntil(t) }

// Pause stops a box from acting for so long; it wakes with old beliefs.
func (w *World) Pause(i int, d time.Duration) {
	b := w.boxes[i]
	b.pausedUntil = max(b.pausedUntil, w.Now()+d)
}

// Restart replaces a box by a new process of the same name.
func (w *World) Restart(i int) { w.boxes[i].restart() }

// Cut loses all messages from one box to another until Heal.
func (w *World) Cut(from, to int) { w.cut[[2]int{from, to}] = true }

// Heal ends every cut.
func (w *World) Heal() { clear(w.cut) }

// heartbeat lets all boxes hear of b, again and again.
func (w *World) heartbeat(b *box) {
	if !b.paused() {
		for _, to := range w.boxes {
			if to != b && !w.cut[[2]int{b.index, to.index}] {
				to.beliefs[b.index] = belief{
					inc:   b.inc,
					clock: b.clock(),
					at:    w.Now(),
				}
			}
		}
	}
	w.after(heartbeatEvery, func() { w.heartbeat(b) })
}

// send carries a message between boxes. The receiver acts on it when it is
// running; one that was replaced never does.
func (w *World) send(from, to *box, size int, deliver func()) {
	w.bytes += size
	fate := w.choices.Fate()
	if fate.Lost || w.cut[[2]int{from.index, to.index}] {
		return
	}
	inc := to.inc
	w.after(fate.Delay, func() { w.deliver(to, inc, deliver) })
	if fate.Twice {
		w.after(2*fate.Delay, func() { w.deliver(to, inc, deliver) })
	}
}

func (w *World) deliver(to *box, inc int, run func()) {
	if to.inc != inc {
		return
	}
	if to.paused() {
		w.after(to.pausedUntil-w.Now(), func() { w.deliver(to, inc, run) })
		return
	}
	run()
}

type belief struct {
	inc   int
	clock time.Duration
	at    time.Duration
}

// box is one box: the machines of package ticket and what it believes of others.
type box struct {
	world       *World
	index       int
	inc         int
	started     time.Duration
	pausedUntil time.Duration
	beliefs     map[int]belief
	owner       *ticket.Owner
	witness     *ticket.Witness
	waiting     map[string][]func() // callers that joined a call
	keyed       map[int]*keyed      // of the variant with keys
}

func (b *box) name() string { return string(rune('A' + b.index)) }

func (b *box) restart() {
	b.inc++
	b.started = b.world.Now()
	b.pausedUntil = 0
	b.beliefs = make(map[int]belief)
	b.owner = ticket.NewOwner(b.name(), b.inc, b.world.newID)
	b.witness = ticket.NewWitness(b.name(), b.inc, maxTickets)
	b.waiting = make(map[string][]func())
	b.keyed = make(map[int]*keyed)
}

const maxTickets = 1 << 20

func (b *box) clock() time.Duration { return b.world.Now() - b.started }

func (b *box) paused() bool { return b.pausedUntil > b.world.Now() }

func (b *box) believesAlive(i int) bool {
	belief, ok := b.beliefs[i]
	return ok && b.world.Now()-belief.at <= aliveFor
}

func (w *World) newID() string {
	w.ids++
	return "ticket-" + itoa(w.ids)
}

// byName returns the box of a name, nil for none.
func (w *World) byName(name string) *box {
	if name == "" {
		return nil
	}
	return w.boxes[int(name[0]-'A')]
}

// witnessFor returns a box that b has heard of late, to witness a ticket.
func (b *box) witnessFor() ticket.Witnessed {
	var alive []int
	for i := range b.world.boxes {
		if i != b.index && b.believesAlive(i) {
			alive = append(alive, i)
		}
	}
	if len(alive) == 0 || !b.world.variant.witnessed() {
		return ticket.Witnessed{}
	}
	i := alive[b.world.choices.Pick(len(alive))]
	return ticket.Witnessed{
		Name:  b.world.boxes[i].name(),
		Inc:   b.beliefs[i].inc,
		Clock: b.beliefs[i].clock,
	}
}

// issue gives out a ticket. A box that has just started and has heard of no other
// is not alone, only new: it gives out none.
func (b *box) issue() (wire.Ticket, bool) {
	w := b.witnessFor()
	if w.Name == "" && b.world.variant.witnessed() && b.clock() < aliveFor {
		return wire.Ticket{}, false
	}
	return b.owner.Issue("service", "org", w, ticketLife, b.clock())
}

// reply is what a box tells a caller.
type reply struct {
	ran    wire.Ran
	answer int // the op whose answer it is
}
