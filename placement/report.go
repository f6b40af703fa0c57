package placement

import (
	"cmp"
	"slices"
	"time"
)

// Limits on load reports of engines. They replace the loads that boxes report to each other
// where a region has too many boxes for those to fit the bandwidth limit.
const (
	loadTTL         = 4 * time.Second // of a load report; covers several polls of a busy engine
	maxUnreported   = 64              // requests recorded per replica
	unresponsiveTTL = 2 * time.Second // for which an engine that failed to respond to another box is ejected
	typicalWeight   = 0.02            // of the newest request
)

// LoadReport is the load that an engine reports.
type LoadReport struct {
	Requests     int  // of all boxes
	Waiting      int  // of these, not yet running
	Tokens       int  // of memory in use; 0 if unknown
	Unresponsive bool // the engine didn't respond; the other fields are not set
	At           time.Duration
}

// typicalLoad is the average load of a service's requests.
type typicalLoad struct {
	tokens float64 // of memory
	unread float64 // prompt tokens to prefill
}

func (u *typicalLoad) add(l Load) {
	if u.tokens == 0 {
		u.tokens, u.unread = float64(l.Tokens), float64(l.PendingPrefill)
		return
	}
	u.tokens += typicalWeight * (float64(l.Tokens) - u.tokens)
	u.unread += typicalWeight * (float64(l.PendingPrefill) - u.unread)
}

// UseReports sets whether the view uses load reports of engines, and the number of boxes of
// the region that callers use, including this one. Each is assumed to send equally much.
func (v *View) UseReports(on bool, boxes int) {
	v.byReports = on
	v.boxes = max(boxes, 1)
}

// RecordReport records a load report. It returns false if the replica is unknown or the report
// isn't newer than the recorded one.
func (v *View) RecordReport(replica string, w LoadReport) bool {
	r, ok := v.replicas[replica]
	if !ok || w.At <= r.report.At {
		return false
	}
	if w.Unresponsive != r.report.Unresponsive {
		v.pendingChanges = append(v.pendingChanges, responseChange(replica, w.Unresponsive))
	}
	r.report = w
	r.unreported = slices.DeleteFunc(r.unreported, func(b unreported) bool { return b.at <= w.At })
	return true
}

// responseChange returns the change that an engine stopped or resumed responding to another
// box.
func responseChange(replica string, silent bool) Change {
	out := Change{
		Subject: replica,
		Reason:  "answers a box again",
	}
	if silent {
		out.Reason = "doesn't answer a box"
	}
	return out
}

// ReportAge returns the age of a replica's load report, negative if there is no valid one.
func (r *Replica) ReportAge(now time.Duration) time.Duration {
	if !r.fresh(now) {
		return -1
	}
	return now - r.report.At
}

// fresh reports whether the load report is still valid.
func (r *Replica) fresh(now time.Duration) bool { return r.report.At > 0 && now-r.report.At < loadTTL }

// TakeChanges returns the changes by load reports since the last call.
func (v *View) TakeChanges() []Change {
	out := v.pendingChanges
	v.pendingChanges = nil
	return out
}

// isUnresponsive reports whether a replica recently failed to respond to another box, and
// this box has received nothing from it since.
func (r *Replica) isUnresponsive(now time.Duration) bool {
	return r.report.Unresponsive && now-r.report.At < unresponsiveTTL && r.lastSeen <= r.report.At
}

// BusyReports returns the valid load reports of busy engines, latest first.
func (v *View) BusyReports(now time.Duration) []ReplicaReport {
	var out []ReplicaReport
	for _, r := range v.sorted {
		if r.listed && r.busy(now) {
			out = append(out, ReplicaReport{
				Replica:    r.incarnation,
				LoadReport: r.report,
			})
		}
	}
	slices.SortStableFunc(out, func(a, b ReplicaReport) int { return int(b.LoadReport.At - a.LoadReport.At) })
	return out
}

// ReplicaReport is the load report of a replica.
type ReplicaReport struct {
	Replica string
	LoadReport
}

// unreported is a request of this box that the last load report doesn't include.
type unreported struct {
	at   time.Duration
	load Load
}

func (r *Replica) recordSent(l Load, now time.Duration) {
	if len(r.unreported) >= maxUnreported {
		r.unreported = r.unreported[1:]
	}
	r.unreported = append(r.unreported, unreported{
		at:   now,
		load: l,
	})
}

// reportedLoad returns the last reported load plus the requests that this box sent since.
// It returns false without a valid report.
func (r *Replica) reportedLoad(u typicalLoad, now time.Duration) (l Load, ok bool) {
	if !r.fresh(now) || r.report.Unresponsive {
		return Load{}, false
	}
	l = Load{
		Requests:       r.report.Requests,
		Tokens:         cmp.Or(r.report.Tokens, int(float64(r.report.Requests)*u.tokens)),
		PendingPrefill: int(float64(r.report.Waiting) * u.unread),
	}
	for _, b := range r.unreported {
		l = l.plus(b.load)
	}
	own := r.currentOwnLoad(now)
	l.Requests = max(l.Requests, own.Requests)
	l.Tokens = max(l.Tokens, own.Tokens)
	l.PendingPrefill = max(l.PendingPrefill, own.PendingPrefill)
	l.PrefillRate = own.PrefillRate
	return l, true
}

// Load returns the load of all boxes at a replica, as recorded at now. With load reports it
// is at least the mean of the service's replicas: otherwise all boxes would choose the
// replica with the lowest report until the next one arrives.
func (v *View) Load(r *Replica, now time.Duration) Load {
	if !v.byReports {
		return r.Load(now)
	}
	l, ok := r.reportedLoad(v.typicalLoad[r.info.Service], now)
	if !ok {
		l = r.Load(now)
	}
	m := v.meanLoad(r.info.Service, now)
	l.Requests = max(l.Requests, m.Requests)
	l.Tokens = max(l.Tokens, m.Tokens)
	l.PendingPrefill = max(l.PendingPrefill, m.PendingPrefill)
	return l
}

type meanLoad struct {
	Load
	at time.Duration
}

const meanLoadTTL = 50 * time.Millisecond

// meanLoad returns the mean reported load of a service's replicas. Those without a valid
// report count as idle.
func (v *View) meanLoad(service string, now time.Duration) Load {
	if m, ok := v.meanLoads[service]; ok && now-m.at < meanLoadTTL && now >= m.at {
		return m.Load
	}
	var sum Load
	n := 0
	for _, r := range v.sorted {
		if r.info.Service != service || !r.listed {
			continue
		}
		if r.isUnresponsive(now) {
			continue
		}
		n++
		if l, ok := r.reportedLoad(v.typicalLoad[service], now); ok {
			sum = sum.plus(l)
		}
	}
	out := meanLoad{
		at: now,
	}
	if n > 0 {
		out.Load = Load{
			Requests:       sum.Requests / n,
			Tokens:         sum.Tokens / n,
			PendingPrefill: sum.PendingPrefill / n,
		}
	}
	v.meanLoads[service] = out
	return out.Load
}

// usedSlotShare returns the share of slots in use at a service's engines, 0 for other
// services.
func (v *View) usedSlotShare(service string, now time.Duration) float64 {
	if v.table == nil {
		return 0
	}
	svc := v.table.Service(service)
	if svc == nil || svc.Engine == nil || svc.Engine.Slots <= 0 {
		return 0
	}
	return float64(v.meanLoad(service, now).Requests) / float64(svc.Engine.Slots)
}
