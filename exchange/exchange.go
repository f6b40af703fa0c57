// Package exchange carries one HTTP/1.1 request over one TCP connection and
// knows whether any byte of it may have reached the other side.
//
// It keeps its own connections alive between requests. Unlike http.Transport it
// never sends a request a second time, but for one case that is safe: a kept
// connection that took no byte at all of the request.
package exchange

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// defaultDialTimeout bounds connecting; the boxes and upstreams of a region
	// are a few milliseconds apart, so one lost SYN is already a bad sign.
	defaultDialTimeout = 500 * time.Millisecond

	// inlineBody is the longest body, in bytes, that is written before the answer
	// is read. With its head it fits the send buffer of any idle Linux socket (16 KiB
	// by default), so that the write can't wait for the other side.
	inlineBody = 8 << 10
)

var (
	errMethod = errors.New("the method is not a token")
	errTarget = errors.New("the request target is empty or holds a space or a control byte")
)

// Request is what one exchange sends. Do doesn't modify it; Header and Body must
// stay unchanged until the answer is closed, or Do has failed.
type Request struct {
	Addr   string      // host:port to connect to
	Method string      // GET when empty
	Target string      // raw request target, sent unchanged
	Host   string      // value of the Host field; Addr when empty
	Header http.Header // sent as it is, without a User-Agent of our own
	Body   []byte      // none when empty

	// Owns says whether an answer with these header fields belongs to this
	// request. When it is nil, every answer does.
	Owns func(h http.Header) bool

	// Begin is called, where it is not nil, just before the request is written to a
	// connection: twice when a kept one took no byte of it. unread may be called at any
	// time until Do has failed or the answer is closed; it says whether the other side
	// has sent what this one has not read yet.
	Begin func(unread func() bool)

	DialTimeout time.Duration // 500 ms when 0
}

// prepare fills defaults in and refuses what can't be sent unchanged.
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
	if r.Target == "" || strings.ContainsFunc(r.Target, breaksLine) {
		return errTarget
	}
	return nil
}

// lastOne says whether the request asks the other side to close the connection.
func (r *Request) lastOne() bool {
	for _, line := range r.Header.Values("Connection") {
		for option := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(option), "close") {
				return true
			}
		}
	}
	return false
}

// breaksLine says whether c would end a field of the request line.
func breaksLine(c rune) bool {
	const del = 0x7f
	return c <= ' ' || c == del
}

// isToken says whether s is a token as RFC 9110, section 5.6.2, defines it.
func isToken(s string) bool {
	const marks = "!#$%&'*+-.^_`|~"
	outside := func(c rune) bool {
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
		digit := '0' <= c && c <= '9'
		return !letter && !digit && !strings.ContainsRune(marks, c)
	}
	return s != "" && !strings.ContainsFunc(s, outside)
}

// Do sends the request and returns as soon as the header of its answer is read.
// The caller must close the answer. A failure is an *Error. The end of ctx closes
// the connection at once, also while the answer's body is read.
func (p *Pool) Do(ctx context.Context, req Request) (*Answer, error) {
	if err := req.prepare(); err != nil {
		return nil, &Error{
			stage: Write,
			err:   err,
		}
	}
	if err := ctx.Err(); err != nil {
		return nil, &Error{
			stage: Dial,
			err:   err,
		}
	}
	if c := p.take(req.Addr); c != nil {
		a, fault := carry(ctx, &req, c)
		if fault == nil {
			return a, nil
		}
		if fault.sent || ctx.Err() != nil {
			return nil, fault
		}
		// The kept connection took no byte of the request: a fresh one may.
	}
	c, err := p.open(ctx, &req)
	if err != nil {
		return nil, &Error{
			stage: Dial,
			err:   ended(ctx, err),
		}
	}
	a, fault := carry(ctx, &req, c)
	if fault != nil {
		return nil, fault
	}
	return a, nil
}

// carry sends the request on c and reads the header of its answer. After a
// failure c is closed and nothing writes to it any more.
func carry(ctx context.Context, req *Request, c *conn) (*Answer, *Error) {
	stop := context.AfterFunc(ctx, c.close)
	if req.Begin != nil {
		req.Begin(func() bool { return unread(c.nc) })
	}
	s := c.send(req)
	stage := Write
	err := s.early
	var resp *http.Response
	if err == nil {
		resp, stage, err = c.answer(req)
	}
	if err != nil {
		stop()
		c.close()
		<-s.done
		sent := c.wrote > 0
		if !sent {
			stage = Write
		}
		return nil, &Error{
			stage: stage,
			sent:  sent,
			err:   ended(ctx, err),
		}
	}
	return newAnswer(ctx, stop, req, c, s, resp), nil
}

// ended returns the error of ctx when it has one, for that is then why the
// connection failed, and err otherwise.
func ended(ctx context.Context, err error) error {
	if cause := ctx.Err(); cause != nil {
		return cause
	}
	return err
}
