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
	// writerSize is a writer's buffer in bytes; a usual request without a long
	// body fits, and leaves in one packet's write.
	writerSize = 4 << 10

	// answerGrace is how long an answer may still take to come once the request
	// could not be written to its end. What the other side sent is then already
	// here, so it only has to be read.
	answerGrace = 500 * time.Millisecond
)

// sending is the writing of one request.
type sending struct {
	done  chan struct{} // closed when nothing is written any more
	err   error         // the outcome; to be read after done
	early error         // the outcome when it was known before the answer is read
}

// wholly says whether the request is written to its end by now.
func (s *sending) wholly() bool {
	select {
	case <-s.done:
		return s.err == nil
	default:
		return false
	}
}

// send writes the request. A long body is written by a goroutine, since the other
// side may answer without having read it. The goroutine ends at the latest when
// the connection is closed.
func (c *conn) send(req *Request) *sending {
	s := &sending{
		done: make(chan struct{}),
	}
	c.wrote = 0
	c.writeErr = nil
	if req.Method == http.MethodHead {
		c.hadHead = true
	}
	if len(req.Body) <= inlineBody {
		s.err = c.write(req)
		s.early = s.err
		close(s.done)
		return s
	}
	go func() {
		defer close(s.done)
		s.err = c.write(req)
		if s.err != nil {
			// It fails only on a closed connection, which no reader waits on.
			_ = c.nc.SetReadDeadline(time.Now().Add(answerGrace))
		}
	}()
	return s
}

// write writes the request to the connection.
func (c *conn) write(req *Request) error {
	w := writers.Get().(*writer)
	w.reset(c)
	defer func() {
		w.reset(nil)
		writers.Put(w)
	}()
	line := []string{req.Method, " ", req.Target, " HTTP/1.1\r\n"}
	for _, part := range line {
		if _, err := w.buf.WriteString(part); err != nil {
			return err
		}
	}
	if err := req.format().Write(w); err != nil {
		if c.writeErr != nil {
			return c.writeErr // net/http wraps it in an error that hides it
		}
		return err
	}
	return w.buf.Flush()
}

// format returns the request as net/http writes it. The target in it stands for
// the one that the writer has put in its place.
func (r *Request) format() *http.Request {
	header := maps.Clone(r.Header)
	if header == nil {
		header = make(http.Header)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // net/http adds its own when there is none
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

// writers are for writing requests.
var writers = sync.Pool{
	New: func() any {
		return &writer{
			buf: bufio.NewWriterSize(nil, writerSize),
		}
	},
}

// writer takes what net/http writes, but for the request line: net/http would put
// a scheme before a target that begins with two slashes. It deliberately lacks the
// ReadFrom of its buffer, which would split a long body into parts of its size.
type writer struct {
	buf    *bufio.Writer
	inLine bool // the request line hasn't ended yet
}

// reset makes the writer ready for a request to out.
func (w *writer) reset(out io.Writer) {
	w.buf.Reset(out)
	w.inLine = true
}

// Write buffers p. What belongs to the request line is left out.
func (w *writer) Write(p []byte) (int, error) {
	skipped := 0
	if w.inLine {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			return len(p), nil
		}
		w.inLine = false
		skipped = end + 1
	}
	n, err := w.buf.Write(p[skipped:])
	return skipped + n, err
}

// WriteString buffers s.
func (w *writer) WriteString(s string) (int, error) {
	if w.inLine {
		return w.Write([]byte(s))
	}
	return w.buf.WriteString(s)
}

// WriteByte buffers c. Its presence tells net/http that the writer is buffered.
func (w *writer) WriteByte(c byte) error {
	_, err := w.Write([]byte{c})
	return err
}
