package poison

import (
	"maps"
	"time"
)

const (
	tryAfter = 2 * time.Second // after the third end until a request that was served before is tried again
	tryLater = 4               // times as long after each further end: after 8, 32 and 128 s
)

// dialGap is the least time between two connections to a replica that cut requests: some
// 60 are cut with it, and one connection tells for all. By then it is known whether it lives.
const dialGap = time.Second

// Watch is all that a box holds of requests that end their replicas. It belongs to one
// actor, but for Served.
type Watch struct {
	ledger      *Ledger
	cuts        *Cuts
	spread      *Spread
	served      *Served
	trials      trials
	dialed      map[string]time.Duration // when a start that cut requests was last connected to
	tried       map[Digest]time.Duration // when this box tried a quarantined request last
	quarantined map[Digest]bool          // as Changes said last
}

// NewWatch returns the watch of a box that knows of no such request.
func NewWatch(box string) *Watch {
	ledger := NewLedger()
	return &Watch{
		ledger:      ledger,
		cuts:        NewCuts(),
		spread:      NewSpread(box, ledger),
		served:      NewServed(),
		trials:      newTrials(),
		dialed:      make(map[string]time.Duration),
		tried:       make(map[Digest]time.Duration),
		quarantined: make(map[Digest]bool),
	}
}

// Served returns the requests that were served here. It may be used by any goroutine.
func (w *Watch) Served() *Served { return w.served }

// Known returns how many requests all boxes are told of.
func (w *Watch) Known() int { return len(w.ledger.Open()) }

// Records returns what is known of requests that all boxes are told of, in no order.
func (w *Watch) Records() []*Record { return w.ledger.Open() }

// Quarantined says whether a request is turned away, and for how long.
func (w *Watch) Quarantined(d Digest, now time.Duration) (left time.Duration, quarantined bool) {
	v, left := w.ledger.Verdict(d, now)
	return left, v == Quarantined
}

// OnTrial says whether of a request only one run at a time may be under way, over all boxes.
func (w *Watch) OnTrial(d Digest, now time.Duration) bool {
	v, _ := w.ledger.Verdict(d, now)
	return v == OnTrial
}

// Untried says whether a quarantined request was not on trial yet. One that was served before is
// then: several guilty ones may have ended three replicas, within less time than the second end
// of one of them takes to be known, on each of which a popular one was under way.
func (w *Watch) Untried(d Digest) bool {
	r := w.ledger.Get(d)
	return r != nil && r.alone() == 0
}

// Tries says whether this box tries a request that is quarantined once more, since it was
// served before: only the first of its owners does, so that all boxes together do so once, and
// each time later than the last.
func (w *Watch) Tries(d Digest, others []Box, now time.Duration) bool {
	r := w.ledger.Get(d)
	if r == nil || len(r.Ends) < endsToQuarantine {
		return false
	}
	if rank, _ := newGroup(w.spread.self, others).ownersOf(d); rank > 0 {
		return false
	}
	wait := tryAfter
	for range len(r.Ends) - endsToQuarantine {
		wait *= tryLater
	}
	if now-max(r.last(), w.tried[d]) < wait {
		return false
	}
	w.tried[d] = now
	return true
}

// Clear takes in that a replica survived a request, and returns whether that is news
// for others.
func (w *Watch) Clear(d Digest, now time.Duration) bool {
	waited := w.cuts.Clear(d)
	if waited {
		w.ledger.Answer(d, now) // others may count ends of it
	} else if !w.ledger.Clear(d, now) {
		return false
	}
	w.spread.Learned(d, now)
	return true
}

// Lives takes in that a start survived a request that was sent to it at a time.
func (w *Watch) Lives(start string, sent time.Duration) { w.cuts.Lives(start, sent) }

// Cut takes in that a start gave a request that was sent to it at a time no whole answer, and
// returns whether that counts for the request: the start is known to have ended.
func (w *Watch) Cut(start string, d Digest, sent, now time.Duration) bool {
	_, alone := w.trials.runs[start][d]
	if !w.cuts.Add(start, d, alone, sent, now) {
		return false
	}
	w.addEnd(d, End{
		Start: StartOf(start),
		At:    now,
		Alone: alone,
	}, now)
	return true
}

// Dials says whether a connection is to tell now whether a start that cut requests has
// ended.
func (w *Watch) Dials(start string, now time.Duration) bool {
	if last, ok := w.dialed[start]; ok && now-last < dialGap {
		return false
	}
	w.dialed[start] = now
	return true
}

// Doubtful returns the starts that cut requests and of which it isn't known whether they
// have ended.
func (w *Watch) Doubtful() []string { return w.cuts.Open() }

// Suspects says whether all boxes are told of a request.
func (w *Watch) Suspects(d Digest) bool {
	r := w.ledger.Get(d)
	return r != nil && r.open
}

// Ended takes in that a start has ended, and returns for how many requests that counts. It is
// called once the time that Settles gives is over.
func (w *Watch) Ended(start string, now time.Duration) int {
	list := w.cuts.Ended(start)
	for _, e := range list {
		w.addEnd(e.Digest, e.End, now)
	}
	return len(list)
}

// CutBy returns requests that a start gave no whole answer, as many as a line of the log holds.
func (w *Watch) CutBy(start string) []Digest { return w.cuts.CutBy(start) }

// addEnd counts the end of a start for a request.
func (w *Watch) addEnd(d Digest, e End, now time.Duration) {
	if w.ledger.addEnd(d, e) {
		w.spread.Learned(d, now)
	}
}

// Due returns the datagrams to be sent at now, where the other boxes are those that are
// alive; rnd draws a number from 0 to n-1.
func (w *Watch) Due(others []Box, now time.Duration, rnd func(n int) int) []Packet {
	return w.spread.Due(others, now, rnd)
}

// Hear takes a datagram from an address in. It returns the datagrams that answer it, and
// whether there was news in it. One that can't be read is dropped: what it told is told
// again.
func (w *Watch) Hear(buf []byte, from string, now time.Duration) (answers []Packet, news bool) {
	d, err := Decode(buf, now)
	if err != nil {
		return nil, false
	}
	answers, news = w.spread.Hear(d, from, now)
	if d.Word != noWord {
		answers = append(answers, w.hearWord(d, from, now)...)
	}
	return answers, news
}

// Change is a change of what is held of a request.
type Change struct {
	Digest      Digest
	Quarantined bool
	Cleared     bool          // by a whole answer; else its time is over
	Ends        int           // of replicas
	Left        time.Duration // for which it is quarantined
	Starts      []Start       // that ended
}

// Changes returns what has changed since the last call.
func (w *Watch) Changes(now time.Duration) []Change {
	var out []Change
	for _, r := range w.ledger.Open() {
		left, quarantined := w.Quarantined(r.Digest, now)
		if quarantined == w.quarantined[r.Digest] {
			continue
		}
		w.quarantined[r.Digest] = quarantined
		out = append(out, Change{
			Digest:      r.Digest,
			Quarantined: quarantined,
			Cleared:     !quarantined && len(r.Ends) == 0,
			Ends:        len(r.Ends),
			Left:        left,
			Starts:      r.starts(),
		})
	}
	return out
}

// Forget drops what says nothing any more.
func (w *Watch) Forget(now time.Duration) {
	w.ledger.Forget(now)
	w.cuts.Forget(now)
	w.trials.forget(w.ledger, now)
	maps.DeleteFunc(w.dialed, func(_ string, at time.Duration) bool { return now-at > dialGap })
	maps.DeleteFunc(w.tried, func(d Digest, _ time.Duration) bool { return w.ledger.Get(d) == nil })
	maps.DeleteFunc(w.quarantined, func(d Digest, _ bool) bool { return w.ledger.Get(d) == nil })
}
