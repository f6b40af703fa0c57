package exchange

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// readerSize is the read buffer of a connection in bytes. It holds a usual
	// answer's header; larger reads of the body bypass it.
	readerSize = 4 << 10

	// maxHead bounds an answer's header in bytes; net/http's server has the same
	// bound for requests.
	maxHead = 1 << 20

	// maxInformational bounds the 1xx answers to one request; servers send one
	// or two.
	maxInformational = 16

	// maxDropped bounds the body of an answer, in bytes, that belongs to another
	// request and is read to reach ours; beyond it a new connection is cheaper.
	maxDropped = 64 << 10
)

var (
	errHeadTooLong   = errors.New("the answer's header is too long")
	errInformational = errors.New("too many 1xx answers")
	errSwitched      = errors.New("the other side has switched protocols unasked")
	errCrossed       = errors.New("the answer belongs to another request")
)

// conn is one connection. Between take or open and put it belongs to one exchange.
type conn struct {
	pool     *Pool
	addr     string
	nc       net.Conn
	reader   *bufio.Reader
	headLeft int64 // bytes that may still be read
	wrote    int64 // bytes of the current request that the kernel has taken
	writeErr error // why the kernel took no more of them
	reused   bool
	hadHead  bool      // it has carried a HEAD request
	busy     bool      // it may be silent for longer than one at rest
	until    time.Time // when it has rested for long enough; held by pool.mu
	closed   bool      // held by pool.mu
}

func newConn(p *Pool, addr string, nc net.Conn) *conn {
	c := &conn{
		pool:     p,
		addr:     addr,
		nc:       nc,
		headLeft: math.MaxInt64,
	}
	c.reader = bufio.NewReaderSize(c, readerSize)
	return c
}

// Read reads from the connection while the bound of a header allows.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLeft <= 0 {
		return 0, errHeadTooLong
	}
	n, err := c.nc.Read(p)
	if n > 0 {
		c.pool.heard.note(c.addr)
	}
	c.headLeft -= int64(n)
	return n, err
}

// Write writes to the connection, counts what was taken and notes a failure.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.nc.Write(p)
	c.wrote += int64(n)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// close closes the connection for good. It may be called at any time, by several
// goroutines and more than once.
func (c *conn) close() {
	if !c.pool.forget(c) {
		return
	}
	_ = c.nc.Close() // given up: whatever the error, nothing is done with it again
}

// bear has the connection bear a peer that acknowledges nothing for d.
func (c *conn) limitUnacked(d time.Duration) {
	limitUnacked(c.nc, d)
	c.busy = true
}

// calm has it bear no more than the dialer allows.
func (c *conn) calm() {
	if c.busy {
		limitUnacked(c.nc, userTimeout)
		c.busy = false
	}
}

// answer reads the header of the answer that belongs to req. It skips 1xx answers
// and one answer to another request, if that one has a definite length.
func (c *conn) answer(req *Request) (*http.Response, Stage, error) {
	dropped := false
	for range maxInformational {
		resp, err := c.readHead(req.Method)
		if err != nil {
			return nil, Response, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, Response, errSwitched
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if req.Owns == nil || req.Owns(resp.Header) {
			return resp, Response, nil
		}
		if dropped || !c.drop(resp) {
			return nil, Crossed, errCrossed
		}
		dropped = true
	}
	return nil, Response, errInformational
}

// readHead reads the header of one answer, within its bound.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.headLeft = maxHead
	defer func() { c.headLeft = math.MaxInt64 }()
	return http.ReadResponse(c.reader, &http.Request{
		Method: method,
	})
}

// drop reads the body of an answer to another request, and says whether the next
// answer follows it. After a HEAD request the length of an answer's body is in
// doubt, since nobody knows which request it belongs to.
func (c *conn) drop(resp *http.Response) bool {
	if c.hadHead || resp.Close {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDropped+1))
	return err == nil && n <= maxDropped
}
