package exchange

import (
	"net"
	"runtime"
	"syscall"
	"time"
)

const (
	// keepAliveInterval and probeCount are TCP keep-alive's: a peer that falls silent is
	// noticed within about 3 s also when we only wait for its answer.
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

// setDefaultUserTimeout sets the TCP user timeout of a socket before it connects.
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

// setConnUserTimeout sets the TCP user timeout of an established connection.
func setConnUserTimeout(nc net.Conn, d time.Duration) {
	sc, ok := nc.(syscall.Conn)
	if !ok || runtime.GOOS != "linux" {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { setUserTimeout(fd, d) }) // fails if the connection is already closed
	}
}

// isHealthy says whether the connection is open and has no unread bytes, as far as the
// kernel knows. Connections without a descriptor count as isHealthy.
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
		peekErr = peek(int(fd))
		return true // don't wait for bytes
	})
	return err == nil && peekErr == syscall.EAGAIN
}

// hasUnread says whether the connection has hasUnread bytes, or its other side has closed it, as
// far as the kernel knows. It doesn't wait for a read that is under way, unlike quiet.
func hasUnread(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	peekErr := error(syscall.EAGAIN)
	err = raw.Control(func(fd uintptr) { peekErr = peek(int(fd)) })
	return err == nil && peekErr == nil
}

// peek checks for unread bytes without consuming them. It returns EAGAIN if there are
// none, and nil if there are some or the peer has closed the connection.
func peek(fd int) error {
	var buf [1]byte
	for {
		_, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return err
		}
	}
}
