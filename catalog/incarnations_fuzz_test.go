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

const askEvery = 3 // steps between two questions of a box that follows

// starting is a publisher whose replicas start again under their ids, beside another
// writer, the copy of a box that reads it, and that of a box which asks this one.
type starting struct {
	*rapid.T
	*publisher
	*follower
	asking *catalog.Content
	well   time.Time                  // since when the publisher is healthy
	quiet  time.Time                  // since when nothing is published
	born   int64                      // the latest start of any replica
	runs   map[string]int64           // the start that runs, by id
	before map[string]int64           // the one before it
	gone   map[string][]int64         // by id, the revisions at which its entry went or named no replica any more
	held   map[string]catalog.Replica // by copy and id, what was held last
	steps  int

	silenced bool // a watch has left out what was published
}

func (w *starting) fail(format string, args ...any) {
	panic(failure(fmt.Sprintf(format, args...)))
}

func (w *starting) id() string {
	return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.T, "id")
}

// write publishes an entry of a start, unless nothing can be written.
func (w *starting) write(id string, born int64, leaving bool) {
	if born == 0 || w.mode == failing {
		return
	}
	r := started(id, born, 0)
	r.Leaving = leaving
	w.put(r)
}

// restart lets a replica start again. Its entry may take a heartbeat.
func (w *starting) restart() {
	id := w.id()
	w.born++
	w.before[id] = w.runs[id]
	w.runs[id] = w.born
	if rapid.Bool().Draw(w.T, "written at once") {
		w.write(id, w.born, false)
	}
}

func (w *starting) beat() {
	id := w.id()
	w.write(id, w.runs[id], false)
}

func (w *starting) leave() {
	id := w.id()
	w.write(id, w.runs[id], true)
}

// late lets the start before write once more.
func (w *starting) late() {
	id := w.id()
	w.write(id, w.before[id], rapid.Bool().Draw(w.T, "leaving"))
}

// remove lets an entry lapse or go.
func (w *starting) remove() {
	id := w.id()
	w.gone[id] = append(w.gone[id], w.drop(id))
}

// foreign lets another writer write over an entry, or beside all.
func (w *starting) foreign() {
	key := rapid.SampledFrom([]string{"a", "b", "other"}).Draw(w.T, "key")
	w.gone[key] = append(w.gone[key], w.change(catalog.Change{
		Gone:     key,
		Unusable: true,
	}))
}

func (w *starting) become() {
	m := rapid.SampledFrom([]mode{healthy, healthy, silent, failing, slow}).Draw(w.T, "mode")
	if m == healthy && w.mode != healthy {
		w.well = time.Now()
	}
	w.silenced = w.silenced || m == silent
	w.set(m)
}

func (w *starting) pass() {
	w.passSteps(rapid.SampledFrom([]int{0, 1, 3, 12, 60}).Draw(w.T, "steps"))
}

func (w *starting) passSteps(steps int) {
	for range steps {
		time.Sleep(step)
		w.steps++
		if w.steps%askEvery == 0 {
			w.ask()
		}
		w.check()
	}
}

// ask lets the box that follows ask the other one what changed.
func (w *starting) ask() {
	w.follower.mu.Lock()
	data, err := json.Marshal(w.content.Since(w.asking.Revision()))
	w.follower.mu.Unlock()
	if err != nil {
		w.fail("news: %v", err)
	}
	var news catalog.News
	if err := json.Unmarshal(data, &news); err != nil {
		w.fail("news %s: %v", data, err)
	}
	for _, ch := range news.Changes {
		if ch.Gone == "other" {
			w.fail("told of an entry that never named a replica")
		}
	}
	w.asking.Take(news.Update())
	w.asking.Settle()
}

func (w *starting) check() {
	synctest.Wait()
	if wrong := w.mistake(); wrong != "" {
		w.fail("%s", wrong)
	}
	read, asked := w.now(), w.asking.Snapshot()
	w.checkForward("reading", read)
	w.checkForward("asking", asked)
	since := min(time.Since(w.well), time.Since(w.quiet))
	if w.mode != healthy || since < agreeWithin {
		return
	}
	want := w.snapshot()
	w.checkAgrees("reading", read, want)
	if !w.silenced { // a box that was told a revision without its changes finds them when it reads all, within 20 s
		w.checkAgrees("asking", asked, want)
	}
}

// checkForward looks for an earlier start that replaced a later one whose entry had not
// gone between.
func (w *starting) checkForward(name string, s catalog.Snapshot) {
	there := make(map[string]bool)
	for _, r := range s.Replicas {
		key := name + " " + r.ID
		there[key] = true
		held := w.held[key]
		between := func(at int64) bool { return held.Revision < at && at < r.Revision }
		if r.Born < held.Born && !slices.ContainsFunc(w.gone[r.ID], between) {
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

// checkAgrees looks for a copy that isn't what is published, but for an earlier start
// that wrote last.
func (w *starting) checkAgrees(name string, got, want catalog.Snapshot) {
	if len(got.Replicas) != len(want.Replicas) {
		w.fail("%s: held %v, published %v", name, got.Replicas, want.Replicas)
	}
	for i, r := range want.Replicas {
		held := got.Replicas[i]
		same := held.Born == r.Born && held.Leaving == r.Leaving
		if held.ID != r.ID || held.Born < r.Born || r.Born == w.runs[r.ID] && !same {
			w.fail("%s: held %v, published %v", name, held, r)
		}
	}
}

// Replicas started again under their ids, within a heartbeat and in outages, while late
// words of the starts before and another writer's entries came between.
func TestTheCopiesHoldTheLatestStartWhateverComesBetween(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, rt, func(ctx context.Context) { runStarting(ctx, rt) })
	})
}

func runStarting(ctx context.Context, t *rapid.T) {
	p := newPublisher()
	w := &starting{
		T:         t,
		publisher: p,
		follower:  follow(ctx, p.source()),
		asking:    catalog.NewContent(),
		well:      time.Now(),
		quiet:     time.Now(),
		runs:      make(map[string]int64),
		before:    make(map[string]int64),
		gone:      make(map[string][]int64),
		held:      make(map[string]catalog.Replica),
	}
	defer w.stop()
	acts := []func(){
		w.restart, w.restart, w.beat, w.beat, w.leave, w.late, w.remove, w.foreign, w.foreign,
		w.compact, w.become, w.become, w.pass, w.pass, w.pass,
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
	w.passSteps(int(agreeWithin/step) + 2*askEvery)
}
