package poison

import (
	"maps"
	"time"
)

const (
	retryDelay  = 2 * time.Second // from the third crash to the retry of a request that was served before
	retryFactor = 4               // by which each further crash multiplies the delay
)

// dialInterval is the minimum time between two probes of a replica that interrupted requests.
const dialInterval = time.Second

// Watch is the state of a box on requests that crash their replicas. It belongs to one actor,
// except for Served.
type Watch struct {
	ledger      *Ledger
	cuts        *Cuts
	spread      *Spread
	served      *Served
	trials      trials
	lastDial    map[string]time.Duration
	lastRetry   map[Digest]time.Duration // when this box last retried a quarantined request
	quarantined map[Digest]bool          // as last returned by Changes
}

// NewWatch returns an empty Watch for a box.
func NewWatch(box string) *Watch {
	ledger := NewLedger()
	return &Watch{
		ledger:      ledger,
		cuts:        NewCuts(),
		spread:      NewSpread(box, ledger),
		served:      NewServed(),
		trials:      newTrials(),
		lastDial:    make(map[string]time.Duration),
		lastRetry:   make(map[Digest]time.Duration),
		quarantined: make(map[Digest]bool),
	}
}

// Served returns the requests that were served here. It is safe for concurrent use.
func (w *Watch) Served() *Served { return w.served }

// Known returns the number of published records.
func (w *Watch) Known() int { return len(w.ledger.Open()) }

// Records returns the published records in no particular order.
func (w *Watch) Records() []*Record { return w.ledger.Open() }

// Quarantined reports whether a request is quarantined, and the time left.
func (w *Watch) Quarantined(d Digest, now time.Duration) (left time.Duration, quarantined bool) {
	v, left := w.ledger.Verdict(d, now)
	return left, v == Quarantined
}

// OnTrial reports whether a request is limited to one run at a time over all boxes.
func (w *Watch) OnTrial(d Digest, now time.Duration) bool {
	v, _ := w.ledger.Verdict(d, now)
	return v == OnTrial
}

// Untried reports whether a request with a record has not been on trial yet. If it was served
// before, it is put on trial: its crashes may be those of several poison requests.
func (w *Watch) Untried(d Digest) bool {
	r := w.ledger.Get(d)
	return r != nil && r.trialBits() == 0
}

// Tries reports whether this box retries a quarantined request that was served before. Only its
// first owner does, after a delay that grows with each crash.
func (w *Watch) Tries(d Digest, others []Box, now time.Duration) bool {
	r := w.ledger.Get(d)
	if r == nil || len(r.Ends) < quarantineThreshold {
		return false
	}
	if rank, _ := newGroup(w.spread.self, others).ownersOf(d); rank > 0 {
		return false
	}
	wait := retryDelay
	for range len(r.Ends) - quarantineThreshold {
		wait *= retryFactor
	}
	if now-max(r.latest(), w.lastRetry[d]) < wait {
		return false
	}
	w.lastRetry[d] = now
	return true
}

// Clear records that a replica survived a request, and reports whether to notify other boxes.
func (w *Watch) Clear(d Digest, now time.Duration) bool {
	waited := w.cuts.Clear(d)
	if waited {
		w.ledger.Answer(d, now) // others may have recorded crashes of it
	} else if !w.ledger.Clear(d, now) {
		return false
	}
	w.spread.Learned(d, now)
	return true
}

// Lives records that an incarnation survived a request sent at a time.
func (w *Watch) Lives(incarnation string, sent time.Duration) { w.cuts.Lives(incarnation, sent) }

// Cut records that an incarnation gave no complete response to a request, and reports whether
// that counts as a crash because the incarnation is known to have crashed.
func (w *Watch) Cut(incarnation string, d Digest, sent, now time.Duration) bool {
	_, alone := w.trials.runs[incarnation][d]
	if !w.cuts.Add(incarnation, d, alone, sent, now) {
		return false
	}
	w.addCrash(d, End{
		Start: StartOf(incarnation),
		At:    now,
		Alone: alone,
	}, now)
	return true
}

// Dials reports whether to probe an incarnation that interrupted requests now.
func (w *Watch) Dials(incarnation string, now time.Duration) bool {
	if last, ok := w.lastDial[incarnation]; ok && now-last < dialInterval {
		return false
	}
	w.lastDial[incarnation] = now
	return true
}

// Doubtful returns the incarnations that interrupted requests and aren't known to have crashed.
func (w *Watch) Doubtful() []string { return w.cuts.Open() }

// Suspects reports whether the record of a request is published.
func (w *Watch) Suspects(d Digest) bool {
	r := w.ledger.Get(d)
	return r != nil && r.published
}

// Ended records that an incarnation has crashed, and returns for how many requests that counts.
// It is called after the delay Settles.
func (w *Watch) Ended(incarnation string, now time.Duration) int {
	list := w.cuts.Ended(incarnation)
	for _, e := range list {
		w.addCrash(e.Digest, e.End, now)
	}
	return len(list)
}

// CutBy returns up to maxLoggedDigests requests that an incarnation interrupted.
func (w *Watch) CutBy(incarnation string) []Digest { return w.cuts.CutBy(incarnation) }

func (w *Watch) addCrash(d Digest, e End, now time.Duration) {
	if w.ledger.addCrash(d, e) {
		w.spread.Learned(d, now)
	}
}

// Due returns the datagrams to send at now. rnd returns a random number from 0 to n-1.
func (w *Watch) Due(others []Box, now time.Duration, rnd func(n int) int) []Packet {
	return w.spread.Due(others, now, rnd)
}

// Hear processes the records and the trial message of a datagram. It drops malformed ones.
func (w *Watch) Hear(buf []byte, from string, now time.Duration) (replies []Packet, changed bool) {
	d, err := Decode(buf, now)
	if err != nil {
		return nil, false
	}
	replies, changed = w.spread.Hear(d, from, now)
	if d.Word != noTrialMessage {
		replies = append(replies, w.receiveTrialMessage(d, from, now)...)
	}
	return replies, changed
}

// Change is a change of the quarantine of a request.
type Change struct {
	Digest      Digest
	Quarantined bool
	Cleared     bool // by a complete response; otherwise the quarantine has expired
	Ends        int
	Left        time.Duration
	Starts      []Start // that crashed
}

// Changes returns the changes since the last call.
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
			Starts:      r.incarnations(),
		})
	}
	return out
}

// Forget drops expired state.
func (w *Watch) Forget(now time.Duration) {
	w.ledger.Forget(now)
	w.cuts.Forget(now)
	w.trials.forget(w.ledger, now)
	maps.DeleteFunc(w.lastDial, func(_ string, at time.Duration) bool { return now-at > dialInterval })
	maps.DeleteFunc(w.lastRetry, func(d Digest, _ time.Duration) bool { return w.ledger.Get(d) == nil })
	maps.DeleteFunc(w.quarantined, func(d Digest, _ bool) bool { return w.ledger.Get(d) == nil })
}
