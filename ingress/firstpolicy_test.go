package ingress

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a box that refuses its first requests in a region far from the publisher, whose policy
// arrives some 350 ms after the start.
func TestTheFirstRequestOfABoxWaitsForAPolicyOfAnotherRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 1)
		g.uptime = 0
		g.policyAfter = 350 * time.Millisecond
		is.Equal(g.call(t).body, completeStream())
	})
}

func TestABoxThatStaysWithoutAPolicyRefusesSoon(t *testing.T) {
	for _, uptime := range []time.Duration{0, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g := newRegion(t, 1)
			g.uptime = uptime
			g.policyAfter = time.Hour
			a := g.call(t)
			is.True(a.complete)
			is.Equal(g.runs(), 0)
			is.True(a.took <= max(policyWaitTimeout, firstPolicyTimeout-uptime)+2*policyPollInterval)
		})
	}
}
