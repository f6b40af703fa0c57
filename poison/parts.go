package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	partThreshold   = quarantineThreshold // crashes at different times
	minUnexplained  = 2                   // of these, by other guilty parts
	jointPartWindow = jointCrashWindow    // crashes so close may have one cause, as with a rack, and count once for a part
	partRetryDelay  = 30 * time.Second    // from the latest crash to the first retry of a quarantined part
)

// PartVerdict is how a box handles an incoming request because of the parts of its prompt.
type PartVerdict struct {
	Part    Digest        // for which the request is quarantined or retried
	Left    time.Duration // in quarantine; 0 if the request may run
	Retried bool          // the request may run to show whether replicas survive the part
}

// parts detects parts of prompts under which replicas crash, whatever else the prompt holds. Other
// parts of these prompts have the same crashes until a replica survives them without the guilty one.
type parts struct {
	ledger  *Ledger
	gossip  *Gossip
	served  *Served
	retries map[Digest]partRetry
	logged  map[Digest]bool // quarantined parts, as last returned by changes

	assessed int // changes of the ledger when groups were found
	groups   map[Digest]*partGroup
}

// partGroup holds quarantined parts that have exactly the same crashes. Only a request that has all of
// them is rejected, so that one that has some can clear these.
type partGroup struct {
	records []*Record
}

// partRetry is the last retry of a quarantined part by this box.
type partRetry struct {
	at    time.Duration
	count int
}

func newParts(box string) *parts {
	ledger := NewLedger()
	gossip := NewGossip(box, ledger)
	gossip.parts = true
	return &parts{
		ledger:   ledger,
		gossip:   gossip,
		served:   NewServed(),
		retries:  make(map[Digest]partRetry),
		logged:   make(map[Digest]bool),
		assessed: -1,
	}
}

// addCrash records that an incarnation crashed under a part.
func (p *parts) addCrash(d Digest, e Crash, now time.Duration) {
	if p.ledger.addCrash(d, e) {
		p.contributeSurvival(d, now)
		p.gossip.Updated(d, now)
	}
}

// contributeSurvival adds to a published record when this box last served the part.
func (p *parts) contributeSurvival(d Digest, now time.Duration) {
	r := p.ledger.Get(d)
	if r == nil || !r.published || r.LastSurvived != never {
		return
	}
	if at, ok := p.served.lastKey(d.key()); ok {
		p.ledger.RecordSurvival(d, at)
		p.gossip.Updated(d, now)
	}
}

// clear records that a replica survived parts, and reports whether to notify other boxes. waited holds
// those that a replica had interrupted.
func (p *parts) clear(list []Digest, waited map[Digest]bool, now time.Duration) (changed bool) {
	for _, d := range list {
		switch {
		case waited[d]:
			p.ledger.RecordSurvival(d, now) // others may have recorded crashes under it
		case !p.ledger.Clear(d, now):
			continue
		}
		p.gossip.Updated(d, now)
		changed = true
	}
	return changed
}

// receive merges the records of a datagram.
func (p *parts) receive(d Datagram, from string, now time.Duration) (replies []Packet, changed bool) {
	replies, changed = p.gossip.Receive(d, from, now)
	for _, r := range d.Records {
		p.contributeSurvival(r.Digest, now)
	}
	return replies, changed
}

// verdict returns how to handle a request with these parts.
func (p *parts) verdict(list []Digest, others func() []Box, now time.Duration) PartVerdict {
	if len(list) == 0 || p.ledger.Len() == 0 {
		return PartVerdict{}
	}
	p.assess()
	for _, d := range list {
		group := p.groups[d]
		if group == nil || group.records[0].Digest != d || !group.isWithin(list) {
			continue
		}
		left := group.left(now)
		if left <= 0 {
			continue
		}
		if p.shouldRetry(group, others, now) {
			return PartVerdict{
				Part:    d,
				Retried: true,
			}
		}
		return PartVerdict{
			Part: d,
			Left: left,
		}
	}
	return PartVerdict{}
}

// shouldRetry reports whether this box retries a quarantined part now. Only its first owner does, after a
// delay that grows with each retry.
func (p *parts) shouldRetry(group *partGroup, others func() []Box, now time.Duration) bool {
	r := group.records[0]
	last := p.retries[r.Digest]
	wait := partRetryDelay
	for range last.count {
		wait *= retryFactor
	}
	if now-max(r.latest(), last.at) < wait {
		return false
	}
	if rank, _ := newGroup(p.gossip.self, others()).ownersOf(r.Digest); rank > 0 {
		return false
	}
	p.retries[r.Digest] = partRetry{
		at:    now,
		count: last.count + 1,
	}
	return true
}

// left returns the time that a part is left in quarantine; 0 for none.
func (p *parts) left(d Digest, now time.Duration) time.Duration {
	p.assess()
	group := p.groups[d]
	if group == nil {
		return 0
	}
	return max(group.left(now), 0)
}

// isWithin reports whether a list has all parts of the group.
func (g *partGroup) isWithin(list []Digest) bool {
	return !slices.ContainsFunc(g.records, func(r *Record) bool { return !slices.Contains(list, r.Digest) })
}

// left returns the time that all parts of the group are left in quarantine.
func (g *partGroup) left(now time.Duration) time.Duration {
	least, _ := g.records[0].Quarantined(now)
	for _, r := range g.records[1:] {
		left, _ := r.Quarantined(now)
		least = min(least, left)
	}
	return least
}

// assess finds the parts that explain the crashes. Those that no replica has survived come first, then
// those with the most crashes; a part whose crashes are explained by others is not guilty.
func (p *parts) assess() {
	if p.assessed == p.ledger.changes {
		return
	}
	p.assessed = p.ledger.changes
	p.groups = make(map[Digest]*partGroup)
	list := p.candidates()
	explained := make(map[Incarnation][]Crash)
	for i, r := range list {
		if p.groups[r.Digest] != nil || r.countEvents(explained) < minUnexplained {
			continue
		}
		group := &partGroup{}
		for _, other := range list[i:] {
			if isTied(r, other) {
				group.records = append(group.records, other)
				p.groups[other.Digest] = group
			}
		}
		for _, e := range r.Crashes {
			explained[e.Incarnation] = append(explained[e.Incarnation], e)
		}
	}
}

// candidates returns the parts with enough crashes in the order of assess.
func (p *parts) candidates() []*Record {
	var out []*Record
	for _, r := range p.ledger.records {
		if r.countEvents(nil) >= partThreshold {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *Record) int {
		return cmp.Or(
			cmp.Compare(a.survivals(), b.survivals()),
			cmp.Compare(len(b.Crashes), len(a.Crashes)),
			slices.Compare(a.Digest[:], b.Digest[:]),
		)
	})
	return out
}

// isTied reports whether nothing tells which of two parts is guilty.
func isTied(a, b *Record) bool {
	return a.survivals() == b.survivals() && slices.EqualFunc(a.Crashes, b.Crashes, Crash.isSame)
}

// survivals returns 1 if a replica is known to have survived the part, else 0.
func (r *Record) survivals() int {
	if r.LastSurvived == never {
		return 0
	}
	return 1
}

// countEvents returns how many crashes at different times aren't explained.
func (r *Record) countEvents(explained map[Incarnation][]Crash) (n int) {
	last := never
	for _, e := range r.Crashes {
		if e.At-last <= jointPartWindow || slices.ContainsFunc(explained[e.Incarnation], e.isSame) {
			continue
		}
		last = e.At
		n++
	}
	return n
}

// changes returns the changes of the quarantine of parts since the last call.
func (p *parts) changes(now time.Duration) []Change {
	p.assess()
	var out []Change
	for d, group := range p.groups {
		if left := group.left(now); left > 0 && !p.logged[d] {
			r := p.ledger.Get(d)
			p.logged[d] = true
			out = append(out, Change{
				Digest:       d,
				Part:         true,
				Quarantined:  true,
				Crashes:      len(r.Crashes),
				Left:         left,
				Incarnations: r.incarnations(),
				Tied:         len(group.records) - 1,
			})
		}
	}
	for d := range p.logged {
		group := p.groups[d]
		if group != nil && group.left(now) > 0 {
			continue
		}
		delete(p.logged, d)
		r := p.ledger.Get(d)
		out = append(out, Change{
			Digest:  d,
			Part:    true,
			Cleared: r != nil && len(r.Crashes) == 0,
		})
	}
	slices.SortFunc(out, func(a, b Change) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return out
}

// expire drops expired state.
func (p *parts) expire(now time.Duration) {
	p.ledger.Expire(now)
	maps.DeleteFunc(p.retries, func(d Digest, _ partRetry) bool { return p.ledger.Get(d) == nil })
}
