package roster

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/wire"
)

func listenUDP(t *testing.T) net.PacketConn {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func TestALinkDeliversAndDropsMalformedDatagrams(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	got := make(chan wire.Gossip, 1)
	in, out := listenUDP(t), listenUDP(t)
	reader := NewLink(in, func(g wire.Gossip, from net.Addr) {
		is.Equal(from.String(), out.LocalAddr().String())
		got <- g
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		reader.Run(ctx)
	}()
	n, reason := reader.Dropped()
	is.Equal(n, int64(0))
	is.NoErr(reason)

	bad := []string{"not gossip", "{}", strings.Repeat(" ", datagramBytes+100)}
	for _, b := range bad {
		_, err := out.WriteTo([]byte(b), in.LocalAddr())
		is.NoErr(err)
	}
	sender := NewLink(out, nil)
	is.NoErr(sender.Send(in.LocalAddr().String(), wire.Gossip{
		From: status("a", "north", 1, 1),
	}))
	is.Equal((<-got).From, status("a", "north", 1, 1)) // datagrams on one machine keep their order
	n, reason = reader.Dropped()
	is.Equal(n, int64(len(bad)))
	is.True(errors.Is(reason, errTooLong))
	is.True(sender.Sent() > 0)
	is.Equal(reader.Received(), sender.Sent()+int64(len(bad[0])+len(bad[1])+datagramBytes+1))

	cancel()
	<-done
	_, err := in.WriteTo([]byte("x"), out.LocalAddr())
	is.True(errors.Is(err, net.ErrClosed)) // the link has closed its socket
}

func TestALinkEndsWhenItsSocketIsClosed(t *testing.T) {
	is := is.New(t)
	conn := listenUDP(t)
	l := NewLink(conn, nil)
	is.NoErr(conn.Close())
	l.Run(t.Context())
	_, reason := l.Dropped()
	is.True(errors.Is(reason, net.ErrClosed))
}

func TestSendingToNoAddressIsAnError(t *testing.T) {
	is := is.New(t)
	l := NewLink(listenUDP(t), nil)
	g := wire.Gossip{
		From: status("a", "north", 1, 1),
	}
	for _, addr := range []string{"", "name:1", "127.0.0.1"} {
		is.True(l.Send(addr, g) != nil)
	}
	is.Equal(l.Sent(), int64(0))
}
