package exchange

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that is never written while connections take longer than it may be delayed: each
// one is closed unused, and the next request has to wait for one again.
func TestAConnectionWhoseRequestWasDeclinedServesTheNextOne(t *testing.T) {
	is := is.New(t)
	s := newServer(t, respondWith(okResponse))
	p := newTestPool(t)
	req := get(s.addr)
	errNotNow := errors.New("not now")
	req.OnWrite = func(func() bool) error { return errNotNow }
	_, _, err := fetch(p, req)
	is.True(errors.Is(err, errNotNow))
	_, _, err = fetch(p, get(s.addr))
	is.NoErr(err)
	is.Equal(s.conns.Load(), int32(1))
}
