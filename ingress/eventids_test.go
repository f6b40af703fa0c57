package ingress

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against resuming a stream without event IDs, which repeats events that the caller has
// received.
func TestAStreamOfEventsWithoutIDsIsNotResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		for _, u := range g.list {
			u.noIDs = true
		}
		g.list[0].abortBefore(5)
		a := g.call(t)
		is.Equal(a.body, strings.Repeat("data: e\n\n", 4)) // no event twice
		is.True(!a.complete)
		is.Equal(g.runs(), 1)
	})
}

// Guards against cancelling a stalled stream that can't be resumed.
func TestAStreamOfEventsWithoutIDsIsNotCancelledForItsSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		g.list[0].noIDs = true
		g.list[0].pauseBefore(5, 3*time.Second)
		a := g.call(t)
		is.Equal(a.body, strings.Repeat("data: e\n\n", eventCount))
		is.True(a.complete)
		is.Equal(g.runs(), 1)
	})
}
