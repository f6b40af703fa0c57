package exchange

import (
	"bufio"
	"bytes"
	"io"
	"maps"
	"net/http"
	"net/url"
	"sync"
	"time"
)

const (
	writerSize = 4 << 10

	// responseGrace is the time left to read a response after a failed write.
	responseGrace = 500 * time.Millisecond
)

type requestWrite struct {
	done         chan struct{}
	err          error // the outcome; valid once done is closed
	immediateErr error // the outcome of a write that ended before the response is read
}

func (s *requestWrite) succeeded() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// send writes the request. A long body is written by a goroutine, since the server may
// respond without reading it. The goroutine ends at the latest when the connection is
// closed.
func (c *conn) send(req *Request) *requestWrite {
	s := &requestWrite{
		done: make(chan struct{}),
	}
	c.noteCarried(req)
	c.written = 0
	c.writeErr = nil
	if req.Method == http.MethodHead {
		c.sentHEAD = true
	}
	if len(req.Body) <= maxInlineBody {
		s.err = c.write(req)
		s.immediateErr = s.err
		close(s.done)
		return s
	}
	go func() {
		defer close(s.done)
		s.err = c.write(req)
		if s.err != nil {
			// The call fails only on a closed connection, which has no reader.
			_ = c.nc.SetReadDeadline(time.Now().Add(responseGrace))
		}
	}()
	return s
}

func (c *conn) write(req *Request) error {
	w := writerPool.Get().(*requestWriter)
	w.reset(c)
	defer func() {
		w.reset(nil)
		writerPool.Put(w)
	}()
	line := []string{req.Method, " ", req.Target, " HTTP/1.1\r\n"}
	for _, part := range line {
		if _, err := w.buf.WriteString(part); err != nil {
			return err
		}
	}
	if err := req.httpRequest().Write(w); err != nil {
		if c.writeErr != nil {
			return c.writeErr // net/http hides it in its own error
		}
		return err
	}
	return w.buf.Flush()
}

// httpRequest converts the request for net/http. Its target is a placeholder, since write
// writes the request line.
func (r *Request) httpRequest() *http.Request {
	header := maps.Clone(r.Header)
	if header == nil {
		header = make(http.Header)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // prevents the default of net/http
	}
	out := &http.Request{
		Method: r.Method,
		URL: &url.URL{
			Opaque: "*",
		},
		Host:   r.Host,
		Header: header,
	}
	if len(r.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.Body))
		out.ContentLength = int64(len(r.Body))
	}
	return out
}

var writerPool = sync.Pool{
	New: func() any {
		return &requestWriter{
			buf: bufio.NewWriterSize(nil, writerSize),
		}
	},
}

// requestWriter buffers the output of net/http without its request line, since net/http
// would put a scheme before a target that begins with two slashes. It has no ReadFrom,
// which would split a long body into writes of the buffer's size.
type requestWriter struct {
	buf           *bufio.Writer
	inRequestLine bool
}

func (w *requestWriter) reset(out io.Writer) {
	w.buf.Reset(out)
	w.inRequestLine = true
}

// Write buffers p without the request line.
func (w *requestWriter) Write(p []byte) (int, error) {
	skipped := 0
	if w.inRequestLine {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			return len(p), nil
		}
		w.inRequestLine = false
		skipped = end + 1
	}
	n, err := w.buf.Write(p[skipped:])
	return skipped + n, err
}

func (w *requestWriter) WriteString(s string) (int, error) {
	if w.inRequestLine {
		return w.Write([]byte(s))
	}
	return w.buf.WriteString(s)
}

// WriteByte buffers c. net/http adds no buffer of its own to an io.ByteWriter.
func (w *requestWriter) WriteByte(c byte) error {
	_, err := w.Write([]byte{c})
	return err
}
