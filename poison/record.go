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
	clearanceWindow     = 3 * time.Second  // after a complete response, in which crashes don't count, to limit the gossip on popular requests; without it a request cleared after each of 100 crashes took 14 KB/s of 300 boxes
	quarantineTTL       = 10 * time.Minute // after the third crash; doubled by each further one
	suspectTTL          = 10 * time.Minute // of the record of a request that isn't quarantined
	maxCrashes          = 8                // kept per record, the latest
	maxDropped          = 32               // kept per record
	restartTime         = 2 * time.Second  // minimum time from a crash of a replica until it is back under its ID
	maxSkew             = time.Second      // by which a received time must exceed the recorded one: each relay of the same time adds the transit delay
)

// Incarnation identifies an incarnation of a replica.
type Incarnation uint64

// String returns the incarnation in hexadecimal, as in the log.
func (s Incarnation) String() string { return strconv.FormatUint(uint64(s), 16) }

// IncarnationOf returns the hash of an incarnation.
func IncarnationOf(incarnation string) Incarnation {
	return Incarnation(xxhash.Sum64String(incarnation))
}

// Crash is the crash of an incarnation under a request.
type Crash struct {
	Incarnation Incarnation
	At          time.Duration // on the clock of the box
	OnTrial     bool          // the request was on trial there, apart from others on trial
}

// isSame reports whether two crashes of an incarnation are one. A replica that is back under its ID
// crashes again later than that.
func (e Crash) isSame(other Crash) bool {
	return e.Incarnation == other.Incarnation && (e.At-other.At).Abs() < restartTime
}

const never = time.Duration(math.MinInt64 / 2)

// Record holds the crashes of replicas under a request.
type Record struct {
	Digest       Digest
	Crashes      []Crash       // since the last complete response, in order of time
	LastSurvived time.Duration // when a replica last survived it, on the clock of the box; or never
	dropped      []Crash       // that this box no longer keeps, the latest ones
	published    bool          // sent to all boxes, or about to be
}

// Quarantined reports whether there are crashes enough for a quarantine, and the time left.
func (r *Record) Quarantined(now time.Duration) (left time.Duration, quarantined bool) {
	if len(r.Crashes) < quarantineThreshold {
		return 0, false
	}
	more := min(len(r.Crashes), maxCrashes) - quarantineThreshold
	left = r.latest() + quarantineTTL<<more - now
	return left, left > 0
}

// SinceSurvived returns the time since a replica last survived the request; false if none did.
func (r *Record) SinceSurvived(now time.Duration) (ago time.Duration, ok bool) {
	return now - r.LastSurvived, r.LastSurvived != never
}

// latest returns the time of the latest crash or complete response.
func (r *Record) latest() time.Duration {
	if len(r.Crashes) == 0 {
		return r.LastSurvived
	}
	return max(r.Crashes[len(r.Crashes)-1].At, r.LastSurvived)
}

// isExpired reports whether the record may be dropped. After a quarantine it is kept for as long
// again, so that a single crash renews the quarantine.
func (r *Record) isExpired(now time.Duration) bool {
	keep := suspectTTL
	if n := min(len(r.Crashes), maxCrashes); n >= quarantineThreshold {
		keep = 2 * quarantineTTL << (n - quarantineThreshold)
	}
	return now-r.latest() > keep
}

// clears reports whether the last complete response clears a crash.
func (r *Record) clears(e Crash) bool { return e.At <= r.LastSurvived+clearanceWindow }

func (r *Record) countShared(other *Record) (n int) {
	for _, e := range r.Crashes {
		if other.hasCrash(e.Incarnation) {
			n++
		}
	}
	return n
}

// exceeds reports whether a request has all crashes of another and one on trial that the other
// lacks, which it returns.
func (r *Record) exceeds(other *Record) (e Crash, ok bool) {
	if len(r.Crashes) <= len(other.Crashes) || other.countShared(r) < len(other.Crashes) {
		return Crash{}, false
	}
	i := slices.IndexFunc(r.Crashes, func(e Crash) bool { return e.OnTrial && !other.hasCrash(e.Incarnation) })
	if i < 0 {
		return Crash{}, false
	}
	return r.Crashes[i], true
}

func (r *Record) incarnations() []Incarnation {
	out := make([]Incarnation, 0, len(r.Crashes))
	for _, e := range r.Crashes {
		out = append(out, e.Incarnation)
	}
	return out
}

func (r *Record) hasCrash(s Incarnation) bool {
	return slices.ContainsFunc(r.Crashes, func(e Crash) bool { return e.Incarnation == s })
}

func (r *Record) clearsAny(ends []Crash) bool { return slices.ContainsFunc(ends, r.clears) }

// merge adds another record of the request, and reports whether the crashes changed. A crash
// beyond maxCrashes is not a change, or it would be gossiped forever.
func (r *Record) merge(in Record) bool {
	before := slices.Clone(r.Crashes)
	if in.LastSurvived > r.LastSurvived+maxSkew {
		r.LastSurvived = in.LastSurvived
	}
	for _, e := range in.Crashes {
		r.addCrash(e)
	}
	r.Crashes = slices.DeleteFunc(r.Crashes, r.clears)
	slices.SortFunc(r.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	if n := len(r.Crashes); n > maxCrashes {
		r.drop(n - maxCrashes)
	}
	return !slices.Equal(before, r.Crashes)
}

// drop removes the n earliest crashes.
func (r *Record) drop(n int) {
	r.dropped = append(r.dropped, r.Crashes[:n]...)
	if surplus := len(r.dropped) - maxDropped; surplus > 0 {
		r.dropped = slices.Clone(r.dropped[surplus:])
	}
	r.Crashes = slices.Clone(r.Crashes[n:])
}

// addCrash adds a crash, or marks a recorded one as on trial. One that was dropped seems later
// with each relay and is not added again.
func (r *Record) addCrash(e Crash) {
	i := slices.IndexFunc(r.Crashes, e.isSame)
	switch {
	case i >= 0:
		r.Crashes[i].OnTrial = r.Crashes[i].OnTrial || e.OnTrial
	case !slices.ContainsFunc(r.dropped, e.isSame):
		r.Crashes = append(r.Crashes, e)
	}
}

// checksum returns the contribution of the record to the checksum of its partition.
func (r *Record) checksum() uint32 {
	h := xxhash.Sum64(r.Digest[:])
	return uint32(bits.RotateLeft64(h, len(r.Crashes)))
}
