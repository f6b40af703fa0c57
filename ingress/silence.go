package ingress

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
)

// Times after which a replica from which nothing comes is taken for silent. They
// count only for requests that may be repeated, and only where more tries are
// left.
const (
	quietPlainShare = 0.4                    // of the goal of a call
	quietStream     = 700 * time.Millisecond // an engine's steps take 60 ms, so an event takes 300 ms at most
	quietPerExpect  = 3                      // times the expected time
	quietCheck      = 50 * time.Millisecond  // between two looks at least
	budgetCheck     = 250 * time.Millisecond // between two questions whether a retry is left: requests that allow one come several times a second
)

// errQuiet ends a try whose replica has fallen silent.
var errQuiet = errors.New("ingress: replica silent")

// watchSilence ends the try when its replica has fallen silent towards this box, and
// the budget of retries gives a try elsewhere. Without that the replica is waited for:
// it may only be busy.
func (a *attempt) watchSilence(ctx context.Context) (stop func()) {
	c := a.call
	if !c.route.Repeatable() || c.sent+1 >= c.route.Attempts {
		return func() {}
	}
	next := c.ask()
	next.Request.Tried = append(slices.Clone(next.Request.Tried), a.target.Choice.Replica)
	done := make(chan struct{})
	go func() {
		limit := a.quietLimit()
		timer := time.NewTimer(limit)
		defer timer.Stop()
		for {
			select {
			case <-done:
				return
			case <-ctx.Done():
				return
			case <-timer.C:
			}
			quiet := c.server.core.Quiet(next, &a.target.Choice, a.sent)
			switch {
			case quiet > limit && c.server.core.Repeat(c.service):
				c.paid.Store(true)
				a.cancel(errQuiet)
				return
			case quiet > limit: // no retry is left
				timer.Reset(budgetCheck)
			case quiet == 0: // it may be silent, but there is no other: soon there may be
				timer.Reset(quietCheck)
			default:
				timer.Reset(max(limit-quiet, quietCheck))
			}
		}
	}()
	return func() { close(done) }
}

// quietLimit returns how long the replica may be silent.
func (a *attempt) quietLimit() time.Duration {
	expect := quietPerExpect * a.target.Choice.Expect
	if a.call.route.Kind == catalog.Stream {
		return max(quietStream, expect)
	}
	return max(time.Duration(quietPlainShare*float64(a.call.route.Goal.Duration())), expect)
}
