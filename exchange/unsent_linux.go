package exchange

import (
	"net"

	"golang.org/x/sys/unix"
)

// unsent returns the number of bytes that the peer has not acknowledged; 0 if that is unknown.
func unsent(nc net.Conn) int {
	n := 0
	var queueErr error
	err := control(nc, func(fd int) { n, queueErr = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	if err != nil || queueErr != nil {
		return 0
	}
	return n
}
