package placement

import "time"

// Limits on the exchange of segment uses between boxes that don't send each other their loads.
const (
	minUseAdvance  = 2 * time.Second // by which a use is later than the last known one of the same segment
	maxPendingUses = 128             // not yet taken; some ticks of a box that gets a burst
)

// SegmentUse is a use of a shared segment at a replica.
type SegmentUse struct {
	Incarnation string
	Key         SegmentKey // of the last shared segment of the prompt
	At          time.Duration
}

// TakeSegmentUses returns the uses by this box, since the last call, that other boxes don't expect:
// those at other replicas than the preferred one of the segment.
func (v *View) TakeSegmentUses() []SegmentUse {
	out := v.pendingUses
	v.pendingUses = nil
	return out
}

// RecordSegmentUse records a use by another box. It returns false if the replica is unknown or a
// use of about the same time is recorded already, so that no box relays it twice.
func (v *View) RecordSegmentUse(u SegmentUse, now time.Duration) bool {
	r, ok := v.replicas[u.Incarnation]
	if !ok || !r.publishesMemory() {
		return false
	}
	v.updatedAt = now
	u.At = min(u.At, now)
	if r.held.isRecent(u.Key, u.At) {
		return false
	}
	r.held.record(segmentUse{
		key:  u.Key,
		at:   u.At,
		peer: true,
	})
	return true
}

// recordUse records that a candidate receives the shared segments of a request.
func (v *View) recordUse(w candidate, req Request, now time.Duration) {
	u := SegmentUse{
		Incarnation: w.r.incarnation,
		Key:         SegmentKeyOf(req.RoutingKey()),
		At:          now,
	}
	if v.byReports && !w.isPreferred && v.weighsHolders(req) && !w.r.held.isRecent(u.Key, now) && len(v.pendingUses) < maxPendingUses {
		v.pendingUses = append(v.pendingUses, u)
	}
	w.r.recordCached(req.Segments, now)
	w.r.recordSentSegment(req, now)
	v.recordSegmentSize(req)
}

// isRecent reports whether a use at about a time, or a later one, is recorded.
func (h *heldSegments) isRecent(key SegmentKey, at time.Duration) bool {
	if _, ok := h.known[key]; !ok {
		return false
	}
	return at-h.uses[h.position(key)].at < minUseAdvance
}
