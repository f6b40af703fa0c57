// Package exchange is an HTTP/1.1 client that reports whether any byte of a failed
// request may have reached the server.
//
// It has its own connection pool. Unlike http.Transport it retries a request in one case
// only: when a reused connection accepted no byte of it.
package exchange

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	defaultDialTimeout = 500 * time.Millisecond

	// maxInlineBody is the longest body, in bytes, that is written before the response
	// is read. With its header it fits an idle socket's send buffer, so that the write
	// doesn't block.
	maxInlineBody = 8 << 10
)

var (
	errMethod = errors.New("request method is not a token")
	errTarget = errors.New("request target is empty or contains a space or control character")
)

// Request is the request of one exchange. Header and Body must stay unchanged until the
// response is closed or Do has failed.
type Request struct {
	Addr   string      // host:port to connect to
	Method string      // GET when empty
	Target string      // raw request target, sent unchanged
	Host   string      // value of the Host field; Addr when empty
	Header http.Header // sent as is, without a default User-Agent
	Body   []byte

	// ID identifies the request; empty for none. A connection that has carried one of the same ID among its
	// last 16 requests is not used: the server may send another copy of that response, which Matches can't
	// tell from the response to this request.
	ID string

	// Carriers are the connections that have carried earlier sends of the request, which are not used either,
	// however many other requests they have carried since. Do adds the one that carries it now. Nil for none.
	Carriers *Carriers

	// Matches reports whether a response with these header fields belongs to this request.
	// If nil, every response does.
	Matches func(h http.Header) bool

	// OnWrite, if not nil, is called before each write of the request to a connection, so
	// twice on a retry. It may change Header. If it returns an error, nothing is written and Do fails with it.
	// unread reports whether the connection has received bytes that are
	// not read yet; it may be called until Do has failed or the response is closed.
	OnWrite func(unread func() bool) error

	// OnInformational, if not nil, is called with the header of each 1xx response, by the goroutine of Do.
	OnInformational func(h http.Header)

	DialTimeout time.Duration // 500 ms when 0

	key requestKey // of ID
}

func (r *Request) prepare() error {
	if r.Method == "" {
		r.Method = http.MethodGet
	}
	if r.Host == "" {
		r.Host = r.Addr
	}
	if r.DialTimeout <= 0 {
		r.DialTimeout = defaultDialTimeout
	}
	if !isToken(r.Method) {
		return errMethod
	}
	if r.Target == "" || strings.ContainsFunc(r.Target, isSpaceOrControl) {
		return errTarget
	}
	return nil
}

func (r *Request) wantsClose() bool {
	for _, line := range r.Header.Values("Connection") {
		for option := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(option), "close") {
				return true
			}
		}
	}
	return false
}

// isSpaceOrControl reports whether c is not allowed in a request target.
func isSpaceOrControl(c rune) bool {
	const del = 0x7f
	return c <= ' ' || c == del
}

// isToken reports whether s is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	const marks = "!#$%&'*+-.^_`|~"
	outside := func(c rune) bool {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		digit := '0' <= c && c <= '9'
		return !letter && !digit && !strings.ContainsRune(marks, c)
	}
	return s != "" && !strings.ContainsFunc(s, outside)
}

// Do sends the request and returns once the response header is read. The caller must
// close the response. Errors are of type *Error. The end of ctx closes the connection,
// also while the body is read.
func (p *Pool) Do(ctx context.Context, req Request) (*Response, error) {
	if err := req.prepare(); err != nil {
		return nil, &Error{
			stage: StageWrite,
			err:   err,
		}
	}
	if err := ctx.Err(); err != nil {
		return nil, &Error{
			stage: StageDial,
			err:   err,
		}
	}
	req.key = p.keyOf(req.ID)
	if c := p.acquire(&req); c != nil {
		a, fault := roundTrip(ctx, &req, c)
		if fault == nil {
			return a, nil
		}
		if fault.sent || fault.declined || ctx.Err() != nil {
			return nil, fault
		}
		// The reused connection accepted no byte of the request: retry on a new one.
	}
	c, err := p.connect(ctx, &req)
	if err != nil {
		return nil, &Error{
			stage: StageDial,
			err:   contextErrOr(ctx, err),
		}
	}
	a, fault := roundTrip(ctx, &req, c)
	if fault != nil {
		return nil, fault
	}
	return a, nil
}

func (r *Request) onWrite(c *conn) error {
	if r.OnWrite == nil {
		return nil
	}
	return r.OnWrite(c.hasUnread)
}

// roundTrip sends the request on c and reads the response header. After a failure c is
// closed, unless the request was declined, and the request's body is no longer read.
func roundTrip(ctx context.Context, req *Request, c *conn) (*Response, *Error) {
	stop := context.AfterFunc(ctx, c.abort)
	err := req.onWrite(c)
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		if stop() {
			c.pool.release(c, c.pool.idleTime) // nothing was written
		} else {
			c.close()
		}
		return nil, &Error{
			stage:    StageWrite,
			declined: true,
			err:      err,
		}
	}
	s := c.send(req)
	stage := StageWrite
	err = s.immediateErr
	var resp *http.Response
	if err == nil {
		resp, stage, err = c.readResponse(req)
	}
	if err != nil {
		stop()
		c.close()
		<-s.done
		sent := c.written > 0
		if !sent {
			stage = StageWrite
		}
		return nil, &Error{
			stage: stage,
			sent:  sent,
			err:   contextErrOr(ctx, err),
		}
	}
	return newResponse(ctx, stop, req, c, s, resp), nil
}

// contextErrOr returns the error of ctx if it has ended, which closes the connection, and
// err otherwise.
func contextErrOr(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return cause
	}
	return err
}
