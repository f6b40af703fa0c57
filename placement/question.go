package placement

import "time"

// Figures of asking engines for their load. What is asked and told follows from the
// requests under way, however many engines there are.
const (
	AskEvery         = 400 * time.Millisecond  // between two looks for engines to ask, and between two questions to a busy one
	idlePollInterval = 1600 * time.Millisecond // between two questions of a box to an engine that isn't busy, where it has requests
	busyShare        = 0.125                   // of its slots or memory from which an engine is busy: others need to know before they send there
)

// busy says whether other boxes need to know an engine's word.
func (r *Replica) busy(now time.Duration) bool {
	if !r.hasReport(now) {
		return false
	}
	return r.report.Silent || r.report.Waiting > 0 ||
		float64(r.report.Requests) >= busyShare*float64(r.slots()) ||
		r.memoryShare(Load{Tokens: r.report.Tokens}, Request{}) >= busyShare
}

// Questions returns the engines that this box asks for their load now: busy ones for all
// boxes, where mine says that it is the one to ask, others where it has requests itself,
// and those that failed to answer it, by which others are spared finding out.
func (v *View) Questions(now time.Duration, mine, unanswered func(start string) bool) []*Replica {
	var out []*Replica
	for _, r := range v.byName {
		if !r.listed || r.service == nil || r.service.Engine == nil {
			continue
		}
		if r.isDue(now, mine, unanswered) {
			r.lastPoll = now
			out = append(out, r)
		}
	}
	return out
}

// isDue says whether an engine is to be asked for its load now.
func (r *Replica) isDue(now time.Duration, mine, unanswered func(start string) bool) bool {
	since := now - r.lastPoll
	if r.lastPoll == 0 {
		since = idlePollInterval
	}
	switch {
	case since < AskEvery:
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
