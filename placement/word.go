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
	wordFor    = 4 * time.Second // a word counts so long: that of a busy engine is asked for twice a second, and passed on among boxes within a second
	begunMost  = 64              // own requests to a replica remembered since its word
	silentFor  = 2 * time.Second // an engine that didn't answer another box is left out so long, unless it is heard here
	usualShare = 0.02            // weight of the newest request in the usual one's figures
)

// Word is what a replica said of its load.
type Word struct {
	Requests int  // that it has, of all boxes
	Waiting  int  // of them, those that have not begun to run
	Tokens   int  // of memory that they hold; 0 where it doesn't say
	Silent   bool // it didn't answer, and the rest says nothing
	At       time.Duration
}

// usual is what a request to a service usually holds.
type usual struct {
	tokens float64 // of memory
	unread float64 // prompt tokens to be read
}

// add takes a request in.
func (u *usual) add(l Load) {
	if u.tokens == 0 {
		u.tokens, u.unread = float64(l.Tokens), float64(l.Unread)
		return
	}
	u.tokens += usualShare * (float64(l.Tokens) - u.tokens)
	u.unread += usualShare * (float64(l.Unread) - u.unread)
}

// ByWords sets whether loads are known by the replicas' own words, as among many
// boxes, and how many boxes of the region callers are told to use, this one included:
// each is supposed to send as much as the others.
func (v *View) ByWords(on bool, boxes int) {
	v.byWords = on
	v.boxes = max(boxes, 1)
}

// Says takes in a replica's word. It returns false for one that is no later than that
// known, or of a replica that isn't.
func (v *View) Says(replica string, w Word) bool {
	r, ok := v.replicas[replica]
	if !ok || w.At <= r.word.At {
		return false
	}
	if w.Silent != r.word.Silent {
		v.changed = append(v.changed, silence(replica, w.Silent))
	}
	r.word = w
	r.sent = slices.DeleteFunc(r.sent, func(b begun) bool { return b.at <= w.At })
	return true
}

// silence returns the belief that an engine answers another box no more, or again.
func silence(replica string, silent bool) Belief {
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
	if !r.hasSpoken(now) {
		return -1
	}
	return now - r.word.At
}

// hasSpoken says whether it said something of late.
func (r *Replica) hasSpoken(now time.Duration) bool { return r.word.At > 0 && now-r.word.At < wordFor }

// Changed returns what is believed of replicas since it was last asked, by their words.
func (v *View) Changed() []Belief {
	out := v.changed
	v.changed = nil
	return out
}

// silent says whether a replica didn't answer another box of late, and nothing was heard
// from it here since.
func (r *Replica) silent(now time.Duration) bool {
	return r.word.Silent && now-r.word.At < silentFor && r.lastSeen <= r.word.At
}

// Words returns the words of busy engines that still count, the latest first.
func (v *View) Words(now time.Duration) []ReplicaWord {
	var out []ReplicaWord
	for _, r := range v.byName {
		if r.listed && r.busy(now) {
			out = append(out, ReplicaWord{
				Replica: r.start,
				Word:    r.word,
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

// begun is an own request that a replica's word doesn't have yet.
type begun struct {
	at   time.Duration
	load Load
}

// begin notes an own request.
func (r *Replica) begin(l Load, now time.Duration) {
	if len(r.sent) >= begunMost {
		r.sent = r.sent[1:]
	}
	r.sent = append(r.sent, begun{
		at:   now,
		load: l,
	})
}

// spoken returns the work at a replica by its last word and what this box sent since;
// false where it said nothing of late.
func (r *Replica) spoken(u usual, now time.Duration) (l Load, ok bool) {
	if !r.hasSpoken(now) || r.word.Silent {
		return Load{}, false
	}
	l = Load{
		Requests: r.word.Requests,
		Tokens:   cmp.Or(r.word.Tokens, int(float64(r.word.Requests)*u.tokens)),
		Unread:   int(float64(r.word.Waiting) * u.unread),
	}
	for _, b := range r.sent {
		l = l.plus(b.load)
	}
	own := r.currentOwn(now)
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
	if !v.byWords {
		return r.Load(now)
	}
	l, ok := r.spoken(v.usual[r.info.Service], now)
	if !ok {
		l = r.Load(now)
	}
	m := v.mean(r.info.Service, now)
	l.Requests = max(l.Requests, m.Requests)
	l.Tokens = max(l.Tokens, m.Tokens)
	l.Unread = max(l.Unread, m.Unread)
	return l
}

// mean is the mean of the words of a service's replicas, at a time.
type mean struct {
	Load
	at time.Duration
}

const meanFor = 50 * time.Millisecond // a mean of words counts so long

// mean returns the mean load of a service's replicas by their words. One that said nothing
// of late isn't busy.
func (v *View) mean(service string, now time.Duration) Load {
	if m, ok := v.means[service]; ok && now-m.at < meanFor && now >= m.at {
		return m.Load
	}
	var sum Load
	n := 0
	for _, r := range v.byName {
		if r.info.Service != service || !r.listed {
			continue
		}
		if r.silent(now) {
			continue
		}
		n++
		if l, ok := r.spoken(v.usual[service], now); ok {
			sum = sum.plus(l)
		}
	}
	out := mean{
		at: now,
	}
	if n > 0 {
		out.Load = Load{
			Requests: sum.Requests / n,
			Tokens:   sum.Tokens / n,
			Unread:   sum.Unread / n,
		}
	}
	v.means[service] = out
	return out.Load
}

// occupied returns the share of their slots that a service's engines use, by their
// words; 0 for other services.
func (v *View) occupied(service string, now time.Duration) float64 {
	if v.table == nil {
		return 0
	}
	svc := v.table.Service(service)
	if svc == nil || svc.Engine == nil || svc.Engine.Slots <= 0 {
		return 0
	}
	return float64(v.mean(service, now).Requests) / float64(svc.Engine.Slots)
}
