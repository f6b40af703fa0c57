package placement

import "time"

// Intervals at which engines are polled for load reports. The number of polls grows with
// the requests in flight, not with the number of engines.
const (
	PollInterval     = 400 * time.Millisecond  // between two rounds of polls, and two polls of a busy engine
	idlePollInterval = 1600 * time.Millisecond // between two polls of an engine that isn't busy
	busyShare        = 0.125                   // share of its slots or memory above which an engine is busy
)

// busy reports whether other boxes need an engine's load report.
func (r *Replica) busy(now time.Duration) bool {
	if !r.fresh(now) {
		return false
	}
	return r.report.Unresponsive || r.report.Waiting > 0 ||
		float64(r.report.Requests) >= busyShare*float64(r.slots()) ||
		r.memoryShare(Load{Tokens: r.report.Tokens}, Request{}) >= busyShare
}

// EnginesToPoll returns the engines that this box has to poll for load reports now: busy ones
// if mine reports that this box polls them for the region, others where it has requests
// itself, and those that failed to respond to it.
func (v *View) EnginesToPoll(now time.Duration, mine, unanswered func(incarnation string) bool) []*Replica {
	var out []*Replica
	for _, r := range v.sorted {
		if !r.listed || !r.isEngine() || r.RetryWait(now) > 0 {
			continue
		}
		if r.isDue(now, mine, unanswered) {
			r.lastPoll = now
			out = append(out, r)
		}
	}
	return out
}

// isDue reports whether an engine is to be polled now.
func (r *Replica) isDue(now time.Duration, mine, unanswered func(incarnation string) bool) bool {
	since := now - r.lastPoll
	if r.lastPoll == 0 {
		since = idlePollInterval
	}
	switch {
	case since < PollInterval:
		return false
	case r.busy(now):
		return mine(r.incarnation)
	case unanswered(r.incarnation):
		return true
	case r.report.At > 0 && now-r.report.At < idlePollInterval:
		return false
	case r.connectFailures > 0 || r.noResponses > 0:
		return true
	}
	return r.own.Requests > 0 && since >= idlePollInterval
}
