package placement_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/placement"
)

// at returns a replica of the engine's service with an id at an address, as published at a
// revision.
func at(id, addr string, revision int64) catalog.Replica {
	r := replicas("engine", 1)[0]
	r.ID = id
	r.Addr = addr
	r.Revision = revision
	return r
}

// A replica that crashed was back at its address under a new id, while the entry of the old
// one had not lapsed. The old id stayed in use for up to 4 s: each request that went there
// came back misdirected, 421 of them on a day on which a row of replicas did so.
func TestAnIdWhoseAddressAnotherHasGetsNoWork(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", at("old", "127.0.0.1:1", 1))
	news := b.publish(start, nil, at("old", "127.0.0.1:1", 1), at("new", "127.0.0.1:1", 2))
	is.Equal(len(news), 2)
	is.Equal(news[0].Reason, "replica listed")
	is.Equal(news[1].About, "old")
	is.Equal(news[1].Reason, "replica's address has another")
	for i := range 10 {
		c := b.Pick(ask("engine", fmt.Sprint(i)), alone, start)
		is.Equal(c.ID, "new")
		b.End(&c, placement.Answered, 0, start)
	}
}

func TestReplicasAtOtherAddressesOrOfTheSameRevisionStayInUse(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", at("one", "127.0.0.1:1", 1), at("two", "127.0.0.1:2", 2), at("three", "127.0.0.1:2", 2))
	seen := make(map[string]bool)
	for i := range 30 {
		c := b.Pick(ask("engine", fmt.Sprint(i)), alone, start)
		seen[c.ID] = true
	}
	is.Equal(len(seen), 3)
}

// Another writer's entry may name a service that nobody has, and the address of a replica.
func TestAnEntryOfAServiceThatIsNotKnownTakesNoAddress(t *testing.T) {
	is := is.New(t)
	foreign := at("foreign", "127.0.0.1:1", 2)
	foreign.Service = "nobody's"
	b := newBox("a", "hall", at("real", "127.0.0.1:1", 1))
	b.publish(start, nil, at("real", "127.0.0.1:1", 1), foreign)
	c := b.Pick(ask("engine", "k"), alone, start)
	is.Equal(c.ID, "real")
}

func TestACopyOfAnEntryTakesNoAddressFromAReplicaThatTellsItsStart(t *testing.T) {
	is := is.New(t)
	original, copied := at("real", "127.0.0.1:1", 1), at("copied", "127.0.0.1:1", 2)
	original.Born, copied.Born = firstBorn, firstBorn
	b := newBox("a", "hall", original)
	b.publish(start, nil, original, copied)
	is.True(b.Get(original.Start()).Listed())
	copied.Born = secondBorn // a later start
	copied.Revision = 3
	b.publish(start, nil, original, copied)
	is.True(!b.Get(original.Start()).Listed())
}
