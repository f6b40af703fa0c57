package fakes

import (
	"context"
	"net"
	"strconv"
	"sync"
)

// Network is a network within the process, for tests in virtual time. Links
// between hosts can be cut.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	next      int
	cut       map[[2]string]bool
	frozen    map[string]bool
	conns     []*link
}

// link is a connection between two hosts.
type link struct {
	net.Conn
	network *Network
	from    string
	to      string
	sem     chan struct{} // a lock that virtual time can see waited for
	pending []byte        // sent while one of the hosts was frozen
}

// Write sends, or keeps what is sent while one of the hosts is frozen.
func (l *link) Write(p []byte) (int, error) {
	l.sem <- struct{}{}
	defer func() { <-l.sem }()
	if l.network.isFrozen(l.from) || l.network.isFrozen(l.to) {
		l.pending = append(l.pending, p...)
		return len(p), nil
	}
	if err := l.flush(); err != nil {
		return 0, err
	}
	return l.Conn.Write(p)
}

func (l *link) flush() error {
	kept := l.pending
	l.pending = nil
	if len(kept) == 0 {
		return nil
	}
	_, err := l.Conn.Write(kept)
	return err
}

// thaw sends what was kept.
func (l *link) thaw() {
	l.sem <- struct{}{}
	defer func() { <-l.sem }()
	_ = l.flush()
}

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		cut:       make(map[[2]string]bool),
		frozen:    make(map[string]bool),
	}
}

// Freeze holds back what a host sends and is sent, as that of a process that is
// paused, until Thaw.
func (n *Network) Freeze(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[host] = true
}

// Thaw ends Freeze; what was kept arrives.
func (n *Network) Thaw(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.frozen, host)
	for _, l := range n.conns {
		if l.from == host || l.to == host {
			go l.thaw()
		}
	}
}

func (n *Network) isFrozen(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.frozen[host]
}

type listener struct {
	network *Network
	host    string
	addr    addr
	accept  chan net.Conn
	done    chan struct{}
	once    sync.Once
}

type addr string

var (
	_ net.Addr     = addr("")
	_ net.Listener = (*listener)(nil)
)

// Network returns the kind of the address.
func (addr) Network() string { return "tcp" }

// String returns the address.
func (a addr) String() string { return string(a) }

// Listen returns a function that opens listeners of a host.
func (n *Network) Listen(host string) func(network, at string) (net.Listener, error) {
	return func(string, string) (net.Listener, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.next++
		l := &listener{
			network: n,
			host:    host,
			addr:    addr("127.0.0.1:" + strconv.Itoa(n.next)),
			accept:  make(chan net.Conn),
			done:    make(chan struct{}),
		}
		n.listeners[l.addr.String()] = l
		return l, nil
	}
}

// Dial returns a function that opens connections from a host.
func (n *Network) Dial(host string) Dial {
	return func(ctx context.Context, _, at string) (net.Conn, error) {
		n.mu.Lock()
		l, ok := n.listeners[at]
		cut := ok && n.cut[[2]string{host, l.host}]
		n.mu.Unlock()
		if !ok || cut {
			return nil, refused()
		}
		near, far := net.Pipe()
		select {
		case l.accept <- far:
		case <-l.done:
			return nil, refused()
		case <-ctx.Done():
			return nil, refused()
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		c := &link{
			Conn:    near,
			network: n,
			from:    host,
			to:      l.host,
			sem:     make(chan struct{}, 1),
		}
		n.conns = append(n.conns, c)
		return c, nil
	}
}

func refused() error {
	return &net.OpError{
		Op:  "dial",
		Net: "tcp",
		Err: net.ErrClosed,
	}
}

// Cut closes what connects two hosts and refuses new connections until Heal.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = true
	n.cut[[2]string{b, a}] = true
	for _, c := range n.conns {
		if (c.from == a && c.to == b) || (c.from == b && c.to == a) {
			_ = c.Close()
		}
	}
}

// Heal ends every cut.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	delete(l.network.listeners, l.addr.String())
	return nil
}

// Addr returns the address of the listener.
func (l *listener) Addr() net.Addr { return l.addr }
