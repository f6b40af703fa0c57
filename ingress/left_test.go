package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/exchange"
	"github.com/havenrudder/havenrudder/internal/boot"
	"github.com/havenrudder/havenrudder/placement"
)

// slowListener accepts connections of which the box reads a request, and then nothing before the test ends:
// the goroutine that reads on has no processor time.
type slowListener struct {
	net.Listener
	conns chan *slowConn
	over  chan struct{}
}

func (l *slowListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &slowConn{
		TCPConn: nc.(*net.TCPConn),
		over:    l.over,
	}
	l.conns <- c
	return c, nil
}

type slowConn struct {
	*net.TCPConn
	over <-chan struct{}
	read atomic.Bool
}

func (c *slowConn) Read(p []byte) (int, error) {
	if c.read.Swap(true) {
		<-c.over
	}
	return c.TCPConn.Read(p)
}

// serveSlowly serves a box on a listener.
func serveSlowly(t *testing.T, box http.Handler) *slowListener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &slowListener{
		Listener: inner,
		conns:    make(chan *slowConn, 1),
		over:     make(chan struct{}),
	}
	s := &http.Server{
		Handler:     box,
		ConnContext: ConnContext,
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		close(l.over)
		_ = s.Close()
	})
	return l
}

// Guards against a request that is sent though its caller has closed the connection, which net/http notices
// late while the box lacks processor time.
func TestARequestIsNotSentOnceItsCallerHasClosedTheConnection(t *testing.T) {
	for _, target := range []string{"replica", "box"} {
		t.Run(target, func(t *testing.T) {
			is := is.New(t)
			g := newRegion(t, 1)
			g.list[0].box = target == "box"
			pool := exchange.NewPool(exchange.WithDial(g.link.dial))
			defer pool.Close()
			core := g.core()
			var unreachable atomic.Int32
			core.BoxUnreachable = func(string) { unreachable.Add(1) }
			ended := make(chan placement.Result, 1)
			core.AttemptEnded = func(_ *placement.Choice, r placement.Result, _ time.Duration) { ended <- r }
			core.ForwardBytes = func(_ *Target, _ string, sent, _ int) {
				if sent > 0 {
					ended <- placement.Answered
					return
				}
				ended <- placement.Unsent
			}
			placing := make(chan struct{})
			left := make(chan struct{})
			core.Place = func(ctx context.Context, q TargetQuery) Target {
				close(placing)
				<-left
				return g.place(ctx, q)
			}
			l := serveSlowly(t, New("box", "a", testCodec(15*time.Second), core, pool, pool).Callers())
			nc, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			_, err = io.WriteString(nc, "POST /chat/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 2\r\n\r\nok")
			is.NoErr(err)
			<-placing
			is.NoErr(nc.Close())
			accepted := <-l.conns
			for !exchange.ClosedByPeer(accepted) {
				time.Sleep(time.Millisecond)
			}
			close(left)
			is.Equal(<-ended, placement.Unsent)
			is.Equal(g.runs(), 0)
			is.Equal(unreachable.Load(), int32(0))
		})
	}
}

// Guards against a request that is sent after its deadline: the timer of its context stands still while
// the machine is suspended.
func TestARequestIsNotSentAfterItsDeadlinePassedDuringTheDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 1)
		pool := exchange.NewPool(exchange.WithDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
			boot.Skip((20 * time.Second).Nanoseconds())
			clock.Check()
			return g.link.dial(ctx, network, addr)
		}))
		defer pool.Close()
		receive(t, g.box(pool))
		is.Equal(g.runs(), 0)
		is.Equal(g.results["r-0"], placement.Unsent)
	})
}

// Guards against a replica that is given the time that its request had left before a slow dial.
func TestAReplicaIsGivenTheTimeThatIsLeftAfterTheDial(t *testing.T) {
	const (
		deadline = 15 * time.Second
		dialTime = 200 * time.Millisecond
		timeLeft = "Time-Left"
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 1)
		pool := exchange.NewPool(exchange.WithDial(func(ctx context.Context, network, addr string) (net.Conn, error) {
			time.Sleep(dialTime)
			return g.link.dial(ctx, network, addr)
		}))
		defer pool.Close()
		var left time.Duration
		codec := testCodec(deadline)
		codec.WriteReplicaHeaders = func(h http.Header, s ReplicaHeaders) {
			left = s.TimeLeft
			h.Set(timeLeft, strconv.Itoa(int(s.TimeLeft.Milliseconds())))
		}
		is.True(receive(t, New("box", "a", codec, g.core(), pool, pool).Callers()).complete)
		is.Equal(left, deadline-dialTime)
	})
}
