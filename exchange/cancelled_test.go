package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const smallWindow = 4 << 10

// stuckServer accepts a connection that it doesn't read before stuck is closed, with a small
// receive window. It reports whether it then reads a whole request.
func stuckServer(t *testing.T, stuck <-chan struct{}) (addr string, arrived <-chan bool) {
	t.Helper()
	cfg := net.ListenConfig{
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindow)
			})
		},
	}
	l, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	out := make(chan bool, 1)
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		<-stuck
		r, err := http.ReadRequest(bufio.NewReader(nc))
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		out <- err == nil
	}()
	return l.Addr().String(), out
}

// Guards against a request that arrives long after its caller left: what the socket buffer holds is still
// sent when a connection is closed.
func TestARequestThatIsCancelledBeforeItIsDeliveredDoesNotArrive(t *testing.T) {
	is := is.New(t)
	stuck := make(chan struct{})
	addr, arrived := stuckServer(t, stuck)
	dialed := make(chan net.Conn, 1)
	p := newTestPool(t, WithDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := NewDialer().DialContext(ctx, network, addr)
		if err == nil {
			err = nc.(*net.TCPConn).SetWriteBuffer(4 << 20)
			dialed <- nc
		}
		return nc, err
	}))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	body := make([]byte, 256<<10)
	written := make(chan struct{})
	go func() {
		nc := <-dialed
		for unsent(nc) < len(body)/2 {
			time.Sleep(time.Millisecond)
		}
		close(written)
	}()
	failed := make(chan error, 1)
	go func() {
		_, err := p.Do(ctx, Request{
			Addr:   addr,
			Method: http.MethodPost,
			Target: "/",
			Body:   body,
		})
		failed <- err
	}()
	<-written
	cancel()
	is.True(errors.Is(<-failed, context.Canceled))
	close(stuck)
	is.True(!<-arrived)
}

// Guards against a replica that doesn't learn of the end of a request because a reset was lost: once all
// of the request is acknowledged, the connection is closed in the usual way.
func TestARequestThatIsCancelledAfterItWasDeliveredEndsWithoutAReset(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	s := newServer(t, func(c *peer) {
		if _, err := c.request(); err != nil {
			ended <- err
			return
		}
		cancel()
		_, err := c.in.ReadByte()
		ended <- err
	})
	p := newTestPool(t)
	_, err := p.Do(ctx, get(s.addr))
	is.True(errors.Is(err, context.Canceled))
	is.Equal(<-ended, io.EOF)
}
