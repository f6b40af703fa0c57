package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

const (
	// ShareTTL is the time since its last heartbeat in which a box may still use its share
	// of a quota: behind a network partition, which usually heals within this time, it goes
	// on using it.
	ShareTTL = partitionWindow

	checkInterval    = 500 * time.Millisecond // between two checks to a box; longer than a round trip between regions
	maxChecksPerTick = 6                      // a region of 22 boxes is asked within a second, one of 100 within five
	maxInlineNames   = 24                     // boxes of a region; above it a check carries the digest of the names in their place
	namesEvery       = 4                      // ticks, in one of which the first check carries the names in any case
	maxAbsent        = 8
	aloneTimeout     = 3 * time.Second  // after which a box without seeds considers its list complete
	seedTimeout      = 10 * time.Second // after which the agreement of the region suffices if no seed answers; in which boxes of 390 hear of each other
)

// GoneBox is a box that counts as dead but may still use its share of a quota.
type GoneBox struct {
	Box string
	Age time.Duration // since its last heartbeat; rounded up to 100 ms in datagrams
}

// agreement tracks whether this box has a record of every box of its region that may use
// a quota, which it needs to know before it uses its own share.
//
// A box that starts asks the recorded boxes of its region, and the seeds, whether its list
// is complete. Each agrees if it has no record of a further box, and otherwise sends what
// is missing. The list is complete once a seed and each live box of the region have agreed.
// Names are only added until then, so that earlier agreements stay valid.
//
// Two boxes with complete lists have records of each other, unless no path connects them: the
// later one received the name of the earlier one from a seed and asked it, and the question
// made the earlier one record the later one.
type agreement struct {
	agreed       map[string]bool
	seeds        map[string]bool          // addresses
	lastAsked    map[string]time.Duration // by address
	absent       map[string]time.Duration // last heartbeat of boxes that others have a record of
	contactSince time.Duration            // start of the current period of contact with other boxes
	lastContact  time.Duration
	complete     bool
	since        time.Duration
}

func newAgreement() agreement {
	return agreement{
		agreed:      make(map[string]bool),
		seeds:       make(map[string]bool),
		lastAsked:   make(map[string]time.Duration),
		absent:      make(map[string]time.Duration),
		lastContact: never,
	}
}

// CompleteSince returns since when this box has a record of all boxes of its region that
// may use a quota, and whether it has.
func (t *Table) CompleteSince(now time.Duration) (since time.Duration, ok bool) {
	if len(t.seeds) == 0 {
		return aloneTimeout, now >= aloneTimeout
	}
	return t.agreement.since, t.agreement.complete
}

// QuotaUsers returns the other boxes of a region that may use a share of its quotas, by name:
// those seen within ShareTTL and, for the own region, those that others have reported as
// absent. An empty region stands for all.
func (t *Table) QuotaUsers(region string, now time.Duration) []string {
	shares := func(r *record) bool { return inRegion(region, r.Status.Region) && now-r.LastAlive < ShareTTL }
	out := make([]string, 0, len(t.order)+1) // callers append the own box
	for _, r := range t.order {
		if shares(r) {
			out = append(out, r.box)
		}
	}
	if !inRegion(region, t.self.Region) {
		return out
	}
	recorded := len(out)
	for name, seen := range t.agreement.absent {
		if r, ok := t.records[name]; now-seen < ShareTTL && !(ok && shares(r)) {
			out = append(out, name)
		}
	}
	if len(out) > recorded {
		slices.Sort(out)
	}
	return out
}

// recordContact records the receipt of a datagram that another box sent itself.
func (t *Table) recordContact(now time.Duration) {
	a := &t.agreement
	if now-a.lastContact > aliveTimeout {
		a.contactSince = now
	}
	a.lastContact = now
}

// updateAgreement determines whether the list is complete. After a time without contact the
// box asks again, since others may have started meanwhile.
func (t *Table) updateAgreement(now time.Duration) {
	a := &t.agreement
	if now-a.lastContact > aliveTimeout {
		clear(a.agreed)
		clear(a.seeds)
		clear(a.lastAsked)
		a.complete = false
		return
	}
	if a.complete || len(a.agreed) == 0 {
		return
	}
	if len(a.seeds) == 0 && now-a.contactSince < seedTimeout {
		return
	}
	if len(t.undecided(now)) > 0 {
		return
	}
	clear(a.lastAsked)
	a.complete = true
	a.since = now
}

func (t *Table) undecided(now time.Duration) []Member {
	return t.members(func(r *record) bool {
		return r.Status.Region == t.self.Region && !t.agreement.agreed[r.Status.Box] && t.alive(r, now)
	})
}

// checkPackets returns checks to those that have not agreed, the longest unasked first.
// They don't count against the budget, which would delay them for long in a large region.
func (t *Table) checkPackets(now time.Duration) []Packet {
	if t.agreement.complete || len(t.seeds) == 0 {
		return nil
	}
	list := t.checkTargets(now)
	list = list[:min(len(list), maxChecksPerTick)]
	names := t.ownNameIDs(now)
	b := t.header()
	b.Digest = digestOf(names)
	out := make([]Packet, 0, len(list))
	for i, addr := range list {
		t.agreement.lastAsked[addr] = now
		b.Check = t.token(addr)
		b.Names = nil
		if len(names) <= maxInlineNames || (i == 0 && t.compact.rounds%namesEvery == 0) {
			b.Names = names
		}
		out = append(out, Packet{
			Addr: addr,
			Buf:  b.encode(),
		})
	}
	return out
}

func (t *Table) checkTargets(now time.Duration) []string {
	a := &t.agreement
	due := targets{
		own: t.self.Peers,
	}
	for _, seed := range t.seeds {
		if !a.seeds[seed] {
			due.addAddrs([]string{seed})
		}
	}
	due.addMembers(t.undecided(now))
	list := slices.DeleteFunc(due.list, func(addr string) bool {
		at, ok := a.lastAsked[addr]
		return ok && now-at < checkInterval
	})
	slices.SortStableFunc(list, func(x, y string) int { return cmp.Compare(a.lastAsked[x], a.lastAsked[y]) })
	return list
}

// token identifies checks to an address, so that an answer to another address or to an
// earlier process of this box doesn't count.
func (t *Table) token(addr string) ID { return IDOf(addr, t.compact.selfStatus.Inc) }

// nameID returns the ID of a box regardless of its incarnation.
func nameID(box string) ID { return IDOf(box, 0) }

// digestOf returns an order-independent digest of a set of boxes.
func digestOf(names []ID) ID {
	out := ID(0)
	for _, id := range names {
		out ^= id
	}
	return out
}

// ownNameIDs returns the recorded boxes of the region and the own one.
func (t *Table) ownNameIDs(now time.Duration) []ID {
	return nameIDs(append(t.QuotaUsers(t.self.Region, now), t.self.Box))
}

func nameIDs(names []string) []ID {
	out := make([]ID, 0, len(names))
	for _, name := range names {
		out = append(out, nameID(name))
	}
	return out
}

// answerCheck agrees that the list of a box is complete, or sends what is missing. It
// doesn't answer a digest that differs: the box repeats the check with names.
func (t *Table) answerCheck(out *outbox, b Compact, asker *record, from string, now time.Duration) {
	known := t.namesInRegion(asker, now)
	var alive []wire.BoxStatus
	var gone []GoneBox
	switch {
	case len(b.Names) > 0:
		alive, gone = t.missing(known, b.Names, now)
	case b.Digest != digestOf(nameIDs(known)):
		return
	}
	reply := t.header()
	if len(alive)+len(gone) == 0 {
		reply.AgreedCheck = b.Check
		out.packets = append(out.packets, Packet{ // outside the budget, as the check
			Addr: from,
			Buf:  reply.encode(),
		})
		return
	}
	if len(alive) > 0 && t.compact.statusReplies < maxStatusReplies {
		t.compact.statusReplies++
		out.send(from, t.encodeStatuses(alive[:min(len(alive), statusesPerReply)], false))
	}
	if len(gone) > 0 {
		reply.Gone = gone[:min(len(gone), maxAbsent)]
		out.send(from, reply.encode())
	}
}

// namesInRegion returns the recorded boxes of the asker's region, with the asker.
func (t *Table) namesInRegion(asker *record, now time.Duration) []string {
	out := t.QuotaUsers(asker.Status.Region, now)
	if !slices.Contains(out, asker.Status.Box) {
		out = append(out, asker.Status.Box)
	}
	if asker.Status.Region == t.self.Region {
		out = append(out, t.self.Box)
	}
	return out
}

// missing returns which of the boxes known are not among names: the statuses of those
// alive, and those that are dead but may still use a quota.
func (t *Table) missing(known []string, names []ID, now time.Duration) (alive []wire.BoxStatus, gone []GoneBox) {
	for _, name := range known {
		if slices.Contains(names, nameID(name)) {
			continue
		}
		r, ok := t.records[name]
		switch {
		case name == t.self.Box:
			alive = append(alive, t.compact.selfStatus)
		case ok && t.alive(r, now):
			alive = append(alive, r.staticStatus())
		default:
			gone = append(gone, GoneBox{
				Box: name,
				Age: now - t.lastSeen(name),
			})
		}
	}
	return alive, gone
}

// lastSeen returns when a dead box was last alive, by the own record or that of others.
func (t *Table) lastSeen(box string) time.Duration {
	seen := never
	if r, ok := t.records[box]; ok {
		seen = r.LastAlive
	}
	if remembered, ok := t.agreement.absent[box]; ok {
		seen = max(seen, remembered)
	}
	return seen
}

func (t *Table) recordAnswer(b Compact, r *record, now time.Duration) {
	a := &t.agreement
	for _, gone := range b.Gone {
		seen := now - gone.Age // negative if the box died before this process started
		if known, ok := a.absent[gone.Box]; gone.Box != t.self.Box && (!ok || seen > known) {
			a.absent[gone.Box] = seen
		}
	}
	if b.AgreedCheck == 0 {
		return
	}
	for _, seed := range t.seeds {
		if b.AgreedCheck == t.token(seed) {
			a.seeds[seed] = true
			a.agreed[r.Status.Box] = true
		}
	}
	if b.AgreedCheck == t.token(r.Status.Peers) {
		a.agreed[r.Status.Box] = true
	}
}

func (t *Table) expireAbsent(now time.Duration) {
	maps.DeleteFunc(t.agreement.absent, func(_ string, seen time.Duration) bool { return now-seen >= ShareTTL })
}
