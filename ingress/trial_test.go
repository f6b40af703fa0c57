package ingress

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/exchange"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/poison"
)

// trial puts requests on trial after from, allows the run after allowed, and returns the counter
// of completed runs.
func (g *region) trial(from, allowed time.Duration) *int {
	began := clock.Now()
	over := 0
	g.poisonFuncs.OnTrial = func(*poison.Content) bool { return over == 0 && clock.Since(began) >= from }
	g.poisonFuncs.TakeTrial = func(*poison.Content) bool { return clock.Since(began) >= allowed }
	g.poisonFuncs.EndTrial = func(*placement.Choice, *poison.Content) { over++ }
	return &over
}

func TestARequestOnTrialWaitsForItsRunAndIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		over := g.trial(0, 200*time.Millisecond)
		a := g.call(t)
		is.True(a.complete)
		is.Equal(a.body, completeStream())
		is.Equal(g.runs(), 1)
		is.Equal(*over, 1)
	})
}

func TestARequestOnTrialThatWaitsTooLongIsRefusedWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		g.trial(0, time.Hour)
		pool := exchange.NewPool(exchange.WithDial(g.link.dial))
		defer pool.Close()
		w := httptest.NewRecorder()
		began := clock.Now()
		g.box(pool).ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://shop.example/chat/1", nil))
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(w.Header().Get("Retry-After"), "1.00")
		is.True(clock.Since(began) <= trialWaitTimeout+2*trialPollInterval)
		is.Equal(g.runs(), 0)
	})
}

func TestAStreamThatIsResumedOnTrialWaitsAsLongAsItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		g.list[0].abortBefore(5)
		over := g.trial(100*time.Millisecond, 2*time.Second)
		a := g.call(t)
		is.True(a.complete)
		is.Equal(a.body, completeStream())
		is.Equal(g.runs(), 2)
		is.Equal(*over, 1)
	})
}
