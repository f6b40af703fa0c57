// Package barring measures in virtual time how soon the boxes of an installation turn away
// a request that ends its replicas, how many replicas it ends by then, and what that costs
// other requests and the network.
package barring

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/havenrudder/havenrudder/measure/virtual"
	"github.com/havenrudder/havenrudder/poison"
)

const (
	nearDelay  = 2 * time.Millisecond   // of a datagram within a region
	farDelay   = 81 * time.Millisecond  // of one between regions
	dialTime   = 5 * time.Millisecond   // until a connection to a replica that ended is refused
	endsAfter  = 70 * time.Millisecond  // that a replica runs a guilty request before it ends
	backAfter  = 3 * time.Second        // that it is away
	tick       = 250 * time.Millisecond // between two rounds of a box
	unnoticed  = 2 * time.Second        // for which a box that is gone still counts as alive
	contact    = 6 * time.Second        // for which a box must have been whole to be in touch
	headerSize = 28                     // bytes of UDP and IPv4 in front of each datagram
	longestRun = 5 * time.Second        // of an innocent request
	borneAfter = 2 * time.Second        // that a replica goes on with an answer, as package ingress has it
	comeAgain  = 200 * time.Millisecond // after which the caller of a cut request sends it again, once
)

// Terms are what an installation is put through.
type Terms struct {
	Seed      uint64
	Regions   int
	PerRegion int           // boxes
	Replicas  int           // of a region
	Guilty    int           // requests that end their replicas
	ComeEvery time.Duration // of each of them
	AtOnce    int           // boxes at which it comes in the same instant
	Rate      float64       // innocent requests a second at each box
	Popular   float64       // share of them that are all the same request
	Loss      float64       // share of datagrams that are lost
	KillEvery time.Duration // of boxes; 0 for none
	CutEvery  time.Duration // of regions, from all others for as long as a cut lasts; 0 for none
	Domains   time.Duration // when all replicas of a region end at once; 0 for never
	For       time.Duration
}

// box is one place of an installation and the process in it.
type box struct {
	name   string
	addr   string
	region int
	watch  *poison.Watch // nil while no process runs
	whole  time.Duration // since when it runs and nothing was cut
	gone   time.Duration // when its last process ended
	bytes  int
}

// run is a request at a replica.
type run struct {
	box     *box
	content *poison.Content
	again   bool // its caller has sent it again already
	guilty  *guilty
	at      time.Duration
}

// replica is one place of a replica and the start in it.
type replica struct {
	region int
	start  string // empty while it is away
	starts int
	runs   map[*run]struct{}
	done   func(r *run) // ends a run
}

// guilty is a request that ends its replicas, and what it has done.
type guilty struct {
	content poison.Content
	ends    int
	third   time.Duration // when it ended the third replica; 0 while it has not
	late    int           // sends later than the time of contact after that, by boxes in touch
	knownBy []time.Duration
}

// World is an installation in virtual time.
type World struct {
	terms    Terms
	rnd      *rand.Rand
	clock    virtual.Clock
	boxes    []*box
	byAddr   map[string]*box
	replicas []*replica
	guilty   []*guilty
	popular  poison.Content
	cut      int // region that is cut off; -1 for none
	serial   int
	row      Row
}

// newWorld returns an installation whose boxes have just started.
func newWorld(t Terms) *World {
	w := &World{
		terms:  t,
		rnd:    rand.New(rand.NewPCG(t.Seed, 1)),
		byAddr: make(map[string]*box),
		cut:    -1,
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
	for i := range t.Guilty {
		w.guilty = append(w.guilty, &guilty{
			content: poison.Content{
				Target: fmt.Sprint("/guilty/", i),
			},
		})
	}
	return w
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
	b.watch = poison.NewWatch(b.name)
	b.whole = w.now()
	here := b.watch
	var round func()
	round = func() {
		if b.watch != here {
			return
		}
		b.watch.Forget(w.now())
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
	for _, g := range w.guilty {
		w.noteKnown(g)
	}
}

// post sends datagrams.
func (w *World) post(from *box, list []poison.Packet) {
	for _, p := range list {
		to := w.byAddr[p.Addr]
		from.bytes += len(p.Buf) + headerSize
		if w.rnd.Float64() < w.terms.Loss || w.isCut(from.region, to.region) {
			continue
		}
		delay := nearDelay
		if from.region != to.region {
			delay = farDelay
		}
		w.clock.After(delay+w.upTo(nearDelay), func() { w.deliver(from, to, p.Buf) })
	}
}

func (w *World) isCut(a, b int) bool { return a != b && (a == w.cut || b == w.cut) }

// deliver has a box hear a datagram.
func (w *World) deliver(from, to *box, buf []byte) {
	if to.watch == nil {
		return
	}
	to.bytes += len(buf) + headerSize
	answers, news := to.watch.Hear(buf, from.addr, w.now())
	w.post(to, answers)
	if news {
		w.tell(to)
	}
}

// begin starts a replica.
func (w *World) begin(p *replica) {
	p.starts++
	w.serial++
	p.start = fmt.Sprint("start-", w.serial)
}

// end ends a replica. Each box that has requests there finds it out and tells.
func (w *World) end(p *replica) {
	if p.start == "" {
		return
	}
	start, runs := p.start, p.runs
	p.start = ""
	p.runs = make(map[*run]struct{})
	dialed := make(map[*poison.Watch]bool)
	for _, r := range ordered(runs) {
		w.cutRun(r, start, dialed)
	}
	w.clock.After(backAfter, func() { w.begin(p) })
}

// cutRun has the box of a run find out that its replica has ended.
func (w *World) cutRun(r *run, start string, dialed map[*poison.Watch]bool) {
	if r.guilty == nil {
		w.row.InnocentCut++
		if !r.again {
			w.clock.After(comeAgain, func() { w.send(w.boxes[w.rnd.IntN(len(w.boxes))], r.content, nil, true) })
		}
	}
	watch := r.box.watch
	if r.guilty == nil && w.now()-r.at > borneAfter {
		return
	}
	if watch == nil || watch.Proofs().Has(r.content, w.now()) {
		return
	}
	watch.Cut(start, r.content.Digest(), r.at, w.now())
	if dialed[watch] || !watch.Dials(start, w.now()) {
		return
	}
	dialed[watch] = true
	b := r.box
	w.clock.After(dialTime+poison.Settles, func() {
		if b.watch == watch {
			watch.Ended(start, w.now())
			w.tell(b)
		}
	})
}

// barred says whether a box turns a request away.
func (w *World) barred(b *box, c *poison.Content) bool {
	_, barred := b.watch.Barred(c.Digest(), w.now())
	switch {
	case !barred:
		return false
	case b.watch.Proofs().Has(c, w.now()):
		w.acquit(b, c)
		return false
	}
	return !b.watch.Proofs().Had(c) || !b.watch.Tries(c.Digest(), w.others(b), w.now())
}

// acquit has a box know that a request was answered whole.
func (w *World) acquit(b *box, c *poison.Content) {
	if b.watch.Acquit(c.Digest(), w.now()) {
		w.tell(b)
	}
}

// send has a request come at a box, and be run by a replica of its region.
func (w *World) send(b *box, c *poison.Content, g *guilty, again bool) {
	if b.watch == nil {
		return
	}
	if w.barred(b, c) {
		w.noteRefused(c, g)
		return
	}
	p := w.pick(b.region)
	if p == nil {
		return
	}
	r := &run{
		box:     b,
		content: c,
		again:   again,
		guilty:  g,
		at:      w.now(),
	}
	p.runs[r] = struct{}{}
	if g != nil {
		w.sendGuilty(g, p, b)
		return
	}
	w.row.Innocent++
	length := w.upTo(longestRun)
	if length > borneAfter {
		w.clock.After(borneAfter, func() { w.bear(p, r) })
	}
	w.clock.After(length, func() { w.answer(p, r) })
}

// noteRefused counts an innocent request that was turned away.
func (w *World) noteRefused(c *poison.Content, g *guilty) {
	switch {
	case g != nil:
	case c.Target == w.popular.Target:
		w.row.PopularRefused++
	default:
		w.row.InnocentRefused++
	}
}

// sendGuilty has a replica end under a request.
func (w *World) sendGuilty(g *guilty, p *replica, b *box) {
	if g.third > 0 && w.now()-g.third > contact && w.now()-b.whole > contact {
		g.late++
	}
	start := p.start
	w.clock.After(endsAfter, func() {
		if p.start != start {
			return
		}
		g.ends++
		if g.ends == endsThatCount {
			g.third = w.now()
			g.knownBy = make([]time.Duration, len(w.boxes))
		}
		w.end(p)
	})
}

// answer gives a run a whole answer.
func (w *World) answer(p *replica, r *run) {
	w.bear(p, r)
	delete(p.runs, r)
}

// bear has the box of a run know that the replica bears it, unless it was cut.
func (w *World) bear(p *replica, r *run) {
	if _, ok := p.runs[r]; !ok || r.box.watch == nil {
		return
	}
	r.box.watch.Proofs().Add(r.content, w.now())
	r.box.watch.Lives(p.start, r.at)
	if r.box.watch.Known() > 0 || r.content.Digested() {
		w.acquit(r.box, r.content)
	}
}

// pick returns a replica of a region, nil for none.
func (w *World) pick(region int) *replica {
	first := region * w.terms.Replicas
	for range w.terms.Replicas {
		if p := w.replicas[first+w.rnd.IntN(w.terms.Replicas)]; p.start != "" {
			return p
		}
	}
	return nil
}
