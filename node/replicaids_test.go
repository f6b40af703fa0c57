package node

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/roster"
)

// Guards against loads that are recorded for a replica with the same short id, or for none once that has gone.
func TestAShortIDNamesAReplicaOnlyWhileNoOtherHasIt(t *testing.T) {
	is := is.New(t)
	first, second := sharedReplicaIDs()
	ids := make(replicaIDs)
	ids.add(first)
	ids.add(first)
	id := roster.ReplicaIDOf(first)
	got, ok := ids.start(id)
	is.True(ok)
	is.Equal(got, first)
	ids.add(second)
	_, ok = ids.start(id)
	is.True(!ok) // either replica may be meant
	ids.drop(second)
	got, ok = ids.start(id)
	is.True(ok)
	is.Equal(got, first)
	ids.drop(first)
	is.Equal(len(ids), 0)
}

// sharedReplicaIDs returns two incarnations of replicas with the same short id.
func sharedReplicaIDs() (a, b string) {
	starts := make(map[roster.ReplicaID]string)
	for n := 0; ; n++ {
		start := fmt.Sprintf("i-%08x", n*7919)
		id := roster.ReplicaIDOf(start)
		if other, ok := starts[id]; ok {
			return other, start
		}
		starts[id] = start
	}
}
