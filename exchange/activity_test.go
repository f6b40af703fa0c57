package exchange

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAPoolRecordsTheLastActivityOfOtherAddresses(t *testing.T) {
	is := is.New(t)
	more := make(chan struct{})
	defer close(more)
	s := newServer(t, func(c *peer) {
		_, _ = c.request()
		c.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
		<-more
		c.send("ok")
		<-more
	})
	other := newServer(t, respondWith(okResponse))
	p := newTestPool(t)
	is.True(p.LastActivityExcept("").IsZero())
	start := time.Now()
	a, err := p.Do(t.Context(), get(s.addr))
	is.NoErr(err)
	head := p.LastActivityExcept("")
	is.True(head.After(start))
	is.True(p.LastActivityExcept(s.addr).IsZero()) // no other address

	is.NoErr(p.Probe(t.Context(), other.addr, time.Second))
	connected := p.LastActivityExcept(s.addr)
	is.True(connected.After(head)) // a new connection counts
	is.Equal(p.LastActivityExcept(other.addr), head)

	more <- struct{}{}
	_, err = io.ReadFull(a, make([]byte, 2))
	is.NoErr(err)
	is.True(p.LastActivityExcept(other.addr).After(connected)) // bytes of a body
	is.Equal(p.LastActivityExcept(s.addr), connected)
	is.NoErr(a.Close())
}

// Guards against treating a response that waits unread in the socket as a timeout.
func TestUnreadBytesAreReported(t *testing.T) {
	is := is.New(t)
	more := make(chan struct{})
	defer close(more)
	s := newServer(t, func(c *peer) {
		_, _ = c.request()
		c.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
		for range 2 {
			<-more
			c.send("ok")
		}
		<-more
	})
	req := get(s.addr)
	var unread func() bool
	req.OnWrite = func(f func() bool) error {
		unread = f
		return nil
	}
	a, err := newTestPool(t).Do(t.Context(), req)
	is.NoErr(err)
	is.True(!unread())
	more <- struct{}{}
	for !unread() { // limited by the test timeout
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
	is.True(!unread()) // doesn't wait for the concurrent read
	more <- struct{}{}
	is.NoErr(<-read)
	is.NoErr(a.Close())
	is.True(!unread())
}
