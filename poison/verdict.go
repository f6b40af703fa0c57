package poison

import (
	"slices"
	"time"
)

// Verdict is how a box handles an incoming request.
type Verdict int

// The verdicts.
const (
	Unrestricted Verdict = iota // routed as any other
	OnTrial                     // one run at a time over all boxes, until it is known whether replicas survive it
	Quarantined                 // rejected
)

const (
	maxEarlyTrials   = 3                      // crashed runs on trial without a delay; an innocent request may share a replica in some of them
	maxTrials        = 5                      // crashed runs on trial in all
	earlyTrialWindow = 5 * time.Second        // from the first crash to the last early trial; if it took longer, no further run follows
	settleWindow     = 500 * time.Millisecond // in which all boxes receive a crash: two sends to the owners, one to all, and two rounds of gossip
)

// Verdict returns how to handle a request, and the time left in quarantine.
//
// Three crashes quarantine a request if no other request explains them. Two requests that have
// three crashes in common each run alone on trial: a complete response clears the innocent
// one, which leaves the crashes to the poison request; a crash of a run on trial counts against
// its request at once.
func (l *Ledger) Verdict(d Digest, now time.Duration) (v Verdict, left time.Duration) {
	r := l.records[d]
	if r == nil {
		return Unrestricted, 0
	}
	left, quarantined := r.Quarantined(now)
	if !quarantined {
		return Unrestricted, 0
	}
	guilt := l.attributionOf(r)
	if guilt == cause && !l.isUnsettled(r, now) {
		return Quarantined, left
	}
	if guilt == explained && now-l.assessment.explainedSince[d] > settleWindow {
		return Unrestricted, 0
	}
	if wait := r.trialDelay(now); wait > 0 {
		return Quarantined, min(wait, left)
	}
	return OnTrial, 0
}

// attribution is whether a request with three or more crashes is their cause.
type attribution int

const (
	ambiguous attribution = iota // other requests have the same crashes
	cause                        // no other request explains its crashes
	explained                    // other requests explain all its crashes
)

// assessment is the attribution of crashes for all records; it is valid until one changes.
type assessment struct {
	suspectCount   map[Incarnation]int // how many requests a crash counts for, without those that another exceeds
	attribution    map[Digest]attribution
	explainedSince map[Digest]time.Duration // time of the crash that explains those of a request
}

func (l *Ledger) attributionOf(r *Record) attribution {
	if l.assessment == nil {
		l.assess()
	}
	return l.assessment.attribution[r.Digest]
}

func (l *Ledger) assess() {
	w := &assessment{
		suspectCount:   make(map[Incarnation]int),
		attribution:    make(map[Digest]attribution),
		explainedSince: make(map[Digest]time.Duration),
	}
	l.assessment = w
	list := l.overThreshold()
	w.findExceeded(list)
	w.findExplained(list, w.findCauses(list))
}

// findExceeded finds the requests whose crashes another has, with one more on trial. Their own
// crashes don't explain those of others.
func (w *assessment) findExceeded(list []*Record) {
	var tried []*Record // few requests are on trial, while the list may hold thousands
	for _, r := range list {
		if r.trialBits() != 0 {
			tried = append(tried, r)
		}
	}
	for _, r := range list {
		if at, ok := exceededSince(r, tried); ok {
			w.attribution[r.Digest] = explained
			w.explainedSince[r.Digest] = at
			continue
		}
		for _, e := range r.Crashes {
			w.suspectCount[e.Incarnation]++
		}
	}
}

// findCauses marks the requests that are the cause of their crashes, and returns these crashes.
func (w *assessment) findCauses(list []*Record) map[Incarnation]bool {
	caused := make(map[Incarnation]bool)
	for _, r := range list {
		if w.attribution[r.Digest] != ambiguous || !w.isCause(r) {
			continue
		}
		w.attribution[r.Digest] = cause
		for _, e := range r.Crashes {
			caused[e.Incarnation] = true
		}
	}
	return caused
}

func (w *assessment) findExplained(list []*Record, caused map[Incarnation]bool) {
	for _, r := range list {
		isOpen := slices.ContainsFunc(r.Crashes, func(e Crash) bool { return !caused[e.Incarnation] })
		if w.attribution[r.Digest] == ambiguous && !isOpen {
			w.attribution[r.Digest] = explained
		}
	}
}

// exceededSince returns the earliest time at which a tried record exceeds r.
func exceededSince(r *Record, tried []*Record) (at time.Duration, ok bool) {
	for _, other := range tried {
		if end, exceeds := other.exceeds(r); exceeds && (!ok || end.At < at) {
			at = end.At
			ok = true
		}
	}
	return at, ok
}

func (l *Ledger) overThreshold() []*Record {
	var out []*Record
	for _, r := range l.records {
		if len(r.Crashes) >= quarantineThreshold {
			out = append(out, r)
		}
	}
	return out
}

// isCause reports whether enough crashes are no other request's, or one was on trial.
func (w *assessment) isCause(r *Record) bool {
	own := 0
	for _, e := range r.Crashes {
		if w.suspectCount[e.Incarnation] > 1 {
			continue
		}
		if e.OnTrial {
			return true
		}
		own++
	}
	return own >= quarantineThreshold
}

// trialDelay returns how long the next run of a request on trial must wait. After maxEarlyTrials
// a request that always shared its replica is no more likely to be the cause than the others.
func (r *Record) trialDelay(now time.Duration) time.Duration {
	var runs []Crash
	for _, e := range r.Crashes {
		if e.OnTrial {
			runs = append(runs, e)
		}
	}
	n := len(runs)
	switch {
	case n < maxEarlyTrials:
		return 0
	case n >= maxTrials, runs[maxEarlyTrials-1].At-r.Crashes[0].At > earlyTrialWindow:
		return never.Abs()
	}
	wait := retryDelay
	for range n - maxEarlyTrials {
		wait *= retryFactor
	}
	return wait - (now - r.latest())
}

// isUnsettled reports whether the third crash of a request is within the settle window and
// another suspect has one of its crashes. Pending gossip may then still explain the crashes, or
// report that a box has served the request.
func (l *Ledger) isUnsettled(r *Record, now time.Duration) bool {
	if now-r.latest() > settleWindow || len(r.Crashes) != quarantineThreshold {
		return false
	}
	for _, other := range l.records {
		if other != r && len(other.Crashes) >= publishThreshold && other.countShared(r) > 0 {
			return true
		}
	}
	return false
}
