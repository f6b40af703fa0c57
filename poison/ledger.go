package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	parts       = 16   // of all digests: of 100 records of which one differs some six are told
	maxRecords  = 8192 // of a ledger, some 1.5 MB
	recordsLeft = maxRecords * 3 / 4
)

// Sums stand for the records that all boxes are to know, each for those of a part of the
// digests. Boxes with the same sums know the same; else they tell each other only the parts
// that differ.
type Sums [parts]uint32

// partOf returns the part to which a digest belongs.
func partOf(d Digest) int { return int(d[0]) % parts }

// Ledger is what a box knows of requests under which replicas ended. It belongs to one
// actor.
type Ledger struct {
	records map[Digest]*Record
	weighed *weighed // nil after a change
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

// AddEnd notes that a start of a replica ended under a request, and returns whether that
// was new.
func (l *Ledger) AddEnd(d Digest, s Start, at time.Duration) bool {
	return l.addEnd(d, End{
		Start: s,
		At:    at,
	})
}

// addEnd is AddEnd, also for ends of runs on trial.
func (l *Ledger) addEnd(d Digest, e End) bool {
	return l.Take(Record{
		Digest:   d,
		Ends:     []End{e},
		Answered: never,
	}, e.At)
}

// Clear notes that a replica survived a request that is known, and returns
// whether that changed anything. Requests that end their replicas are never answered, and
// a popular one is under way wherever a replica ends for other reasons.
func (l *Ledger) Clear(d Digest, at time.Duration) bool {
	r := l.records[d]
	if r == nil || len(r.Ends) == 0 {
		return false
	}
	return l.Answer(d, at)
}

// Answer notes that a replica survived a request, also of one that isn't known, and returns
// whether that changed anything.
func (l *Ledger) Answer(d Digest, at time.Duration) bool {
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
	if news {
		l.weighed = nil
	}
	r.open = r.open || in.open || len(r.Ends) >= endsToTell
	return news
}

// Forget drops the records that say nothing any more.
func (l *Ledger) Forget(now time.Duration) {
	for d, r := range l.records {
		if r.isOver(now) {
			delete(l.records, d)
			l.weighed = nil
		}
	}
}

// makeRoom drops records when there are too many: those with the fewest ends first, of
// which the oldest, so that a flood of requests that were cut once pushes out none that
// is quarantined.
func (l *Ledger) makeRoom(now time.Duration) {
	if len(l.records) < maxRecords {
		return
	}
	l.Forget(now)
	all := l.All()
	slices.SortFunc(all, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), cmp.Compare(b.last(), a.last()))
	})
	l.weighed = nil
	for _, r := range all[min(len(all), recordsLeft):] {
		delete(l.records, r.Digest)
	}
}
