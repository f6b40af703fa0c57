package placement_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/pacing"
	"github.com/havenrudder/havenrudder/placement"
)

func drawReplica(t *rapid.T, revision int64) catalog.Replica {
	return catalog.Replica{
		ID:        rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"),
		StartedAt: rapid.SampledFrom([]int64{0, 100, 200}).Draw(t, "born"),
		Service:   rapid.SampledFrom([]string{"engine", "plain", "other"}).Draw(t, "service"),
		Addr:      rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "addr"),
		Domain:    "hall",
		Region:    rapid.SampledFrom([]string{"north", "north", "north", "south"}).Draw(t, "region"),
		Leaving:   rapid.IntRange(0, 4).Draw(t, "leaves") == 0,
		Revision:  revision,
	}
}

func drawUpdate(t *rapid.T, revision int64) catalog.Update {
	u := catalog.Update{
		Revision: revision,
		Settled:  rapid.Bool().Draw(t, "settled"),
	}
	replica := drawReplica(t, revision)
	switch rapid.IntRange(0, 3).Draw(t, "what") {
	case 0:
		u.Snapshot = &catalog.Snapshot{
			Revision: revision,
		}
		for range rapid.IntRange(0, 4).Draw(t, "replicas") {
			u.Snapshot.Replicas = append(u.Snapshot.Replicas, drawReplica(t, revision))
		}
	case 1:
		u.Changes = []catalog.Change{{
			Revision: revision,
			Removed:  replica.ID,
		}}
	default:
		u.Changes = []catalog.Change{{
			Revision: revision,
			Replica:  &replica,
		}}
	}
	return u
}

func listedState(v *placement.View) []string {
	var out []string
	for _, r := range v.Replicas() {
		if r.Listed() {
			out = append(out, fmt.Sprintf("%s %+v %t", r.Incarnation(), r.Info(), r.Unconfirmed()))
		}
	}
	return out
}

func TestIncrementalUpdatesEqualAFullRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		content := catalog.NewContent()
		incremental := placement.NewView("north", "hall", pacing.New("box", terms))
		full := placement.NewView("north", "hall", pacing.New("box", terms))
		now := start
		for revision := range int64(rapid.IntRange(1, 30).Draw(t, "updates")) {
			content.Apply(drawUpdate(t, revision+1))
			if rapid.IntRange(0, 5).Draw(t, "policy") == 0 {
				p := policy()
				p.Services = p.Services[:rapid.IntRange(1, len(p.Services)).Draw(t, "services")]
				incremental.SetTable(catalog.NewTable(p))
				full.SetTable(catalog.NewTable(p))
			}
			now += longAfter / 10_000
			incremental.Apply(content, now)
			full.InvalidateIndex()
			full.Apply(content, now)
			is.Equal(listedState(incremental), listedState(full))
			is.True(slices.IsSortedFunc(incremental.Replicas(), func(a, b *placement.Replica) int {
				return map[bool]int{true: -1, false: 1}[a.Incarnation() < b.Incarnation()]
			}))
		}
	})
}

// newFleet returns a catalog of n replicas and a view of the region that holds half of them.
func newFleet(n int) (*catalog.Content, *placement.View) {
	content := catalog.NewContent()
	view := placement.NewView("north", "hall", pacing.New("box", terms))
	view.SetTable(catalog.NewTable(policy()))
	s := catalog.Snapshot{
		Revision: int64(n),
	}
	for i := range n {
		s.Replicas = append(s.Replicas, numberedReplica(i, int64(i+1)))
	}
	content.Apply(catalog.Update{
		Snapshot: &s,
		Revision: s.Revision,
		Settled:  true,
	})
	view.Apply(content, start)
	return content, view
}

func numberedReplica(i int, revision int64) catalog.Replica {
	return catalog.Replica{
		ID:       fmt.Sprintf("engine-%06d", i),
		Service:  "engine",
		Addr:     fmt.Sprintf("10.0.%d.%d:1", i/250, i%250),
		Domain:   "hall",
		Region:   []string{"north", "south"}[i%2],
		Slots:    8,
		Revision: revision,
	}
}

func changeReplica(content *catalog.Content, i int, revision int64) {
	replica := numberedReplica(i, revision)
	content.Apply(catalog.Update{
		Changes: []catalog.Change{{
			Revision: revision,
			Replica:  &replica,
		}},
		Revision: revision,
		Settled:  true,
	})
}

// changes returns the mean allocations for a change of one among n replicas.
func changes(n int) (objects, bytes uint64) {
	const changes = 500
	content, view := newFleet(n)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for i := range changes {
		revision := int64(n + i + 1)
		changeReplica(content, i, revision)
		view.Apply(content, start)
		content.ChangesSince(revision)
	}
	runtime.ReadMemStats(&after)
	return (after.Mallocs - before.Mallocs) / changes, (after.TotalAlloc - before.TotalAlloc) / changes
}

// Guards against a cost per change that grows with the number of replicas.
func TestAChangeOfOneReplicaTakesNoMoreAmongManyReplicas(t *testing.T) {
	is := is.New(t)
	fewObjects, fewBytes := changes(600)
	manyObjects, manyBytes := changes(12_000)
	t.Logf("for a change of 600 replicas %d allocations of %d bytes, of 12,000 %d of %d", fewObjects, fewBytes, manyObjects, manyBytes)
	is.True(10*manyObjects <= 12*fewObjects)
	is.True(manyBytes <= 2*fewBytes) // slices of all replicas grow by copying
}

func BenchmarkApplyChange(b *testing.B) {
	content, view := newFleet(6000)
	b.ResetTimer()
	for i := range b.N {
		changeReplica(content, i%6000, int64(6001+i))
		view.Apply(content, start)
	}
}

func BenchmarkChangesSince(b *testing.B) {
	content, _ := newFleet(6000)
	b.ResetTimer()
	for range b.N {
		content.ChangesSince(6000)
	}
}

func BenchmarkInitialRead(b *testing.B) {
	for range b.N {
		newFleet(6000)
	}
}
