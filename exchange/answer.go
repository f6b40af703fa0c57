package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// idleMargin is how long before the server's Keep-Alive timeout an idle connection is closed.
const idleMargin = 500 * time.Millisecond

var errReadClosed = errors.New("exchange: read from a closed response")

// Response is the response of a server, whose header has been read. It is not safe for concurrent use.
type Response struct {
	ctx            context.Context
	stop           func() bool // stops watching ctx; returns false if ctx has ended
	conn           *conn
	write          *requestWrite
	resp           *http.Response
	closeRequested bool // the request has Connection: close
	reused         bool
	discarded      int
	complete       bool
	err            error
	closed         bool
}

func newResponse(ctx context.Context, stop func() bool, req *Request, c *conn, rw *requestWrite, resp *http.Response) *Response {
	a := &Response{
		ctx:            ctx,
		stop:           stop,
		conn:           c,
		write:          rw,
		resp:           resp,
		closeRequested: req.wantsClose(),
		reused:         c.reused,
		discarded:      c.discarded,
	}
	if resp.Body == http.NoBody {
		a.complete = true
		a.err = io.EOF
	}
	return a
}

// Status returns the status code.
func (a *Response) Status() int {
	return a.resp.StatusCode
}

// Header returns the header fields as received, without Transfer-Encoding and Trailer.
func (a *Response) Header() http.Header {
	return a.resp.Header
}

// BodyLength returns the Content-Length, -1 if absent, and whether the body is chunked.
// With neither, the body ends with the connection. For HEAD both describe the omitted body.
func (a *Response) BodyLength() (length int64, chunked bool) {
	return a.resp.ContentLength, len(a.resp.TransferEncoding) > 0
}

// Framing is how a body says where it ends.
type Framing string

// Framings (RFC 9112, section 6.3).
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunked"
	FramedByClose  Framing = "close" // the end of the connection, which a broken body may have too
)

// Framing returns how the body says where it ends.
func (a *Response) Framing() Framing {
	length, chunked := a.BodyLength()
	switch {
	case chunked:
		return FramedByChunks
	case length >= 0, a.resp.Body == http.NoBody:
		return FramedByLength
	}
	return FramedByClose
}

// Reused reports whether the connection has carried an earlier request.
func (a *Response) Reused() bool {
	return a.reused
}

// Conn returns the number of the connection among those of its pool, from 1.
func (a *Response) Conn() uint64 {
	return a.conn.number
}

// Discarded returns the number of responses to other requests that the connection has carried in
// place of this one.
func (a *Response) Discarded() int {
	return a.discarded
}

// SetUserTimeout sets the TCP user timeout of the connection for the rest of the response.
// It is meant for pools without WithBusyUserTimeout.
func (a *Response) SetUserTimeout(d time.Duration) { a.conn.setConnTimeout(d) }

// Read reads the body. It returns io.EOF only if the body is complete, the context's
// error once the context has ended, and another error if the connection breaks.
func (a *Response) Read(p []byte) (int, error) {
	if a.err != nil {
		return 0, a.err
	}
	if err := a.ctx.Err(); err != nil {
		return 0, a.fail(err)
	}
	n, err := a.resp.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF && !a.truncated() {
		a.complete = true
		a.err = io.EOF
		return n, io.EOF
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, a.fail(contextErrOr(a.ctx, err))
}

// fail closes the connection; further reads return err.
func (a *Response) fail(err error) error {
	a.err = err
	a.conn.close()
	return err
}

// truncated reports whether a body that ends with the connection was cut off by a reset.
// The kernel reports a reset only once; if the writer or hasUnread received it, the reader sees
// a regular EOF.
func (a *Response) truncated() bool {
	if a.Framing() != FramedByClose {
		return false
	}
	a.conn.close()
	<-a.write.done
	return a.conn.broken.Load() || (a.write.err != nil && !errors.Is(a.write.err, net.ErrClosed))
}

// Close ends the exchange. The connection returns to the pool if both the request and
// the response are complete; otherwise it is closed. Close always returns nil.
func (a *Response) Close() error {
	if a.closed {
		return nil
	}
	a.closed = true
	watched := a.stop()
	if !a.complete {
		a.err = errReadClosed
	}
	if maxIdle := a.maxIdle(); watched && maxIdle > 0 && a.reusable() {
		a.conn.pool.release(a.conn, maxIdle)
		return nil
	}
	a.conn.close()
	<-a.write.done // from here on the caller may change the request's body
	return nil
}

// reusable reports whether the connection can carry another request.
func (a *Response) reusable() bool {
	return a.complete && a.write.succeeded() && !a.closeRequested && !a.resp.Close && a.conn.reader.Buffered() == 0
}

// maxIdle returns how long the connection may stay idle.
func (a *Response) maxIdle() time.Duration {
	maxIdle := a.conn.pool.idleTime
	if timeout, ok := keepAliveTimeout(a.resp.Header); ok {
		maxIdle = min(maxIdle, timeout-idleMargin)
	}
	return maxIdle
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	const day = 24 * 60 * 60 // in seconds; prevents overflow
	for option := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(option), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(strings.Trim(value, `"`))
		if err != nil || n < 0 {
			return 0, false
		}
		return time.Duration(min(n, day)) * time.Second, true
	}
	return 0, false
}
