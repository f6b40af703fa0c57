package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

func startedReplica(id string, born, revision int64) catalog.Replica {
	r := plainReplica(id, revision)
	r.Born = born
	return r
}

func entryChange(r catalog.Replica) catalog.Change {
	return catalog.Change{
		Revision: r.Revision,
		Replica:  &r,
	}
}

func incarnations(c *catalog.Content) []string {
	var out []string
	for _, r := range c.Replicas() {
		out = append(out, r.Start())
	}
	return out
}

func TestAnIncarnationIsTheIDAndItsStartTime(t *testing.T) {
	is := is.New(t)
	is.Equal(plainReplica("a", 1).Start(), "a") // without a start time
	is.Equal(startedReplica("a", 36, 1).Start(), "a@10")
	is.True(startedReplica("a", 1764720000123, 1).Start() != startedReplica("a", 1764720000124, 1).Start())
	is.Equal(len(startedReplica("a", catalog.MaxBorn, 1).Start()), len("a@")+9)
}

// Guards against an earlier incarnation that replaces a later one under the same id when their
// entries arrive out of order.
func TestALaterIncarnationReplacesAnEarlierOneInAnyOrder(t *testing.T) {
	first, second := startedReplica("a", 100, 5), startedReplica("a", 200, 7)
	late := startedReplica("a", 100, 9) // written again by the first one
	for name, order := range map[string][]catalog.Replica{
		"in order":          {first, second},
		"late news":         {second, first},
		"written once more": {first, second, late},
		"only that":         {second, late},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := catalog.NewContent()
			c.Take(snapshot(4, true))
			for _, r := range order {
				c.Take(changed(r.Revision, true, entryChange(r)))
			}
			is.Equal(incarnations(c), []string{second.Start()})
			c.Take(snapshot(10, true, late)) // the snapshot has the last entry written
			is.Equal(incarnations(c), []string{second.Start()})
			c.Take(changed(11, true, catalog.Change{
				Revision: 11,
				Gone:     "a",
			}))
			is.Equal(len(incarnations(c)), 0)
			c.Take(changed(12, true, entryChange(startedReplica("a", 100, 12)))) // no later one is recorded now
			is.Equal(incarnations(c), []string{late.Start()})
		})
	}
}

func TestWithoutAStartTimeTheRevisionDecides(t *testing.T) {
	is := is.New(t)
	c := catalog.NewContent()
	c.Take(snapshot(5, true, startedReplica("a", 100, 5)))
	c.Take(changed(6, true, entryChange(plainReplica("a", 6))))
	is.Equal(incarnations(c), []string{"a"})
	c.Take(changed(7, true, entryChange(startedReplica("a", 50, 7))))
	is.Equal(incarnations(c), []string{startedReplica("a", 50, 7).Start()})
	c.Take(changed(7, true, entryChange(plainReplica("a", 6))))
	is.Equal(incarnations(c), []string{startedReplica("a", 50, 7).Start()})
}

func TestAnUnconfirmedRemovalDoesntApplyToTheNextIncarnation(t *testing.T) {
	is := is.New(t)
	informed, unsure := catalog.NewContent(), catalog.NewContent()
	for _, c := range []*catalog.Content{informed, unsure} {
		c.Take(snapshot(10, true, startedReplica("a", 100, 5), plainReplica("b", 1)))
	}
	unsure.Take(snapshot(12, false, plainReplica("b", 1))) // an outage may have let its entry expire
	is.True(unsure.InDoubt("a"))
	next := startedReplica("a", 200, 5) // as reported by the replica itself
	informed.Take(changed(12, true, entryChange(next)))
	informed.Take(overTheWire(t, unsure.Since(12)).Update())
	is.True(!informed.InDoubt("a"))
	is.Equal(incarnations(informed), []string{next.Start(), "b"})
	unsure.Take(changed(13, true, entryChange(startedReplica("a", 200, 13))))
	is.True(!unsure.InDoubt("a")) // it is back as another incarnation
}
