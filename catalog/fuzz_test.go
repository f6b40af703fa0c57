package catalog_test

import (
	"context"
	"fmt"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/catalog"
)

const (
	agreeWithin   = 5 * time.Second // after recovery and the last change, until the copy agrees
	leavingWithin = 4 * time.Second // after recovery, until a leaving replica is recorded
	actions       = 40              // per run
	step          = 100 * time.Millisecond
	peerLag       = 2700 * time.Millisecond // until a peer has reread and reported its revision
)

// failure ends a run with a violation.
type failure string

// world is a publisher, a copy, and the state that the copy has to reach.
type world struct {
	*rapid.T
	*publisher
	*follower
	healthySince   time.Time            // when the publisher recovered
	unchangedSince time.Time            // time of the last change
	leaving        map[string]time.Time // when a replica was published as leaving
	highest        int                  // published version of the policy
	expired        []string             // entries that reappear with the publisher
	peersRead      bool                 // peers reread and report their revisions
	published      []int64              // revision after each step
}

func (w *world) fail(format string, args ...any) {
	panic(failure(fmt.Sprintf(format, args...)))
}

func (w *world) id() string {
	return rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(w.T, "id")
}

func (w *world) ready() {
	id := w.id()
	if w.leaving[id].IsZero() { // a leaving replica never returns under its id
		w.put(plainReplica(id, 0))
	}
}

func (w *world) leave() {
	r := plainReplica(w.id(), 0)
	r.Leaving = true
	w.put(r)
	if w.leaving[r.ID].IsZero() {
		w.leaving[r.ID] = time.Now()
	}
}

func (w *world) remove() { w.drop(w.id()) }

func (w *world) publish() {
	version := rapid.IntRange(max(1, w.highest-1), w.highest+1).Draw(w.T, "version")
	w.highest = max(w.highest, version)
	w.change(catalog.Change{
		Policy: plainPolicy(version),
	})
}

func (w *world) evacuate() {
	w.change(catalog.Change{
		Evacuated: w.id(),
	})
}

func (w *world) unevacuate() {
	w.change(catalog.Change{
		Unevacuated: w.id(),
	})
}

func (w *world) changeMode() {
	m := rapid.SampledFrom([]mode{healthy, healthy, silent, failing, slow}).Draw(w.T, "mode")
	if m == healthy && w.mode != healthy {
		w.healthySince = time.Now()
	}
	if m == healthy {
		for _, id := range w.expired {
			if w.leaving[id].IsZero() {
				w.put(plainReplica(id, 0))
			}
		}
		w.expired = nil
	}
	w.set(m)
}

// expire removes an entry whose lease can't be renewed.
func (w *world) expire() {
	if w.mode == failing {
		id := w.id()
		w.drop(id)
		w.expired = append(w.expired, id)
	}
}

func (w *world) advance() {
	w.advanceSteps(rapid.SampledFrom([]int{0, 1, 2, 10, 60, 130}).Draw(w.T, "steps"))
}

func (w *world) advanceSteps(steps int) {
	for range steps {
		time.Sleep(step)
		w.reportRevision()
		w.check()
	}
}

// reportRevision notifies the feed of the revision that a peer has read with a delay.
func (w *world) reportRevision() {
	w.published = append(w.published, w.rev)
	old := len(w.published) - 1 - int(peerLag/step)
	if w.peersRead && old >= 0 {
		w.feed.NotifyRevision(w.published[old])
	}
}

func (w *world) check() {
	synctest.Wait()
	if wrong := w.mistake(); wrong != "" {
		w.fail("%s", wrong)
	}
	now := time.Now()
	if w.mode != healthy {
		return
	}
	want, got := w.snapshot(), w.now()
	for _, r := range want.Replicas {
		since := w.leaving[r.ID]
		if since.IsZero() || now.Sub(since) < leavingWithin || now.Sub(w.healthySince) < leavingWithin {
			continue
		}
		if held, _ := w.get(r.ID); !held.Leaving {
			w.fail("%s is not recorded as leaving: published %v, held %v", r.ID, r, held)
		}
	}
	if now.Sub(w.healthySince) < agreeWithin || now.Sub(w.unchangedSince) < agreeWithin {
		return
	}
	if !reflect.DeepEqual(got.Replicas, want.Replicas) {
		w.fail("replicas: held %v, published %v", got.Replicas, want.Replicas)
	}
	if len(got.Evacuated)+len(want.Evacuated) > 0 && !reflect.DeepEqual(got.Evacuated, want.Evacuated) {
		w.fail("evacuated: held %v, published %v", got.Evacuated, want.Evacuated)
	}
	w.checkPolicy(got.Policy, want.Policy)
}

// checkPolicy allows the copy to be ahead when an older version is published after a newer
// one.
func (w *world) checkPolicy(got, want *catalog.Policy) {
	switch {
	case want == nil:
	case got == nil, got.Version < want.Version, want.Version == w.highest && got.Version != want.Version:
		w.fail("policy: held %v, published %v", got, want)
	}
}

func TestTheCopyAgreesWithAHealthyPublisher(t *testing.T) {
	checkWorlds(t, false)
}

// Guards against a stale copy on a box that leaves rereads to its peers.
func TestTheCopyAgreesWhenOtherBoxesReadAgain(t *testing.T) {
	checkWorlds(t, true)
}

func checkWorlds(t *testing.T, peersRead bool) {
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, rt, func(ctx context.Context) { runWorld(ctx, rt, peersRead) })
	})
}

// inBubble runs in virtual time. It passes failures on to rapid in rapid's own goroutine.
func inBubble(t *testing.T, rt *rapid.T, run func(ctx context.Context)) {
	t.Helper()
	var ended any
	synctest.Test(t, func(t *testing.T) {
		defer func() { ended = recover() }()
		run(t.Context())
	})
	if f, ok := ended.(failure); ok {
		rt.Fatal(string(f))
	}
	if ended != nil {
		panic(ended)
	}
}

func runWorld(ctx context.Context, t *rapid.T, peersRead bool) {
	p := newPublisher()
	w := &world{
		T:              t,
		publisher:      p,
		follower:       follow(ctx, p.source(), catalog.WithReader(func() bool { return !peersRead })),
		healthySince:   time.Now(),
		unchangedSince: time.Now(),
		leaving:        make(map[string]time.Time),
		peersRead:      peersRead,
	}
	defer w.stop()
	acts := []func(){
		w.ready, w.ready, w.leave, w.remove, w.publish, w.evacuate, w.unevacuate,
		w.compact, w.changeMode, w.changeMode, w.expire, w.advance, w.advance, w.advance,
	}
	for range actions {
		before := w.rev
		rapid.SampledFrom(acts).Draw(t, "action")()
		if w.rev != before {
			w.unchangedSince = time.Now()
		}
	}
	if w.mode != healthy {
		w.healthySince = time.Now()
		w.set(healthy)
	}
	w.advanceSteps(int(agreeWithin / step))
}
