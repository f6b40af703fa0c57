package catalog_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/catalog"
)

func plainReplica(id string, rev int64) catalog.Replica {
	return catalog.Replica{
		ID:       id,
		Service:  "app",
		Addr:     "127.0.0.1:1",
		Domain:   "hall",
		Region:   "north",
		Revision: rev,
	}
}

func snapshot(rev int64, settled bool, replicas ...catalog.Replica) catalog.Update {
	return catalog.Update{
		Snapshot: &catalog.Snapshot{
			Revision: rev,
			Replicas: replicas,
		},
		Revision: rev,
		Settled:  settled,
	}
}

func changed(rev int64, settled bool, changes ...catalog.Change) catalog.Update {
	return catalog.Update{
		Changes:  changes,
		Revision: rev,
		Settled:  settled,
	}
}

func replicaIDs(c *catalog.Content) []string {
	out := []string{}
	for _, r := range c.Replicas() {
		out = append(out, r.ID)
	}
	return out
}

func ExampleContent_Apply() {
	c := catalog.NewContent()
	c.Apply(catalog.Update{
		Snapshot: &catalog.Snapshot{
			Revision:  4,
			Replicas:  []catalog.Replica{plainReplica("b", 3), plainReplica("a", 4)},
			Evacuated: []string{"hall"},
		},
		Revision: 4,
		Settled:  true,
	})
	c.Apply(changed(5, true, catalog.Change{
		Revision: 5,
		Removed:  "b",
	}))
	fmt.Println(c.Revision(), replicaIDs(c), c.Evacuated())
	// Output: 5 [a] [hall]
}

func TestAnOlderSnapshotIsIgnored(t *testing.T) {
	is := is.New(t)
	c := catalog.NewContent()
	is.True(c.Apply(snapshot(5, true, plainReplica("a", 5))))
	is.True(!c.Apply(snapshot(4, true, plainReplica("b", 4))))
	is.Equal(replicaIDs(c), []string{"a"})
	is.Equal(c.Revision(), int64(5))
	is.True(c.Apply(snapshot(5, true, plainReplica("a", 5), plainReplica("b", 4)))) // at the same revision
	is.Equal(replicaIDs(c), []string{"a", "b"})
}

func TestASnapshotOlderThanChangesIsIgnored(t *testing.T) {
	is := is.New(t)
	c := catalog.NewContent()
	c.Apply(snapshot(1, true))
	r := plainReplica("a", 3)
	c.Apply(changed(3, true, catalog.Change{
		Revision: 3,
		Replica:  &r,
	}))
	is.True(!c.Apply(snapshot(2, true)))
	is.Equal(replicaIDs(c), []string{"a"})
}

// Guards against a watch whose answer is older than a concurrent read.
func TestAnOlderChangeDoesntReplaceANewerEntry(t *testing.T) {
	is := is.New(t)
	c := catalog.NewContent()
	leaving := plainReplica("a", 7)
	leaving.Leaving = true
	c.Apply(snapshot(7, true, leaving))
	ready := plainReplica("a", 6)
	c.Apply(changed(6, true, catalog.Change{
		Revision: 6,
		Replica:  &ready,
	}))
	is.Equal(c.Replicas(), []catalog.Replica{leaving})
	is.Equal(c.Revision(), int64(7))
}

func TestAPolicyNeverGoesBack(t *testing.T) {
	is := is.New(t)
	c := catalog.NewContent()
	is.True(c.Policy() == nil)
	take := func(rev int64, p *catalog.Policy) {
		u := snapshot(rev, true)
		u.Snapshot.Policy = p
		is.True(c.Apply(u))
	}
	take(1, plainPolicy(3))
	take(2, plainPolicy(2))
	is.Equal(c.Policy().Version, 3)
	take(3, nil)
	is.Equal(c.Policy().Version, 3)
	c.Apply(changed(4, true, catalog.Change{
		Revision: 4,
		Policy:   plainPolicy(1),
	}))
	is.Equal(c.Policy().Version, 3)
	c.Apply(changed(5, true, catalog.Change{
		Revision: 5,
		Policy:   plainPolicy(4),
	}))
	is.Equal(c.Policy().Version, 4)
	is.Equal(c.Snapshot().Policy.Version, 4)
}

func TestMissingReplicasStayUntilTheFeedIsSettled(t *testing.T) {
	is := is.New(t)
	c := catalog.NewContent()
	c.Apply(snapshot(1, true, plainReplica("a", 1), plainReplica("b", 1)))
	is.True(c.Apply(snapshot(2, false, plainReplica("c", 2))))
	is.Equal(replicaIDs(c), []string{"a", "b", "c"})
	c.Apply(changed(3, false, catalog.Change{
		Revision: 3,
		Removed:  "a",
	}))
	is.Equal(replicaIDs(c), []string{"a", "b", "c"})
	b := plainReplica("b", 4)
	b.Leaving = true
	c.Apply(changed(4, false, catalog.Change{
		Revision: 4,
		Replica:  &b,
	}))
	is.True(c.Replicas()[1].Leaving) // published changes are applied all the same
	c.Apply(snapshot(5, true, b))
	is.Equal(replicaIDs(c), []string{"b"})
	c.Apply(changed(6, true, catalog.Change{
		Revision: 6,
		Removed:  "b",
	}))
	is.Equal(replicaIDs(c), []string{})
}

func TestEvacuationsBeginAndEnd(t *testing.T) {
	is := is.New(t)
	c := catalog.NewContent()
	c.Apply(changed(2, true, catalog.Change{
		Revision:  1,
		Evacuated: "hall",
	}, catalog.Change{
		Revision:  2,
		Evacuated: "attic",
	}))
	is.Equal(c.Evacuated(), []string{"attic", "hall"})
	c.Apply(changed(3, false, catalog.Change{
		Revision:    3,
		Unevacuated: "attic",
	}))
	is.Equal(c.Evacuated(), []string{"hall"})
	u := snapshot(4, false)
	u.Snapshot.Evacuated = []string{"cellar"}
	c.Apply(u)
	is.Equal(c.Evacuated(), []string{"cellar"})
	c.Apply(snapshot(5, true))
	is.Equal(len(c.Evacuated()), 0)
}

func TestAnyUpdatesKeepTheCopyInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := catalog.NewContent()
		for range 60 {
			rev, version := c.Revision(), 0
			if c.Policy() != nil {
				version = c.Policy().Version
			}
			c.Apply(anyUpdate(t))
			s := c.Snapshot()
			switch {
			case c.Revision() < rev:
				t.Fatalf("revision %d after %d", c.Revision(), rev)
			case version > 0 && s.Policy.Version < version:
				t.Fatalf("policy %d after %d", s.Policy.Version, version)
			case !slices.IsSorted(replicaIDs(c)) || !slices.IsSorted(s.Evacuated):
				t.Fatalf("out of order: %v", s)
			}
		}
	})
}

func anyUpdate(t *rapid.T) catalog.Update {
	rev := rapid.Int64Range(1, 40).Draw(t, "revision")
	settled := rapid.Bool().Draw(t, "settled")
	id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
	policy := plainPolicy(rapid.IntRange(1, 9).Draw(t, "version"))
	r := plainReplica(id, rev)
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		u := snapshot(rev, settled, r)
		u.Snapshot.Policy = policy
		u.Snapshot.Evacuated = []string{id}
		return u
	case 1:
		return changed(rev, settled, catalog.Change{
			Revision: rev,
			Policy:   policy,
		})
	case 2:
		return changed(rev, settled, catalog.Change{
			Revision: rev,
			Replica:  &r,
		})
	case 3:
		return changed(rev, settled, catalog.Change{
			Revision: rev,
			Removed:  id,
		})
	case 4:
		return changed(rev, settled, catalog.Change{
			Revision:  rev,
			Evacuated: id,
		})
	}
	return changed(rev, settled, catalog.Change{
		Revision:    rev,
		Unevacuated: id,
	})
}

func TestADecodedReplicaIsChecked(t *testing.T) {
	is := is.New(t)
	var r catalog.Replica
	is.NoErr(json.Unmarshal([]byte(`{"id":"a","addr":"x:1","service":"s","slots":3,"colour":"red"}`), &r))
	is.Equal(r.Slots, 3)
	for _, bad := range []string{
		`{"addr":"x:1","service":"s"}`,
		`{"id":"a","service":"s"}`,
		`{"id":"a","addr":"x:1"}`,
		`{"id":7,"addr":"x:1","service":"s"}`,
		`[]`,
	} {
		var r catalog.Replica
		is.True(json.Unmarshal([]byte(bad), &r) != nil)
	}
}

func TestASnapshotIsTheSameAfterEncoding(t *testing.T) {
	is := is.New(t)
	want := catalog.Snapshot{
		Revision:  9,
		Policy:    plainPolicy(2, plainRoute("a", "h", "/")),
		Replicas:  []catalog.Replica{plainReplica("a", 8)},
		Evacuated: []string{"hall"},
	}
	data, err := json.Marshal(want)
	is.NoErr(err)
	var got catalog.Snapshot
	is.NoErr(json.Unmarshal(data, &got))
	is.Equal(got, want)
}
