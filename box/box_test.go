package box_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/havenrudder/havenrudder/gateway"
	"github.com/havenrudder/havenrudder/internal/fakes"
	"github.com/havenrudder/havenrudder/wire"
)

func TestABundleIsInForceEverywhereWithinSecondsAndNeverReverts(t *testing.T) {
	run(t, func(d *domain) {
		for _, r := range d.boxes {
			d.is.Equal(r.box.InForce(), 1)
		}
		d.publish(7)
		d.wait(4 * time.Second)
		for _, r := range d.boxes {
			d.is.Equal(r.box.InForce(), 7)
		}
		d.publish(6) // a replica of the platform that has fallen behind
		d.wait(10 * time.Second)
		for _, r := range d.boxes {
			d.is.Equal(r.box.InForce(), 7)
		}
	}, "a", "b", "c", "d")
}

func TestABoxThatStartsWhileThePlatformIsStaleTakesTheVersionOfItsPeers(t *testing.T) {
	run(t, func(d *domain) {
		d.publish(2)
		d.wait(4 * time.Second)
		d.publish(1)
		started := d.start("c")
		d.publishFleet()
		d.wait(8 * time.Second)
		d.is.Equal(started.InForce(), 2)
	}, "a", "b")
}

func TestABoxThatKnowsNoUpstreamsIsNotNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := emptyDomain(t)
		defer d.end()
		b := d.start("a") // the platform has a bundle, and no list yet
		d.wait(10 * time.Second)
		d.is.Equal(b.Dump().State, "starting")
		r := d.send(http.MethodGet, "a", "/v1/box?service=engine", "", http.Header{})
		d.is.Equal(r.refusal.Code, "starting")
		d.publishFleet()
		d.wait(10 * time.Second)
		d.is.Equal(b.Dump().State, "serving")
	})
}

func TestABoxWithoutABundleReadsItAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := emptyDomain(t)
		defer d.end()
		for i := range 300 {
			o := d.bundle.Organisations[0]
			o.Name = fmt.Sprintf("o%d", i)
			d.bundle.Organisations = append(d.bundle.Organisations, o)
		}
		d.publish(2)
		d.open("a")
		d.is.Equal(d.boxes["a"].box.InForce(), 2)
		d.is.True(d.platform.Calls() < 12) // some 190 nodes, 2 lists, and watches

		for i := range d.bundle.Organisations {
			d.bundle.Organisations[i].Share = 0.5
		}
		before := d.platform.Calls()
		d.publish(3)
		d.wait(2 * time.Second)
		d.is.Equal(d.boxes["a"].box.InForce(), 3)
		d.is.True(d.platform.Calls()-before < 12) // a change of every leaf
	})
}

func TestABoxStartsFromItsPeersWhileThePlatformIsDown(t *testing.T) {
	run(t, func(d *domain) {
		d.platform.SetDown(true)
		started := d.start("c")
		d.wait(20 * time.Second)
		d.is.Equal(started.InForce(), 1)
		d.is.Equal(started.Dump().State, "serving")
		r := d.send(http.MethodPost, "c", "/v1/chat/completions", `{"model":"m","messages":[]}`, http.Header{})
		d.is.Equal(r.status, http.StatusOK) // it knows the upstreams too
	}, "a", "b")
}

func TestACallThatMayNotBeRepeatedRunsOnceThroughTwoBoxes(t *testing.T) {
	run(t, func(d *domain) {
		h := d.ticket("a")
		first := d.send(http.MethodPost, "a", "/s/slots/v1/slots", "order", h)
		second := d.send(http.MethodPost, "b", "/s/slots/v1/slots", "order", h)
		d.is.Equal(first.status, http.StatusOK)
		d.is.Equal(second.body, first.body)
		d.is.Equal(d.ledger.Ran("order"), 1)
		other := d.send(http.MethodPost, "a", "/s/slots/v1/slots", "another", h)
		d.is.Equal(other.refusal.Code, "ticket_used")
		d.is.Equal(d.ledger.Ran("another"), 0)
	}, "a", "b")
}

func TestATicketWhoseOwnerDiedUnusedIsNotRun(t *testing.T) {
	run(t, func(d *domain) {
		h := d.ticket("a")
		d.crash("a")
		r := d.send(http.MethodPost, "b", "/s/slots/v1/slots", "order", h)
		d.is.Equal(r.refusal.Ran, wire.RanNotRun)
		d.is.Equal(d.ledger.Ran("order"), 0)
		d.is.Equal(d.loop("b", "order", r.refusal.Ticket).status, http.StatusOK)
		d.is.Equal(d.ledger.Ran("order"), 1)
	}, "a", "b", "c")
}

func TestATicketWhoseOwnerDiedWhileItRanIsUnknown(t *testing.T) {
	run(t, func(d *domain) {
		h := d.ticket("a")
		go d.send(http.MethodPost, "a", "/s/slots/v1/slots", "order", h)
		d.wait(100 * time.Millisecond)
		d.is.Equal(d.ledger.Ran("order"), 1)
		d.crash("a")
		r := d.send(http.MethodPost, "b", "/s/slots/v1/slots", "order", h)
		d.is.Equal(r.refusal.Ran, wire.RanUnknown)
		d.is.Equal(d.ledger.Ran("order"), 1)
	}, "a", "b", "c")
}

func TestAFrozenOwnerDoesNotKeepACallerUntilItsDeadline(t *testing.T) {
	run(t, func(d *domain) {
		h := d.ticket("a")
		d.net.Freeze("a")
		began := time.Now()
		r := d.send(http.MethodPost, "b", "/s/slots/v1/slots", "order", h)
		d.is.Equal(r.refusal.Ran, wire.RanNotRun)
		d.is.True(time.Since(began) < 5*time.Second) // virtual; the deadline is 30 s
		d.net.Thaw("a")
		d.wait(5 * time.Second)
		late := d.send(http.MethodPost, "a", "/s/slots/v1/slots", "order", h)
		d.is.Equal(late.refusal.Ran, wire.RanNotRun) // it wakes with a ticket that is sealed
		d.is.Equal(d.ledger.Ran("order"), 0)
	}, "a", "b", "c")
}

func TestACutBetweenOwnerAndWitnessMakesNotRunTrue(t *testing.T) {
	run(t, func(d *domain) {
		h := d.ticket("a")
		d.net.Cut("a", "b") // the only possible witness
		r := d.send(http.MethodPost, "a", "/s/slots/v1/slots", "order", h)
		d.is.Equal(r.refusal.Ran, wire.RanNotRun)
		again := d.send(http.MethodPost, "b", "/s/slots/v1/slots", "order", h)
		d.is.Equal(again.refusal.Ran, wire.RanNotRun)
		d.net.Heal()
		d.wait(5 * time.Second)
		late := d.send(http.MethodPost, "a", "/s/slots/v1/slots", "order", h)
		d.is.Equal(late.refusal.Ran, wire.RanNotRun)
		d.is.Equal(d.ledger.Ran("order"), 0)
	}, "a", "b")
}

func TestAnIdempotencyKeyWithoutATicketGetsOne(t *testing.T) {
	run(t, func(d *domain) {
		r := d.send(http.MethodPost, "a", "/s/slots/v1/slots", "order", http.Header{
			"Idempotency-Key": {"k"},
		})
		d.is.Equal(r.status, http.StatusPreconditionRequired)
		d.is.Equal(r.refusal.Ran, wire.RanNotRun)
		d.is.True(r.refusal.Ticket != "")
		d.is.Equal(d.ledger.Ran("order"), 0)
	}, "a", "b")
}

func TestAPlannedStopCutsOffNothingAndIsNamedNoMore(t *testing.T) {
	run(t, func(d *domain) {
		whole := make(chan bool, 1)
		unused := d.ticket("a")
		go func() {
			r := d.send(http.MethodPost, "a", "/v1/chat/completions", `{"model":"m","stream":true,"messages":[]}`, http.Header{})
			whole <- strings.HasSuffix(r.body, "data: [DONE]\n\n")
		}()
		d.wait(6 * time.Millisecond) // the answer has begun
		d.boxes["a"].box.Leave()
		d.wait(time.Second)
		d.is.True(<-whole)
		var which wire.WhichBox
		d.is.NoErr(json.Unmarshal([]byte(d.send(http.MethodGet, "b", "/v1/box?service=engine", "", http.Header{}).body), &which))
		d.is.Equal(which.Boxes, []string{d.boxes["b"].box.Addrs().Callers})
		r := d.send(http.MethodPost, "a", "/s/slots/v1/slots", "order", unused)
		d.is.Equal(r.refusal.Ran, wire.RanNotRun)
		d.wait(10 * time.Second)
		d.is.NoErr(<-d.boxes["a"].done)
	}, "a", "b")
}

// Guards against requests that are cut off while a planned stop has time for them.
func TestARequestThatEndsWithinAPlannedStopIsServed(t *testing.T) {
	run(t, func(d *domain) {
		d.engine.Leave()
		d.upstream("engine-2", "engine", fakes.NewEngine("engine-2", fakes.WithTokens(20, time.Second, time.Second)))
		d.publishFleet()
		d.wait(5 * time.Second)
		d.boxes["a"].box.Leave()
		d.wait(3 * time.Second)
		r := d.send(http.MethodPost, "a", "/v1/chat/completions", `{"model":"m","stream":true,"messages":[]}`, http.Header{})
		d.is.True(strings.HasSuffix(r.body, "data: [DONE]\n\n")) // after 20 s, of 36 s less 3
		d.is.NoErr(<-d.boxes["a"].done)
	}, "a", "b")
}

// Guards against requests that are cut off without an answer at the end of a planned stop.
func TestARequestThatOutlastsAPlannedStopGetsAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := emptyDomain(t)
		defer d.end()
		d.fleets["d"].Upstreams = nil
		slots := fakes.NewService(d.ledger, 0)
		d.upstream("slow-1", "slots", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/v1/slots") {
				<-r.Context().Done()
				return
			}
			slots.ServeHTTP(w, r)
		}))
		d.open("a", "b")
		answer := make(chan reply, 1)
		d.boxes["a"].box.Leave()
		go func() {
			answer <- d.send(http.MethodGet, "a", "/s/slots/v1/slots", "", http.Header{
				gateway.HeaderDeadline: {"600000"},
			})
		}()
		r := <-answer
		d.is.Equal(r.status, http.StatusGatewayTimeout)
		d.is.Equal(r.refusal.Ran, wire.RanUnknown)
		d.is.NoErr(<-d.boxes["a"].done)
	})
}

func TestAnUpstreamThatLeavesGetsNoNewWork(t *testing.T) {
	run(t, func(d *domain) {
		ask := func() reply {
			return d.send(http.MethodPost, "a", "/v1/chat/completions", `{"model":"m","messages":[]}`, http.Header{})
		}
		d.is.Equal(ask().status, http.StatusOK)
		d.engine.Leave() // only its own answers say so; the list lags
		d.is.Equal(ask().status, http.StatusOK)
		d.wait(time.Second)
		d.is.Equal(ask().refusal.Ran, wire.RanNotRun)
		d.wait(5 * time.Second) // the other box hears of it by heartbeat
		r := d.send(http.MethodPost, "b", "/v1/chat/completions", `{"model":"m","messages":[]}`, http.Header{})
		d.is.Equal(r.refusal.Ran, wire.RanNotRun)
		d.is.Equal(d.engine.Counts().Finished, 2)
	}, "a", "b")
}

func TestACallerThatLeavesCancelsTheUpstream(t *testing.T) {
	run(t, func(d *domain) {
		ctx, cancel := context.WithCancel(d.t.Context())
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.boxes["a"].box.Addrs().Callers+"/v1/chat/completions", strings.NewReader(`{"model":"m","stream":true,"messages":[]}`))
		d.is.NoErr(err)
		r.Header.Set(gateway.HeaderOrg, "o")
		resp, err := d.client.Do(r)
		d.is.NoErr(err)
		cancel()
		_ = resp.Body.Close()
		d.wait(time.Second)
		d.is.Equal(d.engine.Counts().Cancelled, 1)
		d.is.Equal(d.boxes["a"].box.Dump().Services["engine"], 0) // counted out
	}, "a")
}

func TestATokenReachesTheCallerWhenItIsMade(t *testing.T) {
	run(t, func(d *domain) {
		r, err := http.NewRequestWithContext(d.t.Context(), http.MethodPost, "http://"+d.boxes["a"].box.Addrs().Callers+"/v1/chat/completions", strings.NewReader(`{"model":"m","stream":true,"messages":[]}`))
		d.is.NoErr(err)
		r.Header.Set(gateway.HeaderOrg, "o")
		began := time.Now()
		resp, err := d.client.Do(r)
		d.is.NoErr(err)
		in := bufio.NewScanner(resp.Body)
		var at []time.Duration
		for in.Scan() {
			if strings.HasPrefix(in.Text(), "data: {") {
				at = append(at, time.Since(began))
			}
		}
		_ = resp.Body.Close()
		d.is.Equal(len(at), 16)
		for i, took := range at {
			d.is.Equal(took, 5*time.Millisecond+time.Duration(i)*time.Millisecond) // virtual time, to the instant
		}
	}, "a")
}

// Guards against the library's default, by which the head of an answer may take 10 MiB.
func TestAHeadBeyondItsBoundIsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := emptyDomain(t)
		defer d.end()
		size := 0
		d.fleets["d"].Upstreams = nil
		d.upstream("wide", "engine", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(gateway.HeaderRequestID, r.Header.Get(gateway.HeaderRequestID))
			w.Header().Set("X-Wide", strings.Repeat("x", size))
		}))
		d.open("a")
		for _, c := range []struct{ size, status int }{{60 << 10, http.StatusOK}, {70 << 10, http.StatusBadGateway}} {
			size = c.size
			r := d.send(http.MethodPost, "a", "/v1/chat/completions", `{"model":"m","messages":[]}`, http.Header{})
			d.is.Equal(r.status, c.status)
		}
	})
}

func TestALongStreamIsNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := emptyDomain(t)
		defer d.end()
		slow := fakes.NewEngine("slow", fakes.WithTokens(300, time.Second, time.Second))
		d.fleets["d"].Upstreams = nil
		d.upstream("slow", "engine", slow)
		d.open("a")
		r := d.send(http.MethodPost, "a", "/v1/chat/completions", `{"model":"m","stream":true,"messages":[]}`, http.Header{
			gateway.HeaderDeadline: {"600000"},
		})
		d.is.True(strings.HasSuffix(r.body, "data: [DONE]\n\n")) // five minutes
		d.is.Equal(slow.Counts().Finished, 1)
	})
}

func TestABrokenStreamIsNeverPresentedAsWhole(t *testing.T) {
	run(t, func(d *domain) {
		d.engine.BreakNext(4)
		r := d.send(http.MethodPost, "a", "/v1/chat/completions", `{"model":"m","stream":true,"messages":[]}`, http.Header{})
		d.is.True(!strings.Contains(r.body, "[DONE]"))
		d.is.True(strings.Contains(r.body, "event: error"))
	}, "a")
}
