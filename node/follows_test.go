package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/cell"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/meter"
	"github.com/havenrudder/havenrudder/roster"
)

const (
	removalWithin = 3500 * time.Millisecond // of its publication a removal is believed by all living boxes: the shortest bound on sending is 4 s
	settlesIn     = 6 * time.Second         // of a box's start, until it is held to that
	lookEvery     = 50 * time.Millisecond
	regionsOf     = 3
	listed        = 90 // replicas, so many that followers ask for the revision in place of reading
)

// follows is an installation of boxes that follow a listing: their own tasks, roles,
// datagrams and questions to each other, without sockets, in a bubble of time.
type follows struct {
	ctx      context.Context
	listing  *listing
	system   *cell.System
	rnd      *rand.Rand
	boxes    []*followBox
	byAddr   map[string]*followBox
	seeds    []string
	wellFrom time.Time             // since when the listing is not down
	removed  map[string]time.Time  // replicas that never come back
	worst    time.Duration         // lag of a removal
	lapsing  map[string]bool       // replicas whose entries come back after the outage
	dropped  int                   // times that a living box was seen without one of these
	late     string                // what broke the bound
	links    atomic.Pointer[links] // of the boxes, nil for wide ones
}

// followBox is one machine and the process on it, if any.
type followBox struct {
	settings Settings
	node     atomic.Pointer[Node] // nil while no process runs
	stop     context.CancelFunc
}

func newFollows(ctx context.Context, seed uint64, boxes int) *follows {
	var list []catalog.Replica
	for r := range regionsOf {
		list = append(list, replicas(fmt.Sprint("region-", r), listed/regionsOf)...)
	}
	f := &follows{
		ctx:      ctx,
		listing:  newListing(list),
		rnd:      rand.New(rand.NewPCG(seed, 2)),
		byAddr:   make(map[string]*followBox),
		wellFrom: time.Now(),
		removed:  make(map[string]time.Time),
		lapsing:  make(map[string]bool),
	}
	f.system = cell.NewSystem(slog.New(slog.DiscardHandler), func(reason any) { panic(reason) })
	for n := range boxes {
		region := fmt.Sprint("region-", n%regionsOf)
		b := &followBox{
			settings: Settings{
				Box:    fmt.Sprintf("box-%d-%03d", n%regionsOf, n),
				Region: region,
				Domain: region,
				IP:     fmt.Sprintf("10.%d.%d.1", n%regionsOf, n),
				Ports:  [2]int{7000, 7001},
			},
		}
		f.boxes = append(f.boxes, b)
		f.byAddr[net.JoinHostPort(b.settings.IP, "7001")] = b
		if n < regionsOf {
			f.seeds = append(f.seeds, net.JoinHostPort(b.settings.IP, "7001"))
		}
	}
	for _, b := range f.boxes {
		b.settings.Seeds = f.seeds
		f.start(b)
	}
	return f
}

// start starts a process on a machine.
func (f *follows) start(b *followBox) {
	ctx, cancel := context.WithCancel(f.ctx)
	n := &Node{
		settings: b.settings,
		inc:      int(time.Now().UnixMilli()),
		started:  time.Now(),
		log:      decision.New(b.settings.Box, io.Discard),
		meter:    meter.New(),
		system:   f.system,
	}
	n.read.Store(-int64(neverRead))
	n.reads.Store(true)
	n.state = cell.New(context.WithoutCancel(f.ctx), f.system, "state", newState(n.settings, n.status(), n.now()))
	n.feed = n.newFeed(f.listing.source(b.settings.Box))
	n.askBox = f.askBox
	n.askPolicy = f.askPolicy
	n.amendments = catalog.NewAmendments()
	n.outflow = newOutflow()
	n.deliver = func(p roster.Packet) { f.deliver(b, p) }
	b.stop = cancel
	b.node.Store(n)
	n.tasks.Go(func() { n.feed.Run(ctx) })
	n.tasks.Go(func() { n.beat(ctx) })
}

// kill ends the process on a machine at once.
func (f *follows) kill(b *followBox) {
	n := b.node.Swap(nil)
	if n == nil {
		return
	}
	b.stop()
	n.tasks.Wait()
}

// restart kills the process on a machine and starts one after a while.
func (f *follows) restart(b *followBox, down time.Duration) {
	f.kill(b)
	f.after(down, func() {
		if b.node.Load() == nil {
			f.start(b)
		}
	})
}

// restartWatchers restarts the boxes that watch for others, together.
func (f *follows) restartWatchers(down time.Duration) {
	for _, b := range f.boxes {
		if n := b.node.Load(); n != nil && !n.follows.Load() {
			f.restart(b, down)
		}
	}
}

// after has something done later, in the order of the calls.
func (f *follows) after(d time.Duration, act func()) {
	go func() {
		sleep.For(f.ctx, d)
		if f.ctx.Err() == nil {
			act()
		}
	}()
}

// deliver brings a datagram to another box.
func (f *follows) deliver(from *followBox, p roster.Packet) {
	to, delay := f.byAddr[p.Addr], nearDelay
	if to == nil {
		return
	}
	if to.settings.Region != from.settings.Region {
		delay = farDelay
	}
	addr := net.JoinHostPort(from.settings.IP, "7001")
	f.after(delay+f.links.Load().carry(from, len(p.Buf)), func() {
		n := to.node.Load()
		if n == nil {
			return
		}
		if !roster.IsCompact(p.Buf) {
			if g, err := roster.Decode(p.Buf); err == nil {
				n.hear(f.ctx, g)
			}
			return
		}
		if b, err := roster.DecodeCompact(p.Buf); err == nil {
			n.hearCompact(f.ctx, b, addr)
		}
	})
}

// askBox asks a box for what changed, as over a connection.
func (f *follows) askBox(ctx context.Context, addr string, after int64) (news catalog.News, err error) {
	b := f.byAddr[addr]
	sleep.For(ctx, nearDelay)
	var n *Node
	if b != nil {
		n = b.node.Load()
	}
	if n == nil {
		<-ctx.Done() // it was killed, and nothing says so
		return news, errors.Wrap(ctx.Err(), "box gone")
	}
	err = n.state.Do(func(s *state) { news = s.content.Since(after) })
	f.links.Load().answer(ctx, b, sizeOf(news))
	return news, errors.CombineErrors(err, ctx.Err())
}

// pass lets time go on and looks at all boxes now and then.
func (f *follows) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && f.late == ""; {
		time.Sleep(lookEvery)
		f.look()
	}
}

// look notes how late the boxes are that don't believe a removal yet, and which don't
// list a replica that lives.
func (f *follows) look() {
	for _, b := range f.boxes {
		n := b.node.Load()
		for id := range f.lapsing {
			if n != nil && n.now() >= settlesIn && strings.HasPrefix(id, b.settings.Region) && !n.lists(id) {
				f.dropped++
			}
		}
	}
	for id, at := range f.removed {
		lag := min(time.Since(at), time.Since(f.wellFrom))
		if lag > settlesIn {
			delete(f.removed, id)
			continue
		}
		if f.listing.isDown() {
			continue
		}
		for _, b := range f.boxes {
			n := b.node.Load()
			if n == nil || n.now() < settlesIn || !n.lists(id) {
				continue
			}
			f.worst = max(f.worst, lag)
			if lag > removalWithin {
				f.late = fmt.Sprintf("%s sends to %s %v after its removal", b.settings.Box, id, lag)
			}
		}
	}
}

// lists says whether a box would send to a replica of its region.
func (n *Node) lists(id string) (out bool) {
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		r := s.view.Get(id)
		out = r != nil && r.Listed()
	})
	return out
}

// outage takes the listing away from all boxes; replicas lapse meanwhile and most of
// them come back with it.
func (f *follows) outage(d time.Duration, lapses int) {
	f.listing.setDown(true)
	var back []catalog.Replica
	for _, id := range f.some(lapses) {
		r := f.listing.get(id)
		f.listing.drop(id)
		if f.rnd.IntN(3) > 0 {
			back = append(back, r)
			f.lapsing[id] = true
		} else {
			f.removed[id] = time.Now()
		}
	}
	f.after(d, func() {
		f.listing.setDown(false)
		f.wellFrom = time.Now()
		for _, r := range back {
			f.after(time.Duration(f.rnd.Int64N(int64(1800*time.Millisecond))), func() {
				f.listing.put(r)
				f.after(settlesIn, func() { delete(f.lapsing, r.ID) })
			})
		}
	})
}

// remove removes replicas that never come back, and lists others.
func (f *follows) remove(count int) {
	for _, id := range f.some(count) {
		r := f.listing.get(id)
		f.listing.drop(id)
		f.removed[id] = time.Now()
		r.ID += "+"
		f.listing.put(r)
	}
}

// turnAway has a part of the boxes turned away by the listing for a while.
func (f *follows) turnAway(share float64, d time.Duration) {
	for _, b := range f.boxes {
		if f.rnd.Float64() >= share {
			continue
		}
		f.listing.refuse(b.settings.Box, true)
		f.after(d+time.Duration(f.rnd.Int64N(int64(time.Second))), func() { f.listing.refuse(b.settings.Box, false) })
	}
}

// some returns a few of the replicas that are listed.
func (f *follows) some(count int) []string {
	ids := f.listing.ids()
	f.rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return slices.Clone(ids[:min(count, len(ids))])
}

// someBox returns one of the machines.
func (f *follows) someBox() *followBox { return f.boxes[f.rnd.IntN(len(f.boxes))] }

// end ends all boxes.
func (f *follows) end() {
	for _, b := range f.boxes {
		f.kill(b)
	}
}
