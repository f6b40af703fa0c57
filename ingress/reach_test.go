package ingress

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// The watch over silence tries the next target, and leaves it out when it takes no
// connection. The retry that followed forgot that, and lost 250 ms more at the same one:
//
//	try  r-0  broken   replica silent   1500 ms
//	try  r-1  not_run  failed to dial    250 ms
//	try  r-2  served
func TestARetryDoesNotGoToTheTargetThatWasJustFoundDark(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		g.list[1].addr = dark(t, g)
		time.AfterFunc(450*time.Millisecond, g.list[0].goDark)
		a := g.call(t)
		is.True(a.whole)
		is.Equal(a.body, wholeStream())
		for _, e := range g.lines {
			t.Logf("%v %v %v %v %v", e.Kind, e.Upstream, e.Outcome, e.Reason, e.TookMs)
		}
		t.Logf("took %v", a.took)
		for _, e := range g.lines {
			is.True(e.Upstream != g.list[1].id) // the watch knew
		}
	})
}

// A stream that broke goes on at the replica that broke it where the only other one
// refuses connections. Each refusal was counted as a round and began the wait anew, so the
// stream was broken off, "no more tries", after 1.38 s of its 15 s.
func TestAStreamGoesOnAtTheReplicaThatBrokeItWhereTheOtherRefusesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 2)
		g.list[1].addr = refusingAddr
		g.list[0].tearBefore(5)
		time.AfterFunc(time.Second, func() { g.list[0].tearBefore(0) })
		a := g.call(t)
		t.Logf("took %v, %d runs, %d lines", a.took, g.runs(), len(g.lines))
		for _, e := range g.lines {
			t.Logf("%v %v %v %v %v", e.Kind, e.Upstream, e.Outcome, e.Reason, e.TookMs)
		}
		is.True(a.whole)
		is.Equal(a.body, wholeStream())
	})
}

const refusingAddr = "127.0.0.9:1"

// dark returns the address of a listener that never accepts, as of a machine that is gone.
func dark(t *testing.T, g *region) string {
	l, err := g.link.net.Listen("dark")("tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}
