// Package gossip plays boxes that tell each other of themselves, in virtual time:
// the tables and datagrams are those of package roster, the network is a queue.
package gossip

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/wire"
)

// Times of datagrams, one way.
const (
	withinRegion  = 1400 * time.Microsecond
	betweenRegion = 80 * time.Millisecond
	headerBytes   = 28 // of UDP and IPv4
	seeds         = 3  // boxes that the settings of all name
)

// Size is a fleet to play.
type Size struct {
	Boxes    int
	Regions  int
	Replicas int     // of each region
	Busy     int     // replicas of its region at which a box has work
	Loss     float64 // share of datagrams that are lost
	Seed     uint64
}

// event is something that happens at a time.
type event struct {
	at   time.Duration
	turn int // order of those at the same time
	do   func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].turn < q[j].turn)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event; heap calls it.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop takes the last event; heap calls it.
func (q *queue) Pop() any {
	old := *q
	out := old[len(old)-1]
	*q = old[:len(old)-1]
	return out
}

// World is a fleet in virtual time.
type World struct {
	size   Size
	now    time.Duration
	turn   int
	events queue
	rnd    *rand.Rand
	boxes  []*Box
	byAddr map[string]*Box
	cut    func(from, to int) bool
	sent   int64
	count  int64
}

// New returns a fleet whose boxes start within a second.
func New(s Size) *World {
	w := &World{
		size:   s,
		rnd:    rand.New(rand.NewPCG(s.Seed, uint64(s.Boxes))),
		byAddr: make(map[string]*Box),
		cut:    func(int, int) bool { return false },
	}
	for i := range s.Boxes {
		w.boxes = append(w.boxes, &Box{
			world: w,
			index: i,
		})
		w.after(time.Duration(w.rnd.Int64N(int64(time.Second))), func() { w.Start(i) })
	}
	return w
}

// after has f done in a while.
func (w *World) after(d time.Duration, f func()) {
	w.turn++
	heap.Push(&w.events, event{
		at:   w.now + d,
		turn: w.turn,
		do:   f,
	})
}

// Run lets time pass.
func (w *World) Run(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// Until lets time pass in steps until ok, or for so long at most, and returns how
// long that took.
func (w *World) Until(most time.Duration, ok func() bool) time.Duration {
	const step = 50 * time.Millisecond
	began := w.now
	for w.now-began < most && !ok() {
		w.Run(step)
	}
	return w.now - began
}

// Now returns the time since the begin.
func (w *World) Now() time.Duration { return w.now }

// Cut has datagrams between some boxes lost.
func (w *World) Cut(cut func(from, to int) bool) { w.cut = cut }

// Box returns the box of a number.
func (w *World) Box(i int) *Box { return w.boxes[i] }

// Region returns the number of a box's region.
func (w *World) Region(i int) int { return i % w.size.Regions }

// Start starts a box anew, as another incarnation.
func (w *World) Start(i int) {
	b := w.boxes[i]
	b.inc++
	b.up = true
	addr := fmt.Sprintf("10.%d.%d.%d:41003", w.Region(i), i/200, i%200)
	w.byAddr[addr] = b
	b.self = wire.BoxStatus{
		Box:     fmt.Sprintf("edge-region-%02d-%d", w.Region(i), i),
		Inc:     1_796_200_000_000 + int(w.now.Milliseconds()) + b.inc,
		Region:  fmt.Sprintf("region-%02d", w.Region(i)),
		Domain:  fmt.Sprintf("region-%02d-hall-%d", w.Region(i), i/w.size.Regions%2),
		Callers: fmt.Sprintf("10.%d.%d.%d:8080", w.Region(i), i/200, i%200),
		Peers:   addr,
		Forward: fmt.Sprintf("10.%d.%d.%d:41001", w.Region(i), i/200, i%200),
		Catalog: b.self.Catalog,
		Policy:  31,
	}
	var names []string
	for n := range seeds {
		k := n * w.size.Boxes / seeds
		names = append(names, fmt.Sprintf("10.%d.%d.%d:41003", w.Region(k), k/200, k%200))
	}
	b.table = roster.New(b.self, roster.WithSeeds(names))
	b.told = make(map[string]time.Duration)
	if b.loads == nil {
		b.begin()
	}
	b.post(b.table.Broadcast(b.status(), w.now, true))
	w.tick(b, b.inc)
}

// tick has a box tell again and again while its incarnation lives.
func (w *World) tick(b *Box, inc int) {
	w.after(roster.Tick, func() {
		if !b.up || b.inc != inc {
			return
		}
		b.post(b.table.Gossip(b.status(), w.now, w.rnd.IntN))
		w.tick(b, inc)
	})
}

// Kill ends a box without a word.
func (w *World) Kill(i int) { w.boxes[i].up = false }

// Leave has a box say that it leaves.
func (w *World) Leave(i int) {
	b := w.boxes[i]
	b.self.State = wire.ServingStateLeaving
	b.post(b.table.Broadcast(b.status(), w.now, false))
}

// Publish lets one box read a newer revision of the catalog.
func (w *World) Publish(i, revision int) {
	w.boxes[i].self.Catalog = revision
}
