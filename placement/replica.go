// Package placement chooses the replica for a request. It uses the box's own requests, the
// loads that other boxes and engines report, and the results of earlier requests. It does
// no I/O, and time is an argument.
package placement

import (
	"math"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/absence"
	"github.com/havenrudder/havenrudder/common/decay"
	"github.com/havenrudder/havenrudder/speed"
)

const (
	prefillHalfLife    = 1 * time.Second        // some ten prompts at the peak
	prefillWindow      = 20 * prefillHalfLife   // after it the rate is negligible
	durationWeight     = 0.1                    // of the newest duration
	maxConnectFailures = 2                      // consecutive failures until a replica is ejected
	noResponseTimeout  = 500 * time.Millisecond // without any bytes from the replica until it is ejected
	maxNoResponses     = 3                      // consecutive requests without a response until it is ejected, after noResponseTimeout
	maxCachedSegments  = 512                    // recorded per replica; roughly what fits its memory
	cachedSegmentTTL   = 20 * time.Second       // a segment unused for longer has probably been evicted
	peerLoadTTL        = 1 * time.Second        // covers four messages among few boxes
	selfReportTTL      = 250 * time.Millisecond // until other boxes report their load again
	defaultDuration    = 40 * time.Millisecond  // before any request of the service has completed
	defaultSlots       = 16                     // of a replica that reports none
)

// Load is the work of one box at a replica.
type Load struct {
	Requests       int // in flight
	Tokens         int // of memory that they use or will use
	PendingPrefill int // prompt tokens that await prefill
	PrefillRate    int // prompt tokens sent per second
}

func (l Load) plus(o Load) Load {
	return Load{
		Requests:       l.Requests + o.Requests,
		Tokens:         l.Tokens + o.Tokens,
		PendingPrefill: l.PendingPrefill + o.PendingPrefill,
		PrefillRate:    l.PrefillRate + o.PrefillRate,
	}
}

type peerLoad struct {
	load   Load
	expiry time.Duration
}

// Replica is the state that a box records of one incarnation of a replica.
type Replica struct {
	incarnation string
	info        catalog.Replica
	service     *catalog.Service // nil while the policy doesn't define it
	listed      bool             // in the catalog
	unconfirmed bool             // removal from the catalog is unconfirmed
	putOff      bool             // it had been removed before the publisher came back from an older copy
	own         Load
	admitted    admitted
	peerLoads   map[string]peerLoad // by box
	selfReport  peerLoad            // requests of other boxes, by its latest response
	report      LoadReport          // the latest, whichever box polled it
	unreported  []unreported        // requests of this box that the report doesn't include
	lastPoll    time.Duration       // last poll by this box; 0 for none
	limit       namedLimit          // that it names in its answers
	malformed   bool                // one of its answers had a malformed header
	retryAt     time.Duration       // until then it wants no requests of this box
	saidLeaving bool                // it has reported in an answer that it leaves; final

	coldUntil       time.Duration
	connectFailures int             // consecutive failures to connect
	noResponses     int             // consecutive requests without a response
	backoff         absence.Absence // while it is ejected
	outcomes        decay.Failures
	speed           speed.Estimator
	rejected        rejection
	prefillRate     float64 // prompt tokens per second from this box, at prefillRateAt
	prefillRateAt   time.Duration
	duration        time.Duration // moving average of a request's duration; 0 if unknown
	work            time.Duration // the same without waits, at a plain service
	lastSeen        time.Duration // when this box last received bytes from it
	cached          map[string]time.Duration
	sentSegments    []sentSegment                // recently sent by this box, for gossip
	peerSegments    map[SegmentKey]time.Duration // sent by other boxes, by time of their message
	held            heldSegments                 // of an engine whose memory is published, instead of cached and peerSegments

	prefillFigure    speed.Figure // of the time to prefill a token, at an engine
	firstEventFigure speed.Figure // of the time to the first event
}

// Incarnation returns the incarnation of the replica, which is unique to its process.
func (r *Replica) Incarnation() string { return r.incarnation }

// ID returns the id of the replica, which all its incarnations share.
func (r *Replica) ID() string { return r.info.ID }

// Info returns the published state of the replica.
func (r *Replica) Info() catalog.Replica { return r.info }

// Listed reports whether the catalog holds the replica.
func (r *Replica) Listed() bool { return r.listed }

// Own returns this box's load at the replica.
func (r *Replica) Own() Load { return r.own }

func (r *Replica) currentPrefillRate(now time.Duration) float64 {
	return r.prefillRate * decay.Left(now-r.prefillRateAt, prefillHalfLife)
}

func (r *Replica) recordPrefill(tokens int, now time.Duration) {
	r.prefillRate = r.currentPrefillRate(now) + float64(tokens)*math.Ln2/prefillHalfLife.Seconds()
	r.prefillRateAt = now
}

// currentOwnLoad returns this box's load with its current prefill rate.
func (r *Replica) currentOwnLoad(now time.Duration) Load {
	l := r.own
	l.PrefillRate = int(r.currentPrefillRate(now))
	return l
}

// Load returns the load of all boxes at the replica, as recorded at now.
func (r *Replica) Load(now time.Duration) Load {
	l := r.currentOwnLoad(now)
	for _, o := range r.peerLoads {
		if now < o.expiry {
			l = l.plus(o.load)
		}
	}
	if now < r.selfReport.expiry {
		l.Requests = r.own.Requests + r.selfReport.load.Requests
	}
	return l
}

// FailureShare returns the recent share of failures.
func (r *Replica) FailureShare(now time.Duration) float64 { return r.outcomes.Share(now) }

// Slowness returns the ratio of its actual to its expected times to the first byte, at least 1. A
// replica that was not measured counts as 1.
func (r *Replica) Slowness(now time.Duration) float64 { return max(r.speed.At(1, now).Ratio, 1) }

// Ejected reports whether the replica is ejected at now.
func (r *Replica) Ejected(now time.Duration) bool { return r.backoff.On(now) }

func (r *Replica) isEngine() bool { return r.service != nil && r.service.Engine != nil }

func (r *Replica) slots() int {
	switch {
	case r.info.Slots > 0:
		return r.info.Slots
	case r.isEngine() && r.service.Engine.Slots > 0:
		return r.service.Engine.Slots
	}
	return defaultSlots
}

// missingByAge returns the tokens of shared segments that the replica has to prefill if it evicts
// segments by their age alone. Only a prefix of the prompt can be cached.
func (r *Replica) missingByAge(req Request, now time.Duration) int {
	if r.isCachedPerPeers(req, now) {
		return 0
	}
	n := 0
	isCached := true
	for _, p := range req.Segments {
		at, ok := r.cached[p.ID]
		isCached = isCached && ok && now-at < cachedSegmentTTL
		if !isCached {
			n += p.Tokens
		}
	}
	return n
}

// recordCached records that the replica prefills segments.
func (r *Replica) recordCached(parts []Segment, now time.Duration) {
	if r.publishesMemory() {
		for _, p := range parts {
			r.held.record(segmentUse{
				key:    SegmentKeyOf(p.ID),
				tokens: p.Tokens,
				at:     now,
			})
		}
		return
	}
	if len(r.cached) > maxCachedSegments {
		r.evictCached(now)
	}
	for _, p := range parts {
		r.cached[p.ID] = now
	}
}

// evictCached evicts segments that were not used recently, or all of them if too many
// remain.
func (r *Replica) evictCached(now time.Duration) {
	for id, at := range r.cached {
		if now-at > cachedSegmentTTL/2 {
			delete(r.cached, id)
		}
	}
	if len(r.cached) > maxCachedSegments {
		clear(r.cached)
	}
}

// eject starts a back-off that doubles until the replica responds. Requests that fail
// together count once.
func (r *Replica) eject(now time.Duration) {
	if !r.Ejected(now) {
		r.backoff.Begin(now)
	}
}

func (r *Replica) recordResponse(now time.Duration) {
	r.lastSeen = now
	r.connectFailures = 0
	r.noResponses = 0
	r.backoff = absence.Absence{}
}

func (r *Replica) recordDuration(duration time.Duration) {
	if r.duration == 0 {
		r.duration = duration
		return
	}
	r.duration += time.Duration(durationWeight * float64(duration-r.duration))
}
