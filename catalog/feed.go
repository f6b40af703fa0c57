package catalog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/sleep"
)

// ErrHistoryGone says that the publisher no longer knows what changed since a
// revision, so that all must be read again.
var ErrHistoryGone = errors.New("catalog: history gone")

const (
	watchFor     = 10 * time.Second        // one waiting call; each call has a price, and a new one costs no more than that
	rereadEvery  = 2 * time.Second         // a watch may stay silent while changes are made; half of the shortest bound on configurations
	rereadOthers = 3                       // times as long where other boxes read again too, and say when they know more
	behindWait   = 300 * time.Millisecond  // that a watch may lag behind what another box knows
	firstBackOff = 50 * time.Millisecond   // after a failed call
	maxBackOff   = 600 * time.Millisecond  // so that a publisher that is back is used within a second
	lapseWait    = 2 * time.Second         // entries that lapsed while the publisher was away are back within this time
	staleAfter   = 3600 * time.Millisecond // that a follower's knowledge may be old, 2.7 to 4.5 s: less than the bound on configurations, 5 s where there are followers, and more than a reading of others and the spread of their word take
	followRead   = 20 * time.Second        // between two readings of a follower whatever it hears, for what others' word may lack
	followLook   = 200 * time.Millisecond  // between two looks whether it still follows
	followRetry  = 2 * time.Second         // after a failed call of a follower: all followers fail at the same time, and calls have a price
	wholeUpTo    = 64                      // replicas up to which all is read again each time: some 20 KB, and no call more
	replicaEvery = time.Second             // between two readings of all for each replica beyond that: they take some 350 bytes a second then, whatever the size
)

// Source is where the catalog is read. Read returns all of it. Wait returns what
// changed after a revision, and up to which one, as soon as there is any or after
// a time; it fails with ErrHistoryGone where that is no longer known. Newest, which
// may be nil, returns the newest revision alone.
type Source struct {
	Read   func(ctx context.Context) (Snapshot, error)
	Wait   func(ctx context.Context, after int64, wait time.Duration) ([]Change, int64, error)
	Newest func(ctx context.Context) (int64, error)
}

// Update is what a feed hands on: a whole snapshot or changes up to a revision.
type Update struct {
	Snapshot *Snapshot
	Changes  []Change
	Revision int64
	Settled  bool // false while entries may be missing because the publisher was away
}

// Feed keeps a copy of the catalog current from a source.
type Feed struct {
	source Source
	update func(Update)
	health func(err error)
	now    func() time.Time
	jitter func() float64
	every  time.Duration
	reader func() bool          // this box reads again on behalf of others
	follow func() bool          // other boxes watch on behalf of this one
	age    func() time.Duration // of what this box knows, by what others say
	behind chan struct{}        // another box knows more
	wanted atomic.Int64         // the revision that it knows
	known  atomic.Int64         // the newest that was handed on
	at     chan int64           // revisions read, from which the watch goes on
	again  chan struct{}        // asks for all to be read at once

	mu      sync.Mutex
	away    bool      // the last reading failed; a watch may also end for other reasons
	settled time.Time // until then entries may come back that lapsed
}

// FeedOption changes a Feed.
type FeedOption func(*Feed)

// WithHealth sets what is told of the result of each call; nil is success.
func WithHealth(f func(err error)) FeedOption { return func(d *Feed) { d.health = f } }

// WithJitter sets the source of jitter, from 0 up to 1.
func WithJitter(f func() float64) FeedOption { return func(d *Feed) { d.jitter = f } }

// WithReread sets how often all is read again beside the watch.
func WithReread(every time.Duration) FeedOption { return func(d *Feed) { d.every = every } }

// WithReader sets what says whether this box reads again on behalf of others.
// One that doesn't relies on Behind, and reads again more rarely.
func WithReader(f func() bool) FeedOption { return func(d *Feed) { d.reader = f } }

// WithFollowing sets what says whether other boxes watch on behalf of this one, and
// how old what it knows is by their word. It reads only when that gets too old.
func WithFollowing(follow func() bool, age func() time.Duration) FeedOption {
	return func(d *Feed) {
		d.follow = follow
		d.age = age
	}
}

// NewFeed returns a feed that hands what it reads to update.
func NewFeed(source Source, update func(Update), opts ...FeedOption) *Feed {
	d := &Feed{
		source: source,
		update: update,
		health: func(error) {},
		now:    time.Now,
		jitter: func() float64 { return 0.5 },
		every:  rereadEvery,
		reader: func() bool { return true },
		follow: func() bool { return false },
		age:    func() time.Duration { return 0 },
		behind: make(chan struct{}, 1),
		at:     make(chan int64, 1),
		again:  make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Behind tells the feed that another box knows a revision.
func (d *Feed) Behind(revision int64) {
	if revision <= d.known.Load() {
		return
	}
	d.wanted.Store(revision)
	select {
	case d.behind <- struct{}{}:
	default: // it is told already
	}
}

// Learned takes in a revision up to which another box told what changed.
func (d *Feed) Learned(revision int64) { d.known.Store(max(d.known.Load(), revision)) }

// Known returns the newest revision that was handed on.
func (d *Feed) Known() int64 { return d.known.Load() }

// Run reads until ctx ends: a watch, and beside it all again every so often,
// because a watch that hears nothing looks like one with no news.
func (d *Feed) Run(ctx context.Context) {
	var watching sync.WaitGroup
	watching.Go(func() { d.watch(ctx) })
	defer watching.Wait()
	backOff := firstBackOff
	for ctx.Err() == nil {
		s, err := d.source.Read(ctx)
		if err != nil {
			d.failed(ctx, err)
			d.restAfter(ctx, backOff)
			backOff = min(2*backOff, maxBackOff)
			continue
		}
		backOff = firstBackOff
		d.succeeded()
		settled := d.isSettled()
		d.hand(Update{
			Snapshot: &s,
			Revision: s.Revision,
			Settled:  settled,
		})
		d.offer(s.Revision)
		if d.follow() {
			d.restFollowing(ctx, len(s.Replicas))
		} else {
			d.restLong(ctx, len(s.Replicas), settled)
		}
	}
}

// restAfter waits after a failed call. A follower may hear meanwhile from a box that
// can read.
func (d *Feed) restAfter(ctx context.Context, backOff time.Duration) {
	if !d.follow() {
		sleep.For(ctx, d.spread(backOff))
		return
	}
	sleep.For(ctx, d.spread(followRetry))
	d.restFollowing(ctx, 0)
}

// restFollowing waits until a follower has to read so many replicas: it no longer
// follows, it can't get what another box knows, what it knows is too old, or a time is
// over. While entries may still come back it waits for no longer than that.
func (d *Feed) restFollowing(ctx context.Context, replicas int) {
	limit := d.spread(staleAfter)
	end := d.now().Add(d.longest(replicas))
	look := time.NewTicker(followLook)
	defer look.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-d.behind:
			return
		case <-look.C:
		}
		if !d.follow() || !d.now().Before(end) {
			return
		}
		if d.age() < limit {
			continue
		}
		if !d.large(replicas) || !d.isCurrent(ctx) {
			return
		}
		limit = d.spread(staleAfter)
	}
}

// longest returns how long a follower of so many replicas goes without reading.
func (d *Feed) longest(replicas int) time.Duration {
	out := followRead
	if d.large(replicas) {
		out = max(out, time.Duration(replicas)*replicaEvery)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if left := d.settled.Sub(d.now()); left > 0 {
		out = min(out, left+firstBackOff)
	}
	return out
}

// large says whether it is worth a call to find out that nothing has changed, in
// place of reading so many replicas.
func (d *Feed) large(replicas int) bool { return d.source.Newest != nil && replicas > wholeUpTo }

// isCurrent asks for the newest revision and says whether it is known here.
func (d *Feed) isCurrent(ctx context.Context) bool {
	rev, err := d.source.Newest(ctx)
	if err != nil {
		return false // reading all fails as well, and is what tells of it
	}
	if rev > d.known.Load() {
		sleep.For(ctx, behindWait) // the watch, or another box, may be about to bring it
	}
	if rev > d.known.Load() {
		return false
	}
	d.health(nil)
	return true
}

// restLong waits until all of so many replicas is to be read again. Where they are
// many, it asks for the newest revision in place of reading, and waits on while the
// watch has brought it. What was read before all had settled is read again in any
// case.
func (d *Feed) restLong(ctx context.Context, replicas int, settled bool) {
	end := d.now().Add(time.Duration(replicas) * replicaEvery)
	for d.rest(ctx) && ctx.Err() == nil {
		if !d.large(replicas) || !settled || !d.now().Before(end) || d.follow() {
			return
		}
		if !d.isCurrent(ctx) {
			return
		}
	}
}

// hand hands an update on.
func (d *Feed) hand(u Update) {
	d.Learned(u.Revision) // a lower one written at the same time only makes for one more call
	d.update(u)
}

// offer leaves a revision for the watch to go on from, in place of an older one.
func (d *Feed) offer(revision int64) {
	select {
	case <-d.at:
	default: // the watch took it
	}
	d.at <- revision // there is room, for nobody else puts any in
}

// failed takes in that all could not be read.
func (d *Feed) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	d.away = true
	d.mu.Unlock()
	d.health(err)
}

// succeeded takes in that all was read.
func (d *Feed) succeeded() {
	d.mu.Lock()
	if d.away {
		d.away = false
		d.settled = d.now().Add(lapseWait)
	}
	d.mu.Unlock()
	d.health(nil)
}

// isSettled says whether entries that are missing are gone.
func (d *Feed) isSettled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.away && !d.now().Before(d.settled)
}

// rest waits until all is to be read again: sooner while entries may still come
// back. It returns whether that is for the time alone.
func (d *Feed) rest(ctx context.Context) bool {
	every := d.every
	if !d.reader() {
		every *= rereadOthers
	}
	wait := d.spread(every)
	d.mu.Lock()
	if left := d.settled.Sub(d.now()); left > 0 {
		wait = min(wait, left+firstBackOff)
	}
	d.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
			return true
		case <-d.again:
			return false
		case <-d.behind:
			sleep.For(ctx, behindWait) // the watch may be about to bring it
			if d.known.Load() < d.wanted.Load() {
				return false
			}
		}
	}
}

// spread returns a time between three and five quarters of t, so that boxes
// don't call as one.
func (d *Feed) spread(t time.Duration) time.Duration {
	return t*3/4 + time.Duration(d.jitter()*float64(t)/2)
}

// watch hands on what changes after a revision that was read. After a failure
// all is read at once, and the watch goes on from there; when it keeps failing,
// the time between two of them grows.
func (d *Feed) watch(ctx context.Context) {
	backOff := time.Duration(0)
	for ctx.Err() == nil {
		if d.follow() {
			sleep.For(ctx, followLook)
			continue
		}
		select {
		case rev := <-d.at:
			if d.watchFrom(ctx, rev) {
				backOff = 0
			}
			d.readAgain()
			sleep.For(ctx, d.spread(backOff))
			backOff = min(max(2*backOff, firstBackOff), maxBackOff)
		case <-ctx.Done():
		}
	}
}

// readAgain has all read at once.
func (d *Feed) readAgain() {
	select {
	case d.again <- struct{}{}:
	default: // it is asked for already
	}
}

// watchFrom watches from a revision until a call fails, or other boxes watch on
// behalf of this one. It returns whether any succeeded.
func (d *Feed) watchFrom(ctx context.Context, at int64) (succeeded bool) {
	for ctx.Err() == nil && !d.follow() {
		changes, rev, err := d.source.Wait(ctx, at, watchFor)
		if err != nil {
			if !errors.Is(err, ErrHistoryGone) && ctx.Err() == nil {
				d.health(err)
			}
			return succeeded
		}
		succeeded = true
		at = max(at, rev)
		if len(changes) > 0 {
			d.hand(Update{
				Changes:  changes,
				Revision: rev,
				Settled:  d.isSettled(),
			})
		}
	}
	return succeeded
}
