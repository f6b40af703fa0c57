package poison

import (
	"slices"
	"time"
)

const (
	trialTimeout      = 3 * time.Second        // the 2 s that a replica must survive the run, plus the delay of gossip
	trialPollInterval = 100 * time.Millisecond // between two requests of a box for a run of one request
	ownerTimeout      = 250 * time.Millisecond // above the round trip between regions; then the next owner is asked
	grantTTL          = time.Second            // after which the waiting request may have left
	waiterTimeout     = 80 * time.Millisecond  // since a waiting request last asked, after which none waits; they ask every 40 ms
)

type trialMessage byte

const (
	noTrialMessage trialMessage = iota
	trialRequest                // requests permission to run
	trialGrant                  // permits one run
	trialDenial                 // refuses a run for now
	trialReturn                 // returns a grant that no request waits for
)

// trialQuery is the state of this box's queries for a run of one request on trial.
type trialQuery struct {
	lastSent    time.Duration
	lastAsked   time.Duration // by a waiting request of this box
	ownerCursor int           // position among the owners
	replied     bool
	grantedAt   time.Duration // time of an unused grant, or never
}

// trials holds the runs on trial of a box, and those that it grants as an owner. An owner grants
// one run of a request at a time without consensus: where boxes differ on who is alive, an
// additional run costs at most one crash.
type trials struct {
	lastGrant map[Digest]grant
	queries   map[Digest]*trialQuery
	runs      map[string]map[Digest]struct{} // under way here by incarnation
}

// grant is the permission of a run to a box.
type grant struct {
	at time.Duration
	to string // address; empty for this box
}

func newTrials() trials {
	return trials{
		lastGrant: make(map[Digest]grant),
		queries:   make(map[Digest]*trialQuery),
		runs:      make(map[string]map[Digest]struct{}),
	}
}

// RequestTrial reports whether a request on trial may run now, and returns the message to its
// owner if one is due. It is called repeatedly while the request waits.
func (w *Detector) RequestTrial(d Digest, others func() []Box, now time.Duration) (may bool, messages []Packet) {
	q := w.trials.queries[d]
	if q == nil {
		q = &trialQuery{
			lastSent:  never,
			grantedAt: never,
		}
		w.trials.queries[d] = q
	}
	q.lastAsked = now
	if now-q.grantedAt <= grantTTL {
		q.grantedAt = never
		return true, nil
	}
	if !q.isDue(now) || w.isGranted(d, now) {
		return false, nil
	}
	if !q.replied && q.lastSent != never {
		q.ownerCursor++ // the owner may be gone
	}
	q.lastSent = now
	rank, owners := newGroup(w.gossip.self, others()).ownersOf(d)
	if rank == 0 {
		q.replied = true
		return w.grantTrial(d, "", now), nil
	}
	q.replied = false
	return false, w.queryOwner(d, owners[q.ownerCursor%len(owners)], now)
}

func (q *trialQuery) isDue(now time.Duration) bool {
	if q.replied {
		return now-q.lastSent >= trialPollInterval
	}
	return now-q.lastSent >= ownerTimeout
}

// queryOwner requests a run from an owner, and includes the record of this box.
func (w *Detector) queryOwner(d Digest, owner Box, now time.Duration) []Packet {
	out := Datagram{
		TrialMessage: trialRequest,
		Trial:        d,
	}
	if r := w.ledger.Get(d); r != nil {
		out.Records = append(out.Records, *r)
	}
	return []Packet{{
		Addr: owner.Addr,
		Buf:  out.Encode(now),
	}}
}

// grantTrial reports whether a request of a box may run on trial now, and records the grant. A
// further run must wait for the last one, unless the record has changed since.
func (w *Detector) grantTrial(d Digest, to string, now time.Duration) bool {
	v, _ := w.ledger.Verdict(d, now)
	if v != OnTrial && (v != Quarantined || !w.Untried(d)) { // an untried request that the sender has served
		return false
	}
	if w.ledger.isUnsettled(w.ledger.Get(d), now) || w.isGranted(d, now) {
		return false
	}
	w.trials.lastGrant[d] = grant{
		at: now,
		to: to,
	}
	return true
}

// isGranted reports whether a run that this box has granted may be under way.
func (w *Detector) isGranted(d Digest, now time.Duration) bool {
	g, ok := w.trials.lastGrant[d]
	r := w.ledger.Get(d)
	return ok && now-g.at < trialTimeout && (r == nil || r.latest() <= g.at)
}

// receiveTrialMessage processes a trial message, and returns the reply to a request. The reply
// includes the record of this box, as the sender may not know that the trial is over.
func (w *Detector) receiveTrialMessage(in Datagram, from string, now time.Duration) []Packet {
	switch in.TrialMessage {
	case trialRequest:
		return w.replyToTrialRequest(in.Trial, from, now)
	case trialReturn:
		if w.trials.lastGrant[in.Trial].to == from {
			delete(w.trials.lastGrant, in.Trial)
		}
		return nil
	}
	q := w.trials.queries[in.Trial]
	if q != nil {
		q.replied = true
	}
	if in.TrialMessage != trialGrant {
		return nil
	}
	if q == nil || now-q.lastAsked > waiterTimeout {
		return returnGrant(in.Trial, from, now)
	}
	q.grantedAt = now
	return nil
}

// returnGrant returns a grant to its owner, which would refuse all other boxes a run meanwhile.
func returnGrant(d Digest, owner string, now time.Duration) []Packet {
	out := Datagram{
		TrialMessage: trialReturn,
		Trial:        d,
	}
	return []Packet{{
		Addr: owner,
		Buf:  out.Encode(now),
	}}
}

func (w *Detector) replyToTrialRequest(d Digest, to string, now time.Duration) []Packet {
	out := Datagram{
		TrialMessage: trialDenial,
		Trial:        d,
	}
	if w.grantTrial(d, to, now) {
		out.TrialMessage = trialGrant
	}
	if r := w.ledger.Get(d); r != nil {
		out.Records = append(out.Records, *r)
	}
	return []Packet{{
		Addr: to,
		Buf:  out.Encode(now),
	}}
}

// BeginTrial records that a request on trial is sent to an incarnation.
func (w *Detector) BeginTrial(incarnation string, d Digest) {
	if w.trials.runs[incarnation] == nil {
		w.trials.runs[incarnation] = make(map[Digest]struct{})
	}
	w.trials.runs[incarnation][d] = struct{}{}
}

// EndTrial records that the run of a request on trial at an incarnation is over.
func (w *Detector) EndTrial(incarnation string, d Digest) {
	delete(w.trials.runs[incarnation], d)
	if len(w.trials.runs[incarnation]) == 0 {
		delete(w.trials.runs, incarnation)
	}
}

// IncarnationsOnTrial returns the incarnations at which more than limit other requests run on
// trial that have at least as many crashes as d. Spreading the runs separates requests with the
// same crashes.
func (w *Detector) IncarnationsOnTrial(d Digest, limit int) []string {
	var out []string
	for incarnation, list := range w.trials.runs {
		if w.countPeers(d, list) > limit {
			out = append(out, incarnation)
		}
	}
	return out
}

// TrialTarget returns the incarnation of a list at which a request runs on trial; empty if another
// one with as many crashes runs there. All boxes choose by the rank of the request among those
// whose crashes others share, so that trials at different boxes rarely meet.
func (w *Detector) TrialTarget(d Digest, incarnations []string) string {
	if len(incarnations) == 0 {
		return ""
	}
	sorted := slices.Sorted(slices.Values(incarnations))
	target := sorted[w.trialRank(d)%len(sorted)]
	if w.countPeers(d, w.trials.runs[target]) > 0 {
		return ""
	}
	return target
}

// trialRank returns how many requests with as many crashes, some of which others share, have a
// lower digest.
func (w *Detector) trialRank(d Digest) (rank int) {
	least := max(w.crashCount(d), quarantineThreshold)
	for _, r := range w.ledger.records {
		if len(r.Crashes) >= least && slices.Compare(r.Digest[:], d[:]) < 0 && w.ledger.attributionOf(r) == ambiguous {
			rank++
		}
	}
	return rank
}

// countPeers returns how many other requests of a list have at least as many crashes as d.
func (w *Detector) countPeers(d Digest, list map[Digest]struct{}) (n int) {
	for other := range list {
		if other != d && w.crashCount(other) >= w.crashCount(d) {
			n++
		}
	}
	return n
}

func (w *Detector) crashCount(d Digest) int {
	if r := w.ledger.Get(d); r != nil {
		return len(r.Crashes)
	}
	return 0
}

// forget drops expired grants, and queries of requests without a trial.
func (t *trials) forget(l *Ledger, now time.Duration) {
	for d, g := range t.lastGrant {
		if now-g.at > trialTimeout {
			delete(t.lastGrant, d)
		}
	}
	for d := range t.queries {
		if v, _ := l.Verdict(d, now); v == Unrestricted {
			delete(t.queries, d)
		}
	}
}
