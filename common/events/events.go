// Package events splits a stream of server-sent events into whole ones, so that a
// stream which breaks off can go on elsewhere after any of them.
package events

import (
	"bytes"
	"io"
	"iter"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	bufferBytes = 4 << 10 // read at once
	mostBytes   = 1 << 20 // of one event
)

// ErrTooLong ends a stream with an event of more than 1 MiB.
var ErrTooLong = errors.New("event too long")

// ErrNoEvent ends a stream with too many bytes that are no event.
var ErrNoEvent = errors.New("no event in the stream")

var (
	idField   = []byte("id:")
	dataField = []byte("data:")
	comment   = []byte(":")
	space     = []byte(" ")
	lineEnd   = []byte("\n")

	// buffers are for reading.
	buffers = sync.Pool{
		New: func() any {
			b := make([]byte, bufferBytes)
			return &b
		},
	}
)

// Reader reads a stream. It belongs to one goroutine.
type Reader struct {
	in     io.Reader
	buf    *[]byte
	resize func(bytes int) bool
	idle   int    // bytes returned since the last call of Progressed
	most   int    // of them, with those of held that are no event; 0 for any number
	held   []byte // what was read and not returned yet
	lines  int    // length of the whole lines at the start of held that are known not to end an event
	seen   int    // length of the start of held that was searched for the end of a line
	inside bool   // one of these lines, or the start of the next, is a field of data
	end    int    // of the first event in held; below 0 for none
	err    error  // why nothing more can be read
}

// Option configures a Reader.
type Option func(*Reader)

// WithMaxIdle sets how many bytes may be read without an event with data before Next fails with
// ErrNoEvent. Events returned count until Progressed is called.
func WithMaxIdle(bytes int) Option { return func(r *Reader) { r.most = bytes } }

// WithResize sets a function that is called after each read with the number of bytes that the
// reader is about to hold. Next fails with ErrTooLong when it returns false.
func WithResize(resize func(bytes int) bool) Option { return func(r *Reader) { r.resize = resize } }

// NewReader returns a reader of the stream in.
func NewReader(in io.Reader, opts ...Option) *Reader {
	r := &Reader{
		in:     in,
		buf:    buffers.Get().(*[]byte),
		resize: func(int) bool { return true },
		end:    -1,
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Close gives the memory of the reader back; it doesn't close the stream.
func (r *Reader) Close() {
	buffers.Put(r.buf)
	r.buf = nil
}

// Next returns the next whole event with the empty line at its end. It is good
// until the next call. After the last one comes the error of the stream, io.EOF
// for its end.
func (r *Reader) Next() ([]byte, error) {
	for r.end < 0 {
		r.limit()
		if r.err != nil {
			return nil, r.err
		}
		r.read()
	}
	event := r.held[:r.end]
	r.idle += len(event)
	r.held = r.held[r.end:]
	r.lines, r.seen, r.inside = 0, 0, false
	r.scan()
	return event, nil
}

// Progressed is called after an event that shows that the stream goes on.
func (r *Reader) Progressed() { r.idle = 0 }

// More says whether one more whole event was read already.
func (r *Reader) More() bool { return r.end >= 0 }

// Rest returns what came after the last whole event.
func (r *Reader) Rest() []byte { return r.held }

// Inside reports whether a stream that ends with rest, what came after its last whole event, ends
// inside an event: rest has more than empty lines and comments, or a line without its end.
func Inside(rest []byte) bool {
	for line := range bytes.Lines(rest) {
		text := bytes.TrimRight(line, "\r\n")
		isComment := bytes.HasPrefix(text, comment) && bytes.HasSuffix(line, lineEnd)
		if len(text) > 0 && !isComment {
			return true
		}
	}
	return false
}

// read reads once.
func (r *Reader) read() {
	n, err := r.in.Read(*r.buf)
	if n > 0 && !r.resize(len(r.held)+n) {
		r.err = ErrTooLong
		return
	}
	r.held = append(r.held, (*r.buf)[:n]...)
	r.scan()
	r.err = err
}

// limit ends a stream whose event becomes too long, or that has none.
func (r *Reader) limit() {
	if r.err != nil {
		return
	}
	idle := r.idle
	if !r.inside {
		idle += len(r.held)
	}
	switch {
	case len(r.held) > mostBytes:
		r.err = ErrTooLong
	case r.most > 0 && idle > r.most:
		r.err = ErrNoEvent
	}
}

// scan looks for the end of the first event in held, an empty line after another line, where it
// left off.
func (r *Reader) scan() {
	r.end = -1
	for {
		n := bytes.IndexByte(r.held[r.seen:], '\n')
		if n < 0 {
			r.seen = len(r.held)
			r.inside = r.inside || hasData(r.held[r.lines:])
			return
		}
		line := r.held[r.lines : r.seen+n]
		isEmpty := len(line) == 0 || string(line) == "\r"
		if isEmpty && r.lines > 0 {
			r.end = r.seen + n + 1
			return
		}
		r.inside = r.inside || hasData(line)
		r.seen += n + 1
		r.lines = r.seen
	}
}

// hasData says whether a line, or its start, is a field of data.
func hasData(line []byte) bool { return bytes.HasPrefix(line, dataField) }

// HasData says whether an event has data. Without it callers discard the event.
func HasData(event []byte) bool {
	for range Data(event) {
		return true
	}
	return false
}

// ID returns the id of an event, empty for none.
func ID(event []byte) string {
	for line := range bytes.SplitSeq(event, lineEnd) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// Data returns the values of an event's lines of data, one after the other. A line
// without its end is left out.
func Data(event []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for line := range bytes.Lines(event) {
			data, ok := bytes.CutPrefix(line, dataField)
			if !ok || !bytes.HasSuffix(line, lineEnd) {
				continue
			}
			if !yield(bytes.TrimRight(bytes.TrimPrefix(data, space), "\r\n")) {
				return
			}
		}
	}
}

// NotAfter says whether event id a does not come after b; ids are rising numbers.
func NotAfter(a, b string) bool {
	x, errA := strconv.ParseInt(a, 10, 64)
	y, errB := strconv.ParseInt(b, 10, 64)
	return errA == nil && errB == nil && x <= y
}
