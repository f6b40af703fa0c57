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
	agreeWithin   = 5 * time.Second // of health and quiet, until the copy is what is published
	leavingWithin = 4 * time.Second // of health, until a leaving replica is known
	actions       = 40              // in one run
	step          = 100 * time.Millisecond
	othersLag     = 2700 * time.Millisecond // until another box has read all again and said so
)

// failure ends a run that found a mistake.
type failure string

// world is a publisher, a copy, and what the copy has to be.
type world struct {
	*rapid.T
	*publisher
	*follower
	well       time.Time            // since when the publisher is healthy
	quiet      time.Time            // since when nothing is published
	leaving    map[string]time.Time // since when a replica is published as leaving
	highest    int                  // version of a policy
	lapsed     []string             // entries that come back with the publisher
	othersRead bool                 // other boxes read again, and say what they know
	published  []int64              // revision after each step
}

func (w *world) fail(format string, args ...any) {
	panic(failure(fmt.Sprintf(format, args...)))
}

func (w *world) id() string {
	return rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(w.T, "id")
}

func (w *world) ready() {
	id := w.id()
	if w.leaving[id].IsZero() { // a replica that leaves never comes back under its id
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

func (w *world) reopen() {
	w.change(catalog.Change{
		Unevacuated: w.id(),
	})
}

func (w *world) become() {
	m := rapid.SampledFrom([]mode{healthy, healthy, silent, failing, slow}).Draw(w.T, "mode")
	if m == healthy && w.mode != healthy {
		w.well = time.Now()
	}
	if m == healthy {
		for _, id := range w.lapsed {
			if w.leaving[id].IsZero() {
				w.put(plainReplica(id, 0))
			}
		}
		w.lapsed = nil
	}
	w.set(m)
}

// lapse removes an entry because its lease can't be renewed.
func (w *world) lapse() {
	if w.mode == failing {
		id := w.id()
		w.drop(id)
		w.lapsed = append(w.lapsed, id)
	}
}

// pass lets time go on, and looks at the copy now and then.
func (w *world) pass() {
	w.passSteps(rapid.SampledFrom([]int{0, 1, 2, 10, 60, 130}).Draw(w.T, "steps"))
}

func (w *world) passSteps(steps int) {
	for range steps {
		time.Sleep(step)
		w.tell()
		w.check()
	}
}

// tell lets another box say what it knows: what was published some time ago.
func (w *world) tell() {
	w.published = append(w.published, w.rev)
	old := len(w.published) - 1 - int(othersLag/step)
	if w.othersRead && old >= 0 {
		w.feed.Behind(w.published[old])
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
		if since.IsZero() || now.Sub(since) < leavingWithin || now.Sub(w.well) < leavingWithin {
			continue
		}
		if held, _ := w.get(r.ID); !held.Leaving {
			w.fail("%s is not known to leave: published %v, held %v", r.ID, r, held)
		}
	}
	if now.Sub(w.well) < agreeWithin || now.Sub(w.quiet) < agreeWithin {
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

// checkPolicy allows the copy to be ahead of an older version that was published
// after a newer one.
func (w *world) checkPolicy(got, want *catalog.Policy) {
	switch {
	case want == nil:
	case got == nil, got.Version < want.Version, want.Version == w.highest && got.Version != want.Version:
		w.fail("policy: held %v, published %v", got, want)
	}
}

func TestTheCopyAgreesWithAPublisherThatIsWell(t *testing.T) {
	checkWorlds(t, false)
}

// A box that doesn't read again for others hears from them what there is.
func TestTheCopyAgreesWhenOtherBoxesReadAgain(t *testing.T) {
	checkWorlds(t, true)
}

func checkWorlds(t *testing.T, othersRead bool) {
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, rt, func(ctx context.Context) { runWorld(ctx, rt, othersRead) })
	})
}

// inBubble does a run in virtual time. What ends it has to reach the library in its own
// goroutine.
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

func runWorld(ctx context.Context, t *rapid.T, othersRead bool) {
	p := newPublisher()
	w := &world{
		T:          t,
		publisher:  p,
		follower:   follow(ctx, p.source(), catalog.WithReader(func() bool { return !othersRead })),
		well:       time.Now(),
		quiet:      time.Now(),
		leaving:    make(map[string]time.Time),
		othersRead: othersRead,
	}
	defer w.stop()
	acts := []func(){
		w.ready, w.ready, w.leave, w.remove, w.publish, w.evacuate, w.reopen,
		w.compact, w.become, w.become, w.lapse, w.pass, w.pass, w.pass,
	}
	for range actions {
		before := w.rev
		rapid.SampledFrom(acts).Draw(t, "action")()
		if w.rev != before {
			w.quiet = time.Now()
		}
	}
	if w.mode != healthy {
		w.well = time.Now()
		w.set(healthy)
	}
	w.passSteps(int(agreeWithin / step))
}
