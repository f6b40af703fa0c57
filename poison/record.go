package poison

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	quarantineThreshold = 3                // crashes; an innocent request may share two with a poison request
	publishThreshold    = 2                // crashes from which all boxes receive a record, so that any can clear it before the third
	clearanceWindow     = 3 * time.Second  // after a complete response, in which crashes don't count, to limit the gossip on popular requests
	quarantineTTL       = 10 * time.Minute // after the third crash; doubled by each further one
	suspectTTL          = 10 * time.Minute // of the record of a request that isn't quarantined
	maxCrashes          = 8                // kept per record, the latest
	maxSkew             = time.Second      // by which a received time must exceed the recorded one: each relay of the same time adds the transit delay
)

// Start identifies an incarnation of a replica.
type Start uint64

// String returns the incarnation in hexadecimal, as in the log.
func (s Start) String() string { return strconv.FormatUint(uint64(s), 16) }

// StartOf returns the hash of an incarnation.
func StartOf(incarnation string) Start { return Start(xxhash.Sum64String(incarnation)) }

// End is the crash of an incarnation under a request.
type End struct {
	Start Start
	At    time.Duration // on the clock of the box
	Alone bool          // the request was on trial there, apart from others on trial
}

const never = time.Duration(math.MinInt64 / 2)

// Record holds the crashes of replicas under a request.
type Record struct {
	Digest    Digest
	Ends      []End         // since the last complete response, in order of time
	Answered  time.Duration // when a replica last survived it, on the clock of the box; or never
	published bool          // sent to all boxes, or about to be
}

// Quarantined reports whether there are crashes enough for a quarantine, and the time left.
func (r *Record) Quarantined(now time.Duration) (left time.Duration, quarantined bool) {
	if len(r.Ends) < quarantineThreshold {
		return 0, false
	}
	more := min(len(r.Ends), maxCrashes) - quarantineThreshold
	left = r.latest() + quarantineTTL<<more - now
	return left, left > 0
}

// AnsweredAgo returns the time since a replica last survived the request; false if none did.
func (r *Record) AnsweredAgo(now time.Duration) (ago time.Duration, ok bool) {
	return now - r.Answered, r.Answered != never
}

// latest returns the time of the latest crash or complete response.
func (r *Record) latest() time.Duration {
	if len(r.Ends) == 0 {
		return r.Answered
	}
	return max(r.Ends[len(r.Ends)-1].At, r.Answered)
}

// isExpired reports whether the record may be dropped. After a quarantine it is kept for as long
// again, so that a single crash renews the quarantine.
func (r *Record) isExpired(now time.Duration) bool {
	keep := suspectTTL
	if n := min(len(r.Ends), maxCrashes); n >= quarantineThreshold {
		keep = 2 * quarantineTTL << (n - quarantineThreshold)
	}
	return now-r.latest() > keep
}

// clears reports whether the last complete response clears a crash.
func (r *Record) clears(e End) bool { return e.At <= r.Answered+clearanceWindow }

func (r *Record) countShared(other *Record) (n int) {
	for _, e := range r.Ends {
		if other.hasCrash(e.Start) {
			n++
		}
	}
	return n
}

// exceeds reports whether a request has all crashes of another and one on trial that the other
// lacks, which it returns.
func (r *Record) exceeds(other *Record) (e End, ok bool) {
	if len(r.Ends) <= len(other.Ends) || other.countShared(r) < len(other.Ends) {
		return End{}, false
	}
	i := slices.IndexFunc(r.Ends, func(e End) bool { return e.Alone && !other.hasCrash(e.Start) })
	if i < 0 {
		return End{}, false
	}
	return r.Ends[i], true
}

func (r *Record) incarnations() []Start {
	out := make([]Start, 0, len(r.Ends))
	for _, e := range r.Ends {
		out = append(out, e.Start)
	}
	return out
}

func (r *Record) hasCrash(s Start) bool {
	return slices.ContainsFunc(r.Ends, func(e End) bool { return e.Start == s })
}

func (r *Record) clearsAny(ends []End) bool { return slices.ContainsFunc(ends, r.clears) }

// merge adds another record of the request, and reports whether the crashes changed. A crash
// beyond maxCrashes is not a change, or it would be gossiped forever.
func (r *Record) merge(in Record) bool {
	before := slices.Clone(r.Ends)
	if in.Answered > r.Answered+maxSkew {
		r.Answered = in.Answered
	}
	for _, e := range in.Ends {
		r.addCrash(e)
	}
	r.Ends = slices.DeleteFunc(r.Ends, r.clears)
	slices.SortFunc(r.Ends, func(a, b End) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Start, b.Start))
	})
	if n := len(r.Ends); n > maxCrashes {
		r.Ends = slices.Clone(r.Ends[n-maxCrashes:])
	}
	return !slices.Equal(before, r.Ends)
}

// addCrash adds a crash, or marks a recorded one as on trial.
func (r *Record) addCrash(e End) {
	i := slices.IndexFunc(r.Ends, func(k End) bool { return k.Start == e.Start })
	if i < 0 {
		r.Ends = append(r.Ends, e)
		return
	}
	r.Ends[i].Alone = r.Ends[i].Alone || e.Alone
}

// checksum returns the contribution of the record to the checksum of its partition.
func (r *Record) checksum() uint32 {
	h := xxhash.Sum64(r.Digest[:])
	return uint32(bits.RotateLeft64(h, len(r.Ends)))
}
