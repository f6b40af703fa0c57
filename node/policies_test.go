package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fewBusy boxes have three that watch and five that follow in each region.
const fewBusy = 24

// busyRun runs boxes with narrow links that have all begun.
func busyRun(t *testing.T, f func(b *busy)) {
	synctest.Test(t, func(t *testing.T) {
		b := newBusy(t, fewBusy)
		defer b.end()
		b.watch(allFollow)
		b.links.Load().reset()
		f(b)
		if b.late != "" {
			t.Error(b.late)
		}
		bytes, answers := b.links.Load().maxSent()
		t.Logf("a box sent %d KB in %d answers, longest queue %v; in force after %v, leaving known after %v, removals after %v",
			bytes/1000, answers, b.links.Load().longest, b.inForce, b.learned, b.worst)
	})
}

func TestALargePolicyIsInForceThoughThoseWhoWatchAreLost(t *testing.T) {
	for _, after := range []time.Duration{200 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			busyRun(t, func(b *busy) {
				b.publish(bigPolicies * bigRoutes)
				b.watch(after)
				for _, box := range b.boxes {
					if n := box.node.Load(); n != nil && !n.isFollower.Load() {
						b.kill(box)
					}
				}
				b.watch(policyWithin + time.Second)
			})
		})
	}
}

func TestBoxesThatCannotReadGetALargePolicyFromOthers(t *testing.T) {
	busyRun(t, func(b *busy) {
		b.turnAway(0.4, 20*time.Second)
		b.play(0, 2*time.Second)
		b.publish(bigPolicies * bigRoutes)
		b.play(4, policyWithin+time.Second)
		box := b.boxes[regionsOf+1]
		b.kill(box)
		b.listing.refuse(box.settings.Box, true)
		b.start(box) // it knows nothing, not even an earlier policy
		b.at = time.Now()
		b.watch(policyWithin)
		if n := box.node.Load(); n.table.Load() == nil || n.table.Load().Version() != b.version {
			t.Errorf("a box that started has no policy after %v", policyWithin)
		}
	})
}

func TestAStormOfLargePoliciesIsInForceSoon(t *testing.T) {
	busyRun(t, func(b *busy) {
		b.publish(bigPolicies * bigRoutes)
		b.play(0, bigEvery)
		for range 20 {
			b.publish(bigPolicies * bigRoutes)
			b.watch(250 * time.Millisecond)
		}
		b.play(12, policyWithin)
		b.watch(policyWithin)
	})
}

func TestAPolicyThatNobodyGivesIsRead(t *testing.T) {
	busyRun(t, func(b *busy) {
		for _, box := range b.boxes { // as if each had given all that it may
			n := box.node.Load()
			n.policyBucket.take(1e9, n.now())
		}
		b.publish(bigRoutes)
		b.watch(policyWithin + time.Second)
	})
}

func TestABoxGivesPoliciesAtAPace(t *testing.T) {
	is := is.New(t)
	o := newByteBucket(policyRate, policyBurst)
	is.Equal(o.take(policyBurst-1, 0), 0*time.Second)
	is.Equal(o.take(policyRate, 0), 0*time.Second) // there is a byte left
	wait := o.take(1, 0)
	is.True(wait > 900*time.Millisecond)
	is.True(o.take(1, wait/2) > 0)
	is.Equal(o.take(1, wait+time.Millisecond), 0*time.Second)
}
