package exchange

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unsent returns the number of bytes that the peer has not acknowledged; 0 if that is unknown.
func unsent(nc net.Conn) (n int) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	// It fails only if the connection is already closed.
	_ = raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err != nil {
		return 0
	}
	return n
}
