package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	partitions           = 16   // of the digest space; of 100 records of which one differs some six are sent
	maxRecords           = 8192 // per ledger; some 1.5 MB
	recordsAfterEviction = maxRecords * 3 / 4
)

// Checksums are the checksums of the published records, one per partition of the digests. Boxes
// exchange only the partitions whose checksums differ.
type Checksums [partitions]uint32

func partitionOf(d Digest) int { return int(d[0]) % partitions }

// Ledger holds the records of requests under which replicas crashed. It belongs to one actor.
type Ledger struct {
	records    map[Digest]*Record
	assessment *assessment // cached; nil after a change
	changes    int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		records: make(map[Digest]*Record),
	}
}

// Len returns the number of recorded requests.
func (l *Ledger) Len() int { return len(l.records) }

// Get returns the record of a request, or nil.
func (l *Ledger) Get(d Digest) *Record { return l.records[d] }

// All returns all records in no particular order.
func (l *Ledger) All() []*Record {
	out := make([]*Record, 0, len(l.records))
	for _, r := range l.records {
		out = append(out, r)
	}
	return out
}

// Published returns the published records in no particular order.
func (l *Ledger) Published() []*Record {
	var out []*Record
	for _, r := range l.records {
		if r.published {
			out = append(out, r)
		}
	}
	return out
}

// Checksums returns the checksums of the published records.
func (l *Ledger) Checksums() Checksums {
	var out Checksums
	for _, r := range l.records {
		if r.published {
			out[partitionOf(r.Digest)] ^= r.checksum()
		}
	}
	return out
}

// AddCrash records that an incarnation crashed under a request, and reports whether that is new.
func (l *Ledger) AddCrash(d Digest, s Incarnation, at time.Duration) bool {
	return l.addCrash(d, Crash{
		Incarnation: s,
		At:          at,
	})
}

// addCrash is AddCrash for any crash, including those of runs on trial.
func (l *Ledger) addCrash(d Digest, e Crash) bool {
	return l.Merge(Record{
		Digest:       d,
		Crashes:      []Crash{e},
		LastSurvived: never,
	}, e.At)
}

// Clear records that a replica survived a request with recorded crashes, and reports whether
// the record changed. Poison requests never complete, while a popular request is under way
// wherever a replica crashes for other reasons.
func (l *Ledger) Clear(d Digest, at time.Duration) bool {
	r := l.records[d]
	if r == nil || len(r.Crashes) == 0 {
		return false
	}
	return l.RecordSurvival(d, at)
}

// RecordSurvival is Clear for any request, whether it has a record or not.
func (l *Ledger) RecordSurvival(d Digest, at time.Duration) bool {
	return l.Merge(Record{
		Digest:       d,
		LastSurvived: at,
	}, at)
}

// Merge merges a record from another box, and reports whether the crashes changed.
func (l *Ledger) Merge(in Record, now time.Duration) bool {
	if in.isExpired(now) {
		return false
	}
	r := l.records[in.Digest]
	if r == nil {
		l.evict(now)
		r = &Record{
			Digest:       in.Digest,
			LastSurvived: never,
		}
		l.records[in.Digest] = r
	}
	changed := r.merge(in)
	if changed {
		l.noteChange()
	}
	r.published = r.published || in.published || len(r.Crashes) >= publishThreshold
	return changed
}

func (l *Ledger) noteChange() {
	l.assessment = nil
	l.changes++
}

// Expire drops expired records.
func (l *Ledger) Expire(now time.Duration) {
	for d, r := range l.records {
		if r.isExpired(now) {
			delete(l.records, d)
			l.noteChange()
		}
	}
}

// evict drops records when the ledger is full: those with the fewest crashes first, then the
// oldest. So a flood of requests interrupted once evicts no quarantined request.
func (l *Ledger) evict(now time.Duration) {
	if len(l.records) < maxRecords {
		return
	}
	l.Expire(now)
	all := l.All()
	slices.SortFunc(all, func(a, b *Record) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(b.latest(), a.latest()))
	})
	l.noteChange()
	for _, r := range all[min(len(all), recordsAfterEviction):] {
		delete(l.records, r.Digest)
	}
}
