package ingress

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/exchange"
)

// Guards against a probe connection per waiting request.
func TestOneProbeServesAllRequestsOfABox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		began := clock.Now()
		g.takeRetry = func() bool { return clock.Since(began) > 5*time.Second }
		time.AfterFunc(450*time.Millisecond, g.list[0].hang)
		var dials atomic.Int64
		time.AfterFunc(4900*time.Millisecond, func() { dials.Store(int64(g.link.dialled())) })
		for _, a := range g.calls(t, 20) {
			is.True(a.complete)
			is.Equal(a.body, completeStream())
		}
		is.True(dials.Load() <= 20+5) // one for each request, and one a second
	})
}

// Guards against a probe while data from other replicas shows that the link is free.
func TestResponsesOfOtherReplicasReplaceTheProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 2)
		g.roundRobin = true
		began := clock.Now()
		g.takeRetry = func() bool { return clock.Since(began) > 1800*time.Millisecond }
		time.AfterFunc(450*time.Millisecond, g.list[0].hang)
		var dials atomic.Int64
		time.AfterFunc(1750*time.Millisecond, func() { dials.Store(int64(g.link.dialled())) })
		for _, a := range g.calls(t, 6) {
			is.True(a.complete)
			is.Equal(a.body, completeStream())
		}
		is.Equal(dials.Load(), int64(6)) // one for each request
	})
}

// Guards against cancelling a stream whose data the overloaded box has not read yet.
func TestAStreamIsNotEndedWhileItsAnswerLiesUnreadAtTheBox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		time.AfterFunc(450*time.Millisecond, func() { g.link.delayReads(4 * time.Second) })
		a := g.call(t)
		is.True(a.complete)
		is.Equal(a.body, completeStream())
		is.Equal(g.runs(), 1)
	})
}

// callAfterFailedDials returns a call with three failed connections on a box that has received
// nothing from anyone, and the pool of the box.
func callAfterFailedDials(t *testing.T) (*call, *exchange.Pool) {
	pool := exchange.NewPool()
	t.Cleanup(pool.Close)
	return &call{
		server:      New("box", "a", Codec{}, Hooks{}, pool, pool),
		start:       clock.Now(),
		failedDials: 3,
		route: &catalog.Route{
			LatencyTarget: 800,
		},
	}, pool
}

// Guards against a longer dial timeout for a call with unreachable replicas while others respond.
func TestTheDialTimeoutGrowsOnlyWhereTheBoxesOwnLinkMayBeCongested(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	c, pool := callAfterFailedDials(t)
	is.True(c.dialTimeout(replicaDialTimeout) > 2*replicaDialTimeout)
	is.True(c.dialTimeout(replicaDialTimeout) <= c.route.LatencyTarget.Duration()) // it is refused if it can't be served in time
	c.state = stateStarted
	is.Equal(c.dialTimeout(replicaDialTimeout), 4*replicaDialTimeout) // a started stream waits
	is.NoErr(pool.Probe(t.Context(), s.Listener.Addr().String(), time.Second))
	is.Equal(c.dialTimeout(replicaDialTimeout), 4*replicaDialTimeout)
	c.state = stateNotRun
	is.Equal(c.dialTimeout(replicaDialTimeout), replicaDialTimeout)
}
