package box

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/havenrudder/havenrudder/common/accept"
	"github.com/havenrudder/havenrudder/common/ending"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/gateway"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	leaveGrace = 6 * time.Second        // callers may hold an answer to "which box" this long
	stopMargin = 250 * time.Millisecond // between the last answer of a planned stop and its end
	readSlack  = 30 * time.Second
)

func loadTLS(t wire.TLS) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "tls")
	}
	out := &tls.Config{
		Certificates: []tls.Certificate{cert},
		MinVersion:   tls.VersionTLS12,
	}
	if out.ClientCAs, err = loadAuthorities(t.ClientCaFile); err != nil {
		return nil, err
	}
	out.RootCAs, err = loadAuthorities(t.CaFile)
	return out, err
}

// loadAuthorities returns the certificates in a file, nil for no file.
func loadAuthorities(path string) (*x509.CertPool, error) {
	if path == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "tls")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Newf("tls: no certificate in %s", path)
	}
	return pool, nil
}

// secure wraps l in TLS where there is any.
func secure(l net.Listener, cfg *tls.Config) net.Listener {
	if cfg == nil {
		return l
	}
	return tls.NewListener(l, cfg)
}

func (b *Box) httpServer(h http.Handler) *http.Server {
	limits := b.settings.Limits
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Duration(limits.HeaderTimeoutMs) * time.Millisecond,
		ReadTimeout:       time.Duration(limits.HeaderTimeoutMs)*time.Millisecond + readSlack,
		IdleTimeout:       time.Duration(limits.IdleTimeoutMs) * time.Millisecond,
		MaxHeaderBytes:    limits.HeaderBytes,
	}
}

// serveCallers answers callers until ctx ends or a planned stop is over.
func (b *Box) serveCallers(ctx context.Context, cancel context.CancelCauseFunc, cfg *tls.Config) {
	opts := []gateway.Option{
		gateway.WithLog(b.log),
		gateway.WithTransport(b.upstream.Transport, b.transport(true, cfg)),
	}
	if cfg != nil {
		opts = append(opts, gateway.WithTLS())
	}
	front := gateway.New(b.settings.Box, b.settings.Region, *b.settings.Limits, newID, b.core(), opts...)
	server := b.httpServer(front)
	l := newBounded(secure(b.steady(b.listeners[0]), cfg), b.settings.Limits.Connections)
	b.tasks.Go(func() { b.drain(ctx, cancel, server) })
	err := server.Serve(l)
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		cancel(errors.Wrap(err, "callers"))
	}
}

// drain waits for a planned stop, or the end of ctx, and stops server.
func (b *Box) drain(ctx context.Context, cancel context.CancelCauseFunc, server *http.Server) {
	tick := time.NewTicker(leaveGrace / 12)
	defer tick.Stop()
	for !b.leaving.Load() {
		select {
		case <-ctx.Done():
			_ = server.Close()
			return
		case <-tick.C:
		}
	}
	sleep.For(ctx, leaveGrace)
	bounded, stop := context.WithTimeout(ctx, b.drainLimit())
	defer stop()
	if err := ending.Shutdown(bounded, server); err != nil {
		b.log.WithError(err).Warn("planned stop cut off requests")
		_ = server.Close()
	}
	cancel(ending.ErrPlanned)
}

// stopDeadline returns until when answers are due in a planned stop; false if none has begun.
func (b *Box) stopDeadline() (time.Time, bool) {
	if !b.leaving.Load() {
		return time.Time{}, false
	}
	end := time.Duration(b.leftAt.Load()) + leaveGrace + b.drainLimit()
	return b.started.Add(end - stopMargin), true
}

// drainLimit returns how long a planned stop waits for requests in flight, after leaveGrace.
func (b *Box) drainLimit() time.Duration {
	return time.Duration(b.settings.Limits.DrainMs) * time.Millisecond
}

func (b *Box) serveBoxes(ctx context.Context, cancel context.CancelCauseFunc) {
	if err := peer.Serve(ctx, b.listeners[1], b.handlePeer, b.metrics.countControl); err != nil {
		cancel(err)
	}
}

func (b *Box) serveOperators(ctx context.Context, cancel context.CancelCauseFunc, cfg *tls.Config) {
	if cfg != nil && cfg.ClientCAs != nil {
		cfg = cfg.Clone()
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", b.metrics.handler())
	mux.HandleFunc("GET /debug/state", b.serveDump)
	server := b.httpServer(mux)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(secure(b.steady(b.listeners[2]), cfg))
	if err != nil && !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
		cancel(errors.Wrap(err, "operators"))
	}
}

// steady returns a listener that waits out a want of descriptors.
func (b *Box) steady(l net.Listener) net.Listener {
	return accept.NewSteady(l, func(err error) { b.log.WithError(err).Warn("no connection can be accepted") })
}

// bounded is a listener that holds no more than so many open connections.
type bounded struct {
	net.Listener
	free   chan struct{}
	once   sync.Once
	closed chan struct{}
}

func newBounded(l net.Listener, n int) *bounded {
	return &bounded{
		Listener: l,
		free:     make(chan struct{}, n),
		closed:   make(chan struct{}),
	}
}

// Accept waits until a connection may be opened, or the listener is closed: a planned stop
// waits for that longer than its context lasts.
func (l *bounded) Accept() (net.Conn, error) {
	select {
	case l.free <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	return &boundedConn{
		Conn: c,
		free: l.free,
	}, nil
}

// Close closes the listener; connections stay open.
func (l *bounded) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type boundedConn struct {
	net.Conn
	free chan struct{}
	once sync.Once
}

// Close closes the connection and lets another one be opened.
func (c *boundedConn) Close() error {
	c.once.Do(func() { <-c.free })
	return c.Conn.Close()
}

// actorLogger hands the actors' log to logrus until ctx ends.
func actorLogger(ctx context.Context, log *logrus.Entry) *slog.Logger {
	w := log.WriterLevel(logrus.WarnLevel)
	context.AfterFunc(ctx, func() { _ = w.Close() })
	h := slog.NewTextHandler(w, &slog.HandlerOptions{
		Level: slog.LevelWarn,
	})
	return slog.New(h)
}
