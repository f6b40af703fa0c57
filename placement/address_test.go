package placement_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/placement"
)

func at(id, addr string, revision int64) catalog.Replica {
	r := replicas("engine", 1)[0]
	r.ID = id
	r.Addr = addr
	r.Revision = revision
	return r
}

// Guards against requests to an id whose address a replica with a new id has taken over,
// which come back misdirected until the old entry expires.
func TestAnIdWhoseAddressAnotherHasGetsNoWork(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", at("old", "127.0.0.1:1", 1))
	changes := b.publish(start, nil, at("old", "127.0.0.1:1", 1), at("new", "127.0.0.1:1", 2))
	is.Equal(len(changes), 2)
	is.Equal(changes[0].Reason, "replica listed")
	is.Equal(changes[1].Subject, "old")
	is.Equal(changes[1].Reason, "replica's address has another")
	for i := range 10 {
		c := b.Pick(newRequest("engine", fmt.Sprint(i)), alone, start)
		is.Equal(c.ID, "new")
		b.End(&c, placement.Answered, 0, start)
	}
}

func TestReplicasAtOtherAddressesOrOfTheSameRevisionStayInUse(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", at("one", "127.0.0.1:1", 1), at("two", "127.0.0.1:2", 2), at("three", "127.0.0.1:2", 2))
	seen := make(map[string]bool)
	for i := range 30 {
		c := b.Pick(newRequest("engine", fmt.Sprint(i)), alone, start)
		seen[c.ID] = true
	}
	is.Equal(len(seen), 3)
}

// Guards against an entry of another writer that takes over the address of a replica.
func TestAnEntryOfAServiceThatIsNotKnownTakesNoAddress(t *testing.T) {
	is := is.New(t)
	foreign := at("foreign", "127.0.0.1:1", 2)
	foreign.Service = "nobody's"
	b := newBox("a", "hall", at("real", "127.0.0.1:1", 1))
	b.publish(start, nil, at("real", "127.0.0.1:1", 1), foreign)
	c := b.Pick(newRequest("engine", "k"), alone, start)
	is.Equal(c.ID, "real")
}

func TestACopyOfAnEntryTakesNoAddressFromAReplicaThatTellsItsStart(t *testing.T) {
	is := is.New(t)
	original, copied := at("real", "127.0.0.1:1", 1), at("copied", "127.0.0.1:1", 2)
	original.StartedAt, copied.StartedAt = firstBorn, firstBorn
	b := newBox("a", "hall", original)
	b.publish(start, nil, original, copied)
	is.True(b.Get(original.Incarnation()).Listed())
	copied.StartedAt = secondBorn // a later start
	copied.Revision = 3
	b.publish(start, nil, original, copied)
	is.True(!b.Get(original.Incarnation()).Listed())
}
