package box

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/gateway"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/wire"
)

// Kinds of control bytes beside the methods between boxes.
const (
	probeKind  peer.Method = "probe"
	bundleKind peer.Method = "platform_bundle"
	fleetKind  peer.Method = "platform_fleet"
)

const controlName = "havenrudder_control_bytes_total"

// metrics are the figures of one box.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	first    *prometheus.HistogramVec
	between  *prometheus.HistogramVec
	control  *prometheus.CounterVec
	reads    *prometheus.CounterVec
	waits    *prometheus.HistogramVec
	refusals *prometheus.CounterVec
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "havenrudder_requests_total",
			Help: "Requests of callers by service and outcome.",
		}, []string{"service", "code"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "havenrudder_first_token_seconds",
			Help:    "Time to the first token.",
			Buckets: []float64{.05, .1, .2, .4, .8, 1.2, 1.6, 1.9, 2.5, 4, 8},
		}, []string{"service"}),
		between: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "havenrudder_between_tokens_seconds",
			Help:    "Time between two tokens of one answer.",
			Buckets: []float64{.005, .01, .02, .03, .048, .06, .1, .2, .5, 1},
		}, []string{"service"}),
		control: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: controlName,
			Help: "Bytes for control by kind, sent and received.",
		}, []string{"kind"}),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "havenrudder_platform_reads_total",
			Help: "Calls of the platform's service by kind; older counts answers left out.",
		}, []string{"kind"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "havenrudder_queue_wait_seconds",
			Help:    "Time for which requests waited for capacity until they were placed.",
			Buckets: []float64{.01, .05, .1, .2, .5, 1, 2, 5, 10, 30},
		}, []string{"service"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "havenrudder_queue_refused_total",
			Help: "Requests refused by the queue, on their arrival or while they waited, by reason.",
		}, []string{"service", "reason"}),
	}
	m.registry.MustRegister(m.requests, m.first, m.between, m.control, m.reads, m.waits, m.refusals)
	return m
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

func (m *metrics) countControl(kind peer.Method, bytes int) {
	m.control.WithLabelValues(string(kind)).Add(float64(bytes))
}

// countWait counts the end of a request's wait for capacity.
func (m *metrics) countWait(service string, o fleet.Outcome) {
	m.countRefusal(service, o.Refused)
	if o.Refused == nil {
		m.waits.WithLabelValues(service).Observe(o.Placement.Waited.Seconds())
	}
}

// countRefusal counts a request that its queue refused; others are left out.
func (m *metrics) countRefusal(service string, refused *fleet.Refused) {
	if refused != nil && refused.Reason != "" {
		m.refusals.WithLabelValues(service, refused.Reason).Inc()
	}
}

func (m *metrics) countRead(kind string) { m.reads.WithLabelValues(kind).Inc() }

func (m *metrics) observe() gateway.Observe {
	return gateway.Observe{
		Request: func(service, code string, _ time.Duration) { m.requests.WithLabelValues(service, code).Inc() },
		First:   func(service string, d time.Duration) { m.first.WithLabelValues(service).Observe(d.Seconds()) },
		Between: func(service string, d time.Duration) { m.between.WithLabelValues(service).Observe(d.Seconds()) },
	}
}

// decodeLoad reads an upstream's word of its load and says how long it was.
func decodeLoad(resp *http.Response) (wire.Load, int, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxProbe))
	if err != nil {
		return wire.Load{}, len(data), errors.Wrap(err, "probe")
	}
	if resp.StatusCode != http.StatusOK {
		return wire.Load{}, len(data), errors.Newf("probe: status %d", resp.StatusCode)
	}
	var load wire.Load
	err = json.Unmarshal(data, &load)
	return load, len(data), errors.Wrap(err, "probe")
}

// controlBytes returns the bytes for control so far, by kind.
func (m *metrics) controlBytes() (map[string]float64, error) {
	families, err := m.registry.Gather()
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	out := make(map[string]float64)
	for _, f := range families {
		if f.GetName() != controlName {
			continue
		}
		for _, one := range f.GetMetric() {
			out[one.GetLabel()[0].GetValue()] = one.GetCounter().GetValue()
		}
	}
	return out, nil
}
