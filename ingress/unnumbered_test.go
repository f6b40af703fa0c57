package ingress

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A stream whose pieces have no ids was gone on with at another replica after it had broken: the
// other one began anew, as it was told of no last piece, and its first pieces were passed on a
// second time behind those the caller had.
func TestAStreamOfPiecesWithoutIDsIsNotGoneOnWith(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		for _, u := range g.list {
			u.noIDs = true
		}
		g.list[0].tearBefore(5)
		a := g.call(t)
		is.Equal(a.body, strings.Repeat("data: e\n\n", 4)) // no piece twice
		is.True(!a.whole)
		is.Equal(g.runs(), 1)
	})
}

// Nor is its run cut because it is silent: that would break it off.
func TestAStreamOfPiecesWithoutIDsIsNotCutForItsSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		g.list[0].noIDs = true
		g.list[0].pauseBefore(5, 3*time.Second)
		a := g.call(t)
		is.Equal(a.body, strings.Repeat("data: e\n\n", eventCount))
		is.True(a.whole)
		is.Equal(g.runs(), 1)
	})
}
