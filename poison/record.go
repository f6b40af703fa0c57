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
	endsToQuarantine = 3                // ends after which a request is turned away: with two, one that was cut at two replicas beside a poison one would be
	endsToTell       = 2                // ends from which on all boxes know of a request, so that a whole answer anywhere clears it before the third
	clearsFor        = 3 * time.Second  // after a whole answer for which ends don't count: a popular request that was suspected and cleared with each of 100 ends took 14 KB a second of 300 boxes
	quarantinedFor   = 10 * time.Minute // after the third end; twice as long after each further one
	suspectFor       = 10 * time.Minute // for which a request that isn't quarantined is remembered
	maxEnds          = 8                // that are kept of a request, the latest
	skew             = time.Second      // by which a time that another box told may be later than it was: it grows by the way of each datagram, and would grow for ever between two boxes
)

// Start stands for one start of a replica.
type Start uint64

// String returns the start as the log shows it.
func (s Start) String() string { return strconv.FormatUint(uint64(s), 16) }

// StartOf returns what stands for a start.
func StartOf(start string) Start { return Start(xxhash.Sum64String(start)) }

// End is the end of a start of a replica under a request.
type End struct {
	Start Start
	At    time.Duration // of the box's clock
	Alone bool          // the request was on trial there, apart from others that were
}

// never is the time of an answer that did not come.
const never = time.Duration(math.MinInt64 / 2)

// Record is what is known of a request that replicas ended under.
type Record struct {
	Digest   Digest
	Ends     []End         // since the last whole answer, in the order of their times
	Answered time.Duration // when a replica last survived it, of the box's clock; never where none did
	open     bool          // all boxes were told of it, or are being told
}

// Quarantined says whether the request is turned away, and for how long.
func (r *Record) Quarantined(now time.Duration) (left time.Duration, quarantined bool) {
	if len(r.Ends) < endsToQuarantine {
		return 0, false
	}
	more := min(len(r.Ends), maxEnds) - endsToQuarantine
	left = r.last() + quarantinedFor<<more - now
	return left, left > 0
}

// AnsweredAgo returns how long ago a replica last survived the request; false where none did.
func (r *Record) AnsweredAgo(now time.Duration) (ago time.Duration, ok bool) {
	return now - r.Answered, r.Answered != never
}

// last returns when something was last known of the request.
func (r *Record) last() time.Duration {
	if len(r.Ends) == 0 {
		return r.Answered
	}
	return max(r.Ends[len(r.Ends)-1].At, r.Answered)
}

// isOver says whether the record says nothing any more. One that was quarantined is
// kept for as long again, so that a single end is enough then.
func (r *Record) isOver(now time.Duration) bool {
	keep := suspectFor
	if n := min(len(r.Ends), maxEnds); n >= endsToQuarantine {
		keep = 2 * quarantinedFor << (n - endsToQuarantine)
	}
	return now-r.last() > keep
}

// clears says whether an answer of the request outweighs an end.
func (r *Record) clears(e End) bool { return e.At <= r.Answered+clearsFor }

// shares returns how many ends two requests have in common.
func (r *Record) shares(other *Record) (n int) {
	for _, e := range r.Ends {
		if other.has(e.Start) {
			n++
		}
	}
	return n
}

// exceeds says whether a request has all ends of another, and returns one on trial that the
// other lacks.
func (r *Record) exceeds(other *Record) (e End, ok bool) {
	if len(r.Ends) <= len(other.Ends) || other.shares(r) < len(other.Ends) {
		return End{}, false
	}
	i := slices.IndexFunc(r.Ends, func(e End) bool { return e.Alone && !other.has(e.Start) })
	if i < 0 {
		return End{}, false
	}
	return r.Ends[i], true
}

// starts returns the starts that ended under the request.
func (r *Record) starts() []Start {
	out := make([]Start, 0, len(r.Ends))
	for _, e := range r.Ends {
		out = append(out, e.Start)
	}
	return out
}

// has says whether an end is one of the request's.
func (r *Record) has(s Start) bool {
	return slices.ContainsFunc(r.Ends, func(e End) bool { return e.Start == s })
}

// clearsAny says whether an answer of the request outweighs one of some ends.
func (r *Record) clearsAny(ends []End) bool { return slices.ContainsFunc(ends, r.clears) }

// merge adds what another record of the request knows, and returns whether that changed its
// ends. An end beyond those that are kept is no news: it would be told for ever.
func (r *Record) merge(in Record) bool {
	before := slices.Clone(r.Ends)
	if in.Answered > r.Answered+skew {
		r.Answered = in.Answered
	}
	for _, e := range in.Ends {
		r.take(e)
	}
	r.Ends = slices.DeleteFunc(r.Ends, r.clears)
	slices.SortFunc(r.Ends, func(a, b End) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Start, b.Start))
	})
	if n := len(r.Ends); n > maxEnds {
		r.Ends = slices.Clone(r.Ends[n-maxEnds:])
	}
	return !slices.Equal(before, r.Ends)
}

// take adds an end; of one that is known it may be told that the request was on trial there.
func (r *Record) take(e End) {
	i := slices.IndexFunc(r.Ends, func(k End) bool { return k.Start == e.Start })
	if i < 0 {
		r.Ends = append(r.Ends, e)
		return
	}
	r.Ends[i].Alone = r.Ends[i].Alone || e.Alone
}

// sum returns what stands for the record in the sum of its part.
func (r *Record) sum() uint32 {
	h := xxhash.Sum64(r.Digest[:])
	return uint32(bits.RotateLeft64(h, len(r.Ends)))
}
