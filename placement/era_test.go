package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

// Guards against pacing all replicas when the publisher comes back from an older copy.
func TestAnEntryThatIsTheSameInALaterEraMakesNoReplicaCold(t *testing.T) {
	is := is.New(t)
	cold := coldReplica(3000)
	b := newBox("a", "hall", cold)
	is.True(b.Pacer().IsCold(cold.ID, start+time.Second))
	is.True(!b.Pacer().IsCold(cold.ID, start+10*time.Second))
	apply := func(rev int64, now time.Duration) {
		r := cold
		var err error
		r.Revision, err = catalog.RevisionIn(1, rev)
		is.NoErr(err)
		b.rev = r.Revision - 1
		b.publish(now, nil, r)
	}
	apply(cold.Revision, start+10*time.Second)
	is.True(!b.Pacer().IsCold(cold.ID, start+11*time.Second))
	apply(cold.Revision+1, start+12*time.Second) // it was written again
	is.True(b.Pacer().IsCold(cold.ID, start+13*time.Second))
}
