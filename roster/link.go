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

// readRetryInterval limits the processor time that a failing socket takes.
const readRetryInterval = 10 * time.Millisecond

var errTooLong = errors.Newf("datagram longer than %d bytes", datagramBytes)

// Link sends and receives gossip on one socket. Its methods are safe for concurrent use.
type Link struct {
	conn          net.PacketConn
	handle        func(g wire.Gossip, from net.Addr)
	handleCompact func(c Compact, from net.Addr)
	handleOther   map[byte]func(buf []byte, from net.Addr) // for datagrams of other packages, by their first byte
	sent          atomic.Int64
	received      atomic.Int64

	mu      sync.Mutex // guards the fields below
	dropped int64
	reason  error
}

// LinkOption configures a Link.
type LinkOption func(*Link)

// WithCompact sets the handler of compact datagrams.
func WithCompact(f func(c Compact, from net.Addr)) LinkOption {
	return func(l *Link) { l.handleCompact = f }
}

// WithForeign sets the handler of the datagrams of another package, which start with the byte
// magic. The handler must not keep the buffer. There may be several such options.
func WithForeign(magic byte, f func(buf []byte, from net.Addr)) LinkOption {
	return func(l *Link) { l.handleOther[magic] = f }
}

// NewLink returns a link on conn. The goroutine that runs it calls handle for each datagram
// of full statuses, one at a time.
func NewLink(conn net.PacketConn, handle func(g wire.Gossip, from net.Addr), opts ...LinkOption) *Link {
	l := &Link{
		conn:          conn,
		handle:        handle,
		handleCompact: func(Compact, net.Addr) {},
		handleOther:   make(map[byte]func([]byte, net.Addr)),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Run receives datagrams until ctx ends or the socket is closed, and then closes it.
func (l *Link) Run(ctx context.Context) {
	closing := func() {
		_ = l.conn.Close() // nothing is buffered
	}
	defer context.AfterFunc(ctx, closing)()
	defer closing()
	buf := make([]byte, datagramBytes+1) // one byte more detects longer datagrams
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

func (l *Link) dispatch(buf []byte, from net.Addr) {
	clock.Check() // the machine may have been suspended meanwhile
	l.received.Add(int64(len(buf)))
	if len(buf) > datagramBytes {
		l.recordDrop(errTooLong)
		return
	}
	if len(buf) > 0 && l.handleOther[buf[0]] != nil {
		l.handleOther[buf[0]](buf, from)
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

// Send sends g to an address, given as IP:port. The loss of the datagram is no error.
func (l *Link) Send(addr string, g wire.Gossip) error {
	buf, err := Encode(g)
	if err != nil {
		return err
	}
	return l.SendPacket(Packet{
		Addr: addr,
		Buf:  buf,
	})
}

// SendPacket sends an encoded datagram.
func (l *Link) SendPacket(p Packet) error {
	to, err := netip.ParseAddrPort(p.Addr)
	if err != nil {
		return errors.Wrap(err, "send gossip")
	}
	n, err := l.conn.WriteTo(p.Buf, net.UDPAddrFromAddrPort(to))
	l.sent.Add(int64(n))
	return errors.Wrapf(err, "send gossip to %s", p.Addr)
}

// Sent returns the number of bytes sent, without UDP and IP headers.
func (l *Link) Sent() int64 { return l.sent.Load() }

// Received returns the number of bytes received, without UDP and IP headers, but with
// dropped datagrams.
func (l *Link) Received() int64 { return l.received.Load() }

// Dropped returns the number of datagrams and reads that failed, and the latest error, nil
// if there was none.
func (l *Link) Dropped() (n int64, reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped, l.reason
}

func (l *Link) recordDrop(reason error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped++
	l.reason = reason
}
