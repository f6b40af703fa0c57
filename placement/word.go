package placement

import (
	"cmp"
	"slices"
	"time"
)

// Figures of a replica's own word of its load. Where many boxes stand before the
// replicas of a region, telling each other what each has there takes more bytes than
// they may use, so the replicas' words are what they go by.
const (
	reportTTL       = 4 * time.Second // a word counts so long: that of a busy engine is asked for twice a second, and passed on among boxes within a second
	maxSentSince    = 64              // own requests to a replica remembered since its word
	unresponsiveTTL = 2 * time.Second // an engine that didn't answer another box is left out so long, unless it is heard here
	typicalWeight   = 0.02            // weight of the newest request in the usual one's figures
)

// Word is what a replica said of its load.
type Word struct {
	Requests int  // that it has, of all boxes
	Waiting  int  // of them, those that have not begun to run
	Tokens   int  // of memory that they hold; 0 where it doesn't say
	Silent   bool // it didn't answer, and the rest says nothing
	At       time.Duration
}

// typicalRequest is what a request to a service usually holds.
type typicalRequest struct {
	tokens float64 // of memory
	unread float64 // prompt tokens to be read
}

// add takes a request in.
func (u *typicalRequest) add(l Load) {
	if u.tokens == 0 {
		u.tokens, u.unread = float64(l.Tokens), float64(l.Unread)
		return
	}
	u.tokens += typicalWeight * (float64(l.Tokens) - u.tokens)
	u.unread += typicalWeight * (float64(l.Unread) - u.unread)
}

// ByWords sets whether loads are known by the replicas' own words, as among many
// boxes, and how many boxes of the region callers are told to use, this one included:
// each is supposed to send as much as the others.
func (v *View) ByWords(on bool, boxes int) {
	v.byReports = on
	v.activeBoxes = max(boxes, 1)
}

// Says takes in a replica's word. It returns false for one that is no later than that
// known, or of a replica that isn't.
func (v *View) Says(replica string, w Word) bool {
	r, ok := v.replicas[replica]
	if !ok || w.At <= r.report.At {
		return false
	}
	if w.Silent != r.report.Silent {
		v.pendingChanges = append(v.pendingChanges, responseChange(replica, w.Silent))
	}
	r.report = w
	r.sentSince = slices.DeleteFunc(r.sentSince, func(b sentRequest) bool { return b.at <= w.At })
	return true
}

// responseChange returns the belief that an engine answers another box no more, or again.
func responseChange(replica string, silent bool) Belief {
	out := Belief{
		About:  replica,
		Reason: "answers a box again",
	}
	if silent {
		out.Reason = "doesn't answer a box"
	}
	return out
}

// WordAge returns how old a replica's word is; below 0 where it said nothing of late.
func (r *Replica) WordAge(now time.Duration) time.Duration {
	if !r.hasReport(now) {
		return -1
	}
	return now - r.report.At
}

// hasReport says whether it said something of late.
func (r *Replica) hasReport(now time.Duration) bool {
	return r.report.At > 0 && now-r.report.At < reportTTL
}

// Changed returns what is believed of replicas since it was last asked, by their words.
func (v *View) Changed() []Belief {
	out := v.pendingChanges
	v.pendingChanges = nil
	return out
}

// isUnresponsive says whether a replica didn't answer another box of late, and nothing was heard
// from it here since.
func (r *Replica) isUnresponsive(now time.Duration) bool {
	return r.report.Silent && now-r.report.At < unresponsiveTTL && r.lastSeen <= r.report.At
}

// Words returns the words of busy engines that still count, the latest first.
func (v *View) Words(now time.Duration) []ReplicaWord {
	var out []ReplicaWord
	for _, r := range v.byName {
		if r.listed && r.busy(now) {
			out = append(out, ReplicaWord{
				Replica: r.incarnation,
				Word:    r.report,
			})
		}
	}
	slices.SortStableFunc(out, func(a, b ReplicaWord) int { return int(b.Word.At - a.Word.At) })
	return out
}

// ReplicaWord is the word of a replica.
type ReplicaWord struct {
	Replica string
	Word
}

// sentRequest is an own request that a replica's word doesn't have yet.
type sentRequest struct {
	at   time.Duration
	load Load
}

// recordSent notes an own request.
func (r *Replica) recordSent(l Load, now time.Duration) {
	if len(r.sentSince) >= maxSentSince {
		r.sentSince = r.sentSince[1:]
	}
	r.sentSince = append(r.sentSince, sentRequest{
		at:   now,
		load: l,
	})
}

// reportedLoad returns the work at a replica by its last word and what this box sent since;
// false where it said nothing of late.
func (r *Replica) reportedLoad(u typicalRequest, now time.Duration) (l Load, ok bool) {
	if !r.hasReport(now) || r.report.Silent {
		return Load{}, false
	}
	l = Load{
		Requests: r.report.Requests,
		Tokens:   cmp.Or(r.report.Tokens, int(float64(r.report.Requests)*u.tokens)),
		Unread:   int(float64(r.report.Waiting) * u.unread),
	}
	for _, b := range r.sentSince {
		l = l.plus(b.load)
	}
	own := r.currentOwnLoad(now)
	l.Requests = max(l.Requests, own.Requests)
	l.Tokens = max(l.Tokens, own.Tokens)
	l.Unread = max(l.Unread, own.Unread)
	l.Reads = own.Reads
	return l, true
}

// Load returns all work at a replica, as believed at now: by its own word where many
// boxes go by these, and no less than the mean of its service's then. An engine with less
// looked best to all boxes until the next words came, and got requests of all of them.
func (v *View) Load(r *Replica, now time.Duration) Load {
	if !v.byReports {
		return r.Load(now)
	}
	l, ok := r.reportedLoad(v.typical[r.info.Service], now)
	if !ok {
		l = r.Load(now)
	}
	m := v.meanLoad(r.info.Service, now)
	l.Requests = max(l.Requests, m.Requests)
	l.Tokens = max(l.Tokens, m.Tokens)
	l.Unread = max(l.Unread, m.Unread)
	return l
}

// meanLoad is the meanLoad of the words of a service's replicas, at a time.
type meanLoad struct {
	Load
	at time.Duration
}

const meanLoadTTL = 50 * time.Millisecond // a mean of words counts so long

// meanLoad returns the meanLoad load of a service's replicas by their words. One that said nothing
// of late isn't busy.
func (v *View) meanLoad(service string, now time.Duration) Load {
	if m, ok := v.meanLoads[service]; ok && now-m.at < meanLoadTTL && now >= m.at {
		return m.Load
	}
	var sum Load
	n := 0
	for _, r := range v.byName {
		if r.info.Service != service || !r.listed {
			continue
		}
		if r.isUnresponsive(now) {
			continue
		}
		n++
		if l, ok := r.reportedLoad(v.typical[service], now); ok {
			sum = sum.plus(l)
		}
	}
	out := meanLoad{
		at: now,
	}
	if n > 0 {
		out.Load = Load{
			Requests: sum.Requests / n,
			Tokens:   sum.Tokens / n,
			Unread:   sum.Unread / n,
		}
	}
	v.meanLoads[service] = out
	return out.Load
}

// usedSlotShare returns the share of their slots that a service's engines use, by their
// words; 0 for other services.
func (v *View) usedSlotShare(service string, now time.Duration) float64 {
	if v.table == nil {
		return 0
	}
	svc := v.table.Service(service)
	if svc == nil || svc.Engine == nil || svc.Engine.Slots <= 0 {
		return 0
	}
	return float64(v.meanLoad(service, now).Requests) / float64(svc.Engine.Slots)
}
