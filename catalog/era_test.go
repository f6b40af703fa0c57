package catalog_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/catalog"
)

// restoredFor is longer than a copy keeps what a publisher that came back from an older copy lacks.
const restoredFor = 7 * time.Second

// in returns a revision of an era.
func in(era, revision int64) int64 {
	out, err := catalog.RevisionIn(era, revision)
	if err != nil {
		panic(err) // tests use valid ones
	}
	return out
}

// usableIDs returns the replicas of a copy that may receive requests.
func usableIDs(c *catalog.Content) []string {
	return slices.DeleteFunc(replicaIDs(c), func(id string) bool { return slices.Contains(c.PutOff(), id) })
}

func TestARevisionHoldsItsEra(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		era := rapid.Int64Range(0, catalog.MaxEra).Draw(t, "era")
		revision := rapid.Int64Range(0, 1<<42-1).Draw(t, "revision")
		got := in(era, revision)
		is.Equal(catalog.EraOf(got), era)
		is.Equal(catalog.WithinEra(got), revision)
		is.True(era == catalog.MaxEra || got < in(era+1, 0))
		_, err := catalog.RevisionIn(era, 1<<42+revision)
		is.True(err != nil)
	})
}

func TestChangesOfAnEarlierEraAreIgnored(t *testing.T) {
	is := is.New(t)
	c := catalog.NewContent()
	c.Apply(snapshot(in(1, 5), true, plainReplica("a", in(1, 3)), plainReplica("b", in(1, 4))))
	c.Apply(changed(in(0, 90), true,
		catalog.Change{Revision: in(0, 80), Replica: &catalog.Replica{ID: "old", Service: "app", Addr: "127.0.0.1:2", Revision: in(0, 80)}},
		catalog.Change{Revision: in(0, 81), Removed: "a"},
		catalog.Change{Revision: in(0, 82), Evacuated: "hall"}))
	is.Equal(replicaIDs(c), []string{"a", "b"})
	is.Equal(len(c.Evacuated()), 0)
	is.Equal(c.NewestRevision(), in(1, 5))
	is.True(!c.Apply(snapshot(in(0, 99), true)))
}

func TestAReplicaThatLeftStaysSoInALaterEra(t *testing.T) {
	is := is.New(t)
	c := catalog.NewContent()
	leaving := plainReplica("a", in(0, 7))
	leaving.Leaving = true
	c.Apply(snapshot(in(0, 9), true, leaving))
	for range 2 {
		c.Apply(snapshot(in(1, 6), true, plainReplica("a", in(1, 3))))
		r, _ := c.Replica("a")
		is.True(r.Leaving)
	}
}

func TestAnEntryOfARemovedReplicaThatAnOlderCopyBringsBackIsPutOff(t *testing.T) {
	for _, alive := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := catalog.NewContent()
			c.Apply(snapshot(in(0, 9), true, plainReplica("a", in(0, 7)), plainReplica("b", in(0, 8))))
			c.Apply(changed(in(0, 10), true, catalog.Change{Revision: in(0, 10), Removed: "a"}))
			restored := snapshot(in(1, 8), true, plainReplica("a", in(1, 7)), plainReplica("b", in(1, 8)))
			c.Apply(restored)
			is.Equal(usableIDs(c), []string{"b"})
			time.Sleep(time.Second)
			c.ConfirmRemovals()
			is.Equal(usableIDs(c), []string{"b"})
			if alive { // it writes its entry again
				r := plainReplica("a", in(1, 12))
				c.Apply(changed(in(1, 12), true, catalog.Change{Revision: r.Revision, Replica: &r}))
				is.Equal(usableIDs(c), []string{"a", "b"})
				return
			}
			c.Apply(restored)
			time.Sleep(restoredFor)
			is.True(c.ConfirmRemovals())
			is.Equal(usableIDs(c), []string{"a", "b"}) // its entry would have lapsed
		})
	}
}

func TestAnEntryThatWasPutOffStaysSoWhenAnotherOlderCopyFollows(t *testing.T) {
	is := is.New(t)
	c := catalog.NewContent()
	c.Apply(snapshot(in(0, 9), true, plainReplica("a", in(0, 7)), plainReplica("b", in(0, 8))))
	c.Apply(changed(in(0, 10), true, catalog.Change{Revision: in(0, 10), Removed: "a"}))
	for era := range int64(3) {
		c.Apply(snapshot(in(1+era, 8), true, plainReplica("a", in(1+era, 7)), plainReplica("b", in(1+era, 8))))
		is.Equal(usableIDs(c), []string{"b"})
	}
}

func TestAnEvacuationThatAnOlderCopyLacksEndsLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := catalog.NewContent()
		c.Apply(snapshot(in(0, 9), true, plainReplica("a", in(0, 7))))
		c.Apply(changed(in(0, 10), true, catalog.Change{Revision: in(0, 10), Evacuated: "hall"}))
		c.Apply(snapshot(in(1, 8), true, plainReplica("a", in(1, 7))))
		is.Equal(c.Evacuated(), []string{"hall"})
		time.Sleep(restoredFor)
		is.True(c.ConfirmRemovals())
		is.Equal(len(c.Evacuated()), 0)
	})
}

// eraWorld is a publisher that comes back from older copies, a box that reads it, one that follows
// that box and one that is cut off from the publisher at times.
type eraWorld struct {
	*rapid.T
	*is.I
	log      []catalog.Change // what was written; the revision within the era is the index from 1
	era      int64
	names    int
	reader   *catalog.Content
	follower *catalog.Content
	cutOff   *catalog.Content
	policies map[*catalog.Content]int // highest versions that boxes had
}

// published returns the state at the publisher.
func (w *eraWorld) published() catalog.Snapshot {
	out := catalog.Snapshot{
		Revision: in(w.era, int64(len(w.log))),
	}
	replicas := make(map[string]catalog.Replica)
	evacuated := make(map[string]bool)
	for n, ch := range w.log {
		switch {
		case ch.Policy != nil:
			out.Policy = ch.Policy
		case ch.Replica != nil:
			r := *ch.Replica
			r.Revision = in(w.era, int64(n+1))
			replicas[r.ID] = r
		case ch.Removed != "":
			delete(replicas, ch.Removed)
		case ch.Evacuated != "":
			evacuated[ch.Evacuated] = true
		default:
			delete(evacuated, ch.Unevacuated)
		}
	}
	out.Replicas = slices.Collect(maps.Values(replicas))
	out.Evacuated = slices.Sorted(maps.Keys(evacuated))
	return out
}

func (w *eraWorld) write() {
	id := fmt.Sprint("r-", rapid.IntRange(0, 5).Draw(w.T, "id"))
	switch rapid.IntRange(0, 5).Draw(w.T, "write") {
	case 0, 1:
		r := plainReplica(id, 0)
		r.Slots = rapid.IntRange(1, 3).Draw(w.T, "slots")
		w.log = append(w.log, catalog.Change{Replica: &r})
	case 2:
		w.log = append(w.log, catalog.Change{Removed: id})
	case 3:
		w.log = append(w.log, catalog.Change{Evacuated: "hall"})
	case 4:
		w.log = append(w.log, catalog.Change{Unevacuated: "hall"})
	default:
		w.names++
		w.log = append(w.log, catalog.Change{Policy: &catalog.Policy{Version: w.names}})
	}
}

func (w *eraWorld) restore() {
	w.log = w.log[:rapid.IntRange(1, len(w.log)).Draw(w.T, "left")] // the first configuration comes before traffic
	w.era++
}

// read lets a box read the publisher.
func (w *eraWorld) read(c *catalog.Content) {
	s := w.published()
	c.Apply(catalog.Update{
		Snapshot: &s,
		Revision: s.Revision,
		Settled:  true,
	})
}

// pull lets a box receive the changes of another.
func (w *eraWorld) pull(to, from *catalog.Content) {
	changes := from.ChangesSince(to.Revision())
	to.Apply(changes.Update())
}

func (w *eraWorld) checkPolicies() {
	for _, c := range []*catalog.Content{w.reader, w.follower, w.cutOff} {
		version := 0
		if p := c.Policy(); p != nil {
			version = p.Version
		}
		w.True(version >= w.policies[c]) // none goes back
		w.policies[c] = version
	}
}

// agree fails unless a box has what is published.
func (w *eraWorld) agree(name string, c *catalog.Content) {
	want := w.published()
	ids := []string{}
	for _, r := range want.Replicas {
		ids = append(ids, r.ID)
		got, _ := c.Replica(r.ID)
		if got.Slots != r.Slots {
			w.Fatalf("%s has %d slots of %s, %d are published", name, got.Slots, r.ID, r.Slots)
		}
	}
	slices.Sort(ids)
	if got := usableIDs(c); !slices.Equal(got, ids) {
		w.Fatalf("%s has the replicas %v, %v are published", name, got, ids)
	}
	if got := c.Evacuated(); !slices.Equal(got, want.Evacuated) {
		w.Fatalf("%s has the evacuations %v, %v are published", name, got, want.Evacuated)
	}
}

func TestBoxesAgreeWithAPublisherThatComesBackFromOlderCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		w := &eraWorld{
			T:        t,
			I:        is.New(t),
			policies: make(map[*catalog.Content]int),
			log:      []catalog.Change{{Policy: &catalog.Policy{Version: 1}}},
			names:    1,
		}
		for _, c := range []**catalog.Content{&w.reader, &w.follower, &w.cutOff} {
			*c = catalog.NewContent()
			(*c).SetNow(func() time.Time { return now })
			w.read(*c)
		}
		t.Repeat(map[string]func(*rapid.T){
			"write":        func(*rapid.T) { w.write() },
			"restore":      func(*rapid.T) { w.restore() },
			"read":         func(*rapid.T) { w.read(w.reader) },
			"follow":       func(*rapid.T) { w.pull(w.follower, w.reader) },
			"read alone":   func(*rapid.T) { w.read(w.cutOff) },
			"hear the old": func(*rapid.T) { w.pull(w.reader, w.cutOff) },
			"wait":         func(*rapid.T) { now = now.Add(time.Second) },
			"":             func(*rapid.T) { w.checkPolicies() },
		})
		w.read(w.reader)
		w.pull(w.follower, w.reader)
		now = now.Add(restoredFor)
		w.reader.ConfirmRemovals()
		w.follower.ConfirmRemovals()
		w.read(w.reader)
		w.pull(w.follower, w.reader)
		w.agree("the reader", w.reader)
		w.agree("the follower", w.follower)
	})
}
