package placement

import (
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/short"
)

// Limits on gossip about the prompt segments that replicas have cached. Without it, a box
// prefills or copies segments that a replica has cached for other boxes.
const (
	minSegmentTokens    = 1000            // shorter shared prompts are cheap to prefill
	segmentGossipWindow = 4 * time.Second // repeated in case datagrams are lost
	maxSentSegments     = 32              // per replica
)

// SegmentKey is the hash that identifies a shared segment between boxes. A collision costs
// only a redundant prefill.
type SegmentKey uint32

// SegmentKeyOf returns the key of a segment.
func SegmentKeyOf(part string) SegmentKey { return SegmentKey(short.Of(part)) }

// sentSegment is the last shared segment of a prompt that this box sent, and when.
type sentSegment struct {
	key SegmentKey
	at  time.Duration
}

// recordSentSegment records the last segment of a sent prompt for gossip.
func (r *Replica) recordSentSegment(req Request, now time.Duration) {
	if req.SharedTokens() < minSegmentTokens {
		return
	}
	key := SegmentKeyOf(req.RoutingKey())
	r.sentSegments = slices.DeleteFunc(r.sentSegments, func(g sentSegment) bool { return g.key == key || now-g.at > segmentGossipWindow })
	if len(r.sentSegments) >= maxSentSegments {
		r.sentSegments = r.sentSegments[1:]
	}
	r.sentSegments = append(r.sentSegments, sentSegment{
		key: key,
		at:  now,
	})
}

// sentSegmentKeys returns the keys of the segments that this box sent recently.
func (r *Replica) sentSegmentKeys(now time.Duration) []SegmentKey {
	var out []SegmentKey
	for _, g := range r.sentSegments {
		if now-g.at <= segmentGossipWindow {
			out = append(out, g.key)
		}
	}
	return out
}

func (r *Replica) recordPeerSegments(keys []SegmentKey, now time.Duration) {
	if r.publishesMemory() {
		for _, k := range keys {
			r.held.record(segmentUse{
				key:  k,
				at:   now,
				peer: true,
			})
		}
		return
	}
	if len(r.peerSegments) > maxCachedSegments {
		clear(r.peerSegments)
	}
	for _, k := range keys {
		r.peerSegments[k] = now
	}
}

// isCachedPerPeers reports whether another box recently sent the shared segments of a
// prompt to the replica.
func (r *Replica) isCachedPerPeers(req Request, now time.Duration) bool {
	if len(r.peerSegments) == 0 || req.SharedTokens() < minSegmentTokens {
		return false
	}
	at, ok := r.peerSegments[SegmentKeyOf(req.RoutingKey())]
	return ok && now-at < cachedSegmentTTL
}
