package meter

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func ExampleMeter() {
	m := New()
	m.Refusal("overload")
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for line := range strings.Lines(w.Body.String()) {
		if strings.Contains(line, "refusals") {
			_, _ = io.WriteString(os.Stdout, line) // an error would fail the example
		}
	}
	// Output:
	// # HELP havenrudder_refusals_total Refused requests by reason.
	// # TYPE havenrudder_refusals_total counter
	// havenrudder_refusals_total{reason="overload"} 1
}

func meterWithAllMetrics() *Meter {
	m := New(
		WithCatalogAge(func() time.Duration { return 1500 * time.Millisecond }),
		WithBoxesAlive(func() int { return 3 }),
		WithSharingBoxes(func() int { return 4 }),
		WithDroppedLines(func() int64 { return 9 }),
		WithQuarantinedRequests(func() int { return 5 }),
		WithLimitedReplicas(func() int { return 2 }),
		WithLeavingReplicas(func() int { return 6 }),
		WithDeferringReplicas(func() int { return 7 }),
		WithLeaseAge(func() time.Duration { return 250 * time.Millisecond }),
	)
	m.Request("chat", "served")
	m.Request("chat", "served")
	m.Attempt("chat", "broken")
	m.RetryAllowed()
	m.RetryRefused()
	m.ColdSendRateLimited()
	m.ColdSendRefused()
	m.LimitedSend()
	m.MalformedHeader()
	m.Refusal("overload")
	m.QueueWaiting("chat", 1, 6)
	m.QueueWait("chat", 1, 120*time.Millisecond)
	m.QueueRefused("chat", "queue full", 2)
	m.QueueDisplaced("chat", 2)
	m.Quota("org", 30, true)
	m.Quota("org", 12, false)
	m.Forward("eu", "served")
	m.RegionBytes("eu", 700, 80)
	m.Resumed()
	m.StoreCall("get", "ok")
	m.UsageReport(true)
	m.UsageReport(false)
	m.Dial()
	m.ForeignEntry()
	m.Cleared()
	m.Trial()
	m.Suspended(8 * time.Second)
	m.Delayed(500 * time.Millisecond)
	m.FirstByte("chat", 100*time.Millisecond)
	m.Response("chat", 3*time.Second)
	return m
}

func scrape(is *is.I, m *Meter) []string {
	is.Helper()
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	is.Equal(w.Code, http.StatusOK)
	is.True(strings.HasPrefix(w.Header().Get("Content-Type"), "text/plain"))
	return strings.Split(strings.TrimSpace(w.Body.String()), "\n")
}

func TestEachMetricIsServed(t *testing.T) {
	is := is.New(t)
	lines := scrape(is, meterWithAllMetrics())
	for _, want := range []string{
		`havenrudder_requests_total{outcome="served",service="chat"} 2`,
		`havenrudder_tries_total{outcome="broken",service="chat"} 1`,
		`havenrudder_repeats_total{result="taken"} 1`,
		`havenrudder_repeats_total{result="refused"} 1`,
		`havenrudder_cold_sends_total{result="paced"} 1`,
		`havenrudder_cold_sends_total{result="refused"} 1`,
		`havenrudder_limited_sends_total 1`,
		`havenrudder_malformed_headers_total 1`,
		`havenrudder_refusals_total{reason="overload"} 1`,
		`havenrudder_queue_waiting_requests{level="1",service="chat"} 6`,
		`havenrudder_queue_wait_seconds_bucket{level="1",service="chat",le="0.2"} 1`,
		`havenrudder_queue_refused_total{level="2",reason="queue full",service="chat"} 1`,
		`havenrudder_queue_displaced_total{level="2",service="chat"} 1`,
		`havenrudder_forwards_total{outcome="served",region="eu"} 1`,
		`havenrudder_region_bytes_total{direction="sent",region="eu"} 700`,
		`havenrudder_region_bytes_total{direction="received",region="eu"} 80`,
		`havenrudder_resumed_streams_total 1`,
		`havenrudder_store_calls_total{kind="get",result="ok"} 1`,
		`havenrudder_upstream_dials_total 1`,
		`havenrudder_dropped_log_lines_total 9`,
		`havenrudder_catalog_age_seconds 1.5`,
		`havenrudder_alive_boxes 3`,
		`havenrudder_sharing_boxes 4`,
		`havenrudder_quarantined_requests 5`,
		`havenrudder_limited_replicas 2`,
		`havenrudder_leaving_replicas 6`,
		`havenrudder_deferring_replicas 7`,
		`havenrudder_lease_age_seconds 0.25`,
		`havenrudder_quota_units_total{organisation="org",result="taken"} 30`,
		`havenrudder_quota_units_total{organisation="org",result="refused"} 12`,
		`havenrudder_engine_accounts_total{result="ok"} 1`,
		`havenrudder_engine_accounts_total{result="failed"} 1`,
		`havenrudder_cleared_requests_total 1`,
		`havenrudder_trial_runs_total 1`,
		`havenrudder_suspended_seconds_total 8`,
		`havenrudder_held_up_seconds_total 0.5`,
		`havenrudder_first_byte_seconds_bucket{service="chat",le="0.05"} 0`,
		`havenrudder_first_byte_seconds_bucket{service="chat",le="0.2"} 1`,
		`havenrudder_first_byte_seconds_sum{service="chat"} 0.1`,
		`havenrudder_answer_seconds_bucket{service="chat",le="2"} 0`,
		`havenrudder_answer_seconds_bucket{service="chat",le="5"} 1`,
		`havenrudder_answer_seconds_count{service="chat"} 1`,
	} {
		is.True(slices.Contains(lines, want)) // the line is served
	}
}

func TestEachNameEndsInItsUnit(t *testing.T) {
	is := is.New(t)
	names := 0
	for _, line := range scrape(is, meterWithAllMetrics()) {
		rest, ok := strings.CutPrefix(line, "# TYPE ")
		if !ok {
			continue
		}
		name, _, _ := strings.Cut(rest, " ")
		unit := name[strings.LastIndex(name, "_")+1:]
		is.True(strings.HasPrefix(name, "havenrudder_"))
		is.True(slices.Contains([]string{"total", "seconds", "boxes", "requests", "replicas"}, unit))
		names++
	}
	is.Equal(names, 34)
}

func TestAMeterCountsForItselfAlone(t *testing.T) {
	is := is.New(t)
	meterWithAllMetrics()
	is.Equal(len(scrape(is, New())), 9*3) // the nine counters without labels
}
