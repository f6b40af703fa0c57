package node

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// A port for figures that is taken must not keep a box from serving.
func TestABoxServesWithoutItsFiguresWhenTheirPortIsTaken(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = taken.Close() }()
	var l listeners
	is.NoErr(l.open(Settings{
		IP:      "127.0.0.1",
		Callers: "127.0.0.1:0",
		Metrics: taken.Addr().String(),
	}))
	defer func() {
		for _, c := range []net.Listener{l.callers, l.boxes, l.peers} {
			_ = c.Close()
		}
		for _, c := range l.packets {
			_ = c.Close()
		}
	}()
	is.True(l.callers != nil)
	is.True(l.metrics == nil)
	is.True(l.noMetrics != nil)
}
