package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/wire"
)

func TestTheDelayOfAStatusIsRelativeToTheSmallestObserved(t *testing.T) {
	is := is.New(t)
	table := New(wire.BoxStatus{
		Box:    "self",
		Inc:    1,
		Region: "a",
	})
	const offset = 40 * time.Second // uptime of the other box when this one started
	waited := func(inc, seq int, up, transit time.Duration) time.Duration {
		s := wire.BoxStatus{
			Box:    "other",
			Inc:    inc,
			Seq:    seq,
			Region: "a",
			UpMs:   int(up.Milliseconds()),
		}
		now := up - offset + transit
		table.Receive(s, true, now)
		return table.QueueingDelay(s, now)
	}
	is.Equal(waited(1, 1, 50*time.Second, 30*time.Millisecond), time.Duration(0))
	is.Equal(waited(1, 2, 51*time.Second, 4*time.Second), 4*time.Second-30*time.Millisecond)
	is.Equal(waited(1, 3, 52*time.Second, 5*time.Millisecond), time.Duration(0)) // the smallest delay
	is.Equal(waited(1, 4, 53*time.Second, 2*time.Second), 2*time.Second-5*time.Millisecond)
	is.Equal(waited(2, 1, 41*time.Second, 2*time.Second), time.Duration(0)) // a new process without a reference
}
