package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/decision"
)

// noDescriptorListener is a listener whose accepts fail for want of descriptors.
type noDescriptorListener struct {
	once    sync.Once
	closed  chan struct{}
	accepts int
}

var _ net.Listener = (*noDescriptorListener)(nil)

func (l *noDescriptorListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
	}
	l.accepts++
	return nil, &net.OpError{
		Op:  "accept",
		Net: "tcp",
		Err: syscall.EMFILE,
	}
}

// Close makes the next Accept report that the listener is closed.
func (l *noDescriptorListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *noDescriptorListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a stop that waits beyond its limit for the sleep of net/http after a failed
// accept, up to 1 s, which neither Shutdown nor Close ends.
func TestABoxWithoutDescriptorsStopsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &Node{
			log: decision.New("box", io.Discard),
		}
		l := &noDescriptorListener{
			closed: make(chan struct{}),
		}
		s := newServer(http.NotFoundHandler())
		n.serveOn(func(error) {}, s, l)
		time.Sleep(1300 * time.Millisecond) // the next sleep of net/http would take 1 s
		began := time.Now()
		limit, stop := context.WithTimeout(t.Context(), 600*time.Millisecond)
		defer stop()
		_ = s.Shutdown(limit) // no connection is open
		n.tasks.Wait()
		is.True(time.Since(began) <= 600*time.Millisecond)
		is.True(l.accepts >= 1300/50) // accepts continue, so that callers are served again at once
	})
}
