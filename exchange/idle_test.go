package exchange

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against requests that are sent to a restarted replica on connections to its
// previous process, and reset.
func TestCloseRestingLeavesBusyConnectionsOpen(t *testing.T) {
	is := is.New(t)
	s := newServer(t, respondWith(okResponse))
	other := newServer(t, respondWith(okResponse))
	p := newTestPool(t)
	busy, err := p.Do(t.Context(), get(s.addr))
	is.NoErr(err)
	for _, addr := range []string{s.addr, other.addr} {
		_, _, err = fetch(p, get(addr))
		is.NoErr(err)
	}
	is.Equal(p.OpenConns(s.addr), 2) // one busy, one idle
	p.CloseIdle(s.addr)
	p.CloseIdle("127.0.0.1:9") // no connections
	is.Equal(p.OpenConns(s.addr), 1)
	is.Equal(p.OpenConns(other.addr), 1)
	is.NoErr(busy.Close())
	a, _, err := fetch(p, get(s.addr))
	is.NoErr(err)
	is.True(!a.Reused())
}
