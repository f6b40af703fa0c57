package placement_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

// removeUnsettled applies an unsettled snapshot with only the given replicas.
func (b *box) removeUnsettled(left ...catalog.Replica) {
	b.rev++
	b.content.Apply(catalog.Update{
		Snapshot: &catalog.Snapshot{
			Revision: b.rev,
			Replicas: left,
		},
		Revision: b.rev,
	})
	b.Apply(b.content, start)
}

func TestAReplicaWithUnconfirmedRemovalReceivesNoRequests(t *testing.T) {
	is := is.New(t)
	all := replicas("engine", 10)
	b := newBox("a", "hall", all...)
	b.removeUnsettled(all[1:]...)
	for range 20 {
		c := b.Pick(newRequest("engine", "request"), alone, start)
		is.True(c.Incarnation != all[0].ID)
		is.True(c.Incarnation != "")
	}
	is.True(b.Get(all[0].ID).Listed())
}

func TestManyReplicasWithUnconfirmedRemovalStayInUse(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 4)...)
	b.removeUnsettled()
	seen := make(map[string]bool)
	for n := range 12 {
		seen[b.Pick(newRequest("engine", fmt.Sprint(n)), alone, start).Incarnation] = true
	}
	is.Equal(len(seen), 4)
}
