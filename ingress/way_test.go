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

// Each request that a replica was silent under made a connection of its own to the next target,
// and one more each second for as long as the budget gave no retry: 20 streams made 80 to one
// replica in 4 s.
func TestOneConnectionProvesTheWayForAllRequestsOfABox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		began := clock.Now()
		g.spare = func() bool { return clock.Since(began) > 5*time.Second }
		time.AfterFunc(450*time.Millisecond, g.list[0].goDark)
		var dials atomic.Int64
		time.AfterFunc(4900*time.Millisecond, func() { dials.Store(int64(g.link.dialled())) })
		for _, a := range g.calls(t, 20) {
			is.True(a.whole)
			is.Equal(a.body, wholeStream())
		}
		is.True(dials.Load() <= 20+5) // one for each request, and one a second
	})
}

// Where another replica goes on with its answers the way is free, and no connection is made to
// find that out.
func TestAnswersOfOtherReplicasProveTheWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 2)
		g.share = true
		began := clock.Now()
		g.spare = func() bool { return clock.Since(began) > 1800*time.Millisecond }
		time.AfterFunc(450*time.Millisecond, g.list[0].goDark)
		var dials atomic.Int64
		time.AfterFunc(1750*time.Millisecond, func() { dials.Store(int64(g.link.dialled())) })
		for _, a := range g.calls(t, 6) {
			is.True(a.whole)
			is.Equal(a.body, wholeStream())
		}
		is.Equal(dials.Load(), int64(6)) // one for each request
	})
}

// A box with all of its processor in use (19.0 of 19.2 cores of ten boxes, with 39 to 322 KB/s
// through links of 1,250) left an answer unread that had come: connections are made by the
// kernel, so that the next target was reached, and the run was cut.
func TestAStreamIsNotEndedWhileItsAnswerLiesUnreadAtTheBox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newRegion(t, 3)
		time.AfterFunc(450*time.Millisecond, func() { g.link.fallBehind(4 * time.Second) })
		a := g.call(t)
		is.True(a.whole)
		is.Equal(a.body, wholeStream())
		is.Equal(g.runs(), 1)
	})
}

// silentWay returns a call of which three connections could not be made, by a box that has heard
// nobody, and that box's pool.
func silentWay(t *testing.T) (*call, *exchange.Pool) {
	pool := exchange.NewPool()
	t.Cleanup(pool.Close)
	return &call{
		server:      New("box", "a", Codec{}, Core{}, pool, pool),
		start:       clock.Now(),
		failedDials: 3,
		route: &catalog.Route{
			Goal: 800,
		},
	}, pool
}

// A connection was tried for longer after two that were not made, whatever the request: with three
// dark replicas a call with a goal of 800 ms was turned away after 1,000 ms in place of 750. Dark
// replicas are no reason to wait where others are heard.
func TestAConnectionIsTriedForLongerOnlyWhereTheBoxesOwnWayIsInDoubt(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	c, pool := silentWay(t)
	is.True(c.dialTimeout(replicaDialTimeout) > 2*replicaDialTimeout)
	is.True(c.dialTimeout(replicaDialTimeout) <= c.route.Goal.Duration()) // what can't be served in time is turned away
	c.state = stateStarted
	is.Equal(c.dialTimeout(replicaDialTimeout), 4*replicaDialTimeout) // its caller has a part of the answer, and waits
	is.NoErr(pool.Reach(t.Context(), s.Listener.Addr().String(), time.Second))
	is.Equal(c.dialTimeout(replicaDialTimeout), 4*replicaDialTimeout)
	c.state = stateNotRun
	is.Equal(c.dialTimeout(replicaDialTimeout), replicaDialTimeout)
}
