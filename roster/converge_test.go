package roster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/wire"
)

// delay is the transit time of the test network.
const delay = 5 * time.Millisecond

type network struct {
	mu      sync.Mutex
	sockets map[string]*memoryConn
	cut     func(from, to string) bool
}

func newNetwork() *network {
	return &network{
		sockets: make(map[string]*memoryConn),
		cut:     func(string, string) bool { return false },
	}
}

func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *network) listen(addr string) *memoryConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := &memoryConn{
		net:    n,
		addr:   addr,
		in:     make(chan datagram, 1000),
		closed: make(chan struct{}),
	}
	n.sockets[addr] = m
	return m
}

type datagram struct {
	from string
	buf  []byte
	at   time.Time
}

type memoryConn struct {
	net.PacketConn // for the methods that a link doesn't use
	net            *network
	addr           string
	in             chan datagram
	closed         chan struct{}
	once           sync.Once
}

func (m *memoryConn) ReadFrom(buf []byte) (int, net.Addr, error) {
	select {
	case <-m.closed:
		return 0, nil, net.ErrClosed
	case d := <-m.in:
		select {
		case <-m.closed:
			return 0, nil, net.ErrClosed
		case <-time.After(time.Until(d.at)):
		}
		return copy(buf, d.buf), net.UDPAddrFromAddrPort(addrPort(d.from)), nil
	}
}

func (m *memoryConn) WriteTo(buf []byte, to net.Addr) (int, error) {
	m.net.mu.Lock()
	defer m.net.mu.Unlock()
	if s, ok := m.net.sockets[to.String()]; ok && !m.net.cut(m.addr, s.addr) {
		s.in <- datagram{
			from: m.addr,
			buf:  append([]byte(nil), buf...),
			at:   time.Now().Add(delay),
		}
	}
	return len(buf), nil
}

func (m *memoryConn) Close() error {
	m.once.Do(func() { close(m.closed) })
	return nil
}

type box struct {
	mu    sync.Mutex
	start time.Time
	self  wire.BoxStatus
	tab   *Table
	link  *Link
	rnd   *rand.Rand
}

func startBox(ctx context.Context, n *network, i, regions int, seeds []string) *box {
	addr := addrOf(i)
	b := &box{
		start: time.Now(),
		self: wire.BoxStatus{
			Box:     fmt.Sprintf("box-%02d", i),
			Inc:     1,
			Region:  fmt.Sprintf("region-%d", i%regions),
			Peers:   addr,
			Callers: addr,
			Forward: addr,
		},
		rnd: rand.New(rand.NewPCG(1, uint64(i))),
	}
	b.tab = New(b.self, WithSeeds(seeds))
	b.link = NewLink(n.listen(addr), b.receive)
	go b.link.Run(ctx)
	go b.run(ctx)
	return b
}

func (b *box) run(ctx context.Context) {
	t := time.NewTicker(Tick)
	defer t.Stop()
	for {
		b.tick()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (b *box) now() time.Duration { return time.Since(b.start) }

func (b *box) tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.self.Seq++
	g := b.gossip()
	g.Ask = b.self.Seq == 1
	for _, addr := range b.tab.Targets(b.now(), b.rnd.IntN) {
		b.send(addr, g)
	}
}

func (b *box) gossip() wire.Gossip {
	return wire.Gossip{
		From:   b.self,
		Others: b.tab.Digest(b.now(), 8),
	}
}

func (b *box) send(addr string, g wire.Gossip) {
	if err := b.link.Send(addr, g); err != nil {
		panic(err) // the test network accepts every datagram
	}
}

func (b *box) receive(g wire.Gossip, from net.Addr) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tab.Receive(g.From, true, b.now())
	for _, s := range g.Others {
		b.tab.Receive(s, false, b.now())
	}
	if g.Ask {
		b.send(from.String(), b.gossip())
	}
}

func (b *box) serving() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.tab.Serving("", b.now()))
}

func startFleet(ctx context.Context, net *network, n int, seeds []string) []*box {
	out := make([]*box, n)
	for i := range out {
		out[i] = startBox(ctx, net, i, 3, seeds)
	}
	return out
}

func TestNineBoxesFindEachOtherByThreeSeedsOfWhichOneIsDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		boxes := startFleet(ctx, newNetwork(), 9, []string{addrOf(0), addrOf(4), addrOf(99)})
		time.Sleep(4*Tick + delay)
		for _, b := range boxes {
			is.Equal(b.serving(), 8)
		}
		for range 100 {
			time.Sleep(Tick)
			for _, b := range boxes {
				is.Equal(b.serving(), 8)
			}
		}
	})
}

func TestAPartitionAndItsEndAreDetected(t *testing.T) {
	for _, length := range []time.Duration{10 * time.Second, 2 * partitionWindow} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			n := newNetwork()
			boxes := startFleet(ctx, n, 9, []string{addrOf(99)}) // only a dead seed
			boxes[0].introduce(boxes)
			time.Sleep(2 * time.Second)
			is.Equal(boxes[8].serving(), 8)
			n.setCut(func(from, to string) bool { return (from < addrOf(3)) != (to < addrOf(3)) })
			time.Sleep(length)
			is.Equal(boxes[0].serving(), 2)
			is.Equal(boxes[8].serving(), 5)
			n.setCut(func(string, string) bool { return false })
			time.Sleep(silentProbeEvery*Tick + seedProbeEvery*Tick + time.Second)
			for _, b := range boxes {
				is.Equal(b.serving(), 8)
			}
		})
	}
}

// introduce adds all others to the table of a box, once.
func (b *box) introduce(boxes []*box) {
	for _, o := range boxes[1:] {
		o.mu.Lock()
		s := o.self
		o.mu.Unlock()
		b.mu.Lock()
		b.tab.Receive(s, false, b.now())
		b.mu.Unlock()
	}
}

func addrOf(i int) string { return fmt.Sprintf("127.0.0.%d:7000", i+100) }

func addrPort(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

func TestThirtyBoxesCountEachOtherAsAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		boxes := startFleet(ctx, newNetwork(), 30, []string{addrOf(0), addrOf(4), addrOf(99)})
		time.Sleep(5 * time.Second)
		for range 8 {
			time.Sleep(Tick)
			for _, b := range boxes {
				is.Equal(b.serving(), 29)
			}
		}
	})
}
