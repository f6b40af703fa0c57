package pacing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/common/rendezvous"
)

// newColdPacer returns the pacer of a box with a share of one send to a cold replica, and the boxes.
func newColdPacer() (*Pacer, []string) {
	boxes := names(40)
	p := New(rendezvous.Top(replica, boxes, 1)[0], testTerms)
	p.MarkCold(replica, rate, farFuture)
	return p, boxes
}

// Guards against a box that forgets sends under way since it has sent to many other replicas meanwhile.
func TestASendCountsUntilItHasArrivedHoweverManyOtherReplicasABoxUses(t *testing.T) {
	const from = 10 * time.Second
	is := is.New(t)
	p, boxes := newColdPacer()
	p.MarkWarm(replica)
	is.True(p.Take(replica, boxes, from))
	now := from
	for n := range maxWarm {
		now += 2 * time.Millisecond
		is.True(p.Take(fmt.Sprint("other-", n), boxes, now))
	}
	p.MarkCold(replica, rate, farFuture)
	is.True(!p.Allow(replica, boxes, now)) // the first one may arrive at any moment
}

// Guards against a box that takes a send to a warm replica for arrived since it was written long after it was
// allowed, and many others in between.
func TestASendThatIsWrittenLongAfterItWasAllowedCountsUntilItHasArrived(t *testing.T) {
	const from = 10 * time.Second
	is := is.New(t)
	p, boxes := newColdPacer()
	p.MarkWarm(replica)
	is.True(p.Take(replica, boxes, from))
	written := from + retention + time.Second
	for n := range 2 * maxWarmSends {
		now := written - time.Duration(2*maxWarmSends-n)
		is.True(p.Take(replica, boxes, now))
	}
	for n := range 2 * maxWarmSends {
		p.MarkArrived(replica, written-time.Duration(2*maxWarmSends-n), written)
	}
	is.True(p.MayWrite(replica, from, written))
	p.MarkSent(replica, from, written)
	p.MarkCold(replica, rate, farFuture)
	is.True(!p.Allow(replica, boxes, written+maxTransit-1))
}
