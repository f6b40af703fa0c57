// Package accept keeps a listener serving while no connection can be accepted.
package accept

import (
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// again is between two tries to accept: descriptors are free again as soon as a caller
// leaves. net/http waits for up to 1 s, which neither its Shutdown nor its Close ends, so that a
// box which is told to stop ends up to 1 s late.
const again = 20 * time.Millisecond

// shortages are the errors of an accept that say that something ran out (accept(2)).
var shortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// Steady is a listener whose Accept waits out shortages, and ends at once when it is closed.
type Steady struct {
	net.Listener
	short  func(error)
	once   sync.Once
	closed chan struct{}
}

var _ net.Listener = (*Steady)(nil)

// NewSteady returns a listener over another one; short is told of the first error of each shortage.
func NewSteady(l net.Listener, short func(error)) *Steady {
	return &Steady{
		Listener: l,
		short:    short,
		closed:   make(chan struct{}),
	}
}

// Accept waits for a connection.
func (l *Steady) Accept() (net.Conn, error) {
	told := false
	for {
		c, err := l.Listener.Accept()
		if err == nil || !isShortage(err) {
			return c, err
		}
		if !told {
			told = true
			l.short(err)
		}
		if !l.wait() {
			return nil, net.ErrClosed
		}
	}
}

// wait waits until the next try, and says whether there is one.
func (l *Steady) wait() bool {
	t := time.NewTimer(again)
	defer t.Stop()
	select {
	case <-l.closed:
		return false
	case <-t.C:
		return true
	}
}

// Close closes the listener.
func (l *Steady) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// isShortage says whether an accept failed since something ran out.
func isShortage(err error) bool {
	return slices.ContainsFunc(shortages, func(s error) bool { return errors.Is(err, s) })
}
