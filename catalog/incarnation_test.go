package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

// started returns a replica that started at a time, as published at a revision.
func started(id string, born, revision int64) catalog.Replica {
	r := plainReplica(id, revision)
	r.Born = born
	return r
}

// listed returns a change that tells of a replica.
func listed(r catalog.Replica) catalog.Change {
	return catalog.Change{
		Revision: r.Revision,
		Replica:  &r,
	}
}

// starts returns the starts that a copy holds.
func starts(c *catalog.Content) []string {
	var out []string
	for _, r := range c.Replicas() {
		out = append(out, r.Start())
	}
	return out
}

func TestAStartIsTheIDAndWhenItBegan(t *testing.T) {
	is := is.New(t)
	is.Equal(plainReplica("a", 1).Start(), "a") // it isn't said
	is.Equal(started("a", 36, 1).Start(), "a@10")
	is.True(started("a", 1764720000123, 1).Start() != started("a", 1764720000124, 1).Start())
	is.Equal(len(started("a", catalog.MaxBorn, 1).Start()), len("a@")+9)
}

// A replica that crashed was back under its id within one heartbeat, so its entry
// never went. Whatever order the news of both starts come in, the later start holds.
func TestALaterStartReplacesAnEarlierOneInWhateverOrder(t *testing.T) {
	first, second := started("a", 100, 5), started("a", 200, 7)
	late := started("a", 100, 9) // written by the first once more
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
				c.Take(changed(r.Revision, true, listed(r)))
			}
			is.Equal(starts(c), []string{second.Start()})
			c.Take(snapshot(10, true, late)) // a reading shows what was written last
			is.Equal(starts(c), []string{second.Start()})
			c.Take(changed(11, true, catalog.Change{
				Revision: 11,
				Gone:     "a",
			}))
			is.Equal(len(starts(c)), 0)
			c.Take(changed(12, true, listed(started("a", 100, 12)))) // nothing later is known to live
			is.Equal(starts(c), []string{late.Start()})
		})
	}
}

func TestWhereAStartIsNotToldTheRevisionDecides(t *testing.T) {
	is := is.New(t)
	c := catalog.NewContent()
	c.Take(snapshot(5, true, started("a", 100, 5)))
	c.Take(changed(6, true, listed(plainReplica("a", 6))))
	is.Equal(starts(c), []string{"a"})
	c.Take(changed(7, true, listed(started("a", 50, 7))))
	is.Equal(starts(c), []string{started("a", 50, 7).Start()})
	c.Take(changed(7, true, listed(plainReplica("a", 6))))
	is.Equal(starts(c), []string{started("a", 50, 7).Start()})
}

func TestADoubtOfAnEarlierStartIsNoneOfTheNext(t *testing.T) {
	is := is.New(t)
	knows, doubts := catalog.NewContent(), catalog.NewContent()
	for _, c := range []*catalog.Content{knows, doubts} {
		c.Take(snapshot(10, true, started("a", 100, 5), plainReplica("b", 1)))
	}
	doubts.Take(snapshot(12, false, plainReplica("b", 1))) // a outage may have let its entry lapse
	is.True(doubts.InDoubt("a"))
	next := started("a", 200, 5) // as the replica itself said when it was asked
	knows.Take(changed(12, true, listed(next)))
	knows.Take(overTheWire(t, doubts.Since(12)).Update())
	is.True(!knows.InDoubt("a"))
	is.Equal(starts(knows), []string{next.Start(), "b"})
	doubts.Take(changed(13, true, listed(started("a", 200, 13))))
	is.True(!doubts.InDoubt("a")) // it is back, as another one
}
