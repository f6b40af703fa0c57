package ingress

import (
	"context"
	"net"
	"strconv"

	"github.com/havenrudder/havenrudder/exchange"
	"github.com/havenrudder/havenrudder/placement"
)

// headerFraming is the framing of the replica's body, in responses to other boxes. Between boxes each
// body has a length or chunks, so that the loss of a box is noticed.
const headerFraming = "Rudder-Framing"

type connKey struct{}

// ConnContext adds the connection of a caller or box to the context of its requests. It is meant for http.Server.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// framingOf returns how the replica's body says where it ends.
func (a *attempt) framingOf(answer *exchange.Response) exchange.Framing {
	if a.target.Box != "" && answer.Header().Get(headerFraming) == string(exchange.FramedByClose) {
		return exchange.FramedByClose
	}
	return answer.Framing()
}

// brokenByCrash reports whether the end of the replica's connection, by which its body ended, is a
// crash. Only what shows that the replica lives counts as its survival.
func (a *attempt) brokenByCrash(ctx context.Context) bool {
	if a.framing != exchange.FramedByClose || a.target.Box != "" {
		return false // the other box has checked it
	}
	live := a.call.server.core.ProbeReplica(ctx, &a.target.Choice)
	a.uncertain = live == LivenessUnknown
	return live == Crashed
}

// completed records that the replica's answer is complete, as far as that can be known.
func (a *attempt) completed(r placement.Result) {
	a.result = r
	if a.uncertain {
		a.result = placement.Abandoned
	}
}

// frame sets the headers that say where the body of the response ends; length is negative if unknown.
// Callers get a body that ends with its connection as such, since it may not be complete.
func (c *call) frame(framing exchange.Framing, length int64) {
	c.unframed = framing == exchange.FramedByClose
	h := c.w.Header()
	if c.unframed && c.relay == nil {
		h.Set("Transfer-Encoding", "identity") // net/http then adds neither a length nor chunks
		c.setResetOnClose(true)
		return
	}
	if c.unframed {
		h.Set(headerFraming, string(framing))
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// endBody is called after the last write of a body that is passed on to its end.
func (c *call) endBody() {
	if !c.unframed || c.relay != nil {
		return
	}
	c.flush()
	c.setResetOnClose(false)
}

// setResetOnClose sets whether the end of the caller's connection is a reset. While a body is passed on
// that ends with its connection, any other end would make it look complete, that of this process too.
func (c *call) setResetOnClose(on bool) {
	nc, ok := c.r.Context().Value(connKey{}).(interface{ SetLinger(seconds int) error })
	if !ok {
		return
	}
	seconds := -1 // the default of the system
	if on {
		seconds = 0
	}
	_ = nc.SetLinger(seconds) // fails only if the connection is closed
}
