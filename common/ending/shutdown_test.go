package ending

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// pipeListener accepts connections in memory.
type pipeListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

var _ net.Listener = (*pipeListener)(nil)

func newPipeListener() *pipeListener {
	return &pipeListener{
		conns:  make(chan net.Conn),
		closed: make(chan struct{}),
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a box that takes answered requests for unanswered ones at its end, as net/http looks
// only every 500 ms.
func TestAStopEndsSoonAfterTheLastAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newPipeListener()
		s := &http.Server{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(700 * time.Millisecond)
				w.WriteHeader(http.StatusNoContent)
			}),
		}
		served := make(chan error, 1)
		go func() { served <- s.Serve(l) }()
		ours, theirs := net.Pipe()
		l.conns <- theirs
		answer := make(chan int, 1)
		go func() {
			_, _ = io.WriteString(ours, "GET / HTTP/1.1\r\nHost: x\r\n\r\n") // the answer tells of a failure
			resp, err := http.ReadResponse(bufio.NewReader(ours), nil)
			if err != nil {
				answer <- 0
				return
			}
			answer <- resp.StatusCode
			_, _ = io.Copy(io.Discard, ours) // until the server closes
		}()
		synctest.Wait()
		began := time.Now()
		limit, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		is.NoErr(Shutdown(limit, s))
		is.True(time.Since(began) <= 750*time.Millisecond)
		is.Equal(<-answer, http.StatusNoContent)
		is.Equal(<-served, http.ErrServerClosed)
	})
}

// Guards against a stop that reports success while a request is unanswered.
func TestAStopReportsRequestsThatItCutsOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newPipeListener()
		s := &http.Server{
			Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }),
		}
		served := make(chan error, 1)
		go func() { served <- s.Serve(l) }()
		ours, theirs := net.Pipe()
		l.conns <- theirs
		_, err := io.WriteString(ours, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		is.NoErr(err)
		synctest.Wait()
		began := time.Now()
		limit, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		is.True(Shutdown(limit, s) != nil)
		is.Equal(time.Since(began), time.Second)
		is.NoErr(s.Close())
		is.Equal(<-served, http.ErrServerClosed)
	})
}
