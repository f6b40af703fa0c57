package exchange

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAPoolTellsWhenItHeardAnyOtherAddress(t *testing.T) {
	is := is.New(t)
	more := make(chan struct{})
	defer close(more)
	s := newServer(t, func(c *peer) {
		_, _ = c.request()
		c.say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
		<-more
		c.say("ok")
		<-more
	})
	other := newServer(t, always(whole))
	p := newTestPool(t)
	is.True(p.Heard("").IsZero())
	began := time.Now()
	a, err := p.Do(t.Context(), get(s.addr))
	is.NoErr(err)
	head := p.Heard("")
	is.True(head.After(began))
	is.True(p.Heard(s.addr).IsZero()) // nobody else

	is.NoErr(p.Reach(t.Context(), other.addr, time.Second))
	made := p.Heard(s.addr)
	is.True(made.After(head)) // a connection that is taken counts
	is.Equal(p.Heard(other.addr), head)

	more <- struct{}{}
	_, err = io.ReadFull(a, make([]byte, 2))
	is.NoErr(err)
	is.True(p.Heard(other.addr).After(made)) // bytes of a body
	is.Equal(p.Heard(s.addr), made)
	is.NoErr(a.Close())
}

// A box whose processor was behind took an answer that lay in its own socket for silence.
func TestWhatHasComeAndIsNotReadIsTold(t *testing.T) {
	is := is.New(t)
	more := make(chan struct{})
	defer close(more)
	s := newServer(t, func(c *peer) {
		_, _ = c.request()
		c.say("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
		for range 2 {
			<-more
			c.say("ok")
		}
		<-more
	})
	req := get(s.addr)
	var unread func() bool
	req.Begin = func(f func() bool) { unread = f }
	a, err := newTestPool(t).Do(t.Context(), req)
	is.NoErr(err)
	is.True(!unread())
	more <- struct{}{}
	for !unread() { // the package's time-out ends it
		time.Sleep(time.Millisecond)
	}
	_, err = io.ReadFull(a, make([]byte, 2))
	is.NoErr(err)
	is.True(!unread())

	read := make(chan error, 1)
	go func() {
		_, err := io.ReadFull(a, make([]byte, 2))
		read <- err
	}()
	time.Sleep(10 * time.Millisecond)
	is.True(!unread()) // it doesn't wait for the read that is under way
	more <- struct{}{}
	is.NoErr(<-read)
	is.NoErr(a.Close())
	is.True(!unread())
}
