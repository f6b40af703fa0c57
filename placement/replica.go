// Package placement chooses the replica for a request from what a box knows: its
// own requests exactly, those of other boxes as they last told, and the outcomes
// seen. It is pure: time comes in as an argument, and nothing is sent from here.
package placement

import (
	"math"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/absence"
	"github.com/havenrudder/havenrudder/common/decay"
)

const (
	slownessHalfLife   = 8 * time.Second        // time in which half of a replica's slowness is forgotten
	slownessWeight     = 0.25                   // weight of the newest observation of slowness
	maxSlowness        = 2.5                    // bound of one observation, a natural logarithm
	prefillHalfLife    = 1 * time.Second        // time in which half of a rate of prompts is forgotten: some ten prompts at the peak
	prefillWindow      = 20 * prefillHalfLife   // after it a rate of prompts is below one token
	durationWeight     = 0.1                    // weight of the newest time that a request took
	maxConnectFailures = 2                      // failures to connect in a row until it is left out
	noResponseTimeout  = 500 * time.Millisecond // and nothing else came from it for so long: requests may be cut together, or reset beside others that are answered
	maxNoResponses     = 3                      // requests in a row without any answer until it is left out
	maxCachedSegments  = 512                    // prompt parts remembered of one replica; about its memory over a small part
	cachedSegmentTTL   = 20 * time.Second       // a part not used for longer has probably given way
	minPeerLoadTTL     = 1 * time.Second        // what another box told counts so long at least; four of its messages among few boxes
	selfReportTTL      = 250 * time.Millisecond // a replica's word of its load counts so long: until other boxes told of theirs again
	defaultDuration    = 40 * time.Millisecond  // of a request where none of the service was answered yet
	defaultSlots       = 16                     // of a replica that tells none
)

// Load is work that one box has at a replica.
type Load struct {
	Requests int // in flight
	Tokens   int // of memory that they hold or will hold
	Unread   int // prompt tokens still to be read
	Reads    int // prompt tokens that are given to it in a second
}

// plus returns the sum of two loads.
func (l Load) plus(o Load) Load {
	return Load{
		Requests: l.Requests + o.Requests,
		Tokens:   l.Tokens + o.Tokens,
		Unread:   l.Unread + o.Unread,
		Reads:    l.Reads + o.Reads,
	}
}

// peerLoad is what another box said of its work at a replica.
type peerLoad struct {
	load   Load
	expiry time.Duration
}

// Replica is what a box knows of one start of a replica.
type Replica struct {
	incarnation string // by which all that is believed of it is kept
	info        catalog.Replica
	service     *catalog.Service // nil while the policy has none of that name
	listed      bool             // the catalog holds it
	unconfirmed bool             // it may be gone, and gets nothing new
	own         Load
	peerLoads   map[string]peerLoad // by box
	selfReport  peerLoad            // requests of others, by the replica's own word
	report      Word                // the last one, by whatever box
	sentSince   []sentRequest       // since then
	lastPoll    time.Duration       // when this box asked it for its load last; 0 for never

	coldUntil       time.Duration   // as far as is known
	connectFailures int             // failures to connect in a row
	noResponses     int             // requests without any answer in a row
	backoff         absence.Absence // it gets no work while it is on
	outcomes        decay.Failures
	slowness        float64 // natural logarithm of times to the first byte over the expected ones
	slownessAt      time.Duration
	prefillRate     float64 // prompt tokens a second that this box gives it, at readsAt
	prefillRateAt   time.Duration
	duration        time.Duration // smoothed time of a request; 0 when not known
	lastSeen        time.Duration // when bytes last came from it
	cached          map[string]time.Duration
	sentSegments    []sentSegment             // prompts that this box gave it of late, as it tells others
	peerSegments    map[PartKey]time.Duration // parts that other boxes had it read, and when they told so
}

// Start returns the name of the replica's start, which no other process has.
func (r *Replica) Start() string { return r.incarnation }

// ID returns the id that the replica answers to, which other starts of it have too.
func (r *Replica) ID() string { return r.info.ID }

// Info returns what is published of the replica.
func (r *Replica) Info() catalog.Replica { return r.info }

// Listed says whether the catalog holds it.
func (r *Replica) Listed() bool { return r.listed }

// Own returns this box's work there.
func (r *Replica) Own() Load { return r.own }

// currentPrefillRate returns the prompt tokens a second that this box gives it.
func (r *Replica) currentPrefillRate(now time.Duration) float64 {
	return r.prefillRate * decay.Left(now-r.prefillRateAt, prefillHalfLife)
}

// recordPrefill counts prompt tokens that this box gives it.
func (r *Replica) recordPrefill(tokens int, now time.Duration) {
	r.prefillRate = r.currentPrefillRate(now) + float64(tokens)*math.Ln2/prefillHalfLife.Seconds()
	r.prefillRateAt = now
}

// currentOwnLoad returns this box's work there, as it tells others.
func (r *Replica) currentOwnLoad(now time.Duration) Load {
	l := r.own
	l.Reads = int(r.currentPrefillRate(now))
	return l
}

// Load returns all work there, as believed at now.
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

// Failing returns the share of failures among its outcomes of late.
func (r *Replica) Failing(now time.Duration) float64 { return r.outcomes.Share(now) }

// Slow returns how much longer than expected it takes; 1 for as expected.
func (r *Replica) Slow(now time.Duration) float64 {
	return math.Exp(r.slowness * decay.Left(now-r.slownessAt, slownessHalfLife))
}

// Out says whether it is left out at now because it could not be reached.
func (r *Replica) Out(now time.Duration) bool { return r.backoff.On(now) }

// slots returns how many requests the replica runs at once.
func (r *Replica) slots() int {
	switch {
	case r.info.Slots > 0:
		return r.info.Slots
	case r.service != nil && r.service.Engine != nil && r.service.Engine.Slots > 0:
		return r.service.Engine.Slots
	}
	return defaultSlots
}

// missing returns the tokens of shared parts that have to be read there. Only a
// beginning of the prompt can be kept.
func (r *Replica) missing(req Request, now time.Duration) int {
	if r.isCachedPerPeers(req, now) {
		return 0
	}
	n := 0
	cached := true
	for _, p := range req.Parts {
		at, ok := r.cached[p.ID]
		cached = cached && ok && now-at < cachedSegmentTTL
		if !cached {
			n += p.Tokens
		}
	}
	return n
}

// recordCached remembers that parts were read there.
func (r *Replica) recordCached(parts []Part, now time.Duration) {
	if len(r.cached) > maxCachedSegments {
		r.evictCached(now)
	}
	for _, p := range parts {
		r.cached[p.ID] = now
	}
}

// evictCached makes room: it forgets parts that were not used of late, or all
// where that is not enough.
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

// eject leaves the replica out for a time that doubles until it answers.
// Requests that were under way together count once.
func (r *Replica) eject(now time.Duration) {
	if !r.Out(now) {
		r.backoff.Begin(now)
	}
}

// recordResponse takes in that bytes came from it.
func (r *Replica) recordResponse(now time.Duration) {
	r.lastSeen = now
	r.connectFailures = 0
	r.noResponses = 0
	r.backoff = absence.Absence{}
}

// recordFirstByte takes in how long the first byte of an answer took, against the
// expected time.
func (r *Replica) recordFirstByte(took, expected, now time.Duration) {
	if took <= 0 || expected <= 0 {
		return
	}
	sample := math.Log(float64(took) / float64(expected))
	sample = max(min(sample, maxSlowness), -maxSlowness)
	old := r.slowness * decay.Left(now-r.slownessAt, slownessHalfLife)
	r.slowness = max(old+slownessWeight*(sample-old), 0)
	r.slownessAt = now
}

// recordDuration takes in how long a request that was answered recordDuration.
func (r *Replica) recordDuration(duration time.Duration) {
	if r.duration == 0 {
		r.duration = duration
		return
	}
	r.duration += time.Duration(durationWeight * float64(duration-r.duration))
}
