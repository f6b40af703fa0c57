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
	"github.com/havenrudder/havenrudder/origin"
	"github.com/havenrudder/havenrudder/quota"
	"github.com/havenrudder/havenrudder/roster"
)

const (
	removalBound   = 3500 * time.Millisecond // from publication of a removal until all live boxes apply it: the shortest bound on sending is 4 s
	settleTime     = 6 * time.Second         // from the start of a box until the bound applies to it
	checkInterval  = 50 * time.Millisecond
	maxJitter      = time.Millisecond // of a datagram or call
	simRegions     = 3
	gcPercent      = 200 // growth of the heap between collections; 400 takes 1 GB with 300 boxes
	listedReplicas = 90  // enough that followers poll the revision instead of reading
)

// simulation runs the boxes of an installation against a listing, with their own tasks, datagrams and
// calls, but without sockets, in virtual time.
//
// A run is determined by its seed, although tasks run on several threads: virtual time advances only when
// all tasks wait, and no two interacting events happen at the same instant. The harness acts at even
// nanoseconds; a box starts at an odd one, and each datagram and call takes an even time that derives from
// the seed, the instant and its endpoints (jitter), not from the order of tasks.
type simulation struct {
	ctx            context.Context
	began          time.Time
	seed           uint64
	mu             sync.Mutex
	waiting        schedule      // pending actions
	sooner         chan struct{} // an earlier action was added
	trace          atomic.Uint64 // sum of the hashes of all datagrams and responses, independent of their order
	listing        *listing
	system         *cell.System
	rnd            *rand.Rand
	boxes          []*simBox
	byAddr         map[string]*simBox
	seeds          []string
	listingUpSince time.Time
	removed        map[string]time.Time // removed and leaving replicas, and since when
	left           map[string]bool      // those of them that are listed as leaving
	maxRemovalLag  time.Duration
	startGrace     time.Duration         // from the start of a box until the bound applies to it
	expiring       map[string]bool       // replicas whose entries return after the outage
	missingLive    int                   // checks in which a live box lacked one of these
	replaced       int                   // replicas
	violation      string                // the first violation of a bound
	links          atomic.Pointer[links] // of the boxes, nil for unlimited ones
	lastTraceLine  map[string]string     // last log line about the traced replica, by box
	cut            atomic.Pointer[func(from, to *simBox) bool]
	halts          *halt // machines that stand still

	connections sync.Map // of connection
	decoded     sync.Map // decoded catalogs, by the first byte of their encoding
}

// simBox is a machine and the process on it, if any.
type simBox struct {
	settings Settings
	node     atomic.Pointer[Node] // nil while no process runs
	stop     context.CancelFunc
}

func newSimulation(ctx context.Context, seed uint64, boxes int) *simulation {
	debug.SetGCPercent(gcPercent) // other tests set a lower value
	var list []catalog.Replica
	for r := range simRegions {
		list = append(list, replicas(fmt.Sprint("region-", r), listedReplicas/simRegions)...)
	}
	f := &simulation{
		ctx:            ctx,
		began:          time.Now(),
		seed:           seed,
		startGrace:     settleTime,
		lastTraceLine:  make(map[string]string),
		sooner:         make(chan struct{}, 1),
		rnd:            rand.New(rand.NewPCG(seed, 2)),
		byAddr:         make(map[string]*simBox),
		listingUpSince: time.Now(),
		removed:        make(map[string]time.Time),
		left:           make(map[string]bool),
		expiring:       make(map[string]bool),
		halts:          newHalt(),
	}
	f.listing = newListing(list, f.jitter)
	f.system = cell.NewSystem(slog.New(slog.DiscardHandler), func(reason any) { panic(reason) }, cell.InPlace())
	go f.runScheduled()
	f.populate(boxes, func(*Settings) {})
	return f
}

// populate adds machines with modified settings and starts a process on each.
func (f *simulation) populate(boxes int, change func(*Settings)) {
	for n := range boxes {
		region := fmt.Sprint("region-", n%simRegions)
		b := &simBox{
			settings: Settings{
				Box:    fmt.Sprintf("box-%d-%03d", n%simRegions, n),
				Region: region,
				Domain: region,
				IP:     fmt.Sprintf("10.%d.%d.1", n%simRegions, n),
				Ports:  [2]int{7000, 7001},
			},
		}
		f.boxes = append(f.boxes, b)
		f.byAddr[net.JoinHostPort(b.settings.IP, "7001")] = b
		if n < simRegions {
			f.seeds = append(f.seeds, net.JoinHostPort(b.settings.IP, "7001"))
		}
	}
	for _, b := range f.boxes {
		b.settings.Seeds = f.seeds
		change(&b.settings)
		f.start(b)
	}
}

func (f *simulation) start(b *simBox) {
	ctx, cancel := context.WithCancel(f.ctx)
	n := &Node{
		settings:    b.settings,
		incarnation: int(time.Now().UnixMilli()),
		started:     time.Now(),
		log:         decision.New(b.settings.Box, io.Discard),
		meter:       meter.New(),
		system:      f.system,
		jitter:      func() float64 { return f.randomFloat("jitter", b.settings.Box) },
		draw:        rand.New(rand.NewPCG(f.seed, f.hash("draw", b.settings.Box))).IntN, // only used by the heartbeat task
	}
	n.lastRead.Store(-int64(neverReadAge))
	n.isReader.Store(true)
	n.state = cell.New(context.WithoutCancel(f.ctx), f.system, "state", newState(n.settings, n.status(), n.now()))
	n.feed = n.newFeed(f.halts.source(b.settings.Box, f.tracedSource(b.settings.Box, f.listing.source(b.settings.Box))))
	n.fetchChanges = func(ctx context.Context, addr string, after int64) (catalog.ChangeSet, error) {
		if to := f.byAddr[addr]; to != nil && f.partitioned(b, to) {
			<-ctx.Done()
			return catalog.ChangeSet{}, ctx.Err()
		}
		changes, err := f.fetchChanges(ctx, addr, after)
		f.printTraced(b.settings.Box, "asked", addr, "after", after, "received up to", changes.Revision, changes.Snapshot != nil, changesOfTraced(changes.Changes, changes.UnconfirmedRemovals), err)
		return changes, err
	}
	n.fetchPolicy = f.fetchPolicy
	n.fetchProof = func(ctx context.Context, addr string) (proofResponse, error) { return f.fetchProof(ctx, b, addr) }
	n.quotas = n.newQuotas()
	n.requestCredit = func(ctx context.Context, addr string, r allocationRequest) ([]quota.Grant, error) {
		return f.requestCredit(ctx, b, addr, r)
	}
	n.fetchDemand = func(ctx context.Context, addr string, r demandRequest) (map[string]quota.Usage, error) {
		return f.fetchDemand(ctx, b, addr, r)
	}
	n.deltas = catalog.NewDeltas()
	n.snapshotCache = newSnapshotCache()
	n.policyBucket = newByteBucket(policyRate, policyBurst)
	n.sendPacket = func(p roster.Packet) {
		if b.node.Load() == n { // a killed process sends nothing
			f.deliver(b, p)
		}
	}
	b.stop = cancel
	f.printTraced(b.settings.Box, "starts")
	b.node.Store(n)
	n.tasks.Go(func() {
		sleep.For(ctx, f.jitter(roster.Tick, "start", b.settings.Box))
		n.tasks.Go(func() { n.feed.Run(ctx) })
		n.runHeartbeats(ctx)
	})
}

// hash returns a number derived from the seed, the instant and the arguments.
func (f *simulation) hash(what ...any) uint64 {
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
	_, _ = h.Write(buf) // it never fails
	x := h.Sum64()
	return rand.New(rand.NewPCG(x, x)).Uint64() // mixes the low bits into all others
}

// randomFloat returns a number from 0 up to 1 derived from the seed and the instant.
func (f *simulation) randomFloat(what ...any) float64 {
	return float64(f.hash(what...)>>11) / (1 << 53)
}

// jitter returns a duration up to limit, ending at an odd nanosecond, derived from the seed and the instant.
func (f *simulation) jitter(limit time.Duration, what ...any) time.Duration {
	even := 2 * time.Duration(f.hash(what...)%uint64(limit/2))
	return even + time.Duration(1-time.Now().UnixNano()%2)
}

func (f *simulation) addToTrace(what ...any) { f.trace.Add(f.hash(what...)) }

// kill stops the process on a machine at once.
func (f *simulation) kill(b *simBox) {
	n := b.node.Swap(nil)
	if n == nil {
		return
	}
	b.stop()
	n.tasks.Wait()
	f.printTraced(b.settings.Box, "killed")
}

// restart kills the process on a machine and starts one after down.
func (f *simulation) restart(b *simBox, down time.Duration) {
	f.kill(b)
	f.after(down, func() {
		if b.node.Load() == nil {
			f.start(b)
		}
	})
}

// restartWatchers restarts all catalog watchers together.
func (f *simulation) restartWatchers(down time.Duration) {
	for _, b := range f.boxes {
		if n := b.node.Load(); n != nil && !n.isFollower.Load() {
			f.restart(b, down)
		}
	}
}

// deliver sends a datagram to another box.
func (f *simulation) deliver(from *simBox, p roster.Packet) {
	to, delay := f.byAddr[p.Addr], nearDelay
	if to == nil || f.partitioned(from, to) {
		return
	}
	if to.settings.Region != from.settings.Region {
		delay = farDelay
	}
	addr := net.JoinHostPort(from.settings.IP, "7001")
	h := f.hash(from.settings.Box, p.Addr, p.Buf)
	f.trace.Add(h)
	f.later(delay+f.jitter(maxJitter, h)+f.links.Load().transmit(from, len(p.Buf)), func() {
		n := to.node.Load()
		if n == nil {
			return
		}
		if p.Buf[0] == origin.DatagramType {
			n.receiveBuild(p.Buf, addr)
			return
		}
		if !roster.IsCompact(p.Buf) {
			if g, err := roster.Decode(p.Buf); err == nil {
				n.receive(f.ctx, g)
			}
			return
		}
		if b, err := roster.DecodeCompact(p.Buf); err == nil {
			n.receiveCompact(f.ctx, b, addr)
		}
	})
}

// partitioned reports whether the network between two machines is cut.
func (f *simulation) partitioned(from, to *simBox) bool {
	cut := f.cut.Load()
	return cut != nil && (*cut)(from, to)
}

// pass advances time and checks all boxes at intervals.
func (f *simulation) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && f.violation == ""; {
		time.Sleep(checkInterval)
		f.checkBoxes()
	}
}

// checkBoxes records the lag of removals, and boxes that do not list a live replica.
func (f *simulation) checkBoxes() {
	f.printListings(f.lastTraceLine)
	for _, b := range f.boxes {
		n := b.node.Load()
		for id := range f.expiring {
			if n != nil && n.now() >= settleTime && strings.HasPrefix(id, b.settings.Region) && !n.lists(id) {
				f.missingLive++
				f.printTraced(b.settings.Box, "lacks the live replica", id)
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(f.removed)) {
		at := f.removed[id]
		lag := min(time.Since(at), time.Since(f.listingUpSince))
		if lag > settleTime {
			delete(f.removed, id)
			delete(f.left, id)
			continue
		}
		if f.listing.isDown() {
			continue
		}
		for _, b := range f.boxes {
			n := b.node.Load()
			if n == nil || n.now() < f.startGrace || !n.lists(id) {
				continue
			}
			if lag > f.maxRemovalLag {
				f.maxRemovalLag = lag
				f.printTraced(b.settings.Box, "still lists", id, lag, "after its removal")
			}
			if lag > removalBound {
				f.violation = fmt.Sprintf("%s sends to %s %v after its removal (leaving: %t)", b.settings.Box, id, lag, f.left[id])
			}
		}
	}
}

// lists reports whether a box would send to a replica.
func (n *Node) lists(id string) (out bool) {
	_ = n.state.Do(func(s *state) { // it fails only after the box has stopped
		r := s.view.Get(id)
		out = r != nil && r.Listed() && !r.Info().Leaving
	})
	return out
}

// outage makes the listing unavailable; some replicas expire meanwhile and most of them return with it.
func (f *simulation) outage(d time.Duration, lapses int) {
	f.listing.setDown(true)
	f.printTraced("-", "outage begins")
	var back []catalog.Replica
	for _, id := range f.someReplicas(lapses) {
		r := f.listing.get(id)
		f.listing.drop(id)
		if f.rnd.IntN(3) > 0 {
			back = append(back, r)
			f.expiring[id] = true
		} else {
			f.removed[id] = time.Now()
		}
	}
	f.after(d, func() {
		f.listing.setDown(false)
		f.printTraced("-", "outage ends")
		f.listingUpSince = time.Now()
		for _, r := range back {
			f.after(time.Duration(f.rnd.Int64N(int64(1800*time.Millisecond))), func() {
				f.listing.put(r)
				f.after(settleTime, func() { delete(f.expiring, r.ID) })
			})
		}
	})
}

// remove removes replicas and lists replacements under new ids.
func (f *simulation) remove(count int) {
	for _, id := range f.someReplicas(count) {
		r := f.listing.get(id)
		f.listing.drop(id)
		f.printTraced("-", id, "removed")
		f.removed[id] = time.Now()
		delete(f.expiring, id)
		f.replaceReplica(r)
	}
}

func (f *simulation) replaceReplica(r catalog.Replica) {
	f.replaced++
	r.ID = fmt.Sprint(r.ID, "+", f.replaced)
	r.Leaving = false
	f.listing.put(r)
}

// leave marks replicas as leaving and lists replacements.
func (f *simulation) leave(count int) {
	for _, id := range f.someReplicas(count) {
		r := f.listing.get(id)
		r.Leaving = true
		f.listing.put(r)
		f.printTraced("-", id, "leaves")
		f.removed[id] = time.Now()
		f.left[id] = true
		delete(f.expiring, id)
		f.replaceReplica(r)
	}
}

// rejectSome has the listing reject a random share of the boxes for a while.
func (f *simulation) rejectSome(share float64, d time.Duration) {
	for _, b := range f.boxes {
		if f.rnd.Float64() >= share {
			continue
		}
		f.listing.setRejects(b.settings.Box, true)
		f.printTraced(b.settings.Box, "rejected")
		f.after(d+time.Duration(f.rnd.Int64N(int64(time.Second))), func() {
			f.listing.setRejects(b.settings.Box, false)
			f.printTraced(b.settings.Box, "accepted again")
		})
	}
}

// someReplicas returns random listed replicas.
func (f *simulation) someReplicas(count int) []string {
	ids := f.listing.ids()
	f.rnd.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return slices.Clone(ids[:min(count, len(ids))])
}

func (f *simulation) someBox() *simBox { return f.boxes[f.rnd.IntN(len(f.boxes))] }

func (f *simulation) end() {
	for _, b := range f.boxes {
		f.kill(b)
	}
}
