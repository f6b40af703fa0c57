package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/exchange"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/poison"
	"github.com/havenrudder/havenrudder/queue"
)

const waited = 100 * time.Millisecond

// waitingBox answers one request at a box whose targets come after a wait.
func (g *region) waitingBox(t *testing.T, place func(ctx context.Context, q TargetQuery) Target) *httptest.ResponseRecorder {
	t.Helper()
	pool := exchange.NewPool(exchange.WithDial(g.link.dial))
	defer pool.Close()
	core := g.core()
	core.Place = place
	w := httptest.NewRecorder()
	New("box", "a", testCodec(15*time.Second), core, pool, pool).Callers().
		ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://shop.example/chat/1", nil))
	return w
}

func (g *region) placeAfterWait(ctx context.Context, q TargetQuery) Target {
	sleep.For(ctx, waited)
	t := g.place(ctx, q)
	t.Waited = waited
	return t
}

// Guards against requests that crash replicas and are sent because they waited while that was found out.
func TestARequestQuarantinedWhileItWaitsIsNotSentAndItsTargetIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 1)
		began := clock.Now()
		g.poisonFuncs.Quarantined = func(*poison.Content) (time.Duration, bool) {
			return time.Minute, clock.Since(began) >= waited/2
		}
		w := g.waitingBox(t, g.placeAfterWait)
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(w.Header().Get("Retry-After"), "60")
		is.Equal(g.runs(), 0)
		is.Equal(len(g.results), 1)
		for _, r := range g.results {
			is.Equal(r, placement.Unsent)
		}
	})
}

// Guards against requests put on trial while they wait that run beside others.
func TestARequestPutOnTrialWhileItWaitsWaitsForItsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 1)
		over := g.trial(waited/2, 3*waited)
		var queries []TargetQuery
		w := g.waitingBox(t, func(ctx context.Context, q TargetQuery) Target {
			queries = append(queries, q)
			return g.placeAfterWait(ctx, q)
		})
		is.Equal(w.Code, http.StatusOK)
		is.Equal(g.runs(), 1)
		is.Equal(*over, 1)
		is.Equal(len(queries), 2)
		is.True(queries[0].MayWait)
		is.True(!queries[1].MayWait) // it is on trial
	})
}

// Guards against a second wait after the refusal of a queue, and against retry times that are cut.
func TestARefusalOfTheQueueIsFinalAndNamesItsRetryTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 1)
		asked := 0
		w := g.waitingBox(t, func(context.Context, TargetQuery) Target {
			asked++
			return Target{
				Reason:     placement.Reason(queue.TooLate),
				RetryAfter: 4 * time.Second,
				Final:      true,
				Ahead:      7,
				Expected:   20 * time.Second,
			}
		})
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(w.Header().Get("Retry-After"), "4.00")
		is.Equal(asked, 1)
		end := g.events[len(g.events)-1]
		is.Equal(end.Reason, string(queue.TooLate))
		is.Equal(end.Ahead, 7)
		is.Equal(end.ExpectedMs, int64(20000))
	})
}

// Guards against retries that are lost from the budget although nothing was sent.
func TestARetryIsReturnedIfTheQueueRefusesItsRequest(t *testing.T) {
	cases := []struct {
		name     string
		refuse   bool
		hangs    bool // the stall watch takes the retry
		left     time.Duration
		returned int
		status   int
	}{
		{"refused", true, false, 0, 1, http.StatusBadGateway},
		{"refused after a stall", true, true, 0, 1, http.StatusBadGateway},
		{"the caller leaves while it waits", false, false, waited + waited/2, 1, 0},
		{"sent", false, false, 0, 0, http.StatusOK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newRegion(t, 2)
				if c.hangs {
					g.list[0].hang()
				} else {
					g.list[0].abortBefore(1)
				}
				pool := exchange.NewPool(exchange.WithDial(g.link.dial))
				defer pool.Close()
				core := g.core()
				core.Place = func(ctx context.Context, q TargetQuery) Target {
					if len(q.Request.Tried) == 0 {
						return g.place(ctx, q)
					}
					if !c.refuse {
						return g.placeAfterWait(ctx, q)
					}
					return Target{
						Reason:     placement.Reason(queue.TooLate),
						RetryAfter: time.Second,
						Final:      true,
					}
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.left > 0 {
					time.AfterFunc(c.left, cancel)
				}
				w := httptest.NewRecorder()
				r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://shop.example/chat/1", nil)
				aborted := serveUntilAborted(New("box", "a", testCodec(15*time.Second), core, pool, pool).Callers(), w, r)
				is.Equal(len(g.returned), c.returned)
				is.Equal(aborted, c.left > 0)
				if !aborted {
					is.Equal(w.Code, c.status)
				}
				for _, taken := range g.returned {
					is.True(taken >= g.uptime+eventEvery) // when it was taken, after the first attempt
				}
			})
		})
	}
}
