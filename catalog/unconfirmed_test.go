package catalog_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

// unconfirmedAfter returns an update with a removal that stays unconfirmed for a time.
func unconfirmedAfter(revision int64, gone string, settles time.Duration) catalog.Update {
	return catalog.Update{
		Revision:  revision,
		SettlesIn: settles,
		Changes: []catalog.Change{{
			Revision: revision,
			Removed:  gone,
		}},
	}
}

func ExampleContent_NewestRevision() {
	c := catalog.NewContent()
	c.Apply(snapshot(10, true, plainReplica("a", 1), plainReplica("b", 1)))
	c.Apply(snapshot(12, false, plainReplica("a", 1))) // read just after an outage
	fmt.Println(c.NewestRevision(), c.Revision(), replicaIDs(c), c.IsUnconfirmed("b"))
	// Output: 12 10 [a b] true
}

func TestAnUnconfirmedRemovalIsConfirmedWhenItsTimeIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := catalog.NewContent()
		c.Apply(snapshot(10, true, plainReplica("a", 1), plainReplica("b", 1)))
		c.Apply(unconfirmedAfter(11, "a", time.Second))
		c.Apply(unconfirmedAfter(11, "a", time.Minute)) // sent again; the earlier deadline stays
		time.Sleep(time.Second - time.Millisecond)
		is.True(!c.ConfirmRemovals())
		is.Equal(replicaIDs(c), []string{"a", "b"})
		time.Sleep(time.Millisecond)
		is.True(c.ConfirmRemovals())
		is.Equal(replicaIDs(c), []string{"b"})
		is.True(!c.HasUnconfirmedRemovals())
		is.Equal(c.ConfirmedRemovals(), 1)
	})
}

func TestAnEntryThatReappearsIsNoLongerUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := catalog.NewContent()
		c.Apply(snapshot(10, true, plainReplica("a", 1)))
		c.Apply(unconfirmedAfter(11, "a", time.Second))
		back := plainReplica("a", 12)
		c.Apply(changed(12, true, catalog.Change{
			Revision: 12,
			Replica:  &back,
		}))
		time.Sleep(time.Minute)
		is.True(!c.ConfirmRemovals())
		is.Equal(replicaIDs(c), []string{"a"})
	})
}

// Guards against a receiver that records a revision without its unconfirmed removals, or
// confirms them later than the sender.
func TestUnconfirmedRemovalsAreSentWithTheRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sender, receiver, newcomer := catalog.NewContent(), catalog.NewContent(), catalog.NewContent()
		sender.Apply(snapshot(10, true, plainReplica("a", 1), plainReplica("b", 1)))
		receiver.Apply(sender.ChangesSince(0).Update())
		sender.Apply(unconfirmedAfter(11, "a", 2*time.Second))
		time.Sleep(1500 * time.Millisecond)
		for _, c := range []*catalog.Content{receiver, newcomer} {
			c.Apply(overTheWire(t, sender.ChangesSince(c.Revision())).Update())
			is.Equal(c.NewestRevision(), int64(11))
			is.True(c.IsUnconfirmed("a"))
		}
		time.Sleep(500 * time.Millisecond)
		for _, c := range []*catalog.Content{sender, receiver, newcomer} {
			is.True(c.ConfirmRemovals())
			is.Equal(replicaIDs(c), []string{"b"})
		}
	})
}

func TestAnUnconfirmedRemovalBringsNoReplicaBack(t *testing.T) {
	is := is.New(t)
	unsure, informed := catalog.NewContent(), catalog.NewContent()
	first := snapshot(10, true, plainReplica("a", 1), plainReplica("b", 1))
	unsure.Apply(first)
	informed.Apply(first)
	unsure.Apply(unconfirmedAfter(11, "a", time.Minute))
	unsure.Apply(changed(13, true))
	informed.Apply(changed(11, true, catalog.Change{
		Revision: 11,
		Removed:  "a",
	}))
	informed.Apply(unsure.ChangesSince(11).Update())
	is.Equal(replicaIDs(informed), []string{"b"})
	informed.Apply(unsure.ChangesSince(0).Update()) // the full state
	is.Equal(replicaIDs(informed), []string{"b"})
	is.Equal(informed.NewestRevision(), int64(13))
}

// Guards against sending requests to a replica whose entry another writer overwrote.
func TestAnUnusableEntryInASnapshotIsARemovalAtOnce(t *testing.T) {
	for _, settled := range []bool{true, false} {
		is := is.New(t)
		c := catalog.NewContent()
		c.Apply(snapshot(10, true, plainReplica("a", 1), plainReplica("b", 1)))
		u := snapshot(12, settled, plainReplica("a", 1))
		u.Snapshot.Unusable = []string{"b", "never-known"}
		c.Apply(u)
		is.Equal(replicaIDs(c), []string{"a"}) // the entry exists, so it has not expired
		is.True(!c.HasUnconfirmedRemovals())
		is.Equal(c.Revision(), int64(12))
		c.Apply(changed(13, settled, entryChange(plainReplica("b", 13))))
		is.Equal(replicaIDs(c), []string{"a", "b"})
	}
}

func TestAnEntryThatBecomesUnusableIsARemovalAtItsRevision(t *testing.T) {
	for _, settled := range []bool{true, false} {
		is := is.New(t)
		c := catalog.NewContent()
		c.Apply(snapshot(10, true, plainReplica("a", 1), plainReplica("b", 8)))
		foreign := func(id string, revision int64) catalog.Change {
			return catalog.Change{
				Revision: revision,
				Removed:  id,
				Unusable: true,
			}
		}
		c.Apply(changed(11, settled, foreign("a", 11), foreign("never-known", 11), foreign("b", 7)))
		is.Equal(replicaIDs(c), []string{"b"}) // the newer entry stays
		is.True(!c.HasUnconfirmedRemovals())
		news := overTheWire(t, c.ChangesSince(10)) // includes the removal, but not the entry that never described a replica
		is.Equal(len(news.Changes), 1)
		is.Equal(news.Changes[0].Removed, "a")
		is.Equal(news.Changes[0].Revision, int64(11))
	}
}

func TestAnUnconfirmedRemovalIsCheckedWhenDecoded(t *testing.T) {
	is := is.New(t)
	var d catalog.UnconfirmedRemoval
	is.NoErr(json.Unmarshal([]byte(`{"replica":"a","revision":3,"left_ms":20}`), &d))
	is.Equal(d.Remaining.Duration(), 20*time.Millisecond)
	is.True(json.Unmarshal([]byte(`{"revision":3,"left_ms":20}`), &d) != nil)
	is.True(json.Unmarshal([]byte(`{"replica":"a","left_ms":-1}`), &d) != nil)
}

func overTheWire(t *testing.T, n catalog.ChangeSet) catalog.ChangeSet {
	t.Helper()
	data, err := json.Marshal(n)
	if err != nil {
		t.Fatal(err)
	}
	var out catalog.ChangeSet
	if err := json.Unmarshal(data, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func TestAFollowerConfirmsRemovalsAfterAnOutageThatPeersSawEnd(t *testing.T) {
	w := newPeers()
	largeTestRun(t, largeCount, func(f largeTest) {
		f.set(failing)
		before, _ := f.calls()
		time.Sleep(10 * time.Second) // no peer reports a read, so it calls, and fails
		after, _ := f.calls()
		f.True(after > before)
		f.set(healthy)
		w.reportReadsFor(15 * time.Second)
		f.drop("r-1")
		time.Sleep(3400 * time.Millisecond) // no peer reports a read
		f.True(!f.has("r-1"))
	}, append(w.options(), catalog.WithJitter(func() float64 { return 0.999 }))...)
}

// Guards against an error that shows the formatting verb in place of the value.
func TestTheErrorOnAnUnconfirmedRemovalNamesTheTimeLeft(t *testing.T) {
	is := is.New(t)
	var d catalog.UnconfirmedRemoval
	err := json.Unmarshal([]byte(`{"replica":"r","revision":1,"left_ms":-2.5}`), &d)
	is.True(err != nil)
	is.True(strings.HasSuffix(err.Error(), `replica "r" with -2.5 ms left`))
}
