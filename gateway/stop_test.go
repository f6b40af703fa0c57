package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/ticket"
	"github.com/havenrudder/havenrudder/wire"
)

// Guards against requests that are sent although they can't end before the box does.
func TestARequestThatCantEndWithinAPlannedStopIsRefusedUnsent(t *testing.T) {
	const usual = 2 * time.Second
	requests := map[string]sent{
		"may be repeated": {http.MethodGet, "/s/shop/x", "", header(HeaderOrg, "free")},
		"runs once":       {http.MethodPost, "/s/shop/pay", "x", header(HeaderOrg, "free")},
		"chat":            {http.MethodPost, chatPath, chatBody, header(HeaderOrg, "free")},
	}
	for name, request := range requests {
		for _, left := range []time.Duration{usual, 2 * usual} {
			t.Run(fmt.Sprintf("%s, %v left", name, left), func(t *testing.T) {
				is := is.New(t)
				open, calls := 0, 0
				s := server(t, func(r *http.Request) (*http.Response, error) {
					calls++
					return echo(r)
				}, &open)
				var ran wire.Ran
				s.core.IssueTicket = func(string, string, time.Duration) (wire.Ticket, bool) { return wire.Ticket{}, true }
				s.core.ClaimTicket = func(context.Context, wire.Ticket, uint64) Claim { return Claim{Step: ticket.Dispatch} }
				s.core.FinishTicket = func(_ string, r wire.Ran, _ ticket.Result) { ran = r }
				s.core.StopDeadline = func() (time.Time, bool) { return time.Now().Add(left), true }
				for _, service := range []string{"shop", "engine"} {
					s.usualTimes.Add(service, usual)
				}
				w, f := request.to(s)
				is.Equal(open, 0)
				if left > usual {
					is.Equal(w.Code, http.StatusOK)
					is.Equal(calls, 1)
					return
				}
				is.Equal(w.Code, http.StatusServiceUnavailable)
				is.Equal(f.Ran, wire.RanNotRun)
				is.True(w.Header().Get("Retry-After") != "")
				is.Equal(calls, 0)
				is.True(ran == "" || ran == wire.RanNotRun)
			})
		}
	}
}
