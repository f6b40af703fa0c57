package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// churnBoxes is enough for three watchers and five followers in each region.
const churnBoxes = 24

// runPolicyChurn runs f with boxes that have started and have narrow links.
func runPolicyChurn(t *testing.T, f func(b *policyChurn)) {
	synctest.Test(t, func(t *testing.T) {
		b := newPolicyChurn(t, churnBoxes)
		defer b.end()
		b.watch(rolesSettleTime)
		b.links.Load().reset()
		f(b)
		if b.violation != "" {
			t.Error(b.violation)
		}
		bytes, answers := b.links.Load().maxSent()
		t.Logf("a box sent %d KB in %d answers, longest queue %v; in force after %v, leaving recorded after %v, removals after %v",
			bytes/1000, answers, b.links.Load().longest, b.maxPolicyLag, b.maxLeavingLag, b.maxRemovalLag)
	})
}

func TestALargePolicyIsInForceThoughThoseWhoWatchAreLost(t *testing.T) {
	for _, after := range []time.Duration{200 * time.Millisecond, 1200 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			runPolicyChurn(t, func(b *policyChurn) {
				b.publish(largePolicies * extraRoutes)
				b.watch(after)
				for _, box := range b.boxes {
					if n := box.node.Load(); n != nil && !n.isFollower.Load() {
						b.kill(box)
					}
				}
				b.watch(policyBound + time.Second)
			})
		})
	}
}

func TestBoxesThatCannotReadGetALargePolicyFromOthers(t *testing.T) {
	runPolicyChurn(t, func(b *policyChurn) {
		b.rejectSome(0.4, 20*time.Second)
		b.replaceFor(0, 2*time.Second)
		b.publish(largePolicies * extraRoutes)
		b.replaceFor(4, policyBound+time.Second)
		box := b.boxes[simRegions+1]
		b.kill(box)
		b.listing.setRejects(box.settings.Box, true)
		b.start(box) // it starts without any policy
		b.at = time.Now()
		b.watch(policyBound)
		if n := box.node.Load(); n.table.Load() == nil || n.table.Load().Version() != b.version {
			t.Errorf("a box that started has no policy after %v", policyBound)
		}
	})
}

func TestAStormOfLargePoliciesIsInForceSoon(t *testing.T) {
	runPolicyChurn(t, func(b *policyChurn) {
		b.publish(largePolicies * extraRoutes)
		b.replaceFor(0, policyInterval)
		for range 20 {
			b.publish(largePolicies * extraRoutes)
			b.watch(250 * time.Millisecond)
		}
		b.replaceFor(12, policyBound)
		b.watch(policyBound)
	})
}

func TestAPolicyThatNobodyGivesIsRead(t *testing.T) {
	runPolicyChurn(t, func(b *policyChurn) {
		for _, box := range b.boxes { // exhausts the rate limit of each box
			n := box.node.Load()
			n.policyBucket.take(1e9, n.now())
		}
		b.publish(extraRoutes)
		b.watch(policyBound + time.Second)
	})
}

func TestPolicyResponsesAreRateLimited(t *testing.T) {
	is := is.New(t)
	o := newByteBucket(policyRate, policyBurst)
	is.Equal(o.take(policyBurst-1, 0), 0*time.Second)
	is.Equal(o.take(policyRate, 0), 0*time.Second) // a byte is left
	wait := o.take(1, 0)
	is.True(wait > 900*time.Millisecond)
	is.True(o.take(1, wait/2) > 0)
	is.Equal(o.take(1, wait+time.Millisecond), 0*time.Second)
}
