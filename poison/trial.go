package poison

import "time"

const (
	trialFor     = 3 * time.Second        // for which a run on trial keeps others back: 2 s that a replica must survive it, and the ways of the news
	askEvery     = 100 * time.Millisecond // between two questions of a box for a run of one request
	ownerAnswers = 250 * time.Millisecond // the way between regions and back, and some; then the next owner is asked
	grantFor     = time.Second            // for which a box may use what it was granted: its request may have left meanwhile
)

// word is what a datagram says of a run on trial.
type word byte

// The words.
const (
	noWord  word = iota
	askWord      // the sender has the request, and asks to run it
	grant        // the other may run it once
	deny         // it may not now
)

// question is what a box has asked for of a request.
type question struct {
	at      time.Duration // when it last asked
	owner   int           // the rank among the owners that it asked
	heard   bool          // the owner has answered
	granted time.Duration // when it said that the request may run; never where it did not
}

// trials are the runs on trial of a box, and those that it allows others as an owner. One
// owner allows one run of a request at a time; it needs no agreement, for one more run, where
// boxes differ on who is alive, costs one end more at most.
type trials struct {
	allowed   map[Digest]time.Duration // when this box last allowed a run
	questions map[Digest]*question
	runs      map[string]map[Digest]struct{} // that are under way here, by start
}

func newTrials() trials {
	return trials{
		allowed:   make(map[Digest]time.Duration),
		questions: make(map[Digest]*question),
		runs:      make(map[string]map[Digest]struct{}),
	}
}

// Try says whether a request on trial may run now, and returns the question for its owner
// where that must be asked; others gives the other boxes that are alive. The caller asks again
// while its request waits.
func (w *Watch) Try(d Digest, others func() []Box, now time.Duration) (may bool, asks []Packet) {
	q := w.trials.questions[d]
	if q == nil {
		q = &question{
			at:      never,
			granted: never,
		}
		w.trials.questions[d] = q
	}
	if now-q.granted <= grantFor {
		q.granted = never
		return true, nil
	}
	if !q.isDue(now) {
		return false, nil
	}
	if !q.heard && q.at != never {
		q.owner++ // it may be gone
	}
	q.at = now
	rank, owners := newGroup(w.spread.self, others()).ownersOf(d)
	if rank == 0 {
		q.heard = true
		return w.allow(d, now), nil
	}
	q.heard = false
	return false, w.ask(d, owners[q.owner%len(owners)], now)
}

// isDue says whether the owner is to be asked again.
func (q *question) isDue(now time.Duration) bool {
	if q.heard {
		return now-q.at >= askEvery
	}
	return now-q.at >= ownerAnswers
}

// ask returns the question for an owner, with what this box knows of the request.
func (w *Watch) ask(d Digest, owner Box, now time.Duration) []Packet {
	out := Datagram{
		Word:  askWord,
		Trial: d,
	}
	if r := w.ledger.Get(d); r != nil {
		out.Records = append(out.Records, *r)
	}
	return []Packet{{
		Addr: owner.Addr,
		Buf:  out.Encode(now),
	}}
}

// allow says whether a request may run on trial now. Another run of it is waited for, unless
// news of the request have come since.
func (w *Watch) allow(d Digest, now time.Duration) bool {
	v, _ := w.ledger.Verdict(d, now)
	if v != OnTrial && (v != Quarantined || !w.Untried(d)) { // the other box has served the latter
		return false
	}
	r := w.ledger.Get(d)
	if w.ledger.isUnsettled(r, now) {
		return false
	}
	if last, ok := w.trials.allowed[d]; ok && now-last < trialFor && r.last() <= last {
		return false
	}
	w.trials.allowed[d] = now
	return true
}

// hearWord takes in what another box says of a run on trial, and returns the answer to a
// question: with what this box knows, for the other may not have heard that the trial is over.
func (w *Watch) hearWord(in Datagram, from string, now time.Duration) []Packet {
	q := w.trials.questions[in.Trial]
	switch {
	case in.Word == askWord:
		return w.answerTrial(in.Trial, from, now)
	case q == nil:
		return nil
	case in.Word == grant:
		q.granted = now
	}
	q.heard = true
	return nil
}

// answerTrial answers the question for a run on trial.
func (w *Watch) answerTrial(d Digest, to string, now time.Duration) []Packet {
	out := Datagram{
		Word:  deny,
		Trial: d,
	}
	if w.allow(d, now) {
		out.Word = grant
	}
	if r := w.ledger.Get(d); r != nil {
		out.Records = append(out.Records, *r)
	}
	return []Packet{{
		Addr: to,
		Buf:  out.Encode(now),
	}}
}

// BeginTrial notes that a request on trial goes to a start.
func (w *Watch) BeginTrial(start string, d Digest) {
	if w.trials.runs[start] == nil {
		w.trials.runs[start] = make(map[Digest]struct{})
	}
	w.trials.runs[start][d] = struct{}{}
}

// EndTrial notes that the run of a request on trial at a start is over.
func (w *Watch) EndTrial(start string, d Digest) {
	delete(w.trials.runs[start], d)
	if len(w.trials.runs[start]) == 0 {
		delete(w.trials.runs, start)
	}
}

// Trials returns the starts at which more than so many requests on trial run here that have as
// many ends as another. That one goes where the fewest are: of 100 with the same ends a tenth
// share the next one, where ten replicas are left, and one or two the one after.
func (w *Watch) Trials(d Digest, most int) []string {
	var out []string
	for start, list := range w.trials.runs {
		if w.peers(d, list) > most {
			out = append(out, start)
		}
	}
	return out
}

// peers returns how many of some requests have as many ends as another, and more.
func (w *Watch) peers(d Digest, list map[Digest]struct{}) (n int) {
	for other := range list {
		if other != d && w.endsOf(other) >= w.endsOf(d) {
			n++
		}
	}
	return n
}

// endsOf returns how many ends of a request are known.
func (w *Watch) endsOf(d Digest) int {
	if r := w.ledger.Get(d); r != nil {
		return len(r.Ends)
	}
	return 0
}

// forget drops what is over.
func (t *trials) forget(l *Ledger, now time.Duration) {
	for d, at := range t.allowed {
		if now-at > trialFor {
			delete(t.allowed, d)
		}
	}
	for d := range t.questions {
		if v, _ := l.Verdict(d, now); v == Free {
			delete(t.questions, d)
		}
	}
}
