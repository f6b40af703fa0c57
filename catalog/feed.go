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

// ErrHistoryGone says that the publisher no longer knows what changed since a
// revision, so that all must be read again.
var ErrHistoryGone = errors.New("catalog: history gone")

// ErrTold says that another box told all that a reading would have brought.
var ErrTold = errors.New("catalog: told by another box")

const (
	watchTimeout       = 10 * time.Second       // one waiting call; each call has a price, and a new one costs no more than that
	rereadInterval     = 2 * time.Second        // a watch may stay silent while changes are made; half of the shortest bound on configurations
	firstBackOff       = 50 * time.Millisecond  // after a failed call
	maxBackOff         = 600 * time.Millisecond // so that a publisher that is back is used within a second
	recoveryWindow     = 2 * time.Second        // entries that lapsed while the publisher was away are back within this time
	followPollInterval = 200 * time.Millisecond // between two looks whether it still follows
	neverRead          = math.MaxInt64          // the age of what was never read, in nanoseconds
)

// Source is where the catalog is read. Read returns all of it. Wait returns what
// changed after a revision, and up to which one, as soon as there is any or after
// a time; it fails with ErrHistoryGone where that is no longer known. Newest, which
// may be nil, returns the newest revision alone. Keep, which may be nil, is called so
// often that the source can go on to tell Read that something large hasn't changed.
// Confirm, which may be nil, returns the policy and the evacuations alone. First, which
// may be nil, is Read for a box that knows nothing; where that takes many calls, it asks
// goOn between them whether to go on, and returns what was read beside what that fails with.
type Source struct {
	Read   func(ctx context.Context) (Snapshot, error)
	First  func(ctx context.Context, goOn func(read Snapshot) error) (Snapshot, error)
	Wait   func(ctx context.Context, after int64, wait time.Duration) ([]Change, int64, error)
	Newest func(ctx context.Context) (int64, error)
	Keep   func(ctx context.Context) error

	Confirm func(ctx context.Context) (Snapshot, error)
}

// Update is what a feed hands on: a whole snapshot or changes up to a revision.
type Update struct {
	Snapshot *Snapshot
	Changes  []Change
	Doubts   []Doubt // of another box that tells this
	Policy   int     // version of a policy that exists, 0 for none heard of
	Revision int64
	Settled  bool          // false while entries may be missing because the publisher was away
	Settles  time.Duration // until that is over, where it is known
}

// PolicyUpdate returns a policy alone as an update.
func PolicyUpdate(p *Policy) Update {
	return Update{
		Changes: []Change{{
			Policy: p,
		}},
		Settled: true,
	}
}

// doubtFor returns how long what is missing in an update is not believed to be gone.
func (u Update) unconfirmedTimeout() time.Duration { return cmp.Or(u.Settles, unconfirmedTimeout) }

// Feed keeps a copy of the catalog current from a source.
type Feed struct {
	source      Source
	update      func(Update)
	health      func(err error)
	now         func() time.Time
	jitter      func() float64
	interval    time.Duration
	isReader    func() bool // this box reads again on behalf of others
	isFollower  func() bool // other boxes watch on behalf of this one
	mustConfirm func() bool // this box has to know that the policy is the newest
	onConfirmed func(version int, at time.Time)
	readGate    func(ctx context.Context, took time.Duration, first bool) error
	refresh     func(ctx context.Context) // asks another box for what this one knows too old
	age         func() time.Duration      // of what this box knows, by what others say
	behind      chan struct{}             // another box knows more
	wanted      atomic.Int64              // the revision that it knows
	delivered   atomic.Int64              // the newest that was handed on
	replicas    atomic.Int64              // that were read last
	resume      chan int64                // revisions read, from which the watch goes on
	rereadNow   chan struct{}             // asks for all to be read at once
	forceFull   atomic.Bool               // also where that takes many calls and only what changed would do

	mu          sync.Mutex
	unavailable bool      // the last reading failed; a watch may also end for other reasons
	failedAt    time.Time // when it did
	settled     time.Time // until then entries may come back that lapsed

	confirmation confirmation // the last answer about the policy

	burst       float64   // calls of the watch that may follow each other at once; the task that watches owns it
	lastChanges time.Time // when a watch brought changes last; the same
}

// FeedOption changes a Feed.
type FeedOption func(*Feed)

// WithHealth sets what is told of the result of each call; nil is success.
func WithHealth(f func(err error)) FeedOption { return func(d *Feed) { d.health = f } }

// WithJitter sets the source of jitter, from 0 up to 1.
func WithJitter(f func() float64) FeedOption { return func(d *Feed) { d.jitter = f } }

// WithReread sets how often all is read again beside the watch.
func WithReread(interval time.Duration) FeedOption { return func(d *Feed) { d.interval = interval } }

// WithReader sets what says whether this box reads again on behalf of others.
// One that doesn't relies on Behind, and reads again more rarely.
func WithReader(f func() bool) FeedOption { return func(d *Feed) { d.isReader = f } }

// WithFollowing sets what says whether other boxes watch on behalf of this one, and
// how old what it knows is by their word. It reads only when that gets too old.
func WithFollowing(isFollower func() bool, age func() time.Duration) FeedOption {
	return func(d *Feed) {
		d.isFollower = isFollower
		d.age = age
	}
}

// WithTurn sets what a first reading of many calls waits for after the first ones, which took
// a time, and asks between the later ones. It fails with ErrTold once another box told all.
func WithTurn(f func(ctx context.Context, took time.Duration, first bool) error) FeedOption {
	return func(d *Feed) { d.readGate = f }
}

// WithRefresh sets what asks a box that reads for others, where this one follows and what it
// knows of many replicas is about to be too old.
func WithRefresh(f func(ctx context.Context)) FeedOption { return func(d *Feed) { d.refresh = f } }

// NewFeed returns a feed that hands what it reads to update.
func NewFeed(source Source, update func(Update), opts ...FeedOption) *Feed {
	d := &Feed{
		source:     source,
		update:     update,
		health:     func(error) {},
		now:        clock.Now,
		jitter:     func() float64 { return 0.5 },
		interval:   rereadInterval,
		isReader:   func() bool { return true },
		isFollower: func() bool { return false },

		mustConfirm: func() bool { return false },
		onConfirmed: func(int, time.Time) {},

		readGate:  func(context.Context, time.Duration, bool) error { return nil },
		refresh:   func(context.Context) {},
		age:       func() time.Duration { return neverRead },
		behind:    make(chan struct{}, 1),
		resume:    make(chan int64, 1),
		rereadNow: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Behind tells the feed that another box knows a revision.
func (d *Feed) Behind(revision int64) {
	if revision <= d.delivered.Load() {
		return
	}
	d.wanted.Store(revision)
	select {
	case d.behind <- struct{}{}:
	default: // it is told already
	}
}

// Learned takes in a revision up to which another box told what changed, and how many
// replicas there are.
func (d *Feed) Learned(revision int64, replicas int) {
	d.recordDelivered(revision)
	d.replicas.Store(int64(replicas))
}

// learned takes in a revision that was handed on.
func (d *Feed) recordDelivered(revision int64) { d.delivered.Store(max(d.delivered.Load(), revision)) }

// Reread has all read at once, as when a policy that others have heard of can be had
// from none of them.
func (d *Feed) Reread() {
	d.forceFull.Store(true)
	d.requestReread()
}

// Known returns the newest revision that was handed on.
func (d *Feed) Known() int64 { return d.delivered.Load() }

// Run reads until ctx ends: a watch, and beside it all again every so often,
// because a watch that hears nothing looks like one with no news.
func (d *Feed) Run(ctx context.Context) {
	var watching sync.WaitGroup
	watching.Go(func() { d.watch(ctx) })
	defer watching.Wait()
	if d.source.Keep != nil {
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

// listed returns how many replicas there were when that was known last.
func (d *Feed) replicaCount() int { return int(d.replicas.Load()) }

// read reads all and hands it on, unless another box told it meanwhile. It returns whether
// what is missing is gone.
func (d *Feed) read(ctx context.Context) (settled bool, err error) {
	s, err := d.readOnce(ctx)
	if errors.Is(err, ErrTold) {
		d.reportFreshness(s)
		if !d.isCurrent(ctx) { // what it read was the newest when it began to wait
			d.Behind(s.Revision)
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
		Snapshot: &s,
		Revision: s.Revision,
	})
	d.reportFreshness(s)
	d.resumeWatch(s.Revision)
	return settled, nil
}

// readOnce reads all. A box that knows nothing hands the policy on as soon as it has it, and
// leaves the rest to others where that takes many calls.
func (d *Feed) readOnce(ctx context.Context) (Snapshot, error) {
	if d.source.First == nil || d.delivered.Load() > 0 {
		return d.source.Read(ctx)
	}
	first := true
	began := d.now()
	return d.source.First(ctx, func(read Snapshot) error {
		if first && read.Policy != nil {
			d.update(PolicyUpdate(read.Policy))
		}
		asks := first
		first = false
		return d.readGate(ctx, d.now().Sub(began), asks)
	})
}

// hand hands on what was read. It returns whether what is missing in it is gone.
func (d *Feed) deliver(u Update) (settled bool) {
	u.Settled, u.Settles = d.isSettled()
	d.recordDelivered(u.Revision) // a lower one written at the same time only makes for one more call
	d.update(u)
	return u.Settled
}

// offer leaves a revision for the watch to go on from, in place of an older one.
func (d *Feed) resumeWatch(revision int64) {
	select {
	case <-d.resume:
	default: // the watch took it
	}
	d.resume <- revision // there is room, for nobody else puts any in
}

// readFailed takes in that all could not be read.
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

// succeeded takes in that all was read.
func (d *Feed) readSucceeded() {
	d.checkRecovery()
	d.mu.Lock()
	if d.unavailable {
		d.markRecovered(d.now())
	}
	d.mu.Unlock()
	d.health(nil)
}

// witness takes in that the publisher has answered another box since it failed to
// answer this one. Without that a follower that had nothing to read for 17 s after an
// outage took what was missing then for entries that may come back, and sent to a
// replica that was gone for 2 s more.
func (d *Feed) checkRecovery() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at := d.now().Add(-d.age()); d.unavailable && at.After(d.failedAt) {
		d.markRecovered(at)
	}
}

// back takes in that the publisher answered at a time, after a failure.
func (d *Feed) markRecovered(at time.Time) {
	d.unavailable = false
	d.settled = at.Add(recoveryWindow)
}

// isSettled says whether entries that are missing are gone, and otherwise when they
// are.
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

// watch hands on what changes after a revision that was read. After a failure
// all is read at once, and the watch goes on from there; when it keeps failing,
// the time between two of them grows.
func (d *Feed) watch(ctx context.Context) {
	backOff := time.Duration(0)
	for ctx.Err() == nil {
		if d.isFollower() {
			sleep.For(ctx, followPollInterval)
			continue
		}
		select {
		case rev := <-d.resume:
			if d.watchFrom(ctx, rev) {
				backOff = 0
			}
			if !d.isFollower() || d.replicaCount() <= selfReadThreshold { // a follower of more hears of what has changed from others
				d.requestReread()
			}
			sleep.For(ctx, d.jittered(backOff))
			backOff = min(max(2*backOff, firstBackOff), maxBackOff)
		case <-ctx.Done():
		}
	}
}

// readAgain has all read at once.
func (d *Feed) requestReread() {
	select {
	case d.rereadNow <- struct{}{}:
	default: // it is asked for already
	}
}

// gather waits before the next call of a watch where changes come one after the other: a
// few of them are told at once, of more those of gatherFor come together. All replicas that
// begin together made each watcher call a hundred times a second.
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

// watchFrom watches from a revision until a call fails, or other boxes watch on
// behalf of this one. It returns whether any succeeded.
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
				Changes:  changes,
				Revision: rev,
			})
			d.delayNextWatch(ctx)
		}
	}
	return succeeded
}
