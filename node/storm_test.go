package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

// A box that gets each version soon is not one that can't get a policy.
func TestABoxThatGetsOnePolicyAfterTheOtherReadsForItselfOnlyOnceItGetsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reads := 0
		n := &Node{started: time.Now()}
		n.feed = catalog.NewFeed(catalog.Source{}, func(catalog.Update) {})
		for v := 1; v <= 60; v++ { // the one before is in force by now
			n.readAlone(v)
			if n.alone > policyAlone {
				reads++
			}
			time.Sleep(policyPause)
		}
		if reads > 0 {
			t.Errorf("it read for itself, and waits %v for the next time", n.alone)
		}
	})
}
