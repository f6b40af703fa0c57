package poison

import (
	"slices"
	"time"
)

// Verdict is what a box does with a request that comes.
type Verdict int

// The verdicts.
const (
	Free        Verdict = iota // it goes to replicas as any other does
	OnTrial                    // one run of it at a time, over all boxes, until it is known whether replicas survive it
	Quarantined                // it goes to no replica
)

const (
	mostTrials = 3                      // runs on trial under which a replica ended, one soon after the other: of an innocent request some may share their replica with the guilty one's
	allTrials  = 5                      // the same, with those that come later
	trialsIn   = 5 * time.Second        // from the first end that is kept to the last of mostTrials; else no more are made, so that of a guilty one no more come late
	settlesIn  = 500 * time.Millisecond // an end is known to all boxes: told twice to the owners, 0.28 s, by these to all, 0.08 s, and two rounds of what is due
)

// Verdict returns what is held of a request, and for how long it is quarantined.
//
// Three ends are held against a request where nothing else explains them. Another request
// with three ends explains those that both have: which of the two was the cause, a run of each
// alone tells. A whole answer clears the innocent one, and then the guilty one has its ends
// for itself; an end of the run alone is held against the request at once.
func (l *Ledger) Verdict(d Digest, now time.Duration) (v Verdict, left time.Duration) {
	r := l.records[d]
	if r == nil {
		return Free, 0
	}
	left, listed := r.Quarantined(now)
	if !listed {
		return Free, 0
	}
	guilt := l.guiltOf(r)
	if guilt == theCause && !l.isUnsettled(r, now) {
		return Quarantined, left
	}
	if guilt == explained && now-l.weighed.since[d] > settlesIn {
		return Free, 0
	}
	if wait := r.untilTrial(now); wait > 0 {
		return Quarantined, min(wait, left)
	}
	return OnTrial, 0
}

// guilt is what the ends of all requests say of one with three and more.
type guilt int

const (
	unsure    guilt = iota // others have the same
	theCause               // nothing else explains its own
	explained              // others explain all of them
)

// weighed is what the ledger's records say of each other; it holds until one changes.
type weighed struct {
	times map[Start]int // of how many requests that none exceeds an end is one
	guilt map[Digest]guilt
	since map[Digest]time.Duration // when the end came by which another request explains those of one
}

// guiltOf returns what the ends of all requests say of one.
func (l *Ledger) guiltOf(r *Record) guilt {
	if l.weighed == nil {
		l.weigh()
	}
	return l.weighed.guilt[r.Digest]
}

// weigh works out what the records say of each other.
func (l *Ledger) weigh() {
	w := &weighed{
		times: make(map[Start]int),
		guilt: make(map[Digest]guilt),
		since: make(map[Digest]time.Duration),
	}
	l.weighed = w
	list := l.listed()
	w.findExceeded(list)
	w.findExplained(list, w.findCauses(list))
}

// findExceeded finds the requests of which another has all ends, and one on trial beside. Their
// own ends explain none of another.
func (w *weighed) findExceeded(list []*Record) {
	var tried []*Record // few are on trial, where thousands may be listed
	for _, r := range list {
		if r.alone() != 0 {
			tried = append(tried, r)
		}
	}
	for _, r := range list {
		if at, ok := exceeded(r, tried); ok {
			w.guilt[r.Digest] = explained
			w.since[r.Digest] = at
			continue
		}
		for _, e := range r.Ends {
			w.times[e.Start]++
		}
	}
}

// findCauses finds the requests that are the cause of their ends, and returns these ends.
func (w *weighed) findCauses(list []*Record) map[Start]bool {
	caused := make(map[Start]bool)
	for _, r := range list {
		if w.guilt[r.Digest] != unsure || !w.isCause(r) {
			continue
		}
		w.guilt[r.Digest] = theCause
		for _, e := range r.Ends {
			caused[e.Start] = true
		}
	}
	return caused
}

// findExplained finds the requests whose ends all have a cause.
func (w *weighed) findExplained(list []*Record, caused map[Start]bool) {
	for _, r := range list {
		isOpen := slices.ContainsFunc(r.Ends, func(e End) bool { return !caused[e.Start] })
		if w.guilt[r.Digest] == unsure && !isOpen {
			w.guilt[r.Digest] = explained
		}
	}
}

// exceeded returns since when another record, of those on trial, exceeds one.
func exceeded(r *Record, tried []*Record) (at time.Duration, ok bool) {
	for _, other := range tried {
		if end, exceeds := other.exceeds(r); exceeds && (!ok || end.At < at) {
			at = end.At
			ok = true
		}
	}
	return at, ok
}

// listed returns the records with three ends and more.
func (l *Ledger) listed() []*Record {
	var out []*Record
	for _, r := range l.records {
		if len(r.Ends) >= endsToQuarantine {
			out = append(out, r)
		}
	}
	return out
}

// isCause says whether the ends of a request speak against it alone.
func (w *weighed) isCause(r *Record) bool {
	own := 0
	for _, e := range r.Ends {
		if w.times[e.Start] > 1 {
			continue
		}
		if e.Alone {
			return true
		}
		own++
	}
	return own >= endsToQuarantine
}

// untilTrial returns how long the next run of a request on trial must wait: after mostTrials
// the one that always shared its replica is no more likely to be guilty than the others.
func (r *Record) untilTrial(now time.Duration) time.Duration {
	var runs []End
	for _, e := range r.Ends {
		if e.Alone {
			runs = append(runs, e)
		}
	}
	n := len(runs)
	switch {
	case n < mostTrials:
		return 0
	case n >= allTrials, runs[mostTrials-1].At-r.Ends[0].At > trialsIn:
		return never.Abs()
	}
	wait := tryAfter
	for range n - mostTrials {
		wait *= tryLater
	}
	return wait - (now - r.last())
}

// isUnsettled says whether the third end of a request came just now, and another suspect has one
// of its ends: that one may turn out to have the others too, or several guilty ones to explain
// them, or a box may be about to tell that it has served the request.
func (l *Ledger) isUnsettled(r *Record, now time.Duration) bool {
	if now-r.last() > settlesIn || len(r.Ends) != endsToQuarantine {
		return false
	}
	for _, other := range l.records {
		if other != r && len(other.Ends) >= endsToTell && other.shares(r) > 0 {
			return true
		}
	}
	return false
}
