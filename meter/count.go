package meter

import "time"

const (
	resultAllowed     = "taken"
	resultRateLimited = "paced"
	resultRefused     = "refused"
)

// Request counts a completed request.
func (m *Meter) Request(service, outcome string) { m.requests.WithLabelValues(service, outcome).Inc() }

// Attempt counts a completed attempt.
func (m *Meter) Attempt(service, outcome string) { m.attempts.WithLabelValues(service, outcome).Inc() }

// RetryAllowed counts a retry that the retry budget allowed.
func (m *Meter) RetryAllowed() { m.retries.WithLabelValues(resultAllowed).Inc() }

// RetryRefused counts a retry that the retry budget refused.
func (m *Meter) RetryRefused() { m.retries.WithLabelValues(resultRefused).Inc() }

// ColdSendRateLimited counts a send to a cold replica that was rate-limited.
func (m *Meter) ColdSendRateLimited() { m.coldSends.WithLabelValues(resultRateLimited).Inc() }

// LimitedSend counts a choice of a target that met only replicas whose named limits left no room.
func (m *Meter) LimitedSend() { m.limitedSends.Inc() }

// MalformedHeader counts the first malformed header of a replica's incarnation.
func (m *Meter) MalformedHeader() { m.malformed.Inc() }

// ColdSendRefused counts a send to a cold replica that was refused.
func (m *Meter) ColdSendRefused() { m.coldSends.WithLabelValues(resultRefused).Inc() }

// Refusal counts a refused request.
func (m *Meter) Refusal(reason string) { m.refusals.WithLabelValues(reason).Inc() }

// Quota counts units of an organisation's quota that a request used or was refused.
func (m *Meter) Quota(organisation string, units float64, taken bool) {
	result := "refused"
	if taken {
		result = "taken"
	}
	m.quota.WithLabelValues(organisation, result).Add(units)
}

// Forward counts a request that was forwarded to another region.
func (m *Meter) Forward(region, outcome string) { m.forwards.WithLabelValues(region, outcome).Inc() }

// RegionBytes counts bytes of requests that were forwarded to another region, and of their answers.
func (m *Meter) RegionBytes(region string, sent, received int) {
	m.regionBytes.WithLabelValues(region, "sent").Add(float64(sent))
	m.regionBytes.WithLabelValues(region, "received").Add(float64(received))
}

// Resumed counts a broken stream that was resumed.
func (m *Meter) Resumed() { m.resumedStreams.Inc() }

// StoreCall counts a call to the store.
func (m *Meter) StoreCall(kind, result string) { m.storeCalls.WithLabelValues(kind, result).Inc() }

// UsageReport counts a usage report requested from an engine.
func (m *Meter) UsageReport(answered bool) {
	result := "ok"
	if !answered {
		result = "failed"
	}
	m.usageReports.WithLabelValues(result).Inc()
}

// Dial counts a connection that is opened to an upstream.
func (m *Meter) Dial() { m.dials.Inc() }

// ForeignEntry counts an entry of the store that does not name a replica.
func (m *Meter) ForeignEntry() { m.foreignEntries.Inc() }

// FirstByte observes the time from a request to the first byte of its response.
func (m *Meter) FirstByte(service string, d time.Duration) {
	m.firstByte.WithLabelValues(service).Observe(d.Seconds())
}

// Response observes the time from a request to the end of its response.
func (m *Meter) Response(service string, d time.Duration) {
	m.answer.WithLabelValues(service).Observe(d.Seconds())
}

// Trial counts a trial run of a request.
func (m *Meter) Trial() { m.trials.Inc() }

// Cleared counts a request that was cleared by a complete response.
func (m *Meter) Cleared() { m.cleared.Inc() }

// Delayed adds a time by which the process was held up.
func (m *Meter) Delayed(d time.Duration) { m.delayed.Add(d.Seconds()) }

// Suspended adds a period for which the machine was suspended.
func (m *Meter) Suspended(d time.Duration) { m.suspended.Add(d.Seconds()) }
