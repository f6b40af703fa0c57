package roster

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/wire"
)

// readRetryInterval is the time after a failed read before the next, so that a socket
// that keeps failing takes no processor time.
const readRetryInterval = 10 * time.Millisecond

// errTooLong is the reason to drop a datagram that no box sends.
var errTooLong = errors.Newf("datagram longer than %d bytes", datagramBytes)

// Link reads and sends gossip on one socket. Its methods may be called from any
// goroutine.
type Link struct {
	conn          net.PacketConn
	handle        func(g wire.Gossip, from net.Addr)
	handleCompact func(c Compact, from net.Addr)
	otherMagic    byte // first byte of datagrams of another package; 0 for none
	handleOther   func(buf []byte, from net.Addr)
	sent          atomic.Int64
	received      atomic.Int64

	mu        sync.Mutex // guards what follows
	dropped   int64
	lastError error
}

// LinkOption changes a Link that is made.
type LinkOption func(*Link)

// WithCompact sets what is called for each compact datagram.
func WithCompact(f func(c Compact, from net.Addr)) LinkOption {
	return func(l *Link) { l.handleCompact = f }
}

// WithOther sets what is called for each datagram of another package, which its first byte
// tells. The buffer is used again after the call.
func WithOther(mark byte, f func(buf []byte, from net.Addr)) LinkOption {
	return func(l *Link) {
		l.otherMagic = mark
		l.handleOther = f
	}
}

// NewLink returns the link on conn. It calls handle for each datagram of whole
// statuses, one after the other, from the goroutine that runs it.
func NewLink(conn net.PacketConn, handle func(g wire.Gossip, from net.Addr), opts ...LinkOption) *Link {
	l := &Link{
		conn:          conn,
		handle:        handle,
		handleCompact: func(Compact, net.Addr) {},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Run reads datagrams until ctx ends or the socket is closed, and closes the
// socket then.
func (l *Link) Run(ctx context.Context) {
	closing := func() {
		_ = l.conn.Close() // nothing is buffered, so nothing is lost
	}
	defer context.AfterFunc(ctx, closing)()
	defer closing()
	buf := make([]byte, datagramBytes+1) // one more tells that a datagram was longer
	for ctx.Err() == nil {
		n, from, err := l.conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			l.recordDrop(errors.Wrap(err, "read"))
			if errors.Is(err, net.ErrClosed) {
				return
			}
			sleep.For(ctx, readRetryInterval)
			continue
		}
		l.dispatch(buf[:n], from)
	}
}

// dispatch handles one datagram.
func (l *Link) dispatch(buf []byte, from net.Addr) {
	clock.Check() // it may have waited while the machine was suspended
	l.received.Add(int64(len(buf)))
	if len(buf) > datagramBytes {
		l.recordDrop(errTooLong)
		return
	}
	if l.otherMagic != 0 && len(buf) > 0 && buf[0] == l.otherMagic {
		l.handleOther(buf, from)
		return
	}
	if IsCompact(buf) {
		b, err := DecodeCompact(buf)
		if err != nil {
			l.recordDrop(err)
			return
		}
		l.handleCompact(b, from)
		return
	}
	g, err := Decode(buf)
	if err != nil {
		l.recordDrop(err)
		return
	}
	l.handle(g, from)
}

// Send sends g to an address, IP:port. It does not wait for an answer, and a
// datagram that is lost on the way is no error.
func (l *Link) Send(addr string, g wire.Gossip) error {
	buf, err := Encode(g)
	if err != nil {
		return err
	}
	return l.Post(Packet{
		Addr: addr,
		Buf:  buf,
	})
}

// Post sends a datagram that is ready.
func (l *Link) Post(p Packet) error {
	to, err := netip.ParseAddrPort(p.Addr)
	if err != nil {
		return errors.Wrap(err, "send gossip")
	}
	n, err := l.conn.WriteTo(p.Buf, net.UDPAddrFromAddrPort(to))
	l.sent.Add(int64(n))
	return errors.Wrapf(err, "send gossip to %s", p.Addr)
}

// Sent returns the bytes sent, without the headers of UDP and IP.
func (l *Link) Sent() int64 { return l.sent.Load() }

// Received returns the bytes received, without the headers of UDP and IP, those
// of dropped datagrams with them.
func (l *Link) Received() int64 { return l.received.Load() }

// Dropped returns how many datagrams and reads failed, and why the latest did;
// the reason is nil while none has.
func (l *Link) Dropped() (n int64, reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped, l.lastError
}

// recordDrop counts a datagram or read that failed.
func (l *Link) recordDrop(reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped++
	l.lastError = reason
}
