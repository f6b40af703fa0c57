package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/internal/change"
)

const listingTakes = 4 * time.Millisecond // of each call

var errListingAway = errors.New("the listing is away")

// listing is a stand-in for what publishes replicas: it may be down for all boxes or
// turn some away, and forget its history.
type listing struct {
	mu       sync.Mutex
	rev      int64
	policy   *catalog.Policy
	replicas map[string]catalog.Replica
	history  []catalog.Change
	forgot   int64 // newest revision that history lacks
	down     bool
	refuses  map[string]bool // boxes
	changed  change.Signal
	calls    int
	deafTo   int64                                               // revision up to which a watch hears nothing while it is deaf
	deaf     bool                                                // changes are made that no watch hears of
	page     int                                                 // replicas in one answer; 0 for all
	way      func(box string) time.Duration                      // there and back for a call of a box; nil for none
	ways     atomic.Pointer[downlinks]                           // to the boxes, nil for wide ones
	jitter   func(most time.Duration, what ...any) time.Duration // a short time by the seed
}

func newListing(list []catalog.Replica, jitter func(most time.Duration, what ...any) time.Duration) *listing {
	l := &listing{
		jitter:   jitter,
		rev:      1,
		policy:   policy(1),
		replicas: make(map[string]catalog.Replica),
		refuses:  make(map[string]bool),
	}
	for _, r := range list {
		l.replicas[r.ID] = r
	}
	return l
}

// put lists a replica.
func (l *listing) put(r catalog.Replica) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rev++
	r.Revision = l.rev
	l.replicas[r.ID] = r
	l.tell(catalog.Change{
		Revision: l.rev,
		Replica:  &r,
	})
}

// drop removes a replica's entry.
func (l *listing) drop(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rev++
	delete(l.replicas, id)
	l.tell(catalog.Change{
		Revision: l.rev,
		Gone:     id,
	})
}

// tell adds a change to the history.
func (l *listing) tell(c catalog.Change) {
	l.history = append(l.history, c)
	l.changed.Tell()
}

// forget forgets the history.
func (l *listing) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = nil
	l.forgot = l.rev
	l.changed.Tell()
}

// setDeaf lets watches hear nothing of what changes from now on, or forgets the history, as a
// store does that loses it.
func (l *listing) setDeaf(deaf bool) {
	l.mu.Lock()
	l.deaf = deaf
	l.deafTo = l.rev
	l.mu.Unlock()
	if !deaf {
		l.forget()
	}
}

// setDown takes the listing away from all boxes, or gives it back.
func (l *listing) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.changed.Tell()
}

// refuse has a box turned away, or served again.
func (l *listing) refuse(box string, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuses[box] = refused
	l.changed.Tell()
}

// isDown says whether the listing is away from all boxes.
func (l *listing) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

// called returns how many calls there were.
func (l *listing) called() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// get returns the entry of a replica.
func (l *listing) get(id string) catalog.Replica {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replicas[id]
}

// ids returns the replicas that are listed, in order.
func (l *listing) ids() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.replicas))
}

// source returns the listing as a box meets it.
func (l *listing) source(box string) catalog.Source {
	return l.throughDownlink(box, catalog.Source{
		First: func(ctx context.Context, goOn func(catalog.Snapshot) error) (catalog.Snapshot, error) {
			return l.readPages(ctx, box, goOn)
		},
		Read: func(ctx context.Context) (catalog.Snapshot, error) {
			return l.readPages(ctx, box, func(catalog.Snapshot) error { return nil })
		},
		Newest: func(ctx context.Context) (int64, error) { return l.newest(ctx, box) },
		Confirm: func(ctx context.Context) (catalog.Snapshot, error) {
			began := time.Now()
			s, err := l.read(ctx, box)
			return catalog.Snapshot{
				Revision: s.Revision,
				Policy:   s.Policy,
				PolicyAt: began,
			}, err
		},
		Wait: func(ctx context.Context, after int64, wait time.Duration) ([]catalog.Change, int64, error) {
			return l.wait(ctx, box, after, wait)
		},
	})
}

const listedFree = 256 // replicas that a box reads without asking whether to go on

// readPages reads all in as many calls as it takes, and asks between them whether to go on.
func (l *listing) readPages(ctx context.Context, box string, goOn func(catalog.Snapshot) error) (catalog.Snapshot, error) {
	out, err := l.read(ctx, box)
	read := out
	for n := l.page; l.page > 0 && n < len(out.Replicas) && err == nil; n += l.page {
		if read.Replicas = out.Replicas[:n]; n > listedFree {
			if err := goOn(read); err != nil {
				return read, err
			}
		}
		err = l.begin(ctx, box)
	}
	return out, err
}

// begin lets a call of a box take its time, and says whether it is answered.
func (l *listing) begin(ctx context.Context, box string) error {
	sleep.For(ctx, listingTakes+l.jitter(mostJitter, "call", box))
	if l.way != nil {
		sleep.For(ctx, l.way(box))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	return l.answers(box)
}

func (l *listing) answers(box string) error {
	if l.down || l.refuses[box] {
		return errListingAway
	}
	return nil
}

func (l *listing) read(ctx context.Context, box string) (catalog.Snapshot, error) {
	if err := l.begin(ctx, box); err != nil {
		return catalog.Snapshot{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	out := catalog.Snapshot{
		Revision: l.rev,
		Policy:   l.policy,
	}
	for _, id := range slices.Sorted(maps.Keys(l.replicas)) {
		out.Replicas = append(out.Replicas, l.replicas[id])
	}
	return out, ctx.Err()
}

func (l *listing) newest(ctx context.Context, box string) (int64, error) {
	if err := l.begin(ctx, box); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rev, ctx.Err()
}

func (l *listing) wait(ctx context.Context, box string, after int64, wait time.Duration) (changes []catalog.Change, rev int64, err error) {
	if err := l.begin(ctx, box); err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	_ = change.Await(ctx, func() (bool, <-chan struct{}) { // it fails when there was nothing in time
		l.mu.Lock()
		defer l.mu.Unlock()
		changes, err = l.since(box, after)
		rev = l.rev
		return err != nil || len(changes) > 0, l.changed.Next()
	})
	sleep.For(ctx, l.jitter(mostJitter, "answer", box)) // those who wait don't hear at one instant
	return changes, rev, err
}

// since returns what changed after a revision.
func (l *listing) since(box string, after int64) (changes []catalog.Change, err error) {
	if err := l.answers(box); err != nil {
		return nil, err
	}
	if after < l.forgot {
		return nil, catalog.ErrHistoryGone
	}
	for _, c := range l.history {
		if c.Revision > after && (!l.deaf || c.Revision <= l.deafTo) {
			changes = append(changes, c)
		}
	}
	return changes, nil
}
