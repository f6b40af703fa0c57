package catalog

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/sleep"
)

// ErrHistoryGone says that the publisher no longer knows what changed since a
// revision, so that all must be read again.
var ErrHistoryGone = errors.New("catalog: history gone")

const (
	watchFor     = 10 * time.Second       // one waiting call; each call has a price, and a new one costs no more than that
	rereadEvery  = 2 * time.Second        // a watch may stay silent while changes are made; half of the shortest bound on configurations
	firstBackOff = 50 * time.Millisecond  // after a failed call
	maxBackOff   = 600 * time.Millisecond // so that a publisher that is back is used within a second
	lapseWait    = 2 * time.Second        // entries that lapsed while the publisher was away are back within this time
)

// Source is where the catalog is read.
type Source struct {
	Read func(ctx context.Context) (Snapshot, error)
	Wait func(ctx context.Context, after int64, wait time.Duration) ([]Change, int64, error)
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
	at     chan int64    // revisions read, from which the watch goes on
	again  chan struct{} // asks for all to be read at once

	mu      sync.Mutex
	away    bool      // the last call failed
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

// NewFeed returns a feed that hands what it reads to update.
func NewFeed(source Source, update func(Update), opts ...FeedOption) *Feed {
	d := &Feed{
		source: source,
		update: update,
		health: func(error) {},
		now:    time.Now,
		jitter: func() float64 { return 0.5 },
		every:  rereadEvery,
		at:     make(chan int64, 1),
		again:  make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

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
			sleep.For(ctx, d.spread(backOff))
			backOff = min(2*backOff, maxBackOff)
			continue
		}
		backOff = firstBackOff
		d.succeeded()
		d.update(Update{
			Snapshot: &s,
			Revision: s.Revision,
			Settled:  d.isSettled(),
		})
		select {
		case d.at <- s.Revision:
		default: // the watch is waiting and needs none
		}
		d.rest(ctx)
	}
}

func (d *Feed) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	d.away = true
	d.mu.Unlock()
	d.health(err)
}

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
// back.
func (d *Feed) rest(ctx context.Context) {
	wait := d.spread(d.every)
	d.mu.Lock()
	if left := d.settled.Sub(d.now()); left > 0 {
		wait = min(wait, left+firstBackOff)
	}
	d.mu.Unlock()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-d.again:
	}
}

// spread returns a time between three and five quarters of t, so that boxes
// don't call as one.
func (d *Feed) spread(t time.Duration) time.Duration {
	return t*3/4 + time.Duration(d.jitter()*float64(t)/2)
}

// watch hands on what changes after a revision that was read. After a failure
// all is read at once, and the watch goes on from there.
func (d *Feed) watch(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case rev := <-d.at:
			d.follow(ctx, rev)
		case <-ctx.Done():
		}
	}
}

// follow watches from a revision until a call fails.
func (d *Feed) follow(ctx context.Context, at int64) {
	for ctx.Err() == nil {
		changes, rev, err := d.source.Wait(ctx, at, watchFor)
		if err != nil {
			if !errors.Is(err, ErrHistoryGone) {
				d.failed(ctx, err)
			}
			select {
			case d.again <- struct{}{}:
			default: // it is asked for already
			}
			return
		}
		at = max(at, rev)
		if len(changes) > 0 {
			d.update(Update{
				Changes:  changes,
				Revision: rev,
				Settled:  d.isSettled(),
			})
		}
	}
}
