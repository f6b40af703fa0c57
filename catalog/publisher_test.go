package catalog_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/internal/change"
)

const (
	callTakes = 5 * time.Millisecond // per call of a publisher; above 0, so that virtual time advances in loops
	slowTakes = time.Second          // per call of a slow publisher
)

// mode is how a publisher answers new calls.
type mode int

const (
	healthy mode = iota
	silent       // a watch misses all changes but reports the newest revision
	failing      // all calls fail, and running watches are cut
	slow         // answers are delayed
)

var errUnavailable = errors.New("the publisher is unavailable")

// publisher is a fake publisher of the catalog.
type publisher struct {
	mu          sync.Mutex
	mode        mode
	rev         int64
	policy      *catalog.Policy
	replicas    map[string]catalog.Replica
	evacuated   map[string]bool
	unusable    map[string]bool // ids of entries that describe no replica
	history     []catalog.Change
	compactedAt int64 // newest revision that history lacks
	changed     change.Signal
	reads       int
	waits       int
}

func newPublisher() *publisher {
	return &publisher{
		replicas:  make(map[string]catalog.Replica),
		evacuated: make(map[string]bool),
		unusable:  make(map[string]bool),
	}
}

func (p *publisher) source() catalog.Source {
	return catalog.Source{
		Read: p.read,
		Wait: p.wait,
	}
}

func (p *publisher) change(ch catalog.Change) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rev++
	ch.Revision = p.rev
	switch {
	case ch.Policy != nil:
		p.policy = ch.Policy
	case ch.Replica != nil:
		r := *ch.Replica
		r.Revision = p.rev
		ch.Replica = &r
		p.replicas[r.ID] = r
		delete(p.unusable, r.ID)
	case ch.Removed != "":
		delete(p.replicas, ch.Removed)
		delete(p.unusable, ch.Removed)
		if ch.Unusable {
			p.unusable[ch.Removed] = true
		}
	case ch.Evacuated != "":
		p.evacuated[ch.Evacuated] = true
	case ch.Unevacuated != "":
		delete(p.evacuated, ch.Unevacuated)
	}
	p.history = append(p.history, ch)
	p.changed.Tell()
	return p.rev
}

func (p *publisher) put(r catalog.Replica) int64 {
	return p.change(catalog.Change{
		Replica: &r,
	})
}

func (p *publisher) drop(id string) int64 {
	return p.change(catalog.Change{
		Removed: id,
	})
}

func (p *publisher) compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.history = nil
	p.compactedAt = p.rev
	p.changed.Tell()
}

func (p *publisher) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.changed.Tell()
}

func (p *publisher) snapshot() catalog.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := catalog.Snapshot{
		Revision: p.rev,
		Policy:   p.policy,
		Replicas: []catalog.Replica{},
	}
	for _, id := range slices.Sorted(maps.Keys(p.replicas)) {
		out.Replicas = append(out.Replicas, p.replicas[id])
	}
	out.Evacuated = slices.Sorted(maps.Keys(p.evacuated))
	out.Unusable = slices.Sorted(maps.Keys(p.unusable))
	return out
}

// calls returns the number of full reads and watches.
func (p *publisher) calls() (reads, waits int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.waits
}

func (p *publisher) startCall(ctx context.Context, count *int) mode {
	p.mu.Lock()
	*count++
	m := p.mode
	p.mu.Unlock()
	sleep.For(ctx, callTakes)
	return m
}

func (p *publisher) read(ctx context.Context) (catalog.Snapshot, error) {
	m := p.startCall(ctx, &p.reads)
	if m == failing {
		return catalog.Snapshot{}, errUnavailable
	}
	out := p.snapshot()
	if m == slow {
		sleep.For(ctx, slowTakes)
	}
	return out, ctx.Err()
}

func (p *publisher) wait(ctx context.Context, after int64, wait time.Duration) ([]catalog.Change, int64, error) {
	m := p.startCall(ctx, &p.waits)
	if m == silent {
		sleep.For(ctx, wait)
		return nil, p.snapshot().Revision, ctx.Err()
	}
	end := time.After(wait)
	for {
		changes, rev, changed, err := p.since(after)
		if err == nil && len(changes) == 0 {
			select {
			case <-changed:
				continue
			case <-end:
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			}
		}
		if m == slow {
			sleep.For(ctx, slowTakes)
		}
		return changes, rev, err
	}
}

// since returns the changes after a revision, and a channel that signals more.
func (p *publisher) since(after int64) (changes []catalog.Change, rev int64, changed <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == failing {
		return nil, 0, nil, errUnavailable
	}
	if after < p.compactedAt {
		return nil, 0, nil, catalog.ErrHistoryGone
	}
	for _, ch := range p.history {
		if ch.Revision > after {
			changes = append(changes, ch)
		}
	}
	return changes, p.rev, p.changed.Next(), nil
}

// follower is a copy that a feed keeps up to date.
type follower struct {
	mu      sync.Mutex
	content *catalog.Content
	health  []error
	wrong   string // first violation by an update
	feed    *catalog.Feed
	stop    func()
}

// follow starts a feed of a source; stop ends it and waits.
func follow(ctx context.Context, source catalog.Source, opts ...catalog.FeedOption) *follower {
	f := &follower{
		content: catalog.NewContent(),
	}
	ctx, cancel := context.WithCancel(ctx)
	opts = append([]catalog.FeedOption{
		catalog.WithHealth(f.recordHealth),
		catalog.WithJitter(func() float64 {
			return []float64{0, 0.999, 0.5}[time.Now().UnixMilli()/10%3] // low, high and middle, and deterministic
		}),
	}, opts...)
	var running sync.WaitGroup
	f.feed = catalog.NewFeed(source, f.take, opts...)
	running.Go(func() { f.feed.Run(ctx) })
	f.stop = func() {
		cancel()
		running.Wait()
	}
	return f
}

func (f *follower) recordHealth(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.health = append(f.health, err)
}

func (f *follower) take(u catalog.Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	rev, policy := f.content.Revision(), f.content.Policy()
	f.content.Apply(u)
	if f.wrong == "" && f.content.Revision() < rev {
		f.wrong = "the revision decreased"
	}
	if f.wrong == "" && policy != nil && f.content.Policy().Version < policy.Version {
		f.wrong = "the policy version decreased"
	}
}

func (f *follower) now() catalog.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.content.Snapshot()
}

func (f *follower) get(id string) (catalog.Replica, bool) {
	for _, r := range f.now().Replicas {
		if r.ID == id {
			return r, true
		}
	}
	return catalog.Replica{}, false
}

func (f *follower) results() []error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.health)
}

func (f *follower) lastHealth() error {
	all := f.results()
	if len(all) == 0 {
		return nil
	}
	return all[len(all)-1]
}

func (f *follower) mistake() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wrong
}
