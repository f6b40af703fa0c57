// Package box wires the parts of a box together: actors that hold its state,
// the messages between boxes, the front for callers, and what operators see.
package box

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/havenrudder/havenrudder/bundle"
	"github.com/havenrudder/havenrudder/common/cell"
	"github.com/havenrudder/havenrudder/common/ending"
	"github.com/havenrudder/havenrudder/configstore"
	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/gateway"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/queue"
	"github.com/havenrudder/havenrudder/wire"
)

// Listen opens a listener; a seam for tests.
type Listen = func(network, addr string) (net.Listener, error)

// Box is one box of the system.
type Box struct {
	settings  wire.Settings
	log       *logrus.Entry
	inc       int
	started   time.Time
	listen    Listen
	dial      peer.DialFunc
	addrs     Addrs
	listeners [3]net.Listener

	system   *cell.System
	fleet    *cell.Cell[fleet.Fleet]
	bundles  *cell.Cell[bundleState]
	tickets  *cell.Cell[ticketState]
	policy   atomic.Pointer[bundle.Policy] // in force, nil until the box serves
	leaving  atomic.Bool
	leftAt   atomic.Int64 // time from the start to the order to stop, in nanoseconds
	listed   atomic.Bool  // the list of its own failure domain is known
	peers    *peer.Pool
	platform *configstore.Client
	upstream *http.Client
	metrics  *metrics
	watch    *watches
	seq      atomic.Int64             // of heartbeats
	domains  atomic.Pointer[[]string] // failure domains that the bundle names
	tasks    sync.WaitGroup
	ready    chan struct{} // closed when the box serves
	waits    chan struct{} // a request waits for capacity
	once     sync.Once
}

// Addrs are the addresses a box listens on.
type Addrs struct {
	Callers   string
	Peers     string
	Operators string
}

// Option changes a Box.
type Option func(*Box)

// WithLog sets the logger.
func WithLog(log *logrus.Entry) Option { return func(b *Box) { b.log = log } }

// WithNetwork sets how listeners and connections are opened.
func WithNetwork(l Listen, d peer.DialFunc) Option {
	return func(b *Box) {
		b.listen = l
		b.dial = d
	}
}

// New returns a box with its listeners open, so that its addresses are known.
func New(settings wire.Settings, opts ...Option) (*Box, error) {
	dialer := &net.Dialer{
		Timeout: time.Second,
	}
	b := &Box{
		settings: settings,
		log:      logrus.NewEntry(logrus.StandardLogger()),
		inc:      int(time.Now().UnixMilli()),
		started:  time.Now(),
		listen:   net.Listen,
		dial:     dialer.DialContext,
		ready:    make(chan struct{}),
		waits:    make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(b)
	}
	b.log = b.log.WithField("box", settings.Box)
	return b, b.open()
}

func (b *Box) open() error {
	wanted := [3]string{b.settings.Listen.Callers, b.settings.Listen.Peers, b.settings.Listen.Operators}
	for i, addr := range wanted {
		l, err := b.listen("tcp", addr)
		if err != nil {
			b.closeListeners()
			return errors.Wrapf(err, "listen on %s", addr)
		}
		b.listeners[i] = l
	}
	b.addrs = Addrs{
		Callers:   b.listeners[0].Addr().String(),
		Peers:     b.listeners[1].Addr().String(),
		Operators: b.listeners[2].Addr().String(),
	}
	return nil
}

func (b *Box) closeListeners() {
	for _, l := range b.listeners {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Name returns the name of the box.
func (b *Box) Name() string { return b.settings.Box }

// Addrs returns the addresses the box listens on.
func (b *Box) Addrs() Addrs { return b.addrs }

// Ready returns a channel that is closed when the box serves callers.
func (b *Box) Ready() <-chan struct{} { return b.ready }

// InForce returns the version of the bundle that requests see, 0 for none.
func (b *Box) InForce() int {
	if p := b.policy.Load(); p != nil {
		return p.Version()
	}
	return 0
}

// ControlBytes returns the bytes spent for control so far, by kind.
func (b *Box) ControlBytes() (map[string]float64, error) { return b.metrics.controlBytes() }

// now returns the monotonic clock of the box.
func (b *Box) now() time.Duration { return time.Since(b.started) }

// newID returns an id that can't be guessed.
func newID() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:]) // it never fails, as its package says
	return hex.EncodeToString(raw[:])
}

// Run runs the box until ctx ends, at once, or until Stop has finished.
func (b *Box) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	keys, err := bundle.NewKeys(b.settings.Keys)
	if err != nil {
		b.closeListeners()
		return err
	}
	tlsConfig, err := b.loadTLS()
	if err != nil {
		b.closeListeners()
		return err
	}
	b.build(ctx, cancel, keys, tlsConfig)
	b.tasks.Go(func() { b.serveBoxes(ctx, cancel) })
	b.tasks.Go(func() { b.runHeartbeats(ctx) })
	b.tasks.Go(func() { b.runProbes(ctx) })
	b.tasks.Go(func() { b.runWaiting(ctx) })
	b.tasks.Go(func() { b.serveOperators(ctx, cancel, tlsConfig) })
	b.serveCallers(ctx, cancel, tlsConfig)
	<-ctx.Done() // a planned stop still waits for the requests in flight
	b.tasks.Wait()
	b.upstream.CloseIdleConnections()
	return ending.Cause(ctx)
}

func (b *Box) build(ctx context.Context, cancel context.CancelCauseFunc, keys *bundle.Keys, cfg *tls.Config) {
	broken := func(reason any) { cancel(errors.Newf("broken invariant: %v", reason)) }
	b.metrics = newMetrics()
	b.system = cell.NewSystem(actorLogger(ctx, b.log), broken)
	view := fleet.New(b.settings.Box, b.addrs.Callers, b.settings.Region, b.settings.FailureDomain,
		fleet.WithOrder(func() fleet.Order { return queue.New() }))
	b.fleet = cell.New(ctx, b.system, "fleet", view)
	b.bundles = cell.New(ctx, b.system, "bundles", newBundleState(keys))
	b.tickets = cell.New(ctx, b.system, "tickets", newTicketState(b.settings, b.inc))
	b.peers = peer.NewPool(ctx, b.dial, b.metrics.countControl)
	b.upstream = &http.Client{
		Transport: b.transport(false, cfg),
	}
	b.platform = configstore.New(b.settings.Platform.URLs, b.settings.Platform.Prefix,
		configstore.WithHTTP(b.upstream),
		configstore.WithWait(time.Duration(b.settings.Platform.WaitMs)*time.Millisecond),
		configstore.WithReads(b.metrics.countRead))
	b.watch = newWatches(ctx, b)
}

const (
	idlePerUpstream = 64
	maxAnswerHead   = 64 << 10 // bytes of an answer's head; the library's default is 10 MiB
)

// transport returns what carries calls to upstreams, the platform and other
// boxes. Of cfg it takes the authorities alone.
func (b *Box) transport(perCall bool, cfg *tls.Config) *http.Transport {
	var trust *tls.Config
	if cfg != nil {
		trust = &tls.Config{
			RootCAs:    cfg.RootCAs,
			MinVersion: tls.VersionTLS12,
		}
	}
	return &http.Transport{
		TLSClientConfig:        trust,
		DialContext:            b.dial,
		DisableKeepAlives:      perCall,
		DisableCompression:     true, // answers go on as they came
		MaxIdleConnsPerHost:    idlePerUpstream,
		MaxResponseHeaderBytes: maxAnswerHead,
		IdleConnTimeout:        time.Minute,
	}
}

// loadTLS returns the TLS of callers and operators, nil for none.
func (b *Box) loadTLS() (*tls.Config, error) {
	t := b.settings.TLS
	if t == nil {
		return nil, nil
	}
	return loadTLS(*t)
}

// Leave begins a planned stop: the box is no longer named to callers, gives
// out no tickets, closes the unused ones, finishes what is in flight and ends.
func (b *Box) Leave() {
	b.once.Do(func() {
		b.log.Info("leaving")
		b.leftAt.Store(int64(b.now()))
		b.leaving.Store(true)
		_ = b.tickets.Do(func(s *ticketState) { s.owner.CloseUnused() })
		_ = b.fleet.Do((*fleet.Fleet).StopWaiting)
		b.sendHeartbeats(context.Background())
	})
}

// Core returns the seams of the front.
func (b *Box) core() gateway.Core {
	return gateway.Core{
		Policy:       b.policy.Load,
		Leaving:      b.leaving.Load,
		StopDeadline: b.stopDeadline,
		Place:        b.place,
		Await:        b.await,
		Start:        b.start,
		Finish:       b.finish,
		WhichBox:     b.whichBox,
		Away:         b.away,
		RegionLoad:   b.regionLoad,
		LearnLoad:    b.learnLoad,
		Owner:        b.ownerBox,
		Suspected:    b.suspected,
		IssueTicket:  b.issueTicket,
		ClaimTicket:  b.claimTicket,
		FinishTicket: b.finishTicket,
		SealTicket:   b.sealTicket,
		Observe:      b.metrics.observe(),
	}
}
