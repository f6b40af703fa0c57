package poison

// A request that was under way on the same replicas as one that ends them was quarantined at
// all boxes. Of the two courses that the path test took, from the lines of its boxes:
//
// Both had the same three ends, and no whole answer, so nothing told them apart. Neither was
// tried alone, which would have.
//
// Or it was answered whole 43 ms after it was cut, by the replica that its box tried next.
// The end of the first was counted 9 ms later, once a connection had told of it, and for the
// time of the count, not of the cut: so the answer cleared nothing, nobody was told of it, and
// two ends at another box made three.

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var innocent = Content{
	Target: "/innocent",
}

// crashUnderBoth has a replica end under the guilty request and an innocent one at a box.
func (b *cluster) crashUnderBoth(name, replica string) {
	b.now += 2 * jointCrashWindow
	w := b.watches[name]
	w.Cut(replica, poisonous.Digest(), sentBefore, b.now)
	w.Cut(replica, innocent.Digest(), sentBefore, b.now)
	w.Ended(replica, b.now)
	b.sendDue(name)
}

func TestOfTwoRequestsWithTheSameEndsTheInnocentOneIsNotQuarantined(t *testing.T) {
	is := is.New(t)
	b := newCluster(t, 9)
	for i := range quarantineThreshold {
		b.crashUnderBoth(fmt.Sprint("box-", i), fmt.Sprint("replica-", i))
	}
	b.run(time.Second)
	is.Equal(b.countQuarantined(innocent.Digest()), 0)
	is.True(b.watches["box-5"].Clear(innocent.Digest(), b.now)) // one run alone tells
	b.sendDue("box-5")
	b.run(time.Second)
	is.Equal(b.countQuarantined(innocent.Digest()), 0)
	is.Equal(b.countQuarantined(poisonous.Digest()), 9) // nothing else explains the ends
}

func TestARequestWhoseAnswerCameBeforeTheEndWasKnownIsCleared(t *testing.T) {
	is := is.New(t)
	b := newCluster(t, 3)
	w := b.watches["box-0"]
	w.Cut("replica-0", innocent.Digest(), sentBefore, b.now)
	b.now += 43 * time.Millisecond
	is.True(w.Clear(innocent.Digest(), b.now)) // answered by the next replica
	b.sendDue("box-0")
	b.now += 9 * time.Millisecond
	is.Equal(w.Ended("replica-0", b.now), 0)
	b.sendDue("box-0")
	b.now += 200 * time.Millisecond
	b.crash("box-1", "replica-1", innocent.Digest())
	b.crash("box-1", "replica-2", innocent.Digest())
	b.crash("box-2", "replica-3", innocent.Digest())
	b.run(time.Second)
	is.Equal(b.countQuarantined(innocent.Digest()), 0)
}
