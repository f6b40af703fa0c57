package box

// A listener at its bound of connections waited for one of them to end, also once it was
// closed: Shutdown waits for that, beyond its context, and a planned stop with a hanging
// request on the last connection did not end in time.

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// idle is a listener on which nobody calls.
type idle struct{ net.Listener }

// Accept fails.
func (idle) Accept() (net.Conn, error) { return nil, net.ErrClosed }

// Close does nothing.
func (idle) Close() error { return nil }

func TestAListenerAtItsBoundEndsWhenItIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newBounded(idle{}, 1)
		l.free <- struct{}{} // one connection is open, and stays so
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = l.Accept()
		}()
		time.Sleep(time.Second)
		is.NoErr(l.Close())
		select {
		case <-ended:
		case <-time.After(time.Second):
			<-l.free
			t.Fatal("it goes on waiting")
		}
	})
}
