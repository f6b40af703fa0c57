package node

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/cell"
	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/common/ending"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/exchange"
	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/lease"
	"github.com/havenrudder/havenrudder/meter"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/poison"
	"github.com/havenrudder/havenrudder/quota"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	memoryShare = 60                     // percent of the limit from which the collector works harder
	collectAt   = 20                     // percent of growth of the heap between collections: memory is dearer here than processor time
	neverRead   = time.Hour              // the age of what was never read
	idleReplica = 20 * time.Second       // a connection to a replica rests so long at most
	busyTimeout = 30 * time.Second       // silence under a request that can't be sent again: its own time ends it sooner
	idleBox     = 60 * time.Second       // the same between boxes: a new one takes 160 ms
	stopEarly   = 400 * time.Millisecond // before the process is killed, it ends by itself
)

// Node is one box.
type Node struct {
	settings   Settings
	adapter    Adapter
	inc        int // incarnation: higher after each start of the box
	started    time.Time
	log        *decision.Log
	meter      *meter.Meter
	system     *cell.System
	state      *cell.Cell[state]
	table      atomic.Pointer[catalog.Table]
	read       atomic.Int64 // when what is published was last read, also by others, in nanoseconds since the start
	reads      atomic.Bool  // this box reads the catalog on behalf of others
	follows    atomic.Bool  // others watch and read it on behalf of this one
	tellsAge   atomic.Bool  // others need to know how old what this box knows is
	storeOK    atomic.Bool  // the last call to the store succeeded
	leaving    atomic.Bool  // a planned stop has begun
	closed     atomic.Bool  // it is named to no caller any more
	ends       atomic.Int64 // when a planned stop is over, in nanoseconds since the start
	pulling    atomic.Bool  // another box is asked for its catalog
	refreshing atomic.Bool  // a box that reads for others is asked for its catalog
	suspects   atomic.Int32 // requests under which replicas ended, of which all boxes are told
	served     *poison.Served
	doubtAsk   atomic.Int64 // until then no box is asked for a doubt alone, in nanoseconds since the start
	replicas   *exchange.Pool
	boxes      *exchange.Pool
	store      *exchange.Pool
	peers      *peer.Pool
	bulk       *peer.Pool // for what is long, so that nothing waits behind it
	listeners  listeners
	links      []*roster.Link
	deliver    func(roster.Packet)                                                          // seam: sends a datagram
	askBox     func(ctx context.Context, addr string, after int64) (catalog.News, error)    // seam: asks another box for what changed
	askPolicy  func(ctx context.Context, addr string, have int) (catalog.PolicyNews, error) // seam: asks another box for its policy
	draw       func(n int) int                                                              // seam: a random number from 0 to n-1
	jitter     func() float64                                                               // seam: a random number from 0 up to 1
	feed       *catalog.Feed

	deltas       *catalog.Deltas
	lease        lease.Lease                                                   // on keys, by what is known of the policy in force
	proofs       proofRequests                                                 // of the same
	askProof     func(ctx context.Context, addr string) (proofResponse, error) // seam: asks another box how long ago its policy surely was the newest
	quotas       *quotas
	askBank      func(ctx context.Context, addr string, asks []quota.Ask) ([]quota.Grant, error) // seam: asks another box as a bank
	askDemand    func(ctx context.Context, addr string) (map[string]quota.Use, error)            // seam: asks another region's bank what its callers ask for
	fullAnswers  *snapshotCache
	policyBucket *byteBucket   // for the policies that this box gives to others
	seeking      atomic.Bool   // a policy is got from another box; who has set it owns the next
	seeker       policySources // where to get the policy that this box lacks
	ownReading   ownReadTimer  // of the same; the task that beats owns it

	tasks     sync.WaitGroup
	told      chan struct{} // asks for the settings to be read again
	bounds    Bounds        // in force; the task that reloads owns it
	unread    bool          // the settings could not be read last; the same task owns it
	suspended time.Duration // of the machine, as the log says last; the task that beats owns it
	replaced  chan string   // ids of replicas whose addresses others have
	stop      chan struct{} // closed when a planned stop begins
	once      sync.Once     // for the begin of a planned stop
}

// Option changes a Node.
type Option func(*Node)

// WithOutput sets where the log of decisions is written.
func WithOutput(w io.Writer) Option {
	return func(n *Node) { n.log = decision.New(n.settings.Box, w) }
}

// New returns a box with its listeners open.
func New(s Settings, a Adapter, opts ...Option) (*Node, error) {
	n := &Node{
		settings: s,
		adapter:  a,
		inc:      int(time.Now().UnixMilli()),
		started:  clock.Now(),
		stop:     make(chan struct{}),
		told:     make(chan struct{}, 1),
		replaced: make(chan string, maxReplaced),
		bounds:   s.Bounds,
		draw:     rand.IntN,
		jitter:   rand.Float64,

		deltas:       catalog.NewDeltas(),
		fullAnswers:  newSnapshotCache(),
		policyBucket: newByteBucket(policyRate, policyBurst),
	}
	n.quotas = n.newQuotas()
	n.read.Store(-int64(neverRead))
	n.reads.Store(true) // until others are known
	n.log = decision.New(s.Box, io.Discard)
	for _, opt := range opts {
		opt(n)
	}
	n.meter = meter.New(
		meter.WithCatalogAge(n.catalogAge),
		meter.WithBoxesAlive(n.boxesAlive),
		meter.WithSharingBoxes(n.sharingBoxes),
		meter.WithDroppedLines(n.log.DroppedLines),
		meter.WithQuarantinedRequests(n.quarantinedRequests),
		meter.WithLeaseAge(n.leaseAge),
	)
	limitMemory(s.MemoryMB)
	return n, n.listeners.open(s)
}

// limitMemory keeps the process well below the size at which it is killed.
func limitMemory(mb int) {
	debug.SetGCPercent(collectAt)
	if mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * memoryShare / 100)
	}
}

// now returns the monotonic clock of the box.
func (n *Node) now() time.Duration { return clock.Since(n.started) }

// Run runs the box until ctx ends, at once, or until a planned stop is over.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	logging, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		_ = n.log.Run(logging) // it fails only when the output does, and there is nowhere else to say so
	}()
	n.build(ctx, cancel)
	n.record(decision.Event{
		Kind:   decision.Start,
		Reason: "listening",
		Detail: n.settings.Callers,
	})
	n.runGossip(ctx) // before the feed, whose first news is sent to other boxes
	n.tasks.Go(func() { n.feed.Run(ctx) })
	n.runReload(ctx)
	n.runIdentity(ctx)
	n.runAccounts(ctx)
	n.serve(ctx, cancel)
	<-ctx.Done()
	n.tasks.Wait()
	n.replicas.Close()
	n.boxes.Close()
	n.store.Close()
	n.record(decision.Event{
		Kind:   decision.Stop,
		Reason: context.Cause(ctx).Error(),
	})
	stopLogging()
	<-logged
	return ending.Cause(ctx)
}

// build makes what runs in the box. A broken invariant ends it.
func (n *Node) build(ctx context.Context, cancel context.CancelCauseFunc) {
	broken := func(reason any) { cancel(errors.Newf("broken invariant: %v", reason)) }
	n.system = cell.NewSystem(slog.New(slog.DiscardHandler), broken)
	s := newState(n.settings, n.status(), n.now())
	n.served = s.poison.Served()
	n.state = cell.New(ctx, n.system, "state", s)
	n.replicas = exchange.NewPool(
		exchange.WithIdleTime(idleReplica),
		exchange.WithBusyTimeout(busyTimeout),
		exchange.WithOnDial(func(string) { n.meter.Dial() }),
	)
	n.boxes = exchange.NewPool(exchange.WithIdleTime(idleBox))
	n.store = exchange.NewPool()
	dialer := exchange.NewDialer()
	dialer.Timeout = peerDialTimeout
	n.peers = peer.NewPool(ctx, dialer.DialContext, func(peer.Method, int) {})
	n.bulk = peer.NewPool(ctx, dialer.DialContext, func(peer.Method, int) {})
	n.askBox = n.callCatalog
	n.askPolicy = n.callPolicy
	n.askProof = n.callProof
	n.askBank = n.callAllocator
	n.askDemand = n.callDemand
	n.deliver = func(p roster.Packet) { _ = n.links[0].Post(p) } // a datagram may be lost anyway, and the next one follows
	n.feed = n.newFeed(n.adapter.Source(n.store, Report{
		Call:    n.meter.StoreCall,
		Bad:     n.recordBadValue,
		Foreign: n.recordForeignEntry,
	}))
}

// newFeed returns what keeps the copy of the catalog current from a source.
func (n *Node) newFeed(source catalog.Source) *catalog.Feed {
	return catalog.NewFeed(source, n.applyUpdate,
		catalog.WithHealth(n.recordStoreHealth),
		catalog.WithReader(n.reads.Load),
		catalog.WithFollowing(n.follows.Load, n.catalogAge),
		catalog.WithConfirming(n.confirmsPolicy, n.recordProof),
		catalog.WithTurn(n.awaitInitialRead),
		catalog.WithRefresh(n.refresh),
		catalog.WithJitter(n.jitter))
}

// status returns what never changes of this box's status.
func (n *Node) status() wire.BoxStatus {
	return wire.BoxStatus{
		Box:     n.settings.Box,
		Inc:     n.inc,
		Region:  n.settings.Region,
		Domain:  n.settings.Domain,
		Callers: n.settings.Callers,
		Peers:   n.peerAddr(),
		Forward: n.forwardAddr(),
	}
}

// forwardAddr is where other boxes pass requests on to this one.
func (n *Node) forwardAddr() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.Ports[0]))
}

// peerAddr is where other boxes talk to this one, by datagram and connection.
func (n *Node) peerAddr() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.Ports[1]))
}

// boxesAlive returns how many other boxes are believed to be alive; it is read after
// the box has begun to run.
func (n *Node) boxesAlive() (alive int) {
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		for m := range s.roster.All() {
			if s.roster.Alive(m.Status.Box, n.now()) {
				alive++
			}
		}
	})
	return alive
}

// sharingBoxes returns among how many boxes the quotas of the region are shared; it
// is read after the box has begun to run.
func (n *Node) sharingBoxes() (sharing int) {
	_ = n.state.Do(func(s *state) { sharing = len(s.sharers(n.now())) }) // it fails only when the box has ended
	return sharing
}

// record writes an event to the log of decisions.
func (n *Node) record(e decision.Event) { n.log.Record(e) }

// ingress returns the path of requests.
func (n *Node) ingress(ctx context.Context) *ingress.Server {
	return ingress.New(n.settings.Box, n.settings.Region, n.adapter.Codec, n.core(ctx), n.replicas, n.boxes)
}
