package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

func startedReplica(id string, born, revision int64) catalog.Replica {
	r := plainReplica(id, revision)
	r.StartedAt = born
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
		out = append(out, r.Incarnation())
	}
	return out
}

func TestAnIncarnationIsTheIDAndItsStartTime(t *testing.T) {
	is := is.New(t)
	is.Equal(plainReplica("a", 1).Incarnation(), "a") // without a start time
	is.Equal(startedReplica("a", 36, 1).Incarnation(), "a@10")
	is.True(startedReplica("a", 1764720000123, 1).Incarnation() != startedReplica("a", 1764720000124, 1).Incarnation())
	is.Equal(len(startedReplica("a", catalog.MaxStartedAt, 1).Incarnation()), len("a@")+9)
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
			c.Apply(snapshot(4, true))
			for _, r := range order {
				c.Apply(changed(r.Revision, true, entryChange(r)))
			}
			is.Equal(incarnations(c), []string{second.Incarnation()})
			c.Apply(snapshot(10, true, late)) // the snapshot has the last entry written
			is.Equal(incarnations(c), []string{second.Incarnation()})
			c.Apply(changed(11, true, catalog.Change{
				Revision: 11,
				Removed:  "a",
			}))
			is.Equal(len(incarnations(c)), 0)
			c.Apply(changed(12, true, entryChange(startedReplica("a", 100, 12)))) // no later one is recorded now
			is.Equal(incarnations(c), []string{late.Incarnation()})
		})
	}
}

func TestWithoutAStartTimeTheRevisionDecides(t *testing.T) {
	is := is.New(t)
	c := catalog.NewContent()
	c.Apply(snapshot(5, true, startedReplica("a", 100, 5)))
	c.Apply(changed(6, true, entryChange(plainReplica("a", 6))))
	is.Equal(incarnations(c), []string{"a"})
	c.Apply(changed(7, true, entryChange(startedReplica("a", 50, 7))))
	is.Equal(incarnations(c), []string{startedReplica("a", 50, 7).Incarnation()})
	c.Apply(changed(7, true, entryChange(plainReplica("a", 6))))
	is.Equal(incarnations(c), []string{startedReplica("a", 50, 7).Incarnation()})
}

func TestAnUnconfirmedRemovalDoesntApplyToTheNextIncarnation(t *testing.T) {
	is := is.New(t)
	informed, unsure := catalog.NewContent(), catalog.NewContent()
	for _, c := range []*catalog.Content{informed, unsure} {
		c.Apply(snapshot(10, true, startedReplica("a", 100, 5), plainReplica("b", 1)))
	}
	unsure.Apply(snapshot(12, false, plainReplica("b", 1))) // an outage may have let its entry expire
	is.True(unsure.IsUnconfirmed("a"))
	next := startedReplica("a", 200, 5) // as reported by the replica itself
	informed.Apply(changed(12, true, entryChange(next)))
	informed.Apply(overTheWire(t, unsure.ChangesSince(12)).Update())
	is.True(!informed.IsUnconfirmed("a"))
	is.Equal(incarnations(informed), []string{next.Incarnation(), "b"})
	unsure.Apply(changed(13, true, entryChange(startedReplica("a", 200, 13))))
	is.True(!unsure.IsUnconfirmed("a")) // it is back as another incarnation
}
