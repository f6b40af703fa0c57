package node

// One run in which a planned stop took more than its second was never explained. Of what can
// hold up the end of a box and nothing else, this is one: net/http answers each accept that
// fails for want of descriptors with a longer sleep, up to 1 s, which neither Shutdown nor
// Close ends, and Shutdown waits for it beyond its context. The box then ends 1 s late, in
// the middle of answers, by the platform's SIGKILL.

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

// emptyHanded is a listener whose accepts fail as where no descriptor is left.
type emptyHanded struct {
	once    sync.Once
	closed  chan struct{}
	accepts int
}

var _ net.Listener = (*emptyHanded)(nil)

// Accept fails.
func (l *emptyHanded) Accept() (net.Conn, error) {
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

// Close has the next Accept say that the listener is closed.
func (l *emptyHanded) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an address.
func (l *emptyHanded) Addr() net.Addr { return &net.TCPAddr{} }

func TestABoxWithoutDescriptorsStopsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &Node{
			log: decision.New("box", io.Discard),
		}
		l := &emptyHanded{
			closed: make(chan struct{}),
		}
		s := newServer(http.NotFoundHandler())
		n.serveOn(func(error) {}, s, l)
		time.Sleep(1300 * time.Millisecond) // the next sleep of net/http would be of a second
		began := time.Now()
		limit, stop := context.WithTimeout(t.Context(), 600*time.Millisecond)
		defer stop()
		_ = s.Shutdown(limit) // no connection is open
		n.tasks.Wait()
		is.True(time.Since(began) <= 600*time.Millisecond)
		is.True(l.accepts >= 1300/50) // it goes on trying, so that callers are served again at once
	})
}
