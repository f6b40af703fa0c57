package placement

import (
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

// Parameters of the estimate of which segments an engine holds.
const (
	surelyHeldShare  = 0.75            // of the memory for segments: the last used ones that fit it are held
	surelyGoneShare  = 1.25            // the same for those that are not; the estimates of memory and uses are off by up to a quarter
	minSegmentMemory = 0.1             // share of an engine's memory that segments keep at least
	updateTTL        = 5 * time.Second // since the last update of another box, after which the uses by others are unknown
	maxHeldAge       = 2 * time.Minute // since the last use of a segment; covers replicas that evict by age
	segmentWeight    = 0.05            // of the newest prompt in the mean size of segments
	placeFactor      = 1.5             // cost of a further place for a segment, as a multiple of its prefill; without it, copies displace a third of the segments in a burst
)

// segmentUse is the last use of a segment at an engine.
type segmentUse struct {
	key    SegmentKey
	tokens int // of the segment; 0 if unknown
	at     time.Duration
	peer   bool // by a prompt of another box, of which it is the last segment
}

// heldSegments is the record of the last uses of segments at an engine, by which it is estimated
// what the engine still holds. Engines evict the least recently used segments first.
type heldSegments struct {
	known map[SegmentKey]struct{}
	uses  []segmentUse // in order of use, the latest last
}

func (h *heldSegments) clear() {
	clear(h.known)
	h.uses = h.uses[:0]
}

// record records a use. Beyond maxCachedSegments the earliest use is dropped.
func (h *heldSegments) record(u segmentUse) {
	if h.known == nil {
		h.known = make(map[SegmentKey]struct{})
	}
	if _, ok := h.known[u.key]; ok {
		i := h.position(u.key)
		if h.uses[i].at > u.at {
			return // a later use is recorded already
		}
		if u.tokens == 0 {
			u.tokens = h.uses[i].tokens
		}
		h.uses = slices.Delete(h.uses, i, i+1)
	}
	if len(h.uses) >= maxCachedSegments {
		delete(h.known, h.uses[0].key)
		h.uses = slices.Delete(h.uses, 0, 1)
	}
	h.known[u.key] = struct{}{}
	at := len(h.uses)
	for at > 0 && h.uses[at-1].at > u.at {
		at--
	}
	h.uses = slices.Insert(h.uses, at, u)
}

// position returns the index of the use of a known segment.
func (h *heldSegments) position(key SegmentKey) int {
	for i := len(h.uses) - 1; i > 0; i-- {
		if h.uses[i].key == key {
			return i
		}
	}
	return 0
}

// get returns the last use of a segment and the probability, from 0 to 1, that an engine with
// memory for so many tokens of segments still holds it. Segments of unknown size count as typical.
func (h *heldSegments) get(key SegmentKey, memory, typical int) (u segmentUse, probability float64) {
	if _, ok := h.known[key]; !ok {
		return u, 0
	}
	since := 0
	for _, u := range slices.Backward(h.uses) {
		since += u.size(typical)
		if u.key == key {
			share := float64(since) / float64(max(memory, 1))
			return u, min(max((surelyGoneShare-share)/(surelyGoneShare-surelyHeldShare), 0), 1)
		}
	}
	return u, 0
}

// size returns the tokens of the segment, typical if they are unknown.
func (u segmentUse) size(typical int) int {
	if u.tokens == 0 {
		return typical
	}
	return u.tokens
}

// publishesMemory reports whether the policy publishes the memory of the replica.
func (r *Replica) publishesMemory() bool { return publishesMemory(r.service) }

func publishesMemory(svc *catalog.Service) bool {
	return svc != nil && svc.Engine != nil && svc.Engine.Memory > 0
}

// missing returns the expected tokens of shared segments that a replica has to prefill. Only a
// prefix of the prompt can be cached.
func (v *View) missing(r *Replica, req Request, now time.Duration) int {
	if !r.publishesMemory() {
		return r.missingByAge(req, now)
	}
	if len(req.Segments) == 0 {
		return 0
	}
	if u, p := v.holds(r, req.RoutingKey(), now); u.peer {
		return int((1 - p) * float64(req.SharedTokens()))
	}
	n := 0.0
	prefix := 1.0 // probability that the prompt is cached up to the segment
	for _, s := range req.Segments {
		_, p := v.holds(r, s.ID, now)
		prefix = min(prefix, p)
		n += (1 - prefix) * float64(s.Tokens)
	}
	return int(n)
}

// holds returns the last use of a segment at an engine, and the probability that the engine still
// holds it.
func (v *View) holds(r *Replica, id string, now time.Duration) (segmentUse, float64) {
	key := SegmentKeyOf(id)
	if _, ok := r.held.known[key]; !ok {
		return segmentUse{}, 0
	}
	u, p := r.held.get(key, v.segmentMemory(r, now), int(v.segmentTokens[r.info.Service]))
	if now-u.at >= v.heldAge(now) {
		p = 0
	}
	u.peer = u.peer && p > 0
	return u, p
}

// heldAge returns the age from which a segment counts as evicted. Without updates of other boxes
// this box doesn't know what has displaced it.
func (v *View) heldAge(now time.Duration) time.Duration {
	if v.updatedAt > 0 && now-v.updatedAt < updateTTL {
		return maxHeldAge
	}
	return cachedSegmentTTL
}

// segmentMemory returns the tokens of an engine's memory that its requests leave to segments.
func (v *View) segmentMemory(r *Replica, now time.Duration) int {
	all := r.service.Engine.Memory
	return min(max(all-v.Load(r, now).Tokens, int(minSegmentMemory*float64(all))), all)
}

// recordSegmentSize updates the mean size of the service's segments.
func (v *View) recordSegmentSize(req Request) {
	n := float64(req.SharedTokens())
	if n < minSegmentTokens {
		return
	}
	if old := v.segmentTokens[req.Service]; old > 0 {
		n = old + segmentWeight*(n-old)
	}
	v.segmentTokens[req.Service] = n
}

// weighsHolders reports whether the engines that hold the shared segments of a request are
// compared for it.
func (v *View) weighsHolders(req Request) bool {
	return req.SharedTokens() >= minSegmentTokens && v.publishesMemory(req.Service)
}

// publishesMemory reports whether the policy publishes the memory of a service's engines.
func (v *View) publishesMemory(service string) bool {
	return v.table != nil && publishesMemory(v.table.Service(service))
}

// holders returns the engines that are expected to hold most of a request's shared segments.
func (v *View) holders(req Request, now time.Duration) []*Replica {
	var out []*Replica
	key := SegmentKeyOf(req.RoutingKey())
	for _, r := range v.sorted {
		if _, ok := r.held.known[key]; ok && r.info.Service == req.Service && v.missing(r, req, now) < req.SharedTokens()/2 {
			out = append(out, r)
		}
	}
	return out
}

// placeCost returns the cost of a further place for the missing segments of a request: they
// displace others, which are prefilled again.
func (w *candidate) placeCost() time.Duration {
	if !w.r.publishesMemory() {
		return 0
	}
	n := w.missing
	if w.isPreferred {
		n = expectedMissing(n)
	}
	return scale(placeFactor, PrefillTime(n))
}
