package exchange

import (
	"testing"

	"github.com/matryer/is"
)

// A replica that had started again behind a cut got requests on connections to the
// process before. Each was reset after it was sent, and those that may run once were lost.
func TestConnectionsAtRestAreClosedAndBusyOnesGoOn(t *testing.T) {
	is := is.New(t)
	s := newServer(t, always(whole))
	other := newServer(t, always(whole))
	p := newTestPool(t)
	busy, err := p.Do(t.Context(), get(s.addr))
	is.NoErr(err)
	for _, addr := range []string{s.addr, other.addr} {
		_, _, err = fetch(p, get(addr))
		is.NoErr(err)
	}
	is.Equal(p.Open(s.addr), 2) // one busy, one at rest
	p.CloseResting(s.addr)
	p.CloseResting("127.0.0.1:9") // nothing is there
	is.Equal(p.Open(s.addr), 1)
	is.Equal(p.Open(other.addr), 1)
	is.NoErr(busy.Close())
	a, _, err := fetch(p, get(s.addr))
	is.NoErr(err)
	is.True(!a.Reused())
}
