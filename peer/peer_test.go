package peer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/internal/fakes"
	"github.com/havenrudder/havenrudder/wire"
)

type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return c.Conn.Write(p)
}

func withServer(t *testing.T, h Handler, f func(ctx context.Context, is *is.I, p *Pool, addr string, sent *atomic.Int64, counted *atomic.Int64)) {
	synctest.Test(t, func(t *testing.T) {
		n := fakes.NewNetwork()
		l, err := n.Listen("server")("tcp", "")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var sent, counted atomic.Int64
		dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := n.Dial("client")(ctx, network, addr)
			return countingConn{
				Conn: c,
				n:    &sent,
			}, err
		}
		var wg sync.WaitGroup
		wg.Go(func() { _ = Serve(ctx, l, h, func(Method, int) {}) })
		p := NewPool(ctx, dial, func(_ Method, n int) { counted.Add(int64(n)) })
		f(ctx, is.New(t), p, l.Addr().String(), &sent, &counted)
		cancel()
		wg.Wait()
	})
}

func TestEnvelopeIsMeasured(t *testing.T) {
	handler := func(context.Context, Method, json.RawMessage) (any, error) { return nil, nil }
	withServer(t, handler, func(ctx context.Context, is *is.I, p *Pool, addr string, sent, counted *atomic.Int64) {
		for range 10 {
			is.NoErr(p.Notify(ctx, addr, Heartbeat, wire.Heartbeat{
				Box: "box",
				Inc: 1,
				Seq: 1,
			}))
		}
		synctest.Wait()
		deviation := float64(counted.Load())/float64(sent.Load()) - 1
		is.True(deviation > -0.05 && deviation < 0.05) // the counted and the sent bytes differ by less than 5 %
	})
}

func TestResultsMatchTheirCallsInAnyOrder(t *testing.T) {
	handler := func(_ context.Context, _ Method, params json.RawMessage) (any, error) {
		var r wire.PartRequest
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, err
		}
		time.Sleep(time.Duration('z'-r.Hash[0]) * time.Millisecond) // the first call returns last
		return wire.Part{
			Found: true,
			Data:  r.Hash,
		}, nil
	}
	withServer(t, handler, func(ctx context.Context, is *is.I, p *Pool, addr string, _, _ *atomic.Int64) {
		var wg sync.WaitGroup
		for _, first := range "bcdefgh" {
			wg.Go(func() {
				hash := string(first) + "-0123456789abcdef"
				var out wire.Part
				is.NoErr(p.Call(ctx, addr, Part, wire.PartRequest{
					Hash: hash,
				}, &out))
				is.Equal(out.Data, hash)
			})
		}
		wg.Wait()
	})
}

// failingListener is a listener that fails a few times, like one without free file descriptors.
type failingListener struct {
	net.Listener
	left int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.left > 0 {
		l.left--
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

func TestServeContinuesAfterFailedAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := fakes.NewNetwork()
		l, err := n.Listen("server")("tcp", "")
		is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		count := func(Method, int) {}
		echo := func(_ context.Context, _ Method, params json.RawMessage) (any, error) { return params, nil }
		done := make(chan error, 1)
		go func() {
			done <- Serve(ctx, &failingListener{
				Listener: l,
				left:     5,
			}, echo, count)
		}()
		var out wire.FloorRequest
		is.NoErr(NewPool(ctx, n.Dial("client"), count).Call(ctx, l.Addr().String(), Floor, wire.FloorRequest{
			Box: "a",
		}, &out))
		is.Equal(out.Box, "a")
		cancel()
		is.NoErr(<-done)
	})
}

func TestAnInvalidMessageIsAnError(t *testing.T) {
	handler := func(_ context.Context, _ Method, params json.RawMessage) (any, error) {
		var r wire.PartRequest
		return wire.Part{}, json.Unmarshal(params, &r)
	}
	withServer(t, handler, func(ctx context.Context, is *is.I, p *Pool, addr string, _, _ *atomic.Int64) {
		var out wire.Part
		is.True(p.Call(ctx, addr, Part, wire.PartRequest{}, &out) != nil)
		is.True(!errors.Is(ctx.Err(), context.Canceled))
	})
}

// unresponsiveListener reads its first connection but never responds to it.
type unresponsiveListener struct {
	net.Listener
	first atomic.Bool
}

func (l *unresponsiveListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil || l.first.Swap(true) {
			return nc, err
		}
		go func() { _, _ = io.Copy(io.Discard, nc) }()
	}
}

// Guards against calls that wait for their timeouts on a connection that is dead but not reset.
func TestAnUnresponsiveConnectionIsNotReused(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &unresponsiveListener{
		Listener: inner,
	}
	answer := func(context.Context, Method, json.RawMessage) (any, error) { return 7, nil }
	go func() { _ = Serve(ctx, l, answer, func(Method, int) {}) }()
	var dialer net.Dialer
	p := NewPool(ctx, dialer.DialContext, func(Method, int) {})
	call := func(limit time.Duration) (out int, err error) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		err = p.Call(ctx, l.Addr().String(), Catalog, 1, &out)
		return out, err
	}
	_, err = call(50 * time.Millisecond)
	is.True(err != nil)
	out, err := call(10 * time.Second)
	is.NoErr(err)
	is.Equal(out, 7)
}
