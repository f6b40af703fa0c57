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
	slowHalf     = 8 * time.Second        // time in which half of a replica's slowness is forgotten
	slowWeight   = 0.25                   // weight of the newest observation of slowness
	slowBound    = 2.5                    // bound of one observation, a natural logarithm
	readsHalf    = 1 * time.Second        // time in which half of a rate of prompts is forgotten: some ten prompts at the peak
	readsOver    = 20 * readsHalf         // after it a rate of prompts is below one token
	holdWeight   = 0.1                    // weight of the newest time that a request took
	failuresOut  = 2                      // failures to connect in a row until it is left out
	mutedFor     = 500 * time.Millisecond // and nothing else came from it for so long: requests may be cut together, or reset beside others that are answered
	mutedOut     = 3                      // requests in a row without any answer until it is left out
	warmParts    = 512                    // prompt parts remembered of one replica; about its memory over a small part
	warmFor      = 20 * time.Second       // a part not used for longer has probably given way
	othersFor    = 1 * time.Second        // what another box told counts so long at least; four of its messages among few boxes
	saidFor      = 250 * time.Millisecond // a replica's word of its load counts so long: until other boxes told of theirs again
	defaultHold  = 40 * time.Millisecond  // of a request where none of the service was answered yet
	defaultSlots = 16                     // of a replica that tells none
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

// told is what another box said of its work at a replica.
type told struct {
	load Load
	till time.Duration
}

// Replica is what a box knows of one start of a replica.
type Replica struct {
	start    string // by which all that is believed of it is kept
	info     catalog.Replica
	service  *catalog.Service // nil while the policy has none of that name
	listed   bool             // the catalog holds it
	doubtful bool             // it may be gone, and gets nothing new
	own      Load
	others   map[string]told // by box
	said     told            // requests of others, by the replica's own word
	word     Word            // the last one, by whatever box
	begun    []begun         // since then
	asked    time.Duration   // when this box asked it for its load last; 0 for never

	coldUntil time.Duration   // as far as is known
	failures  int             // failures to connect in a row
	muted     int             // requests without any answer in a row
	out       absence.Absence // it gets no work while it is on
	outcomes  decay.Failures
	slow      float64 // natural logarithm of times to the first byte over the expected ones
	slowAt    time.Duration
	reads     float64 // prompt tokens a second that this box gives it, at readsAt
	readsAt   time.Duration
	hold      time.Duration // smoothed time of a request; 0 when not known
	heard     time.Duration // when bytes last came from it
	warm      map[string]time.Duration
	notes     []givenPart               // prompts that this box gave it of late, as it tells others
	toldKept  map[PartKey]time.Duration // parts that other boxes had it read, and when they told so
}

// Start returns the name of the replica's start, which no other process has.
func (r *Replica) Start() string { return r.start }

// ID returns the id that the replica answers to, which other starts of it have too.
func (r *Replica) ID() string { return r.info.ID }

// Info returns what is published of the replica.
func (r *Replica) Info() catalog.Replica { return r.info }

// Listed says whether the catalog holds it.
func (r *Replica) Listed() bool { return r.listed }

// Own returns this box's work there.
func (r *Replica) Own() Load { return r.own }

// readsNow returns the prompt tokens a second that this box gives it.
func (r *Replica) readsNow(now time.Duration) float64 {
	return r.reads * decay.Left(now-r.readsAt, readsHalf)
}

// given counts prompt tokens that this box gives it.
func (r *Replica) given(tokens int, now time.Duration) {
	r.reads = r.readsNow(now) + float64(tokens)*math.Ln2/readsHalf.Seconds()
	r.readsAt = now
}

// ownNow returns this box's work there, as it tells others.
func (r *Replica) ownNow(now time.Duration) Load {
	l := r.own
	l.Reads = int(r.readsNow(now))
	return l
}

// Load returns all work there, as believed at now.
func (r *Replica) Load(now time.Duration) Load {
	l := r.ownNow(now)
	for _, o := range r.others {
		if now < o.till {
			l = l.plus(o.load)
		}
	}
	if now < r.said.till {
		l.Requests = r.own.Requests + r.said.load.Requests
	}
	return l
}

// Failing returns the share of failures among its outcomes of late.
func (r *Replica) Failing(now time.Duration) float64 { return r.outcomes.Share(now) }

// Slow returns how much longer than expected it takes; 1 for as expected.
func (r *Replica) Slow(now time.Duration) float64 {
	return math.Exp(r.slow * decay.Left(now-r.slowAt, slowHalf))
}

// Out says whether it is left out at now because it could not be reached.
func (r *Replica) Out(now time.Duration) bool { return r.out.On(now) }

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
	if r.saidToKeep(req, now) {
		return 0
	}
	n := 0
	kept := true
	for _, p := range req.Parts {
		at, ok := r.warm[p.ID]
		kept = kept && ok && now-at < warmFor
		if !kept {
			n += p.Tokens
		}
	}
	return n
}

// keep remembers that parts were read there.
func (r *Replica) keep(parts []Part, now time.Duration) {
	if len(r.warm) > warmParts {
		r.dropOldParts(now)
	}
	for _, p := range parts {
		r.warm[p.ID] = now
	}
}

// dropOldParts makes room: it forgets parts that were not used of late, or all
// where that is not enough.
func (r *Replica) dropOldParts(now time.Duration) {
	for id, at := range r.warm {
		if now-at > warmFor/2 {
			delete(r.warm, id)
		}
	}
	if len(r.warm) > warmParts {
		clear(r.warm)
	}
}

// leaveOut leaves the replica out for a time that doubles until it answers.
// Requests that were under way together count once.
func (r *Replica) leaveOut(now time.Duration) {
	if !r.Out(now) {
		r.out.Begin(now)
	}
}

// answered takes in that bytes came from it.
func (r *Replica) answered(now time.Duration) {
	r.heard = now
	r.failures = 0
	r.muted = 0
	r.out = absence.Absence{}
}

// seenFirst takes in how long the first byte of an answer took, against the
// expected time.
func (r *Replica) seenFirst(took, expected, now time.Duration) {
	if took <= 0 || expected <= 0 {
		return
	}
	seen := math.Log(float64(took) / float64(expected))
	seen = max(min(seen, slowBound), -slowBound)
	old := r.slow * decay.Left(now-r.slowAt, slowHalf)
	r.slow = max(old+slowWeight*(seen-old), 0)
	r.slowAt = now
}

// took takes in how long a request that was answered took.
func (r *Replica) took(hold time.Duration) {
	if r.hold == 0 {
		r.hold = hold
		return
	}
	r.hold += time.Duration(holdWeight * float64(hold-r.hold))
}
