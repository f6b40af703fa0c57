package catalog_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/catalog"
)

const requestSteps = 3 // between two requests of the follower

// incarnationRun is a publisher whose replicas restart under their ids beside another writer,
// the copy of a box that reads it, and that of a follower of this box.
type incarnationRun struct {
	*rapid.T
	*publisher
	*follower
	asking         *catalog.Content
	healthySince   time.Time                  // when the publisher recovered
	unchangedSince time.Time                  // time of the last change
	latestStart    int64                      // of any replica
	current        map[string]int64           // running incarnation by id
	previous       map[string]int64           // the incarnation before it
	removed        map[string][]int64         // by id, the revisions at which its entry was removed or became unusable
	held           map[string]catalog.Replica // last entry by copy and id
	steps          int

	silenced bool // a watch has missed changes
}

func (w *incarnationRun) fail(format string, args ...any) {
	panic(failure(fmt.Sprintf(format, args...)))
}

func (w *incarnationRun) id() string {
	return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.T, "id")
}

// write publishes an entry of an incarnation, unless the publisher is unavailable.
func (w *incarnationRun) write(id string, born int64, leaving bool) {
	if born == 0 || w.mode == failing {
		return
	}
	r := startedReplica(id, born, 0)
	r.Leaving = leaving
	w.put(r)
}

// restart restarts a replica. Its entry may take until the next heartbeat.
func (w *incarnationRun) restart() {
	id := w.id()
	w.latestStart++
	w.previous[id] = w.current[id]
	w.current[id] = w.latestStart
	if rapid.Bool().Draw(w.T, "written at once") {
		w.write(id, w.latestStart, false)
	}
}

func (w *incarnationRun) heartbeat() {
	id := w.id()
	w.write(id, w.current[id], false)
}

func (w *incarnationRun) leave() {
	id := w.id()
	w.write(id, w.current[id], true)
}

// writeLate lets the previous incarnation write once more.
func (w *incarnationRun) writeLate() {
	id := w.id()
	w.write(id, w.previous[id], rapid.Bool().Draw(w.T, "leaving"))
}

func (w *incarnationRun) remove() {
	id := w.id()
	w.removed[id] = append(w.removed[id], w.drop(id))
}

// writeForeign lets another writer overwrite an entry or add one of its own.
func (w *incarnationRun) writeForeign() {
	key := rapid.SampledFrom([]string{"a", "b", "other"}).Draw(w.T, "key")
	w.removed[key] = append(w.removed[key], w.change(catalog.Change{
		Removed:  key,
		Unusable: true,
	}))
}

func (w *incarnationRun) changeMode() {
	m := rapid.SampledFrom([]mode{healthy, healthy, silent, failing, slow}).Draw(w.T, "mode")
	if m == healthy && w.mode != healthy {
		w.healthySince = time.Now()
	}
	w.silenced = w.silenced || m == silent
	w.set(m)
}

func (w *incarnationRun) advance() {
	w.advanceSteps(rapid.SampledFrom([]int{0, 1, 3, 12, 60}).Draw(w.T, "steps"))
}

func (w *incarnationRun) advanceSteps(steps int) {
	for range steps {
		time.Sleep(step)
		w.steps++
		if w.steps%requestSteps == 0 {
			w.requestChanges()
		}
		w.check()
	}
}

func (w *incarnationRun) requestChanges() {
	w.follower.mu.Lock()
	data, err := json.Marshal(w.content.ChangesSince(w.asking.Revision()))
	w.follower.mu.Unlock()
	if err != nil {
		w.fail("news: %v", err)
	}
	var news catalog.ChangeSet
	if err := json.Unmarshal(data, &news); err != nil {
		w.fail("news %s: %v", data, err)
	}
	for _, ch := range news.Changes {
		if ch.Removed == "other" {
			w.fail("received an entry that never described a replica")
		}
	}
	w.asking.Apply(news.Update())
	w.asking.ConfirmRemovals()
}

func (w *incarnationRun) check() {
	synctest.Wait()
	if wrong := w.mistake(); wrong != "" {
		w.fail("%s", wrong)
	}
	read, asked := w.now(), w.asking.Snapshot()
	w.checkForward("reading", read)
	w.checkForward("asking", asked)
	since := min(time.Since(w.healthySince), time.Since(w.unchangedSince))
	if w.mode != healthy || since < agreeWithin {
		return
	}
	want := w.snapshot()
	w.checkAgrees("reading", read, want)
	if !w.silenced { // a follower with a revision but not its changes agrees only after its next full read, within 20 s
		w.checkAgrees("asking", asked, want)
	}
}

// checkForward fails if an earlier incarnation replaced a later one whose entry was not
// removed in between.
func (w *incarnationRun) checkForward(name string, s catalog.Snapshot) {
	there := make(map[string]bool)
	for _, r := range s.Replicas {
		key := name + " " + r.ID
		there[key] = true
		held := w.held[key]
		between := func(at int64) bool { return held.Revision < at && at < r.Revision }
		if r.StartedAt < held.StartedAt && !slices.ContainsFunc(w.removed[r.ID], between) {
			w.fail("%s: %v replaced by %v", key, held, r)
		}
		w.held[key] = r
	}
	for _, id := range []string{"a", "b", "c"} {
		if key := name + " " + id; !there[key] {
			delete(w.held, key)
		}
	}
}

// checkAgrees fails if a copy differs from the published state, except for an earlier
// incarnation that wrote last.
func (w *incarnationRun) checkAgrees(name string, got, want catalog.Snapshot) {
	if len(got.Replicas) != len(want.Replicas) {
		w.fail("%s: held %v, published %v", name, got.Replicas, want.Replicas)
	}
	for i, r := range want.Replicas {
		held := got.Replicas[i]
		same := held.StartedAt == r.StartedAt && held.Leaving == r.Leaving
		if held.ID != r.ID || held.StartedAt < r.StartedAt || r.StartedAt == w.current[r.ID] && !same {
			w.fail("%s: held %v, published %v", name, held, r)
		}
	}
}

// Guards against copies that hold an earlier incarnation after restarts, outages, late writes
// and foreign entries.
func TestCopiesHoldTheLatestIncarnation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, rt, func(ctx context.Context) { runIncarnations(ctx, rt) })
	})
}

func runIncarnations(ctx context.Context, t *rapid.T) {
	p := newPublisher()
	w := &incarnationRun{
		T:              t,
		publisher:      p,
		follower:       follow(ctx, p.source()),
		asking:         catalog.NewContent(),
		healthySince:   time.Now(),
		unchangedSince: time.Now(),
		current:        make(map[string]int64),
		previous:       make(map[string]int64),
		removed:        make(map[string][]int64),
		held:           make(map[string]catalog.Replica),
	}
	defer w.stop()
	acts := []func(){
		w.restart, w.restart, w.heartbeat, w.heartbeat, w.leave, w.writeLate, w.remove, w.writeForeign, w.writeForeign,
		w.compact, w.changeMode, w.changeMode, w.advance, w.advance, w.advance,
	}
	for range actions {
		previous := w.rev
		rapid.SampledFrom(acts).Draw(t, "action")()
		if w.rev != previous {
			w.unchangedSince = time.Now()
		}
	}
	if w.mode != healthy {
		w.healthySince = time.Now()
		w.set(healthy)
	}
	w.advanceSteps(int(agreeWithin/step) + 2*requestSteps)
}
