package node

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
)

// noJitter makes waits as long as possible.
func noJitter() float64 { return 0 }

// Guards against reads of the platform by a box that receives each version after a short delay.
func TestABoxThatGetsOnePolicyAfterTheOtherReadsForItselfOnlyOnceItGetsNone(t *testing.T) {
	is := is.New(t)
	var p ownReadTimer
	const versions = 60
	now := time.Duration(0)
	for v := 1; v <= versions; v++ { // the previous one is in force
		is.True(!p.shouldRead(v-1, v, now, noJitter))
		now += policyRequestInterval
	}
	reads := 0
	for end := now + ownReadTimeout; now < end; now += policyRequestInterval { // the last one never arrives
		if p.shouldRead(versions-1, versions, now, noJitter) {
			reads++
		}
	}
	is.Equal(reads, 1)
	is.True(p.shouldRead(versions-1, versions, now+2*ownReadTimeout, noJitter)) // later each time
	is.True(!p.shouldRead(versions-1, versions, now+5*ownReadTimeout, noJitter))
}

func TestABoxThatMissesSeveralPoliciesReadsOne(t *testing.T) {
	is := is.New(t)
	var p ownReadTimer
	is.True(!p.shouldRead(3, 4, 0, noJitter))
	is.True(!p.shouldRead(3, 20, ownReadTimeout-1, noJitter))
	is.True(p.shouldRead(3, 21, ownReadTimeout, noJitter))
}

func TestReadsOfBoxesAreSpreadInTime(t *testing.T) {
	is := is.New(t)
	var early, late ownReadTimer
	is.True(!early.shouldRead(0, 1, 0, func() float64 { return 1 }))
	is.True(!late.shouldRead(0, 1, 0, noJitter))
	is.True(early.shouldRead(0, 1, ownReadTimeout*3/4, noJitter))
	is.True(!late.shouldRead(0, 1, ownReadTimeout-1, noJitter))
	is.True(late.shouldRead(0, 1, ownReadTimeout, noJitter))
}

func TestFailedSourcesAreExcludedUntilAPolicyArrives(t *testing.T) {
	is := is.New(t)
	var p policySources
	p.failed = append(p.failed, "a", "b")
	p.busy = "c"
	is.True(slices.Equal(p.excluded(), []string{"a", "b", "c"}))
	p.busy = "d"
	is.True(slices.Equal(p.excluded(), []string{"a", "b", "d"}))
	p.reset()
	is.Equal(p.excluded(), []string{""})
}

// Guards against a box that retries dead boxes of its region and never asks other regions.
func TestAPolicyIsAskedOfOtherRegionsWhereAllOfTheOwnFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSimulation(t.Context(), 1, churnBoxes)
		defer f.end()
		f.pass(8 * time.Second)
		n := f.boxes[0].node.Load()
		var own []string
		regions := func(avoid []string) (near, far int) {
			_ = n.state.Do(func(s *state) {
				known := s.content
				s.content = catalog.NewContent()
				for _, b := range s.findMissingPolicy(avoid, n.now()).sources {
					if b.Region == n.settings.Region {
						near++
						own = append(own, b.Box)
					} else {
						far++
					}
				}
				s.content = known
			})
			return near, far
		}
		near, far := regions(nil)
		is.True(near >= 2)
		is.Equal(far, 0)
		near, far = regions(own[1:])
		is.Equal(near, 1)
		is.Equal(far, 0)
		near, far = regions(own)
		is.Equal(near, 0)
		is.True(far > 0)
	})
}
