package exchange

import (
	"net"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// TCP keep-alive detects an unreachable peer within some 3 s.
	keepAliveInterval = time.Second
	keepAliveCount    = 2

	// userTimeout is how long sent bytes may stay unacknowledged, or the peer's receive
	// window full, until the kernel closes the connection.
	userTimeout = 2 * time.Second

	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 18
)

// NewDialer returns a dialer whose connections detect an unreachable peer.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveInterval,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: setDefaultUserTimeout,
	}
}

func setDefaultUserTimeout(_, _ string, raw syscall.RawConn) error {
	if runtime.GOOS != "linux" {
		return nil
	}
	return raw.Control(func(fd uintptr) { setUserTimeout(fd, userTimeout) })
}

// setUserTimeout sets the TCP user timeout, which also limits unacknowledged keep-alive
// probes. It ignores errors: keep-alive alone detects an unreachable peer, though later.
func setUserTimeout(fd uintptr, d time.Duration) {
	_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
}

func setConnTimeout(nc net.Conn, d time.Duration) {
	if runtime.GOOS == "linux" {
		_ = control(nc, func(fd int) { setUserTimeout(uintptr(fd), d) }) // fails if the connection is already closed
	}
}

var errNoDescriptor = errors.New("exchange: connection without a file descriptor")

// control calls f with the file descriptor of a connection. It does not wait for a concurrent read.
func control(nc net.Conn, f func(fd int)) error {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return errNoDescriptor
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// isHealthy reports whether the connection is open and has no unread bytes. Connections
// without a file descriptor count as healthy.
func isHealthy(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		_, peekErr = peek(int(fd))
		return true // don't wait for bytes
	})
	return err == nil && peekErr == syscall.EAGAIN
}

// hasUnread reports whether the connection has unread bytes or was closed by the peer.
// Unlike isHealthy it doesn't wait for a concurrent read. It records a reset, which the kernel
// reports only once.
func (c *conn) hasUnread() bool {
	peekErr := error(syscall.EAGAIN)
	err := control(c.nc, func(fd int) { _, peekErr = peek(fd) })
	if peekErr != nil && peekErr != syscall.EAGAIN {
		c.broken.Store(true)
	}
	return err == nil && peekErr == nil
}

// ClosedByPeer reports whether the peer has closed or reset a connection. Unread bytes hide a close, but
// not a reset. It does not wait for a concurrent read.
func ClosedByPeer(nc net.Conn) bool {
	n := 0
	var peekErr error
	err := control(nc, func(fd int) { n, peekErr = peek(fd) })
	switch {
	case errors.Is(err, errNoDescriptor):
		return false
	case err != nil:
		return true
	case peekErr != nil:
		return peekErr != syscall.EAGAIN
	}
	return n == 0
}

// peek checks for unread bytes without consuming them. It returns EAGAIN if there are
// none, their number, at most 1, if there are some, and 0 if the peer has closed the connection.
func peek(fd int) (n int, err error) {
	var buf [1]byte
	for {
		n, _, err = syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return n, err
		}
	}
}
