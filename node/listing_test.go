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

const listingCallTime = 4 * time.Millisecond // of each call

var errListingUnavailable = errors.New("listing unavailable")

// listing is a stand-in for the publisher of replicas. It can be down for all boxes, reject some, and lose
// its history.
type listing struct {
	mu          sync.Mutex
	rev         int64
	policy      *catalog.Policy
	replicas    map[string]catalog.Replica
	history     []catalog.Change
	compactedTo int64 // newest revision that history lacks
	down        bool
	rejects     map[string]bool // boxes
	silent      map[string]bool // boxes whose watches receive no changes
	changed     change.Signal
	calls       int
	stalledAt   int64                                                // last revision that watches receive while they are stalled
	stalled     bool                                                 // watches receive no changes
	page        int                                                  // replicas per page; 0 for no limit
	way         func(box string) time.Duration                       // round trip of a call of a box; nil for none
	downlinks   atomic.Pointer[downlinks]                            // to the boxes, nil for unlimited ones
	jitter      func(limit time.Duration, what ...any) time.Duration // a short duration derived from the seed
}

func newListing(list []catalog.Replica, jitter func(limit time.Duration, what ...any) time.Duration) *listing {
	l := &listing{
		jitter:   jitter,
		rev:      1,
		policy:   policy(1),
		replicas: make(map[string]catalog.Replica),
		rejects:  make(map[string]bool),
		silent:   make(map[string]bool),
	}
	for _, r := range list {
		l.replicas[r.ID] = r
	}
	return l
}

func (l *listing) put(r catalog.Replica) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rev++
	r.Revision = l.rev
	l.replicas[r.ID] = r
	l.addChange(catalog.Change{
		Revision: l.rev,
		Replica:  &r,
	})
}

func (l *listing) drop(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rev++
	delete(l.replicas, id)
	l.addChange(catalog.Change{
		Revision: l.rev,
		Removed:  id,
	})
}

func (l *listing) addChange(c catalog.Change) {
	l.history = append(l.history, c)
	l.changed.Tell()
}

func (l *listing) dropHistory() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history = nil
	l.compactedTo = l.rev
	l.changed.Tell()
}

// stallWatches stops changes from reaching watches. When it ends the history is dropped, as by a store that
// loses it.
func (l *listing) stallWatches(stalled bool) {
	l.mu.Lock()
	l.stalled = stalled
	l.stalledAt = l.rev
	l.mu.Unlock()
	if !stalled {
		l.dropHistory()
	}
}

// setDown makes the listing unavailable for all boxes, or available again.
func (l *listing) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.changed.Tell()
}

// setRejects has calls of a box rejected, or answered again.
func (l *listing) setRejects(box string, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejects[box] = refused
	l.changed.Tell()
}

// setSilent stops changes from reaching the watches of a box, or ends that.
func (l *listing) setSilent(box string, silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent[box] = silent
	l.changed.Tell()
}

// isDown reports whether the listing is unavailable for all boxes.
func (l *listing) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

func (l *listing) callCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

func (l *listing) get(id string) catalog.Replica {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.replicas[id]
}

// ids returns the sorted ids of listed replicas.
func (l *listing) ids() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.replicas))
}

func (l *listing) source(box string) catalog.Source {
	return l.throughDownlink(box, catalog.Source{
		InitialRead: func(ctx context.Context, goOn func(catalog.Snapshot) error) (catalog.Snapshot, error) {
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
				Revision:          s.Revision,
				Policy:            s.Policy,
				PolicyConfirmedAt: began,
			}, err
		},
		Wait: func(ctx context.Context, after int64, wait time.Duration) ([]catalog.Change, int64, error) {
			return l.wait(ctx, box, after, wait)
		},
	})
}

const unconditionalReplicas = 256 // that a box reads without asking whether to go on

// readPages reads all pages, and asks between them whether to go on.
func (l *listing) readPages(ctx context.Context, box string, goOn func(catalog.Snapshot) error) (catalog.Snapshot, error) {
	out, err := l.read(ctx, box)
	read := out
	for n := l.page; l.page > 0 && n < len(out.Replicas) && err == nil; n += l.page {
		if read.Replicas = out.Replicas[:n]; n > unconditionalReplicas {
			if err := goOn(read); err != nil {
				return read, err
			}
		}
		err = l.startCall(ctx, box)
	}
	return out, err
}

// startCall takes the time of a call and returns an error if it is not answered.
func (l *listing) startCall(ctx context.Context, box string) error {
	sleep.For(ctx, listingCallTime+l.jitter(maxJitter, "call", box))
	if l.way != nil {
		sleep.For(ctx, l.way(box))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	return l.available(box)
}

func (l *listing) available(box string) error {
	if l.down || l.rejects[box] {
		return errListingUnavailable
	}
	return nil
}

func (l *listing) read(ctx context.Context, box string) (catalog.Snapshot, error) {
	if err := l.startCall(ctx, box); err != nil {
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
	if err := l.startCall(ctx, box); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rev, ctx.Err()
}

func (l *listing) wait(ctx context.Context, box string, after int64, wait time.Duration) (changes []catalog.Change, rev int64, err error) {
	if err := l.startCall(ctx, box); err != nil {
		return nil, 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	_ = change.Await(ctx, func() (bool, <-chan struct{}) { // it fails without a change in time
		l.mu.Lock()
		defer l.mu.Unlock()
		changes, err = l.since(box, after)
		rev = l.rev
		return err != nil || len(changes) > 0, l.changed.Next()
	})
	sleep.For(ctx, l.jitter(maxJitter, "answer", box)) // spreads the responses to waiting calls
	return changes, rev, err
}

// since returns the changes after a revision.
func (l *listing) since(box string, after int64) (changes []catalog.Change, err error) {
	if err := l.available(box); err != nil {
		return nil, err
	}
	if after < l.compactedTo {
		return nil, catalog.ErrHistoryGone
	}
	if l.silent[box] {
		return nil, nil
	}
	for _, c := range l.history {
		if c.Revision > after && (!l.stalled || c.Revision <= l.stalledAt) {
			changes = append(changes, c)
		}
	}
	return changes, nil
}
