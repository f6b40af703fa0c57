package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/accept"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	headerTimeout  = 10 * time.Second // callers' own timeout is shorter
	idleTimeout    = 90 * time.Second // longer than callers keep a connection
	maxHeaderBytes = 64 << 10
	directoryTTL   = 800 * time.Millisecond
)

type listeners struct {
	callers   net.Listener
	readiness net.Listener
	directory net.Listener
	boxes     net.Listener
	peers     net.Listener
	metrics   net.Listener // nil for none
	packets   []net.PacketConn
}

// open opens the sockets of all addresses that are not empty.
func (l *listeners) open(s Settings) error {
	port := func(i int) string { return net.JoinHostPort(s.IP, strconv.Itoa(s.Ports[i])) }
	wanted := []struct {
		to   *net.Listener
		addr string
	}{
		{&l.callers, s.CallerAddr},
		{&l.readiness, s.ReadinessAddr},
		{&l.directory, s.DirectoryAddr},
		{&l.boxes, port(0)},
		{&l.peers, port(1)},
		{&l.metrics, s.MetricsAddr},
	}
	for _, w := range wanted {
		if w.addr == "" {
			continue
		}
		opened, err := net.Listen("tcp", w.addr)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", w.addr)
		}
		*w.to = opened
	}
	for _, addr := range []string{port(1), s.SeedAddr} {
		if addr == "" {
			continue
		}
		conn, err := net.ListenPacket("udp", addr)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", addr)
		}
		l.packets = append(l.packets, conn)
	}
	return nil
}

// newServer returns a server with the common limits.
func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// serve starts the servers for callers, boxes and the platform. They run until ctx is done
// or a planned stop is complete.
func (n *Node) serve(ctx context.Context, cancel context.CancelCauseFunc) {
	path := n.ingress(ctx)
	callers := newServer(path.Callers())
	callers.ConnContext = ingress.ConnContext
	boxes := newServer(path.Boxes())
	boxes.ConnContext = ingress.ConnContext
	servers := []*http.Server{callers, boxes}
	n.serveOn(cancel, callers, n.listeners.callers)
	n.serveOn(cancel, boxes, n.listeners.boxes)
	for l, h := range map[net.Listener]http.Handler{
		n.listeners.readiness: n.adapter.Readiness(n.isReady),
		n.listeners.directory: n.adapter.Directory(n.directoryAddrs, min(directoryTTL, n.settings.Bounds.DirectoryTTL)),
		n.listeners.metrics:   n.operatorHandler(),
	} {
		if l == nil {
			continue
		}
		s := newServer(h)
		s.ReadTimeout = headerTimeout // their requests need no body
		servers = append(servers, s)
		n.serveOn(cancel, s, l)
	}
	context.AfterFunc(ctx, func() {
		for _, s := range servers {
			_ = s.Close() // the process ends
		}
	})
	n.tasks.Go(func() { n.drain(ctx, cancel, callers, boxes) })
}

// serveOn runs a server; its failure ends the box.
func (n *Node) serveOn(cancel context.CancelCauseFunc, s *http.Server, l net.Listener) {
	steady := accept.NewSteady(l, func(err error) { n.recordAcceptFailure(l, err) })
	n.tasks.Go(func() {
		if err := s.Serve(steady); !errors.Is(err, http.ErrServerClosed) {
			cancel(errors.Wrapf(err, "serve on %s", l.Addr()))
		}
	})
}

func (n *Node) recordAcceptFailure(l net.Listener, err error) {
	n.record(decision.Event{
		Kind:     decision.Lost,
		Upstream: l.Addr().String(),
		Reason:   "no connection can be accepted",
		Detail:   err.Error(),
	})
}

// isReady reports whether the box serves callers and has no order to stop.
func (n *Node) isReady() bool { return n.table.Load() != nil && !n.leaving.Load() }

// directoryAddrs returns the addresses of the boxes that a caller of a host in a region should use.
func (n *Node) directoryAddrs(host, region string) (out []string) {
	if region == "" {
		region = n.settings.Region
	}
	_ = n.state.Do(func(s *state) { out = s.directoryAddrs(host, region, n.servingState(), n.now()) })
	return out
}

// servingState returns serving or leaving, and the empty state when the box is closed to
// callers.
func (n *Node) servingState() wire.ServingState {
	switch {
	case n.closed.Load():
		return ""
	case n.leaving.Load():
		return wire.ServingStateLeaving
	}
	return wire.ServingStateServing
}

func (n *Node) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.meter.Handler())
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.Dump()) // the operator has left when this fails
	})
	mux.HandleFunc("GET "+WherePath, n.serveWhere)
	return mux
}
