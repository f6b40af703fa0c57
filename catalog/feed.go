package catalog

import (
	"cmp"
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/common/sleep"
)

// ErrHistoryGone reports that the publisher no longer has the changes since a revision, so
// that a full read is needed.
var ErrHistoryGone = errors.New("catalog: history no longer available")

// ErrReceivedFromPeer reports that another box has sent the full state, so that a read is not
// needed.
var ErrReceivedFromPeer = errors.New("catalog: state sent by another box")

const (
	watchTimeout       = 10 * time.Second       // each call to the publisher has a cost
	rereadInterval     = 2 * time.Second        // a watch may miss changes without an error; half of the shortest bound on configurations
	firstBackOff       = 50 * time.Millisecond  // after a failed call
	maxBackOff         = 600 * time.Millisecond // so that a recovered publisher is used within a second
	recoveryWindow     = 2 * time.Second        // in which expired entries reappear after an outage of the publisher
	followPollInterval = 200 * time.Millisecond
	neverRead          = math.MaxInt64 // age before the first read
)

// Source is where the catalog is read.
//
// Read returns the full state. Wait returns the changes after a revision and the revision that
// they lead to, as soon as there are any or after a time; it fails with ErrHistoryGone if they
// are unknown. The other functions may be nil. Newest returns the newest revision alone.
// KeepAlive is called often enough for the source to recognise at the next Read that a large
// value is unchanged. Confirm returns the policy and the evacuations alone. InitialRead is Read
// for a box without a copy: if it needs many calls, it calls goOn between them, and returns the
// partial state with an error of goOn.
type Source struct {
	Read        func(ctx context.Context) (Snapshot, error)
	InitialRead func(ctx context.Context, goOn func(read Snapshot) error) (Snapshot, error)
	Wait        func(ctx context.Context, after int64, wait time.Duration) ([]Change, int64, error)
	Newest      func(ctx context.Context) (int64, error)
	KeepAlive   func(ctx context.Context) error

	Confirm func(ctx context.Context) (Snapshot, error)
}

// Channel is the way by which an update arrived.
type Channel string

// The channels.
const (
	ByRead  Channel = "read"  // a full read of the publisher
	ByWatch Channel = "watch" // a watch there
	ByCheck Channel = "check" // a read of the policy, or of what a copy lacks, there
	ByBox   Channel = "box"   // another box
)

// Update is what a feed delivers: a full snapshot, or changes up to a revision.
type Update struct {
	Snapshot            *Snapshot
	Changes             []Change
	UnconfirmedRemovals []UnconfirmedRemoval // unconfirmed removals of the box that sent this
	PolicyVersion       int                  // newest recorded version of a policy; 0 for none
	Revision            int64
	Settled             bool          // false while entries may be missing after an outage of the publisher
	SettlesIn           time.Duration // remaining time until settled, if known
	Channel             Channel
}

// PolicyUpdate returns an update with a policy alone.
func PolicyUpdate(p *Policy, by Channel) Update {
	return Update{
		Channel: by,
		Changes: []Change{{
			Policy: p,
		}},
		Settled: true,
	}
}

func (u Update) unconfirmedTimeout() time.Duration { return cmp.Or(u.SettlesIn, unconfirmedTimeout) }

// Feed keeps a copy of the catalog up to date from a source.
type Feed struct {
	source      Source
	update      func(Update)
	health      func(err error)
	confirmed   func(at time.Time)
	now         func() time.Time
	jitter      func() float64
	interval    time.Duration
	isReader    func() bool // this box rereads on behalf of others
	isFollower  func() bool // other boxes watch on behalf of this one
	mustConfirm func() bool // this box needs to confirm that its policy is the newest
	onConfirmed func(version int, at time.Time)
	readGate    func(ctx context.Context, took time.Duration, first bool) error
	refresh     func(ctx context.Context) // requests changes from another box before the copy is stale
	age         func() time.Duration      // of the copy, as other boxes report it
	behind      chan struct{}             // signals that another box has a newer revision
	wanted      atomic.Int64              // newest revision of another box
	delivered   atomic.Int64              // newest revision delivered
	replicas    atomic.Int64              // number at the last read
	at          chan int64                // revisions from which the watch resumes
	rereadNow   chan struct{}             // requests a full read
	syncWanted  chan struct{}             // requests pendingSync
	forceFull   atomic.Bool               // forces a full read even of a large catalog

	mu          sync.Mutex
	unavailable bool      // the last full read failed
	failedAt    time.Time // time of that failure
	settled     time.Time // time until which expired entries may reappear
	pendingSync *syncRead // nil if none is requested

	confirmation confirmation

	burst       float64   // calls left without a delay; owned by the watching goroutine
	lastChanges time.Time // time of the last changes from the watch; owned by the same
}

// FeedOption configures a Feed.
type FeedOption func(*Feed)

// WithHealth sets a function that receives the result of each call; nil is success.
func WithHealth(f func(err error)) FeedOption { return func(d *Feed) { d.health = f } }

// WithConfirmed sets a function that receives times at which the copy is known to have had the newest
// revision: those at which the calls that showed it began.
func WithConfirmed(f func(at time.Time)) FeedOption { return func(d *Feed) { d.confirmed = f } }

// WithJitter sets the source of jitter, from 0 up to 1.
func WithJitter(f func() float64) FeedOption { return func(d *Feed) { d.jitter = f } }

// WithReread sets the interval of full reads beside the watch.
func WithReread(interval time.Duration) FeedOption { return func(d *Feed) { d.interval = interval } }

// WithReader sets a function that reports whether this box rereads on behalf of others. Other
// boxes rely on NotifyRevision and reread less often.
func WithReader(f func() bool) FeedOption { return func(d *Feed) { d.isReader = f } }

// WithFollowing sets functions that report whether other boxes watch on behalf of this one,
// and the age of its copy. A follower reads only when that age is too high.
func WithFollowing(isFollower func() bool, age func() time.Duration) FeedOption {
	return func(d *Feed) {
		d.isFollower = isFollower
		d.age = age
	}
}

// WithReadGate sets a function that an initial read of many calls waits for after its first
// calls, with their duration, and calls again between the later ones. It fails with
// ErrReceivedFromPeer once another box has sent the full state.
func WithReadGate(f func(ctx context.Context, took time.Duration, first bool) error) FeedOption {
	return func(d *Feed) { d.readGate = f }
}

// WithRefresh sets a function that requests changes from a reading box when a follower's large
// copy is about to be stale.
func WithRefresh(f func(ctx context.Context)) FeedOption { return func(d *Feed) { d.refresh = f } }

// NewFeed returns a feed that delivers to update.
func NewFeed(source Source, update func(Update), opts ...FeedOption) *Feed {
	d := &Feed{
		source:     source,
		update:     update,
		health:     func(error) {},
		confirmed:  func(time.Time) {},
		now:        clock.Now,
		jitter:     func() float64 { return 0.5 },
		interval:   rereadInterval,
		isReader:   func() bool { return true },
		isFollower: func() bool { return false },

		mustConfirm: func() bool { return false },
		onConfirmed: func(int, time.Time) {},

		readGate:   func(context.Context, time.Duration, bool) error { return nil },
		refresh:    func(context.Context) {},
		age:        func() time.Duration { return neverRead },
		behind:     make(chan struct{}, 1),
		at:         make(chan int64, 1),
		rereadNow:  make(chan struct{}, 1),
		syncWanted: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// NotifyRevision notifies the feed that another box has a revision.
func (d *Feed) NotifyRevision(revision int64) {
	if revision <= d.delivered.Load() {
		return
	}
	d.wanted.Store(revision)
	select {
	case d.behind <- struct{}{}:
	default: // already notified
	}
}

// RecordRevision records the revision up to which another box sent changes, and the number of
// replicas.
func (d *Feed) RecordRevision(revision int64, replicas int) {
	d.recordDelivered(revision)
	d.replicas.Store(int64(replicas))
}

func (d *Feed) recordDelivered(revision int64) { d.delivered.Store(max(d.delivered.Load(), revision)) }

// Reread requests a full read, for example if no other box can send a newer policy.
func (d *Feed) Reread() {
	d.forceFull.Store(true)
	d.requestReread()
}

// Revision returns the newest delivered revision.
func (d *Feed) Revision() int64 { return d.delivered.Load() }

// Run watches the source until ctx ends, and makes a full read at intervals, as a watch may
// miss changes without an error.
func (d *Feed) Run(ctx context.Context) {
	var watching sync.WaitGroup
	watching.Go(func() { d.watch(ctx) })
	watching.Go(func() { d.sync(ctx) })
	defer watching.Wait()
	if d.source.KeepAlive != nil {
		watching.Go(func() { d.keepAlive(ctx) })
	}
	if d.source.Confirm != nil {
		watching.Go(func() { d.confirm(ctx) })
	}
	backOff := firstBackOff
	for ctx.Err() == nil {
		settled, err := d.read(ctx)
		if err != nil {
			d.readFailed(ctx, err)
			d.waitAfterFailure(ctx, backOff)
			backOff = min(2*backOff, maxBackOff)
			continue
		}
		backOff = firstBackOff
		d.waitUntilDue(ctx, settled)
	}
}

func (d *Feed) replicaCount() int { return int(d.replicas.Load()) }

// read makes a full read and delivers it, unless another box has sent the state meanwhile. It
// returns whether missing entries are known to be removed.
func (d *Feed) read(ctx context.Context) (settled bool, err error) {
	began := d.now()
	s, err := d.readOnce(ctx)
	if errors.Is(err, ErrReceivedFromPeer) {
		d.reportFreshness(s)
		if !d.isCurrent(ctx) { // the revision read may be outdated after the wait
			d.NotifyRevision(s.Revision)
		}
		d.resumeWatch(d.delivered.Load())
		return true, nil
	}
	if err != nil {
		return false, err
	}
	d.readSucceeded()
	d.replicas.Store(int64(len(s.Replicas)))
	settled = d.deliver(Update{
		Channel:  ByRead,
		Snapshot: &s,
		Revision: s.Revision,
	})
	d.confirmed(began)
	d.reportFreshness(s)
	d.resumeWatch(s.Revision)
	return settled, nil
}

// readOnce makes a full read. The initial one delivers the policy at once, and stops if
// another box sends the rest.
func (d *Feed) readOnce(ctx context.Context) (Snapshot, error) {
	if d.source.InitialRead == nil || d.delivered.Load() > 0 {
		return d.source.Read(ctx)
	}
	first := true
	began := d.now()
	return d.source.InitialRead(ctx, func(read Snapshot) error {
		if first && read.Policy != nil {
			d.update(PolicyUpdate(read.Policy, ByRead))
		}
		isFirstCall := first
		first = false
		return d.readGate(ctx, d.now().Sub(began), isFirstCall)
	})
}

// deliver passes an update on. It returns whether missing entries are known to be removed.
func (d *Feed) deliver(u Update) (settled bool) {
	u.Settled, u.SettlesIn = d.isSettled()
	d.update(u)
	d.recordDelivered(u.Revision) // not before, as it counts as applied
	return u.Settled
}

// resumeWatch sets the revision from which the watch resumes, in place of an older one.
func (d *Feed) resumeWatch(revision int64) {
	select {
	case <-d.at:
	default: // the watch took it
	}
	d.at <- revision // doesn't block: this is the only sender
}

func (d *Feed) readFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	d.unavailable = true
	d.failedAt = d.now()
	d.mu.Unlock()
	d.health(err)
}

func (d *Feed) readSucceeded() {
	d.checkRecovery()
	d.mu.Lock()
	if d.unavailable {
		d.markRecovered(d.now())
	}
	d.mu.Unlock()
	d.health(nil)
}

// checkRecovery records that the publisher has answered another box since it failed to answer
// this one. Otherwise a follower, which reads rarely, would keep removed replicas as
// unconfirmed long after the outage.
func (d *Feed) checkRecovery() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at := d.now().Add(-d.age()); d.unavailable && at.After(d.failedAt) {
		d.markRecovered(at)
	}
}

func (d *Feed) markRecovered(at time.Time) {
	d.unavailable = false
	d.settled = at.Add(recoveryWindow)
}

// isSettled reports whether missing entries are known to be removed, and otherwise the time
// until they are.
func (d *Feed) isSettled() (settled bool, left time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.unavailable {
		return false, unconfirmedTimeout
	}
	left = d.settled.Sub(d.now())
	if left <= 0 {
		return true, 0
	}
	return false, left + recoverySlack
}

// watch delivers the changes after each full read. After a failure it requests a full read and
// resumes from there, with a growing back-off.
func (d *Feed) watch(ctx context.Context) {
	backOff := time.Duration(0)
	for ctx.Err() == nil {
		if d.isFollower() {
			sleep.For(ctx, followPollInterval)
			continue
		}
		select {
		case rev := <-d.at:
			if d.watchFrom(ctx, rev) {
				backOff = 0
			}
			if !d.isFollower() || d.replicaCount() <= selfReadThreshold { // a large follower receives changes from peers
				d.requestReread()
			}
			sleep.For(ctx, d.jittered(backOff))
			backOff = min(max(2*backOff, firstBackOff), maxBackOff)
		case <-ctx.Done():
		}
	}
}

func (d *Feed) requestReread() {
	select {
	case d.rereadNow <- struct{}{}:
	default: // already requested
	}
}

// delayNextWatch delays the next call of a watch while changes arrive in quick succession. It
// allows a burst of calls, then batches the changes of batchInterval, to bound the rate of
// calls.
func (d *Feed) delayNextWatch(ctx context.Context) {
	now := d.now()
	d.burst = min(d.burst+float64(now.Sub(d.lastChanges))/float64(batchInterval), maxBurst)
	d.lastChanges = now
	if d.burst >= 1 {
		d.burst--
		return
	}
	sleep.For(ctx, batchInterval)
}

// watchFrom watches from a revision until a call fails or this box becomes a follower. It
// returns whether any call succeeded.
func (d *Feed) watchFrom(ctx context.Context, at int64) (succeeded bool) {
	for ctx.Err() == nil && !d.isFollower() {
		changes, rev, err := d.source.Wait(ctx, at, watchTimeout)
		if err != nil {
			if !errors.Is(err, ErrHistoryGone) && ctx.Err() == nil {
				d.health(err)
			}
			return succeeded
		}
		succeeded = true
		at = max(at, rev)
		if len(changes) > 0 {
			d.deliver(Update{
				Channel:  ByWatch,
				Changes:  changes,
				Revision: rev,
			})
			d.delayNextWatch(ctx)
		}
	}
	return succeeded
}
