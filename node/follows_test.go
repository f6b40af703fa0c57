package node

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/cell"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/meter"
	"github.com/havenrudder/havenrudder/quota"
	"github.com/havenrudder/havenrudder/roster"
)

const (
	removalWithin = 3500 * time.Millisecond // of its publication a removal is believed by all living boxes: the shortest bound on sending is 4 s
	settlesIn     = 6 * time.Second         // of a box's start, until it is held to that
	lookEvery     = 50 * time.Millisecond
	mostJitter    = time.Millisecond // of a datagram, a question and a call
	regionsOf     = 3
	collectRarely = 200 // percent of growth of the heap; with 400 a run of 300 boxes takes 1 GB
	listed        = 90  // replicas, so many that followers ask for the revision in place of reading
)

// follows is an installation of boxes that follow a listing: their own tasks, roles,
// datagrams and questions to each other, without sockets, in a bubble of time.
//
// One seed is one run, though the tasks of the boxes run on several threads: a bubble's
// time goes on when all tasks wait, and no two things that meet happen at one instant.
// The harness acts at even nanoseconds; a box begins at an odd one, and each datagram,
// question and call takes an even time that follows from the seed, the instant and who
// talks to whom (jitter), not from the order in which tasks ask for it.
type follows struct {
	ctx      context.Context
	began    time.Time
	seed     uint64
	mu       sync.Mutex
	waiting  errands       // what is to be done later
	sooner   chan struct{} // something was put in that comes first
	trace    atomic.Uint64 // sum of the hashes of all datagrams and answers, which is the same in any order
	listing  *listing
	system   *cell.System
	rnd      *rand.Rand
	boxes    []*followBox
	byAddr   map[string]*followBox
	seeds    []string
	wellFrom time.Time             // since when the listing is not down
	removed  map[string]time.Time  // replicas that never come back, and those that leave
	left     map[string]bool       // those of them that are listed as leaving
	worst    time.Duration         // lag of a removal
	newFor   time.Duration         // since its start until a box is held to the bound
	lapsing  map[string]bool       // replicas whose entries come back after the outage
	dropped  int                   // times that a living box was seen without one of these
	replaced int                   // replicas
	late     string                // what broke the bound
	links    atomic.Pointer[links] // of the boxes, nil for wide ones
	storied  map[string]string     // by box: what was told of the replica last
	cut      atomic.Pointer[func(from, to *followBox) bool]

	connections sync.Map // of connection
	decoded     sync.Map // whole catalogs, by the first byte of their encoded form
}

// followBox is one machine and the process on it, if any.
type followBox struct {
	settings Settings
	node     atomic.Pointer[Node] // nil while no process runs
	stop     context.CancelFunc
}

func newFollows(ctx context.Context, seed uint64, boxes int) *follows {
	debug.SetGCPercent(collectRarely) // a box that another test began had it collect at each fifth more
	var list []catalog.Replica
	for r := range regionsOf {
		list = append(list, replicas(fmt.Sprint("region-", r), listed/regionsOf)...)
	}
	f := &follows{
		ctx:      ctx,
		began:    time.Now(),
		seed:     seed,
		newFor:   settlesIn,
		storied:  make(map[string]string),
		sooner:   make(chan struct{}, 1),
		rnd:      rand.New(rand.NewPCG(seed, 2)),
		byAddr:   make(map[string]*followBox),
		wellFrom: time.Now(),
		removed:  make(map[string]time.Time),
		left:     make(map[string]bool),
		lapsing:  make(map[string]bool),
	}
	f.listing = newListing(list, f.jitter)
	f.system = cell.NewSystem(slog.New(slog.DiscardHandler), func(reason any) { panic(reason) }, cell.InPlace())
	go f.carry()
	f.populate(boxes, func(*Settings) {})
	return f
}

// populate adds machines, whose settings may be changed, and starts a process on each.
func (f *follows) populate(boxes int, change func(*Settings)) {
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
		change(&b.settings)
		f.start(b)
	}
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
		jitter:   func() float64 { return f.chance("jitter", b.settings.Box) },
		draw:     rand.New(rand.NewPCG(f.seed, f.hash("draw", b.settings.Box))).IntN, // the beats' alone
	}
	n.read.Store(-int64(neverRead))
	n.reads.Store(true)
	n.state = cell.New(context.WithoutCancel(f.ctx), f.system, "state", newState(n.settings, n.status(), n.now()))
	n.feed = n.newFeed(f.watched(b.settings.Box, f.listing.source(b.settings.Box)))
	n.askBox = func(ctx context.Context, addr string, after int64) (catalog.News, error) {
		news, err := f.askBox(ctx, addr, after)
		f.tell(b.settings.Box, "asked", addr, "after", after, "told up to", news.Revision, news.Snapshot != nil, aboutIt(news.Changes, news.Doubts), err)
		return news, err
	}
	n.askPolicy = f.askPolicy
	n.askProof = func(ctx context.Context, addr string) (proofResponse, error) { return f.askProof(ctx, b, addr) }
	n.quotas = n.newQuotas()
	n.askBank = func(ctx context.Context, addr string, asks []quota.Ask) ([]quota.Grant, error) {
		return f.askBank(ctx, b, addr, asks)
	}
	n.askDemand = func(ctx context.Context, addr string) (map[string]quota.Use, error) {
		return f.askDemand(ctx, b, addr)
	}
	n.deltas = catalog.NewDeltas()
	n.fullAnswers = newSnapshotCache()
	n.policyBucket = newByteBucket(policyRate, policyBurst)
	n.deliver = func(p roster.Packet) {
		if b.node.Load() == n { // a process that was killed says nothing more
			f.deliver(b, p)
		}
	}
	b.stop = cancel
	f.tell(b.settings.Box, "starts")
	b.node.Store(n)
	n.tasks.Go(func() {
		sleep.For(ctx, f.jitter(roster.Tick, "start", b.settings.Box))
		n.tasks.Go(func() { n.feed.Run(ctx) })
		n.beat(ctx)
	})
}

// hash returns a number that follows from the seed, the instant and some words.
func (f *follows) hash(what ...any) uint64 {
	h := fnv.New64a()
	buf := binary.BigEndian.AppendUint64(nil, f.seed)
	buf = binary.BigEndian.AppendUint64(buf, uint64(time.Now().UnixNano()))
	for _, w := range what {
		if b, ok := w.([]byte); ok {
			buf = append(buf, b...)
			continue
		}
		buf = fmt.Append(buf, w, " ")
	}
	_, _ = h.Write(buf) // a hash takes everything
	x := h.Sum64()
	return rand.New(rand.NewPCG(x, x)).Uint64() // the last letters of two words count for all of it
}

// chance returns a number from 0 up to 1 that follows from the seed and the instant.
func (f *follows) chance(what ...any) float64 { return float64(f.hash(what...)>>11) / (1 << 53) }

// jitter returns a time up to most, until an odd nanosecond, that follows from the seed
// and the instant.
func (f *follows) jitter(most time.Duration, what ...any) time.Duration {
	even := 2 * time.Duration(f.hash(what...)%uint64(most/2))
	return even + time.Duration(1-time.Now().UnixNano()%2)
}

// note takes something that happens into the trace.
func (f *follows) note(what ...any) { f.trace.Add(f.hash(what...)) }

// kill ends the process on a machine at once.
func (f *follows) kill(b *followBox) {
	n := b.node.Swap(nil)
	if n == nil {
		return
	}
	b.stop()
	n.tasks.Wait()
	f.tell(b.settings.Box, "killed")
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

// deliver brings a datagram to another box.
func (f *follows) deliver(from *followBox, p roster.Packet) {
	to, delay := f.byAddr[p.Addr], nearDelay
	if to == nil || f.severed(from, to) {
		return
	}
	if to.settings.Region != from.settings.Region {
		delay = farDelay
	}
	addr := net.JoinHostPort(from.settings.IP, "7001")
	h := f.hash(from.settings.Box, p.Addr, p.Buf)
	f.trace.Add(h)
	f.later(delay+f.jitter(mostJitter, h)+f.links.Load().carry(from, len(p.Buf)), func() {
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

// severed says whether nothing goes from one machine to another.
func (f *follows) severed(from, to *followBox) bool {
	cut := f.cut.Load()
	return cut != nil && (*cut)(from, to)
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
	f.lookAtStory(f.storied)
	for _, b := range f.boxes {
		n := b.node.Load()
		for id := range f.lapsing {
			if n != nil && n.now() >= settlesIn && strings.HasPrefix(id, b.settings.Region) && !n.lists(id) {
				f.dropped++
				f.tell(b.settings.Box, "doesn't list the living", id)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(f.removed)) {
		at := f.removed[id]
		lag := min(time.Since(at), time.Since(f.wellFrom))
		if lag > settlesIn {
			delete(f.removed, id)
			delete(f.left, id)
			continue
		}
		if f.listing.isDown() {
			continue
		}
		for _, b := range f.boxes {
			n := b.node.Load()
			if n == nil || n.now() < f.newFor || !n.lists(id) {
				continue
			}
			if lag > f.worst {
				f.worst = lag
				f.tell(b.settings.Box, "still lists", id, lag, "after its removal")
			}
			if lag > removalWithin {
				f.late = fmt.Sprintf("%s sends to %s %v after its removal (leaving: %t)", b.settings.Box, id, lag, f.left[id])
			}
		}
	}
}

// lists says whether a box would send to a replica of its region, if it isn't in doubt.
func (n *Node) lists(id string) (out bool) {
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		r := s.view.Get(id)
		out = r != nil && r.Listed() && !r.Info().Leaving
	})
	return out
}

// outage takes the listing away from all boxes; replicas lapse meanwhile and most of
// them come back with it.
func (f *follows) outage(d time.Duration, lapses int) {
	f.listing.setDown(true)
	f.tell("-", "outage begins")
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
		f.tell("-", "outage ends")
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
		f.tell("-", id, "removed")
		f.removed[id] = time.Now()
		delete(f.lapsing, id)
		f.replaceReplica(r)
	}
}

// replaceReplica lists another process in place of a replica that is gone or leaves.
func (f *follows) replaceReplica(r catalog.Replica) {
	f.replaced++
	r.ID = fmt.Sprint(r.ID, "+", f.replaced)
	r.Leaving = false
	f.listing.put(r)
}

// leave has replicas say that they leave, and lists others.
func (f *follows) leave(count int) {
	for _, id := range f.some(count) {
		r := f.listing.get(id)
		r.Leaving = true
		f.listing.put(r)
		f.tell("-", id, "leaves")
		f.removed[id] = time.Now()
		f.left[id] = true
		delete(f.lapsing, id)
		f.replaceReplica(r)
	}
}

// turnAway has a part of the boxes turned away by the listing for a while.
func (f *follows) turnAway(share float64, d time.Duration) {
	for _, b := range f.boxes {
		if f.rnd.Float64() >= share {
			continue
		}
		f.listing.refuse(b.settings.Box, true)
		f.tell(b.settings.Box, "turned away")
		f.after(d+time.Duration(f.rnd.Int64N(int64(time.Second))), func() {
			f.listing.refuse(b.settings.Box, false)
			f.tell(b.settings.Box, "served again")
		})
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
