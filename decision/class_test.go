package decision

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFailuresGoBeforeSuccesses(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		event Event
		want  class
	}{
		{Event{Kind: Start}, lifecycle},
		{Event{Kind: Stop}, lifecycle},
		{Event{Kind: Reload}, lifecycle},
		{Event{Kind: Lost}, lifecycle},
		{Event{Kind: Regained}, lifecycle},
		{Event{Kind: Belief}, failure},
		{Event{Kind: End, Outcome: Refused}, failure},
		{Event{Kind: Try, Outcome: Unknown}, failure},
		{Event{Kind: Try, Outcome: Served}, routine},
		{Event{Kind: End, Outcome: Left}, failure},
		{Event{Kind: End, Outcome: Served}, routine},
		{Event{Kind: Place}, routine},
		{Event{Kind: Try}, routine},
		{Event{Kind: End}, routine},
	} {
		is.Equal(classOf(&c.event), c.want)
	}
}

func TestTheBudgetKeepsAPartForEachHigherClass(t *testing.T) {
	is := is.New(t)
	b := budget{
		rate:  8,
		burst: 16,
	}
	now := start
	is.Equal(takeAll(&b, routine, now), 8)
	is.Equal(takeAll(&b, failure, now), 6)
	is.Equal(takeAll(&b, lifecycle, now), 2)
	now = now.Add(time.Second)
	is.Equal(takeAll(&b, routine, now), 0) // the reserve fills first
	is.Equal(takeAll(&b, failure, now), 6)
	now = now.Add(time.Hour)
	is.Equal(takeAll(&b, routine, now), 8) // no more than the burst was saved
}

func TestTheSmallestBurstStillLetsSuccessesThrough(t *testing.T) {
	is := is.New(t)
	b := budget{
		rate:  1,
		burst: 1,
	}
	is.Equal(takeAll(&b, routine, start), 1)
	is.Equal(takeAll(&b, routine, start.Add(time.Second)), 1)
}

func TestAStepBackOfTheClockAddsNothing(t *testing.T) {
	is := is.New(t)
	b := budget{
		rate:  1,
		burst: 4,
	}
	is.Equal(takeAll(&b, lifecycle, start), 4)
	is.Equal(takeAll(&b, lifecycle, start.Add(-time.Hour)), 0)
	is.Equal(takeAll(&b, lifecycle, start.Add(time.Second)), 1)
}

// takeAll takes lines of class c until there are none, and returns how many.
func takeAll(b *budget, c class, now time.Time) int {
	n := 0
	for b.take(c, now) {
		n++
	}
	return n
}
