package ingress

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/exchange"
)

// Guards against a retry that spends another dial timeout on a target that the stall watch has
// found unreachable.
func TestARetryDoesNotGoToTheTargetThatWasJustFoundUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		g.list[1].addr = unresponsiveAddr(t, g)
		time.AfterFunc(450*time.Millisecond, g.list[0].hang)
		a := g.call(t)
		is.True(a.complete)
		is.Equal(a.body, completeStream())
		for _, e := range g.events {
			t.Logf("%v %v %v %v %v", e.Kind, e.Upstream, e.Outcome, e.Reason, e.TookMs)
		}
		t.Logf("took %v", a.took)
		for _, e := range g.events {
			is.True(e.Upstream != g.list[1].id) // the watch found it unreachable
		}
	})
}

// Guards against counting refused connections as rounds, which aborts the stream before its
// deadline.
func TestAStreamGoesOnAtTheReplicaThatBrokeItWhereTheOtherRefusesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 2)
		g.list[1].addr = refusingAddr
		g.list[0].abortBefore(5)
		time.AfterFunc(time.Second, func() { g.list[0].abortBefore(0) })
		a := g.call(t)
		t.Logf("took %v, %d runs, %d lines", a.took, g.runs(), len(g.events))
		for _, e := range g.events {
			t.Logf("%v %v %v %v %v", e.Kind, e.Upstream, e.Outcome, e.Reason, e.TookMs)
		}
		is.True(a.complete)
		is.Equal(a.body, completeStream())
	})
}

const refusingAddr = "127.0.0.9:1"

// unresponsiveAddr returns the address of a listener that never accepts a connection.
func unresponsiveAddr(t *testing.T, g *region) string {
	l, err := g.link.net.Listen("dark")("tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// unwritableConn is a connection that accepts no byte.
type unwritableConn struct {
	net.Conn
}

// Write writes nothing.
func (unwritableConn) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

// Guards against log lines that don't tell whether a replica may have received a request.
func TestASendOfWhichNoByteWasWrittenHasNoNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 2)
		dials := 0
		pool := exchange.NewPool(exchange.WithDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := g.link.dial(ctx, network, addr)
			if dials++; dials == 1 && err == nil {
				return unwritableConn{
					Conn: nc,
				}, nil
			}
			return nc, err
		}))
		defer pool.Close()
		is.True(receive(t, g.box(pool)).complete)
		var sends []int
		for _, e := range g.events {
			if e.Kind == decision.Try {
				sends = append(sends, e.Send)
			}
		}
		is.Equal(sends, []int{0, 1})
	})
}
