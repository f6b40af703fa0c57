// Package quarantine measures in virtual time how soon the boxes of an installation turn away
// a request that ends its replicas, how many replicas it ends by then, and what that costs
// other requests and the network.
package quarantine

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/havenrudder/havenrudder/measure/virtual"
	"github.com/havenrudder/havenrudder/poison"
)

const (
	nearDelay     = 2 * time.Millisecond   // of a datagram within a region
	farDelay      = 81 * time.Millisecond  // of one between regions
	dialTime      = 5 * time.Millisecond   // until a connection to a replica that ended is refused
	endsAfter     = 70 * time.Millisecond  // that a replica runs a poison request before it ends
	backAfter     = 3 * time.Second        // that it is away
	tick          = 250 * time.Millisecond // between two rounds of a box
	unnoticed     = 2 * time.Second        // for which a box that is gone still counts as alive
	contact       = 6 * time.Second        // for which a box must have been whole to be in touch
	headerSize    = 28                     // bytes of UDP and IPv4 in front of each datagram
	longestRun    = 5 * time.Second        // of another request
	survivesAfter = 2 * time.Second        // that a replica goes on with an answer, as package ingress has it
	comeAgain     = 200 * time.Millisecond // after which the caller of a cut request sends it again, once
	trialWait     = 600 * time.Millisecond // for which a request waits for its run on trial, as package ingress has it
	trialCheck    = 40 * time.Millisecond  // between two looks, the same
)

// Terms are what an installation is put through.
type Terms struct {
	Seed      uint64
	Regions   int
	PerRegion int           // boxes
	Replicas  int           // of a region
	Poison    int           // requests that end their replicas
	ComeEvery time.Duration // of each of them
	AtOnce    int           // boxes at which it comes in the same instant
	Rate      float64       // other requests a second at each box
	Popular   float64       // share of them that are all the same request
	Beside    int           // innocent requests that come with each poison one, at the same box, and are put on its replica
	Loss      float64       // share of datagrams that are lost
	KillEvery time.Duration // of boxes; 0 for none
	CutEvery  time.Duration // of regions, from all others for as long as a cut lasts; 0 for none
	EndEvery  time.Duration // of replicas, one after the other under whatever they run; 0 for none
	Domains   time.Duration // when all replicas of a region end at once; 0 for never
	For       time.Duration
	Parts     *PartTerms // nil where prompts have no parts
}

// box is one place of an installation and the process in it.
type box struct {
	name   string
	addr   string
	region int
	watch  *poison.Detector // nil while no process runs
	whole  time.Duration    // since when it runs and nothing was cut
	gone   time.Duration    // when its last process ended
	bytes  int
}

// run is a request at a replica.
type run struct {
	box     *box
	content *poison.Content
	again   bool          // its caller has sent it again already
	deadly  *deadly       // nil for an innocent request
	beside  *beside       // nil but for one that comes with a poison one
	guilty  *guiltyPart   // nil but for one whose prompt has it
	at      time.Duration // when it was sent
	came    time.Duration // when it began to wait for its run on trial
	alone   bool          // it is on trial
}

// beside is an innocent request that comes with a poison one, again and again.
type beside struct {
	content poison.Content
	first   time.Duration // when it was first turned away; 0 while it was not
	last    time.Duration // when it was last
}

// replica is one place of a replica and the start in it.
type replica struct {
	region int
	start  string // empty while it is away
	id     string // of its first start
	starts int
	runs   map[*run]struct{}
	done   func(r *run) // ends a run
}

// deadly is a request that ends its replicas, and what it has done.
type deadly struct {
	content poison.Content
	ends    int
	third   time.Duration // when it ended the third replica; 0 while it has not
	late    int           // sends later than the time of contact after that, by boxes in touch
	knownBy []time.Duration
	beside  []*beside
}

// World is an installation in virtual time.
type World struct {
	terms    Terms
	rnd      *rand.Rand
	rndParts *rand.Rand // for datagrams on parts, so that those on requests don't depend on them
	clock    virtual.Clock
	boxes    []*box
	byAddr   map[string]*box
	replicas []*replica
	deadly   []*deadly
	guilty   []*guiltyPart
	sound    [partEndsThatCount + 1]soundCount // by the ends of the part that ended most
	popular  poison.Content
	cut      int // region that is cut off; -1 for none
	serial   int
	row      Row
}

// newWorld returns an installation whose boxes have just started.
func newWorld(t Terms) *World {
	w := &World{
		terms:    t,
		rnd:      rand.New(rand.NewPCG(t.Seed, 1)),
		rndParts: rand.New(rand.NewPCG(t.Seed, 2)),
		byAddr:   make(map[string]*box),
		cut:      -1,
		popular: poison.Content{
			Target: "/popular",
		},
	}
	for r := range t.Regions {
		for i := range t.PerRegion {
			w.addBox(r, i)
		}
		for range t.Replicas {
			w.addReplica(r)
		}
	}
	for i := range t.Poison {
		w.addDeadly(i)
	}
	if t.Parts != nil {
		for i := range t.Parts.Guilty {
			w.guilty = append(w.guilty, &guiltyPart{
				id: fmt.Sprint("guilty-", i),
			})
		}
	}
	return w
}

// addDeadly adds a poison request, and those that come with it.
func (w *World) addDeadly(i int) {
	g := &deadly{
		content: poison.Content{
			Target: fmt.Sprint("/poison/", i),
		},
	}
	for k := range w.terms.Beside {
		g.beside = append(g.beside, &beside{
			content: poison.Content{
				Target: fmt.Sprint("/beside/", i, "/", k),
			},
		})
	}
	w.deadly = append(w.deadly, g)
}

func (w *World) addBox(region, i int) {
	b := &box{
		name:   fmt.Sprintf("box-%d-%d", region, i),
		addr:   fmt.Sprintf("10.%d.%d.%d:7000", region, i/250, i%250+1),
		region: region,
	}
	w.boxes = append(w.boxes, b)
	w.byAddr[b.addr] = b
	w.start(b)
}

func (w *World) addReplica(region int) {
	p := &replica{
		region: region,
		runs:   make(map[*run]struct{}),
	}
	w.replicas = append(w.replicas, p)
	w.begin(p)
}

func (w *World) now() time.Duration { return w.clock.Now() }

// upTo returns a random time below d.
func (w *World) upTo(d time.Duration) time.Duration { return time.Duration(w.rnd.Int64N(int64(d))) }

// start starts the process of a box.
func (w *World) start(b *box) {
	b.watch = poison.NewDetector(b.name)
	b.whole = w.now()
	here := b.watch
	var round func()
	round = func() {
		if b.watch != here {
			return
		}
		b.watch.Expire(w.now())
		w.tell(b)
		w.clock.After(tick, round)
	}
	w.clock.After(w.upTo(tick), round)
}

// kill ends the process of a box, and has another start after a while.
func (w *World) kill(b *box) {
	if b.watch == nil {
		return
	}
	b.watch = nil
	b.gone = w.now()
	w.clock.After(time.Second, func() { w.start(b) })
}

// others returns the boxes that one takes for alive.
func (w *World) others(b *box) []poison.Box {
	var out []poison.Box
	for _, o := range w.boxes {
		if o == b || (o.watch == nil && w.now()-o.gone > unnoticed) {
			continue
		}
		out = append(out, poison.Box{
			Name: o.name,
			Addr: o.addr,
		})
	}
	return out
}

// tell sends what a box has to tell.
func (w *World) tell(b *box) {
	w.post(b, b.watch.Due(w.others(b), w.now(), w.rnd.IntN))
	for _, g := range w.deadly {
		w.noteKnown(g)
	}
}

// post sends datagrams.
func (w *World) post(from *box, list []poison.Packet) {
	for _, p := range list {
		to := w.byAddr[p.Addr]
		from.bytes += len(p.Buf) + headerSize
		rnd := w.rnd
		if p.Buf[0] == poison.PartsDatagramType {
			rnd = w.rndParts
		}
		if rnd.Float64() < w.terms.Loss || w.isCut(from.region, to.region) {
			continue
		}
		delay := nearDelay
		if from.region != to.region {
			delay = farDelay
		}
		delay += time.Duration(rnd.Int64N(int64(nearDelay)))
		w.clock.After(delay, func() { w.deliver(from, to, p.Buf) })
	}
}

func (w *World) isCut(a, b int) bool { return a != b && (a == w.cut || b == w.cut) }

// deliver has a box hear a datagram.
func (w *World) deliver(from, to *box, buf []byte) {
	if to.watch == nil {
		return
	}
	to.bytes += len(buf) + headerSize
	answers, news := to.watch.Receive(buf, from.addr, w.now())
	w.post(to, answers)
	if news {
		w.tell(to)
	}
}
