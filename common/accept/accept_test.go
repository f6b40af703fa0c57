package accept_test

import (
	"fmt"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/common/accept"
)

// scripted is a listener whose accepts end in given errors, and then in a connection.
type scripted struct {
	net.Listener
	errs []error
}

// Accept returns what comes next.
func (l *scripted) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return &net.TCPConn{}, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

func ExampleSteady() {
	l := accept.NewSteady(&scripted{
		errs: []error{syscall.EMFILE, syscall.ENFILE},
	}, func(err error) { fmt.Println(err) })
	_, err := l.Accept()
	fmt.Println(err)
	// Output:
	// too many open files
	// <nil>
}

func TestOtherErrorsOfAnAcceptAreNotWaitedOut(t *testing.T) {
	is := is.New(t)
	l := accept.NewSteady(&scripted{
		errs: []error{net.ErrClosed},
	}, func(error) {})
	_, err := l.Accept()
	is.Equal(err, net.ErrClosed)
}
