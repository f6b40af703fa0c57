package poison

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	endsToBar   = 3                // ends after which a request is turned away: with two, one that was cut at two replicas beside a guilty one would be
	endsToTell  = 2                // ends from which on all boxes know of a request, so that a whole answer anywhere acquits it before the third
	acquitsFor  = 3 * time.Second  // after a whole answer for which ends don't count: a popular request that were suspected and acquitted with each of 100 ends took 14 KB a second of 300 boxes
	barredFor   = 10 * time.Minute // after the third end; twice as long after each further one
	suspectFor  = 10 * time.Minute // for which a request that isn't barred is remembered
	maxEnds     = 8                // that are kept of a request, the latest
	skew        = time.Second      // by which a time that another box told may be later than it was: it grows by the way of each datagram, and would grow for ever between two boxes
	parts       = 16               // of all digests: one record in 100 that differs has some six told
	maxRecords  = 8192             // of a ledger, some 1.5 MB
	tooManyLeft = maxRecords * 3 / 4
)

// Start stands for one start of a replica.
type Start uint64

// StartOf returns what stands for a start.
func StartOf(start string) Start { return Start(xxhash.Sum64String(start)) }

// End is the end of a start of a replica under a request.
type End struct {
	Start Start
	At    time.Duration // of the box's clock
}

// never is the time of an answer that did not come.
const never = time.Duration(math.MinInt64 / 2)

// Record is what is known of a request that replicas ended under.
type Record struct {
	Digest   Digest
	Ends     []End         // since the last whole answer, in the order of their times
	Answered time.Duration // when a replica last bore it, of the box's clock; never where none did
	open     bool          // all boxes were told of it, or are being told
}

// Barred says whether the request is turned away, and for how long.
func (r *Record) Barred(now time.Duration) (left time.Duration, barred bool) {
	if len(r.Ends) < endsToBar {
		return 0, false
	}
	more := min(len(r.Ends), maxEnds) - endsToBar
	left = r.last() + barredFor<<more - now
	return left, left > 0
}

// AnsweredAgo returns how long ago a replica last bore the request; false where none did.
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

// isOver says whether the record says nothing any more. One that was barred is kept for as
// long again, so that a single end bars it anew.
func (r *Record) isOver(now time.Duration) bool {
	keep := suspectFor
	if n := min(len(r.Ends), maxEnds); n >= endsToBar {
		keep = 2 * barredFor << (n - endsToBar)
	}
	return now-r.last() > keep
}

// Sums stand for the records that all boxes are to know, each for those of a part of the
// digests. Boxes with the same sums know the same; else they tell each other only the parts
// that differ.
type Sums [parts]uint32

// partOf returns the part to which a digest belongs.
func partOf(d Digest) int { return int(d[0]) % parts }

// sum returns what stands for the record in the sum of its part.
func (r *Record) sum() uint32 {
	h := xxhash.Sum64(r.Digest[:])
	return uint32(bits.RotateLeft64(h, len(r.Ends)))
}

// Ledger is what a box knows of requests under which replicas ended. It belongs to one
// actor.
type Ledger struct {
	records map[Digest]*Record
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		records: make(map[Digest]*Record),
	}
}

// Len returns how many requests are known.
func (l *Ledger) Len() int { return len(l.records) }

// Get returns what is known of a request, nil for nothing.
func (l *Ledger) Get(d Digest) *Record { return l.records[d] }

// All returns all records, in no order.
func (l *Ledger) All() []*Record {
	out := make([]*Record, 0, len(l.records))
	for _, r := range l.records {
		out = append(out, r)
	}
	return out
}

// Open returns the records that all boxes are to know, in no order.
func (l *Ledger) Open() []*Record {
	var out []*Record
	for _, r := range l.records {
		if r.open {
			out = append(out, r)
		}
	}
	return out
}

// Sums returns what stands for the records that all boxes are to know.
func (l *Ledger) Sums() Sums {
	var out Sums
	for _, r := range l.records {
		if r.open {
			out[partOf(r.Digest)] ^= r.sum()
		}
	}
	return out
}

// Charge notes that a start of a replica ended under a request, and returns whether that
// was new.
func (l *Ledger) Charge(d Digest, s Start, at time.Duration) bool {
	return l.Take(Record{
		Digest: d,
		Ends: []End{{
			Start: s,
			At:    at,
		}},
		Answered: never,
	}, at)
}

// Acquit notes that a replica gave a whole answer to a request that is known, and returns
// whether that changed anything. Requests that end their replicas are never answered, and
// a popular one is under way wherever a replica ends for other reasons.
func (l *Ledger) Acquit(d Digest, at time.Duration) bool {
	r := l.records[d]
	if r == nil || len(r.Ends) == 0 {
		return false
	}
	return l.Take(Record{
		Digest:   d,
		Answered: at,
	}, at)
}

// Take takes in what another box knows of a request, and returns whether there was news in
// it.
func (l *Ledger) Take(in Record, now time.Duration) bool {
	if in.isOver(now) {
		return false
	}
	r := l.records[in.Digest]
	if r == nil {
		l.makeRoom(now)
		r = &Record{
			Digest:   in.Digest,
			Answered: never,
		}
		l.records[in.Digest] = r
	}
	news := r.merge(in)
	r.open = r.open || in.open || len(r.Ends) >= endsToTell
	return news
}

// proves says whether an answer acquits the request of an end.
func (r *Record) proves(e End) bool { return e.At <= r.Answered+acquitsFor }

// merge adds what another record of the request knows, and returns whether it changed.
func (r *Record) merge(in Record) bool {
	before := len(r.Ends)
	news := false
	if in.Answered > r.Answered+skew {
		r.Answered = in.Answered
	}
	for _, e := range in.Ends {
		if r.proves(e) || slices.ContainsFunc(r.Ends, func(k End) bool { return k.Start == e.Start }) {
			continue
		}
		r.Ends = append(r.Ends, e)
		news = true
	}
	r.Ends = slices.DeleteFunc(r.Ends, r.proves)
	slices.SortFunc(r.Ends, func(a, b End) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Start, b.Start))
	})
	if n := len(r.Ends); n > maxEnds {
		r.Ends = slices.Clone(r.Ends[n-maxEnds:])
	}
	return news || len(r.Ends) != before
}

// Forget drops the records that say nothing any more.
func (l *Ledger) Forget(now time.Duration) {
	for d, r := range l.records {
		if r.isOver(now) {
			delete(l.records, d)
		}
	}
}

// makeRoom drops records when there are too many: those with the fewest ends first, of
// which the oldest, so that a flood of requests that were cut once pushes out none that
// is barred.
func (l *Ledger) makeRoom(now time.Duration) {
	if len(l.records) < maxRecords {
		return
	}
	l.Forget(now)
	all := l.All()
	slices.SortFunc(all, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), cmp.Compare(b.last(), a.last()))
	})
	for _, r := range all[min(len(all), tooManyLeft):] {
		delete(l.records, r.Digest)
	}
}
