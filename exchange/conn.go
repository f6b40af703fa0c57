package exchange

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/heads"
)

const (
	readerSize = 4 << 10

	// maxHeaderBytes bounds one head, as at the servers of a box: with 1 MiB, 200 connections whose
	// heads don't end took 67 MB.
	maxHeaderBytes = 64 << 10

	// maxResponses is the number of responses that are read per request, with the final one.
	maxResponses = 16

	// maxDiscarded is the maximum body size, in bytes, of a discarded response.
	maxDiscarded = 64 << 10
)

var (
	errHeaderTooLong        = errors.New("the answer's header is too long")
	errTooManyInformational = errors.New("too many 1xx answers")
	errProtocolSwitch       = errors.New("server switched protocols without an upgrade request")
	errMismatch             = errors.New("response belongs to another request")
	errJoinedHeads          = errors.New("the answer's header holds the start of another answer")
)

// maxCarried is the number of requests that a connection remembers.
const maxCarried = 16

// requestKey is the hash of a request's ID; 0 for none.
type requestKey uint64

// conn is one connection. Between acquire or connect and release it belongs to one exchange.
type conn struct {
	pool       *Pool
	number     uint64 // among the connections of the pool, from 1
	addr       string
	nc         net.Conn
	reader     *bufio.Reader
	headerLeft int64 // bytes of a header that may still be read
	written    int64 // bytes of the current request accepted by the kernel
	discarded  int   // responses to other requests that were read in place of the current one's
	writeErr   error
	broken     atomic.Bool // hasUnread has received an error of the connection
	reused     bool
	sentHEAD   bool
	carried    [maxCarried]requestKey // of the last requests, in a ring
	requests   int                    // number of requests that it has carried
	extended   bool                   // its TCP user timeout differs from the dialer's
	expiresAt  time.Time              // end of its idle time; guarded by pool.mu
	closed     bool                   // guarded by pool.mu
}

func newConn(p *Pool, addr string, nc net.Conn) *conn {
	c := &conn{
		pool:       p,
		number:     p.opened.Add(1),
		addr:       addr,
		nc:         nc,
		headerLeft: math.MaxInt64,
	}
	c.reader = bufio.NewReaderSize(c, readerSize)
	return c
}

// noteCarried records a request that is about to be written.
func (c *conn) noteCarried(req *Request) {
	c.carried[c.requests%maxCarried] = req.key
	c.requests++
	if req.Carriers != nil {
		req.Carriers.add(c)
	}
}

// hasCarried reports whether the connection has carried an earlier send of the request, or recently another
// request with its ID.
func (c *conn) hasCarried(req *Request) bool {
	return (req.key != 0 && slices.Contains(c.carried[:], req.key)) || (req.Carriers != nil && req.Carriers.has(c))
}

// Read reads from the connection, up to the limit of a header.
func (c *conn) Read(p []byte) (int, error) {
	if c.headerLeft <= 0 {
		return 0, errHeaderTooLong
	}
	n, err := c.nc.Read(p)
	if n > 0 {
		c.pool.activity.record(c.addr)
	}
	c.headerLeft -= int64(n)
	return n, err
}

// Write writes to the connection and records the bytes written and any error.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.nc.Write(p)
	c.written += int64(n)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// close removes the connection from the pool and closes it. It is idempotent and safe
// for concurrent use.
func (c *conn) close() {
	if !c.pool.remove(c) {
		return
	}
	_ = c.nc.Close()
}

// abort closes the connection of a request that was given up. Bytes that the peer has not acknowledged
// are discarded: the kernel would otherwise deliver them later. The close is a reset then, which may be
// lost, so that it is not used once all of the request has arrived.
func (c *conn) abort() {
	if l, ok := c.nc.(interface{ SetLinger(seconds int) error }); ok && unsent(c.nc) > 0 {
		_ = l.SetLinger(0) // fails only if the connection is closed
	}
	c.close()
}

func (c *conn) setConnTimeout(d time.Duration) {
	setConnTimeout(c.nc, d)
	c.extended = true
}

func (c *conn) resetUserTimeout() {
	if c.extended {
		setConnTimeout(c.nc, userTimeout)
		c.extended = false
	}
}

// readResponse reads the header of the response to req. It skips 1xx responses and one
// response to another request, if its body has a definite length.
func (c *conn) readResponse(req *Request) (*http.Response, Stage, error) {
	c.discarded = 0
	for range maxResponses {
		resp, err := c.readHeader(req.Method)
		if err != nil {
			return nil, StageResponse, err
		}
		if heads.Joined(resp) {
			return nil, StageMismatch, errJoinedHeads
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, StageResponse, errProtocolSwitch
		}
		if resp.StatusCode < http.StatusOK {
			req.noteInformational(resp)
			continue
		}
		if req.Matches == nil || req.Matches(resp.Header) {
			return resp, StageResponse, nil
		}
		if c.discarded > 0 || !c.discardBody(resp) {
			return nil, StageMismatch, errMismatch
		}
		c.discarded++
	}
	return nil, StageResponse, errTooManyInformational
}

func (r *Request) noteInformational(resp *http.Response) {
	if r.OnInformational != nil {
		r.OnInformational(resp.Header)
	}
}

func (c *conn) readHeader(method string) (*http.Response, error) {
	c.headerLeft = maxHeaderBytes
	defer func() { c.headerLeft = math.MaxInt64 }()
	return http.ReadResponse(c.reader, &http.Request{
		Method: method,
	})
}

// discardBody reads the body of a response to another request, and reports whether another
// response can follow. After a HEAD request the length of the body is unknown, since the
// response may belong to that request. A body that was cut holds the head of the next response.
func (c *conn) discardBody(resp *http.Response) bool {
	if c.sentHEAD || resp.Close {
		return false
	}
	var f heads.Finder
	n, err := io.Copy(&f, io.LimitReader(resp.Body, maxDiscarded+1))
	return err == nil && n <= maxDiscarded
}
