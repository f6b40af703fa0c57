// Package peer implements JSON-RPC between boxes over TCP and counts the bytes sent and
// received.
package peer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/havenrudder/havenrudder/common/sleep"
)

// Method is the JSON-RPC method of a message between boxes.
type Method string

// JSON-RPC methods, with the types of their parameters and results.
const (
	Heartbeat      Method = "hb"       // wire.Heartbeat; notification
	Fleet          Method = "fleet"    // wire.FleetUpdate; notification
	Floor          Method = "floor"    // wire.FloorRequest; returns wire.Floor
	Part           Method = "part"     // wire.PartRequest; returns wire.Part
	Announce       Method = "announce" // wire.Announce; returns wire.Announced
	Seal           Method = "seal"     // wire.Seal; returns wire.Sealed
	Catalog        Method = "catalog"  // returns catalog.EncodedChangeSet
	Policy         Method = "policy"   // returns catalog.PolicyResponse
	Quota          Method = "quota"    // quota.CreditRequest; returns quota.Grant
	Demand         Method = "demand"   // demand of a region's callers, by organisation
	FreshnessProof Method = "proof"    // freshness proof of the policy; returns a version and an age
)

// Handler handles one message. For a notification its result is discarded.
type Handler func(ctx context.Context, m Method, params json.RawMessage) (any, error)

// envelopeBytes is the size of JSON-RPC and the length prefix; see TestEnvelopeIsMeasured.
const envelopeBytes = 43

// Counter is called with the size of each message, sent or received.
type Counter func(m Method, bytes int)

// Back-off after a failed accept, such as one for lack of file descriptors.
const (
	minBackOff = 5 * time.Millisecond
	maxBackOff = time.Second
)

// Serve accepts connections from l and handles their messages until ctx ends or l is closed.
func Serve(ctx context.Context, l net.Listener, h Handler, count Counter) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	backOff := minBackOff
	for {
		conn, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(err, "peer")
		case err != nil:
			sleep.For(ctx, backOff)
			backOff = min(2*backOff, maxBackOff)
			continue
		}
		backOff = minBackOff
		serveConn(ctx, conn, h, count)
	}
}

func serveConn(ctx context.Context, conn net.Conn, h Handler, count Counter) {
	handle := func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		if r.Params == nil {
			return nil, &jsonrpc2.Error{
				Code:    jsonrpc2.CodeInvalidParams,
				Message: "no parameters",
			}
		}
		m := Method(r.Method)
		count(m, len(*r.Params)+envelopeBytes)
		out, err := h(ctx, m, *r.Params)
		if err != nil || r.Notif {
			return nil, err
		}
		data, err := json.Marshal(out)
		if err != nil {
			return nil, errors.Wrap(err, "peer")
		}
		count(m, len(data)+envelopeBytes)
		return json.RawMessage(data), nil
	}
	async := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(handle).SuppressErrClosed())
	stream := jsonrpc2.NewBufferedStream(conn, newCodec(conn))
	c := jsonrpc2.NewConn(ctx, stream, async, jsonrpc2.SetLogger(discardLogger{}))
	closeOnDone(ctx, c)
}

// closeOnDone closes c when ctx ends. Its goroutine ends when c is closed.
func closeOnDone(ctx context.Context, c *jsonrpc2.Conn) {
	go func() {
		select {
		case <-ctx.Done():
			_ = c.Close()
		case <-c.DisconnectNotify():
		}
	}()
}

// discardLogger discards the log of jsonrpc2, whose errors calls return.
type discardLogger struct{}

var _ jsonrpc2.Logger = discardLogger{}

func (discardLogger) Printf(string, ...any) {}

// DialFunc opens a connection to an address.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Pool has one connection to each peer.
type Pool struct {
	ctx   context.Context
	dial  DialFunc
	count Counter
	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewPool returns a pool whose connections are closed when ctx ends.
func NewPool(ctx context.Context, dial DialFunc, count Counter) *Pool {
	return &Pool{
		ctx:   ctx,
		dial:  dial,
		count: count,
		conns: make(map[string]*jsonrpc2.Conn),
	}
}

const dialTimeout = time.Second

func (p *Pool) conn(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	if c := p.existing(addr); c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "peer")
	}
	handle := func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, errors.New("peer: calls go one way")
	}
	stream := jsonrpc2.NewBufferedStream(raw, newCodec(raw))
	c := jsonrpc2.NewConn(p.ctx, stream, jsonrpc2.HandlerWithError(handle), jsonrpc2.SetLogger(discardLogger{}))
	closeOnDone(p.ctx, c)
	return p.add(addr, c), nil
}

func (p *Pool) existing(addr string) *jsonrpc2.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.conns[addr]
	if !ok {
		return nil
	}
	select {
	case <-c.DisconnectNotify():
		delete(p.conns, addr)
		return nil
	default:
		return c
	}
}

// add adds c to the pool and returns it, or closes it and returns an existing connection.
func (p *Pool) add(addr string, c *jsonrpc2.Conn) *jsonrpc2.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.conns[addr]; ok {
		_ = c.Close()
		return old
	}
	p.conns[addr] = c
	return c
}

func (p *Pool) remove(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[addr]; ok {
		_ = c.Close()
		delete(p.conns, addr)
	}
}

// retireDelay exceeds the timeouts of the calls that still wait on a retired connection.
const retireDelay = 10 * time.Second

// retire removes a connection on which a call has timed out, as it may be dead.
func (p *Pool) retire(addr string, c *jsonrpc2.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[addr] != c {
		return
	}
	delete(p.conns, addr)
	time.AfterFunc(retireDelay, func() { _ = c.Close() }) // fails if already closed
}

// Notify sends a notification.
func (p *Pool) Notify(ctx context.Context, addr string, m Method, params any) error {
	data, c, err := p.prepare(ctx, addr, m, params)
	if err != nil {
		return err
	}
	if err := c.Notify(ctx, string(m), data); err != nil {
		p.remove(addr)
		return errors.Wrap(err, "peer")
	}
	return nil
}

// Call sends a message and decodes its result into out. If it fails, the message may still
// have arrived.
func (p *Pool) Call(ctx context.Context, addr string, m Method, params, out any) error {
	data, c, err := p.prepare(ctx, addr, m, params)
	if err != nil {
		return err
	}
	var raw json.RawMessage
	if err := c.Call(ctx, string(m), data, &raw); err != nil {
		switch {
		case ctx.Err() == nil:
			p.remove(addr)
		case errors.Is(ctx.Err(), context.DeadlineExceeded):
			p.retire(addr, c)
		}
		return errors.Wrap(err, "peer")
	}
	p.count(m, len(raw)+envelopeBytes)
	return errors.Wrap(json.Unmarshal(raw, out), "peer")
}

func (p *Pool) prepare(ctx context.Context, addr string, m Method, params any) (json.RawMessage, *jsonrpc2.Conn, error) {
	data, err := json.Marshal(params)
	if err != nil {
		return nil, nil, errors.Wrap(err, "peer")
	}
	c, err := p.conn(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	p.count(m, len(data)+envelopeBytes)
	return data, c, nil
}
