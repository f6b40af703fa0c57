package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

// A box went on sending to a replica for five seconds after its entry was removed.
//
// The sequence: the box follows others. One of these had just reached the publisher
// again, where entries that lapsed may come back within two seconds, so it put the
// removal off that its watch brought, and took its revision for known. The follower
// asked it for what changed and got that revision without the removal. Then the
// other box read all, found the replica gone, and noted that with the revision of
// the reading. The follower knew a higher one by then, asked for what changed since
// that, and was never told.
//
// What settled it: 19 of 22 boxes of the region wrote that the replica is no longer
// listed within a second, the follower never did, and it took in news of other
// replicas up to a revision beyond the removal meanwhile.
func TestAFollowerIsToldOfARemovalThatWasPutOff(t *testing.T) {
	is := is.New(t)
	const before, removed, read, later = 10, 11, 12, 15
	watcher := catalog.NewContent()
	watcher.Take(snapshot(before, true, plainReplica("kept", 1), plainReplica("gone", 1)))
	follower := catalog.NewContent()
	follower.Take(watcher.Since(0).Update())

	watcher.Take(catalog.Update{
		Changes: []catalog.Change{{
			Revision: removed,
			Gone:     "gone",
		}},
		Revision: removed,
		Settled:  false,
	})
	follower.Take(watcher.Since(before).Update())
	is.Equal(follower.Revision(), int64(removed))

	watcher.Take(snapshot(read, true, plainReplica("kept", 1)))
	is.Equal(len(watcher.Replicas()), 1)
	follower.Take(catalog.Update{ // of another box
		Revision: later,
		Settled:  true,
	})
	follower.Take(watcher.Since(later).Update())
	is.Equal(len(follower.Replicas()), 1)
}
