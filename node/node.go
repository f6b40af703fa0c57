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
	"github.com/havenrudder/havenrudder/common/sched"
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
	memoryLimitPercent = 60                     // of the process limit, for the collector
	heapGrowthPercent  = 20                     // between collections
	neverReadAge       = time.Hour              // age of a catalog that was never read
	replicaIdleTimeout = 20 * time.Second       // of a connection to a replica
	busyTimeout        = 30 * time.Second       // without bytes, for a request that can't be retried
	boxIdleTimeout     = 60 * time.Second       // of a connection to another box
	stopMargin         = 400 * time.Millisecond // between the end of a planned stop and the kill by the platform
)

// Node is one box.
type Node struct {
	settings        Settings
	adapter         Adapter
	incarnation     int // grows with each start of the box
	started         time.Time
	log             *decision.Log
	meter           *meter.Meter
	system          *cell.System
	state           *cell.Cell[state]
	table           atomic.Pointer[catalog.Table]
	lastRead        atomic.Int64 // when this box or its source last read the catalog, in nanoseconds since the start
	confirmedSince  atomic.Int64 // since when the copy has been confirmed at least every maxUnconfirmed, in nanoseconds since the start
	isReader        atomic.Bool  // this box reads the catalog on behalf of others
	isFollower      atomic.Bool  // other boxes watch and read the catalog on behalf of this one
	sendsAge        atomic.Bool  // this box sends the age of its catalog
	storeOK         atomic.Bool  // the last call to the store succeeded
	leaving         atomic.Bool  // a planned stop has begun
	closed          atomic.Bool  // the directory no longer returns this box
	stopAt          atomic.Int64 // when a planned stop is over, in nanoseconds since the start
	pulling         atomic.Bool  // a catalog update is being fetched from another box
	refreshing      atomic.Bool  // a catalog update is being fetched from a reader
	suspects        atomic.Int32 // requests and parts of prompts under which replicas crashed, as sent to all boxes
	heldParts       atomic.Int32 // parts of prompts that wait until it is known whether their replica has crashed
	served          *poison.Served
	servedParts     *poison.Served
	nextRemovalPull atomic.Int64 // earliest fetch for unconfirmed removals alone, in nanoseconds since the start
	replicaPool     *exchange.Pool
	boxPool         *exchange.Pool
	storePool       *exchange.Pool
	peers           *peer.Pool
	bulkPeers       *peer.Pool // for long messages, so that short ones don't wait behind them
	listeners       listeners
	links           []*roster.Link
	sendPacket      func(roster.Packet)                                                              // sends a datagram; replaced in tests
	dialBox         func(ctx context.Context, network, addr string) (net.Conn, error)                // connects to a box to which requests are forwarded
	fetchChanges    func(ctx context.Context, addr string, after int64) (catalog.ChangeSet, error)   // fetches catalog changes from another box; replaced in tests
	fetchPolicy     func(ctx context.Context, addr string, have int) (catalog.PolicyResponse, error) // fetches the policy from another box; replaced in tests
	draw            func(n int) int                                                                  // returns a random number in [0, n); replaced in tests
	jitter          func() float64                                                                   // returns a random number in [0, 1); replaced in tests
	feed            *catalog.Feed

	deltas         *catalog.Deltas
	lease          lease.Lease                                                   // on keys, renewed while the policy is confirmed as the newest
	proofs         proofRequests                                                 // fetches freshness proofs for the lease
	fetchProof     func(ctx context.Context, addr string) (proofResponse, error) // fetches a freshness proof from another box; replaced in tests
	quotas         *quotas
	requestCredit  func(ctx context.Context, addr string, r allocationRequest) ([]quota.Grant, error)      // requests credit from a quota allocator; replaced in tests
	fetchDemand    func(ctx context.Context, addr string, r demandRequest) (map[string]quota.Usage, error) // fetches the demand of another region from its allocator; replaced in tests
	snapshotCache  *snapshotCache
	policyBucket   *byteBucket   // limits the policies that this box sends to others
	fetchingPolicy atomic.Bool   // a policy is being fetched from another box; its setter owns policySources
	policySources  policySources // sources of a missing policy
	ownReadTimer   ownReadTimer  // when to read a missing policy from the platform; owned by the heartbeat task

	wakeTimer      *time.Timer   // dispatches waiting requests at wakeAt; owned by the actor
	wakeAt         time.Duration // 0 for none; owned by the actor
	tasks          sync.WaitGroup
	reloadRequests chan struct{} // signals a reload of the settings
	bounds         Bounds        // in force; owned by the reload task
	reloadFailed   bool          // the last reload failed; owned by the reload task
	shedder        sched.Shedder
	watchLatency   func(ctx context.Context, report func(latency time.Duration))
	suspended      time.Duration // of the machine, as last recorded; owned by the heartbeat task
	misdirectedIDs chan string   // ids of replicas whose addresses other replicas have
	stop           chan struct{} // closed when a planned stop begins
	stopOnce       sync.Once     // guards the start of a planned stop
}

// Option configures a Node.
type Option func(*Node)

// WithOutput sets the output of the decision log.
func WithOutput(w io.Writer) Option {
	return func(n *Node) { n.log = decision.New(n.settings.Box, w) }
}

// WithBoxDial sets the function that connects to boxes to which requests are forwarded.
func WithBoxDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(n *Node) { n.dialBox = dial }
}

// WithLatencyWatch sets a function that reports the scheduling latency of the process at intervals. While that
// is too long, the box refuses a part of the requests. Without it, it refuses none for this.
func WithLatencyWatch(watch func(ctx context.Context, report func(latency time.Duration))) Option {
	return func(n *Node) { n.watchLatency = watch }
}

// New returns a box with open listeners.
func New(s Settings, a Adapter, opts ...Option) (*Node, error) {
	n := &Node{
		settings:       s,
		adapter:        a,
		incarnation:    int(time.Now().UnixMilli()),
		started:        clock.Now(),
		stop:           make(chan struct{}),
		reloadRequests: make(chan struct{}, 1),
		misdirectedIDs: make(chan string, maxMisdirected),
		bounds:         s.Bounds,
		dialBox:        exchange.NewDialer().DialContext,
		draw:           rand.IntN,
		jitter:         rand.Float64,
		watchLatency:   func(context.Context, func(time.Duration)) {},

		deltas:        catalog.NewDeltas(),
		snapshotCache: newSnapshotCache(),
		policyBucket:  newByteBucket(policyRate, policyBurst),
	}
	n.quotas = n.newQuotas()
	n.lastRead.Store(-int64(neverReadAge))
	n.isReader.Store(true) // until there are records of other boxes
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
		meter.WithLimitedReplicas(n.limitedReplicas),
		meter.WithLeavingReplicas(n.leavingReplicas),
		meter.WithDeferringReplicas(n.deferringReplicas),
		meter.WithLeaseAge(n.leaseAge),
	)
	limitMemory(s.MemoryMB)
	return n, n.listeners.open(s)
}

// limitMemory sets the collector's limits for a process that is killed above mb megabytes.
func limitMemory(mb int) {
	debug.SetGCPercent(heapGrowthPercent)
	if mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * memoryLimitPercent / 100)
	}
}

func (n *Node) now() time.Duration { return clock.Since(n.started) }

// Run runs the box until ctx is done or a planned stop is complete.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	logging, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		_ = n.log.Run(logging) // it fails only when the output does, and there is no other place to report it
	}()
	n.build(ctx, cancel)
	n.record(decision.Event{
		Kind:   decision.Start,
		Reason: "listening",
		Detail: n.settings.CallerAddr,
	})
	n.runGossip(ctx) // before the feed, whose first update is sent to other boxes
	n.tasks.Go(func() { n.feed.Run(ctx) })
	n.tasks.Go(func() { n.watchLatency(ctx, n.shedder.Adjust) })
	n.runReload(ctx)
	n.runIdentity(ctx)
	n.runUsageReports(ctx)
	n.serve(ctx, cancel)
	<-ctx.Done()
	n.tasks.Wait()
	n.replicaPool.Close()
	n.boxPool.Close()
	n.storePool.Close()
	n.record(decision.Event{
		Kind:   decision.Stop,
		Reason: context.Cause(ctx).Error(),
	})
	stopLogging()
	<-logged
	return ending.Cause(ctx)
}

// build creates the state, the connection pools and the feed. A broken invariant ends the box.
func (n *Node) build(ctx context.Context, cancel context.CancelCauseFunc) {
	broken := func(reason any) { cancel(errors.Newf("broken invariant: %v", reason)) }
	n.system = cell.NewSystem(slog.New(slog.DiscardHandler), broken)
	s := newState(n.settings, n.status(), n.now())
	n.served = s.poison.Served()
	n.servedParts = s.poison.ServedParts()
	n.state = cell.New(ctx, n.system, "state", s)
	n.replicaPool = exchange.NewPool(
		exchange.WithIdleTime(replicaIdleTimeout),
		exchange.WithBusyUserTimeout(busyTimeout),
		exchange.WithOnDial(func(string) { n.meter.Dial() }),
	)
	n.boxPool = exchange.NewPool(
		exchange.WithIdleTime(boxIdleTimeout),
		exchange.WithDial(n.dialBox),
	)
	n.storePool = exchange.NewPool()
	dialer := exchange.NewDialer()
	dialer.Timeout = peerDialTimeout
	n.peers = peer.NewPool(ctx, dialer.DialContext, func(peer.Method, int) {})
	n.bulkPeers = peer.NewPool(ctx, dialer.DialContext, func(peer.Method, int) {})
	n.fetchChanges = n.callCatalog
	n.fetchPolicy = n.callPolicy
	n.fetchProof = n.callProof
	n.requestCredit = n.callAllocator
	n.fetchDemand = n.callDemand
	n.sendPacket = func(p roster.Packet) { _ = n.links[0].SendPacket(p) } // a lost datagram is superseded by the next one
	n.feed = n.newFeed(n.adapter.Source(n.storePool, SourceEvents{
		Call:         n.meter.StoreCall,
		Invalid:      n.recordBadValue,
		UnknownEntry: n.recordForeignEntry,
		Restored:     n.recordRestored,
	}))
}

func (n *Node) newFeed(source catalog.Source) *catalog.Feed {
	return catalog.NewFeed(source, n.applyUpdate,
		catalog.WithHealth(n.recordStoreHealth),
		catalog.WithConfirmed(func(at time.Time) { n.confirmAt(at.Sub(n.started)) }),
		catalog.WithReader(n.isReader.Load),
		catalog.WithFollowing(n.isFollower.Load, n.catalogAge),
		catalog.WithConfirming(n.confirmsPolicy, n.recordProof),
		catalog.WithReadGate(n.awaitInitialRead),
		catalog.WithRefresh(n.refresh),
		catalog.WithJitter(n.jitter))
}

// status returns the constant part of this box's status.
func (n *Node) status() wire.BoxStatus {
	return wire.BoxStatus{
		Box:     n.settings.Box,
		Inc:     n.incarnation,
		Region:  n.settings.Region,
		Domain:  n.settings.Domain,
		Callers: n.settings.CallerAddr,
		Peers:   n.peerAddr(),
		Forward: n.forwardAddr(),
	}
}

// forwardAddr returns the address at which other boxes forward requests.
func (n *Node) forwardAddr() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.Ports[0]))
}

// peerAddr returns the address for datagrams and connections of other boxes.
func (n *Node) peerAddr() string {
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.Ports[1]))
}

// boxesAlive returns the number of other boxes that are considered alive. It must not be
// called before Run.
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

// sharingBoxes returns the number of boxes that share the quotas of the region. It must
// not be called before Run.
func (n *Node) sharingBoxes() (sharing int) {
	_ = n.state.Do(func(s *state) { sharing = len(s.sharers(n.now())) }) // it fails only when the box has ended
	return sharing
}

func (n *Node) record(e decision.Event) { n.log.Record(e) }

func (n *Node) ingress(ctx context.Context) *ingress.Server {
	return ingress.New(n.settings.Box, n.settings.Region, n.adapter.Codec, n.core(ctx), n.replicaPool, n.boxPool)
}
