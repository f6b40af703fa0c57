package box_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/havenrudder/havenrudder/gateway"
	"github.com/havenrudder/havenrudder/internal/fakes"
	"github.com/havenrudder/havenrudder/wire"
)

const streamBody = `{"model":"m","stream":true,"messages":[]}`

// regions is a home region, with boxes a and b, and a far one, with box z.
type regions struct {
	*domain
	far *fakes.Engine
}

func runRegions(t *testing.T, f func(r *regions)) {
	synctest.Test(t, func(t *testing.T) {
		r := &regions{
			domain: emptyDomain(t),
			far:    fakes.NewEngine("far-1"),
		}
		defer r.end()
		r.upstreamIn("f", "far-1", "engine", r.far)
		r.startIn("f", "z")
		r.open("a", "b")
		r.wait(5 * time.Second)
		f(r)
	})
}

func (r *regions) ask(box, org string) reply {
	return r.send(http.MethodPost, box, "/v1/chat/completions", streamBody, http.Header{
		gateway.HeaderOrg: {org},
	})
}

func whole(r reply) bool { return strings.HasSuffix(r.body, "data: [DONE]\n\n") }

func TestARequestGoesAwayOnlyWhenHomeCantAndItsDataMay(t *testing.T) {
	runRegions(t, func(r *regions) {
		r.is.True(whole(r.ask("a", "rover")))
		r.is.Equal(r.far.Counts().Finished, 0) // home does

		r.engine.Leave()
		r.ask("a", "rover") // its answer says that the engine leaves
		r.wait(6 * time.Second)

		away := r.ask("a", "rover")
		r.is.True(whole(away))
		r.is.Equal(away.header.Get(gateway.HeaderBox), "z")
		r.is.Equal(r.far.Counts().Finished, 1)

		bound := r.ask("a", "o")
		r.is.Equal(bound.refusal.Ran, wire.RanNotRun)
		stays := r.send(http.MethodPost, "a", "/v1/chat/completions", streamBody, http.Header{
			gateway.HeaderOrg:       {"rover"},
			gateway.HeaderResidency: {"home"},
		})
		r.is.Equal(stays.refusal.Ran, wire.RanNotRun)
		r.is.Equal(r.far.Counts().Finished, 1)
	})
}

func TestADomainThatIsCutOffFromAllElseServesItsOwnCallers(t *testing.T) {
	runRegions(t, func(r *regions) {
		for _, own := range []string{"a", "b"} {
			r.net.Cut(own, "z")
			r.net.Cut(own, "platform")
		}
		r.wait(10 * time.Minute)
		r.is.True(whole(r.ask("a", "o")))
		r.is.True(whole(r.ask("b", "rover")))
		h := r.ticket("a")
		r.is.Equal(r.send(http.MethodPost, "b", "/s/slots/v1/slots", "order", h).status, http.StatusOK)
		r.is.Equal(r.ledger.Ran("order"), 1)
		r.is.True(r.boxes["a"].box.Dump().Platform.Blind)
		r.is.True(whole(r.ask("z", "rover"))) // and so does the other side
	})
}

func TestADomainThatCantReadThePlatformHearsOfBundlesFromAnother(t *testing.T) {
	runRegions(t, func(r *regions) {
		for _, own := range []string{"a", "b"} {
			r.net.Cut(own, "platform")
		}
		r.publish(2)
		r.wait(15 * time.Second)
		r.is.Equal(r.boxes["a"].box.InForce(), 2)
		r.is.Equal(r.boxes["b"].box.InForce(), 2)
	})
}

func TestAForwardedRequestIsNotForwardedAgain(t *testing.T) {
	runRegions(t, func(r *regions) {
		r.engine.Leave()
		r.far.Leave()
		r.ask("a", "rover")
		r.ask("z", "rover")
		r.wait(6 * time.Second)
		before := r.engine.Counts().Finished + r.far.Counts().Finished
		got := r.ask("a", "rover")
		r.is.Equal(got.refusal.Ran, wire.RanNotRun)
		r.is.Equal(r.engine.Counts().Finished+r.far.Counts().Finished, before)
	})
}
