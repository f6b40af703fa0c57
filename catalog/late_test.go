package catalog_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

// Guards against a follower that never receives a removal: it gets the revision from a box
// where the removal is still unconfirmed, which confirms it later at an earlier revision than
// the follower's.
func TestAFollowerReceivesARemovalThatAPeerConfirmsLate(t *testing.T) {
	is := is.New(t)
	const before, removed, read, later = 10, 11, 12, 15
	watcher, follower := unsentRemoval(before, removed, removed, false)
	follower.Apply(watcher.ChangesSince(before).Update())
	is.Equal(follower.Revision(), int64(removed))

	watcher.Apply(snapshot(read, true, plainReplica("kept", 1)))
	is.Equal(len(watcher.Replicas()), 1)
	follower.Apply(catalog.Update{ // from another box
		Revision: later,
		Settled:  true,
	})
	follower.Apply(watcher.ChangesSince(later).Update())
	is.Equal(len(follower.Replicas()), 1)
}

// unsentRemoval returns the copies of a watcher with a removal, recorded up to a revision, and
// of a follower that has not received it.
func unsentRemoval(before, removed, upTo int64, settled bool) (watcher, follower *catalog.Content) {
	watcher = catalog.NewContent()
	watcher.Apply(snapshot(before, true, plainReplica("kept", 1), plainReplica("gone", 1)))
	follower = catalog.NewContent()
	follower.Apply(watcher.ChangesSince(0).Update())
	watcher.Apply(catalog.Update{
		Changes: []catalog.Change{{
			Revision: removed,
			Removed:  "gone",
		}},
		Revision: upTo,
		Settled:  settled,
	})
	return watcher, follower
}

// Guards against a follower that records a revision by its own read after an outage, leaves a
// removal unconfirmed, and then doesn't receive it from boxes that have confirmed it.
func TestAFollowerReceivesARemovalThatItsOwnReadLeftUnconfirmed(t *testing.T) {
	is := is.New(t)
	const before, removed, read = 10, 11, 12
	watcher, follower := unsentRemoval(before, removed, read, true)
	follower.Apply(snapshot(read, false, plainReplica("kept", 1)))
	follower.Apply(watcher.ChangesSince(follower.Revision()).Update())
	is.Equal(len(follower.Replicas()), 1)
}
