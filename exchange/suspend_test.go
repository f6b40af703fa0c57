package exchange

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/internal/boot"
)

// The other side closed the connection while the machine was suspended; Go's clock doesn't
// show that its time at rest is over.
func TestAConnectionThatRestedWhileTheMachineWasSuspendedIsNotUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newTestPool(t, WithDial(piped(always(whole))), WithIdleTime(4*time.Second))
		_, _, err := fetch(p, get("x"))
		is.NoErr(err)
		boot.Skip((8 * time.Second).Nanoseconds())
		clock.Check()
		a, _, err := fetch(p, get("x"))
		is.NoErr(err)
		is.True(!a.Reused())
	})
}
