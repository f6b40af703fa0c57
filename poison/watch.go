package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	retryDelay  = 2 * time.Second // from the third crash to the retry of a request that was served before
	retryFactor = 4               // by which each further crash multiplies the delay
)

// dialInterval is the minimum time between two probes of a replica that interrupted requests.
const dialInterval = time.Second

// Detector is the state of a box on requests that crash their replicas. It belongs to one actor,
// except for Served.
type Detector struct {
	ledger        *Ledger
	interruptions *Interruptions
	gossip        *Gossip
	served        *Served
	parts         *parts
	trials        trials
	lastDial      map[string]time.Duration
	lastRetry     map[Digest]time.Duration // when this box last retried a quarantined request
	quarantined   map[Digest]bool          // as last returned by Changes
}

// NewDetector returns a Detector without records for a box.
func NewDetector(box string) *Detector {
	ledger := NewLedger()
	return &Detector{
		ledger:        ledger,
		interruptions: NewInterruptions(),
		gossip:        NewGossip(box, ledger),
		served:        NewServed(),
		parts:         newParts(box),
		trials:        newTrials(),
		lastDial:      make(map[string]time.Duration),
		lastRetry:     make(map[Digest]time.Duration),
		quarantined:   make(map[Digest]bool),
	}
}

// Served returns the requests that were served here. It is safe for concurrent use.
func (w *Detector) Served() *Served { return w.served }

// ServedParts returns the parts of prompts that were served here. It is safe for concurrent use.
func (w *Detector) ServedParts() *Served { return w.parts.served }

// PublishedCount returns the number of published records of requests and parts.
func (w *Detector) PublishedCount() int {
	return len(w.ledger.Published()) + len(w.parts.ledger.Published())
}

// PublishedParts returns the published records of parts in no particular order.
func (w *Detector) PublishedParts() []*Record { return w.parts.ledger.Published() }

// PartLeft returns the time that a part is left in quarantine, alone or with those that nothing tells it
// from; 0 for none.
func (w *Detector) PartLeft(part Digest, now time.Duration) time.Duration {
	return w.parts.left(part, now)
}

// PartVerdict returns how to handle a request with these parts. A retry is granted once.
func (w *Detector) PartVerdict(parts []Digest, others func() []Box, now time.Duration) PartVerdict {
	return w.parts.verdict(parts, others, now)
}

// Published returns the published records in no particular order.
func (w *Detector) Published() []*Record { return w.ledger.Published() }

// Quarantined reports whether a request is quarantined, and the time left.
func (w *Detector) Quarantined(d Digest, now time.Duration) (left time.Duration, quarantined bool) {
	v, left := w.ledger.Verdict(d, now)
	return left, v == Quarantined
}

// OnTrial reports whether a request is limited to one run at a time over all boxes.
func (w *Detector) OnTrial(d Digest, now time.Duration) bool {
	v, _ := w.ledger.Verdict(d, now)
	return v == OnTrial
}

// Untried reports whether a request with a record has not been on trial yet. If it was served
// before, it is put on trial: its crashes may be those of several poison requests.
func (w *Detector) Untried(d Digest) bool {
	r := w.ledger.Get(d)
	return r != nil && r.trialBits() == 0
}

// ShouldRetry reports whether this box retries a quarantined request that was served before.
// Only its first owner does, after a delay that grows with each crash.
func (w *Detector) ShouldRetry(d Digest, others []Box, now time.Duration) bool {
	r := w.ledger.Get(d)
	if r == nil || len(r.Crashes) < quarantineThreshold {
		return false
	}
	if rank, _ := newGroup(w.gossip.self, others).ownersOf(d); rank > 0 {
		return false
	}
	wait := retryDelay
	for range len(r.Crashes) - quarantineThreshold {
		wait *= retryFactor
	}
	if now-max(r.latest(), w.lastRetry[d]) < wait {
		return false
	}
	w.lastRetry[d] = now
	return true
}

// Clear records that a replica survived a request, and reports whether to notify other boxes.
func (w *Detector) Clear(d Digest, now time.Duration) bool {
	waited := w.interruptions.Clear(d)
	if waited {
		w.ledger.RecordSurvival(d, now) // others may have recorded crashes of it
	} else if !w.ledger.Clear(d, now) {
		return false
	}
	w.gossip.Updated(d, now)
	return true
}

// HeldParts returns the number of parts that wait until it is known whether their replica has crashed.
func (w *Detector) HeldParts() int { return w.interruptions.heldParts }

// ClearParts records that a replica survived the parts of a prompt, and reports whether to notify other
// boxes.
func (w *Detector) ClearParts(parts []Digest, now time.Duration) bool {
	return w.parts.clear(parts, w.interruptions.ClearParts(parts), now)
}

// Survived records that an incarnation survived a request sent at a time.
func (w *Detector) Survived(incarnation string, sent time.Duration) {
	w.interruptions.Survived(incarnation, sent)
}

// Interrupted records that an incarnation gave no complete response to a request, and reports
// whether that counts as a crash because the incarnation is known to have crashed.
func (w *Detector) Interrupted(incarnation string, d Digest, sent, now time.Duration) bool {
	_, alone := w.trials.runs[incarnation][d]
	if !w.interruptions.Add(incarnation, d, alone, sent, now) {
		return false
	}
	w.addCrash(d, Crash{
		Incarnation: IncarnationOf(incarnation),
		At:          now,
		OnTrial:     alone,
	}, now)
	return true
}

// InterruptedParts is called after Interrupted, with the parts of the prompt of that request. Parts that
// were served here recently are not suspect.
func (w *Detector) InterruptedParts(incarnation string, parts []Digest, sent, now time.Duration) {
	suspect := slices.DeleteFunc(slices.Clone(parts), func(d Digest) bool { return w.parts.served.isRecent(d.key(), now) })
	if !w.interruptions.AddParts(incarnation, suspect, sent) {
		return
	}
	for _, d := range suspect {
		w.parts.addCrash(d, Crash{
			Incarnation: IncarnationOf(incarnation),
			At:          now,
		}, now)
	}
}

// ShouldProbe reports whether to probe an incarnation that interrupted requests now.
func (w *Detector) ShouldProbe(incarnation string, now time.Duration) bool {
	if last, ok := w.lastDial[incarnation]; ok && now-last < dialInterval {
		return false
	}
	w.lastDial[incarnation] = now
	return true
}

// Unconfirmed returns the incarnations that interrupted requests and aren't known to have
// crashed.
func (w *Detector) Unconfirmed() []string { return w.interruptions.Unconfirmed() }

// IsPublished reports whether the record of a request is published.
func (w *Detector) IsPublished(d Digest) bool {
	r := w.ledger.Get(d)
	return r != nil && r.published
}

// Crashed records that an incarnation has crashed, and returns for how many requests that counts.
// It is called after JointCrashDelay.
func (w *Detector) Crashed(incarnation string, now time.Duration) int {
	list := w.interruptions.Crashed(incarnation)
	if list == nil {
		return 0 // it interrupted nothing, or its crash was known
	}
	for _, e := range list {
		w.addCrash(e.Digest, e.Crash, now)
	}
	for _, e := range w.interruptions.SuspectParts(incarnation) {
		w.parts.addCrash(e.Digest, e.Crash, now)
	}
	return len(list)
}

// InterruptedBy returns up to maxLoggedDigests requests that an incarnation interrupted.
func (w *Detector) InterruptedBy(incarnation string) []Digest {
	return w.interruptions.InterruptedBy(incarnation)
}

func (w *Detector) addCrash(d Digest, e Crash, now time.Duration) {
	if w.ledger.addCrash(d, e) {
		w.gossip.Updated(d, now)
	}
}

// Due returns the datagrams to send at now. rnd returns a random number from 0 to n-1.
func (w *Detector) Due(others []Box, now time.Duration, rnd func(n int) int) []Packet {
	box := -1 // the one that both ledgers are compared with
	draw := func(n int) int {
		if box < 0 {
			box = rnd(n)
		}
		return box
	}
	return append(w.gossip.Due(others, now, draw), w.parts.gossip.Due(others, now, draw)...)
}

// Receive processes the records and the trial message of a datagram. It drops malformed ones.
func (w *Detector) Receive(buf []byte, from string, now time.Duration) (replies []Packet, changed bool) {
	d, err := Decode(buf, now)
	if err != nil {
		return nil, false
	}
	if d.Parts {
		return w.parts.receive(d, from, now)
	}
	replies, changed = w.gossip.Receive(d, from, now)
	if d.TrialMessage != noTrialMessage {
		replies = append(replies, w.receiveTrialMessage(d, from, now)...)
	}
	return replies, changed
}

// Change is a change of the quarantine of a request, or of a part of prompts.
type Change struct {
	Digest       Digest
	Part         bool
	Tied         int // other parts with the same crashes; only requests with all of them are rejected
	Quarantined  bool
	Cleared      bool // by a complete response; otherwise the quarantine has expired
	Crashes      int
	Left         time.Duration
	Incarnations []Incarnation // that crashed
}

// Changes returns the changes since the last call.
func (w *Detector) Changes(now time.Duration) []Change {
	var out []Change
	for _, r := range w.ledger.Published() {
		left, quarantined := w.Quarantined(r.Digest, now)
		if quarantined == w.quarantined[r.Digest] {
			continue
		}
		w.quarantined[r.Digest] = quarantined
		out = append(out, Change{
			Digest:       r.Digest,
			Quarantined:  quarantined,
			Cleared:      !quarantined && len(r.Crashes) == 0,
			Crashes:      len(r.Crashes),
			Left:         left,
			Incarnations: r.incarnations(),
		})
	}
	return append(out, w.parts.changes(now)...)
}

// Expire drops expired state.
func (w *Detector) Expire(now time.Duration) {
	w.ledger.Expire(now)
	w.parts.expire(now)
	w.interruptions.Expire(now)
	w.trials.forget(w.ledger, now)
	maps.DeleteFunc(w.lastDial, func(_ string, at time.Duration) bool { return now-at > dialInterval })
	maps.DeleteFunc(w.lastRetry, func(d Digest, _ time.Duration) bool { return w.ledger.Get(d) == nil })
	maps.DeleteFunc(w.quarantined, func(d Digest, _ bool) bool { return w.ledger.Get(d) == nil })
}
