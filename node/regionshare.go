package node

import "time"

const (
	shareStep     = 0.25                   // by which the share rises
	riseInterval  = 400 * time.Millisecond // between two rises: reports take about as long to show the last one
	shareFall     = 0.5                    // factor by which the share falls
	fallInterval  = 500 * time.Millisecond // between two falls, until reports can show the last one
	unseenLimit   = 3 * time.Second        // from which a region without capacity counts as one that returns
	crowdedCost   = 250.0                  // cost for the callers of a region from which the share falls
	crowdedFailed = 0.2                    // the same for the share of failed requests
)

// regionShare bounds the part of the requests of a service that go to another region although this one
// could serve them. All boxes of a region decide by the same reports, which are up to a second old: the
// share rises in steps and falls at once, so that load does not swing between regions.
type regionShare struct {
	share     float64
	changedAt time.Duration // last rise or fall
	fellAt    time.Duration
	changed   bool // once
	fell      bool // once
	seenAt    time.Duration
	crowded   bool // by the latest report, or by the requests that failed
	used      bool // requests went to the region since the last fall
}

// regionShareKey is a service in another region.
type regionShareKey struct{ service, region string }

// see records that the region has capacity. The share of one that had none for a while starts again: it
// may return cold.
func (r *regionShare) see(now time.Duration) {
	if now-r.seenAt > unseenLimit {
		r.share = 0
	}
	r.seenAt = now
}

// fall has the share fall if the region is crowded and requests of this box may be a cause of it.
func (r *regionShare) fall(now time.Duration) {
	if !r.used || r.fell && now-r.fellAt < fallInterval {
		return
	}
	r.share *= shareFall
	r.fellAt, r.fell = now, true
	r.changedAt, r.changed = now, true
	r.used = false
}

// rise has the share rise, as it kept a request from going to the region. While it keeps none, it does
// not rise: a share that was never used up says nothing of what the region can serve.
func (r *regionShare) rise(now time.Duration) {
	if r.crowded || r.changed && now-r.changedAt < riseInterval {
		return
	}
	r.share = min(r.share+shareStep, 1)
	r.changedAt, r.changed = now, true
}
