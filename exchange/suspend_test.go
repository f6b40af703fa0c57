package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/internal/boot"
)

// Guards against reuse of a connection that expired during a suspend, in which Go's
// monotonic clock stands still.
func TestAConnectionIdleDuringASuspendIsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newTestPool(t, WithDial(dialPipe(respondWith(okResponse))), WithIdleTime(4*time.Second))
		_, _, err := fetch(p, get("x"))
		is.NoErr(err)
		boot.Skip((8 * time.Second).Nanoseconds())
		clock.Check()
		a, _, err := fetch(p, get("x"))
		is.NoErr(err)
		is.True(!a.Reused())
	})
}
