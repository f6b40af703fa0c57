// Package meter serves the metrics of a box in Prometheus' text format. Label values come
// from the policy and from constants only, which bounds the number of series.
package meter

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "havenrudder"

// Buckets of the latency histograms, in seconds. Each service has one series per bucket.
var (
	firstByteBuckets = []float64{.05, .2, .5, 1, 2, 4, 8, 20}
	waitBuckets      = []float64{.01, .05, .2, .5, 1, 2, 5, 10}
	answerBuckets    = []float64{.1, .5, 1, 2, 5, 10, 30, 60, 120}
)

// Meter holds the metrics of one box in a registry of its own.
type Meter struct {
	registry *prometheus.Registry

	requests       *prometheus.CounterVec
	attempts       *prometheus.CounterVec
	retries        *prometheus.CounterVec
	coldSends      *prometheus.CounterVec
	limitedSends   prometheus.Counter
	malformed      prometheus.Counter
	refusals       *prometheus.CounterVec
	quota          *prometheus.CounterVec
	forwards       *prometheus.CounterVec
	regionBytes    *prometheus.CounterVec
	resumedStreams prometheus.Counter
	storeCalls     *prometheus.CounterVec
	usageReports   *prometheus.CounterVec
	foreignEntries prometheus.Counter
	dials          prometheus.Counter
	cleared        prometheus.Counter
	trials         prometheus.Counter
	suspended      prometheus.Counter
	delayed        prometheus.Counter
	queueWaiting   *prometheus.GaugeVec
	queueWait      *prometheus.HistogramVec
	queueRefused   *prometheus.CounterVec
	queueDisplaced *prometheus.CounterVec
	firstByte      *prometheus.HistogramVec
	answer         *prometheus.HistogramVec
}

// Option adds a metric whose value a function returns when the metrics are served.
type Option func(*Meter)

// WithCatalogAge serves the age of the catalog.
func WithCatalogAge(age func() time.Duration) Option {
	return func(m *Meter) {
		m.gauge("catalog_age_seconds", "Age of the catalog in use.", func() float64 { return age().Seconds() })
	}
}

// WithBoxesAlive serves the number of boxes that are considered alive.
func WithBoxesAlive(n func() int) Option {
	return func(m *Meter) {
		m.gauge("alive_boxes", "Boxes believed to be alive.", func() float64 { return float64(n()) })
	}
}

// WithSharingBoxes serves the number of boxes that share the quotas of the region.
func WithSharingBoxes(n func() int) Option {
	return func(m *Meter) {
		m.gauge("sharing_boxes", "Boxes of the region among which its quotas are shared.", func() float64 { return float64(n()) })
	}
}

// WithDroppedLines serves the number of lines that the decision log has dropped.
func WithDroppedLines(n func() int64) Option {
	return func(m *Meter) {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace,
			Name:      "dropped_log_lines_total",
			Help:      "Lines that the log of decisions left out.",
		}, func() float64 { return float64(n()) }))
	}
}

// WithQuarantinedRequests serves the number of quarantined requests.
func WithQuarantinedRequests(n func() int) Option {
	return func(m *Meter) {
		m.gauge("quarantined_requests", "Requests that are turned away because replicas ended under them.", func() float64 { return float64(n()) })
	}
}

// WithLimitedReplicas serves the number of replicas that name a rate limit in their answers.
func WithLimitedReplicas(n func() int) Option {
	return func(m *Meter) {
		m.gauge("limited_replicas", "Replicas of the region that name a rate limit in their answers.", func() float64 { return float64(n()) })
	}
}

// WithLeavingReplicas serves the number of replicas that have reported in an answer that they leave.
func WithLeavingReplicas(n func() int) Option {
	return func(m *Meter) {
		m.gauge("leaving_replicas", "Replicas of the region that have reported in an answer that they leave.", func() float64 { return float64(n()) })
	}
}

// WithDeferringReplicas serves the number of replicas that defer requests of this box.
func WithDeferringReplicas(n func() int) Option {
	return func(m *Meter) {
		m.gauge("deferring_replicas", "Replicas of the region that defer requests of this box now.", func() float64 { return float64(n()) })
	}
}

// WithLeaseAge serves the time since the policy in force was confirmed as the newest.
func WithLeaseAge(age func() time.Duration) Option {
	return func(m *Meter) {
		m.gauge("lease_age_seconds", "Time since the policy in force surely was the newest.", func() float64 { return age().Seconds() })
	}
}

// New returns metrics whose counters are zero.
func New(opts ...Option) *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
	}
	m.requests = m.counters("requests_total", "Requests of callers by service and outcome.", "service", "outcome")
	m.attempts = m.counters("tries_total", "Tries at upstreams by service and outcome.", "service", "outcome")
	m.retries = m.counters("repeats_total", "Repeated tries that the retry budget allowed or refused.", "result")
	m.coldSends = m.counters("cold_sends_total", "Sends to cold replicas that were paced or refused.", "result")
	m.limitedSends = m.counter("limited_sends_total", "Choices of a target that met only replicas whose named limits left no room.")
	m.malformed = m.counter("malformed_headers_total", "Incarnations of replicas one of whose answers had a malformed header.")
	m.refusals = m.counters("refusals_total", "Refused requests by reason.", "reason")
	m.quota = m.counters("quota_units_total", "Units of organisations' quotas that were let through or refused here.", "organisation", "result")
	m.forwards = m.counters("forwards_total", "Requests handed to another region by outcome.", "region", "outcome")
	m.regionBytes = m.counters("region_bytes_total", "Bytes of requests handed to another region, and of their answers.", "region", "direction")
	m.resumedStreams = m.counter("resumed_streams_total", "Broken streams that went on elsewhere.")
	m.storeCalls = m.counters("store_calls_total", "Calls of the store by kind and result.", "kind", "result")
	m.usageReports = m.counters("engine_accounts_total", "Questions to engines for their load by result.", "result")
	m.foreignEntries = m.counter("foreign_entries_total", "Entries of the store that name no replica, once for each revision.")
	m.trials = m.counter("trial_runs_total", "Runs of requests that ended the same replicas as others, apart from these.")
	m.cleared = m.counter("cleared_requests_total", "Requests under which replicas had ended and that one then answered whole.")
	m.delayed = m.counter("held_up_seconds_total", "Time by which heartbeats were late by 0.2 s or more, since the process lacked processor time.")
	m.suspended = m.counter("suspended_seconds_total", "Time for which the machine was suspended while this process ran.")
	m.dials = m.counter("upstream_dials_total", "Connections opened to upstreams.")
	m.queueWaiting = m.gauges("queue_waiting_requests", "Requests that wait for capacity, by service and urgency.", "service", "level")
	m.queueWait = m.histograms("queue_wait_seconds", "Time for which requests waited for capacity.", waitBuckets, "service", "level")
	m.queueRefused = m.counters("queue_refused_total", "Requests of competing services that were refused, before or while they waited.", "service", "reason", "level")
	m.queueDisplaced = m.counters("queue_displaced_total", "Waiting requests that were refused for others.", "service", "level")
	m.firstByte = m.histograms("first_byte_seconds", "Time to the first byte of an answer.", firstByteBuckets, "service")
	m.answer = m.histograms("answer_seconds", "Time to the end of an answer.", answerBuckets, "service")
	for _, opt := range opts {
		opt(m)
	}
	return m
}

func (m *Meter) counters(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, labels)
	m.registry.MustRegister(c)
	return c
}

func (m *Meter) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	})
	m.registry.MustRegister(c)
	return c
}

func (m *Meter) gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	g := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, labels)
	m.registry.MustRegister(g)
	return g
}

func (m *Meter) histograms(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
		Buckets:   buckets,
	}, labels)
	m.registry.MustRegister(h)
	return h
}

func (m *Meter) gauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      name,
		Help:      help,
	}, value))
}

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
