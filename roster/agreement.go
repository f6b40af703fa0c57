package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// This file finds out whether a box knows every box of its region that may use a
// quota, before it takes its own share.
//
// A box that begins asks the boxes of its region that it knows, and the seeds, whether
// its list is complete. One that knows it and nobody else of its region agrees; any
// other tells what is missing. The list is complete once a seed and each box of the
// region that is alive have agreed. Names are only ever added to it until then, so
// that what was agreed to stays true.
//
// Two boxes that both have a complete list know each other: the seed that the later
// one asked had heard of the earlier one, so the later one has it on its list, and has
// asked it; since then the earlier one knows it as well. That leaves boxes between
// which there is no way at all, by no seed and no other box.

const (
	// SharesFor is how long after its last sign of life a box counts as one that may
	// use its share of a quota: a cut of the network heals within this time as a rule,
	// and a box behind it goes on using its share.
	SharesFor = partitionWindow

	checkInterval    = 500 * time.Millisecond // a box that did not agree is asked again; an answer from another region takes 160 ms
	maxChecksPerTick = 6                      // boxes that are asked at one tick: a region of 22 within a second, with 1 KB a tick, one of 100 within five
	maxInlineNames   = 24                     // boxes of a region up to which each question names them, in 100 bytes; of more a sum stands for them
	namesEvery       = 4                      // ticks; in these the first question names more boxes, too, for the sum doesn't tell which one is missing
	maxAbsent        = 8                      // names of boxes that are gone in one answer; the rest in the next
	aloneTimeout     = 3 * time.Second        // a box without seeds waits so long to be found; the others try each 2.5 s
	seedTimeout      = 10 * time.Second       // where no seed answers, the word of the region's boxes is enough after so long; ten seconds let boxes of 390 hear of each other
)

// Absence is a box that is gone, but may still use its share of a quota.
type Absence struct {
	Box string
	Age time.Duration // since its last sign of life; rounded up to 100 ms when it is told
}

// agreement is what is known of whether the list of the region's boxes is complete.
type agreement struct {
	agreed        map[string]bool          // boxes that agreed
	agreedSeeds   map[string]bool          // addresses of seeds that agreed
	lastAsked     map[string]time.Duration // addresses, and when they were asked last
	absent        map[string]time.Duration // boxes that others remember, and their last sign of life
	contactSince  time.Duration            // since when others are heard without a break
	lastContact   time.Duration            // when another box was heard last
	complete      bool                     // the list is complete
	completeSince time.Duration            // when it became so
}

// newAgreement returns the agreement of a box that has heard nobody.
func newAgreement() agreement {
	return agreement{
		agreed:      make(map[string]bool),
		agreedSeeds: make(map[string]bool),
		lastAsked:   make(map[string]time.Duration),
		absent:      make(map[string]time.Duration),
		lastContact: never,
	}
}

// CompleteSince returns since when this box knows all boxes of its region that may use
// a quota, and whether it does.
func (t *Table) CompleteSince(now time.Duration) (since time.Duration, ok bool) {
	if len(t.seeds) == 0 {
		return aloneTimeout, now >= aloneTimeout
	}
	return t.agreement.completeSince, t.agreement.complete
}

// Sharers returns the other boxes of a region that may use a share of its quotas, by
// name: those heard of within SharesFor, and of the own region also those that others
// remember. An empty region stands for all.
func (t *Table) Sharers(region string, now time.Duration) []string {
	shares := func(r *record) bool { return inRegion(region, r.Status.Region) && now-r.Seen < SharesFor }
	out := make([]string, 0, len(t.order)+1) // a caller may add itself
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
		if r, ok := t.records[name]; now-seen < SharesFor && !(ok && shares(r)) {
			out = append(out, name)
		}
	}
	if len(out) > recorded {
		slices.Sort(out)
	}
	return out
}

// recordContact takes in that another box was heard directly.
func (t *Table) recordContact(now time.Duration) {
	a := &t.agreement
	if now-a.lastContact > aliveTimeout {
		a.contactSince = now
	}
	a.lastContact = now
}

// updateAgreement works out whether the list is complete. A box that heard nobody for a while
// may have missed boxes that began, and asks anew.
func (t *Table) updateAgreement(now time.Duration) {
	a := &t.agreement
	if now-a.lastContact > aliveTimeout {
		clear(a.agreed)
		clear(a.agreedSeeds)
		clear(a.lastAsked)
		a.complete = false
		return
	}
	if a.complete || len(a.agreed) == 0 {
		return
	}
	if len(a.agreedSeeds) == 0 && now-a.contactSince < seedTimeout {
		return
	}
	if len(t.undecided(now)) > 0 {
		return
	}
	clear(a.lastAsked)
	a.complete = true
	a.completeSince = now
}

// undecided returns the boxes of the region that are alive and have not agreed.
func (t *Table) undecided(now time.Duration) []Member {
	return t.members(func(r *record) bool {
		return r.Status.Region == t.self.Region && !t.agreement.agreed[r.Status.Box] && t.alive(r, now)
	})
}

// checkPackets returns the questions to those that have not agreed, the longest not asked
// first. They are not paid for by the pace, which would make them wait a minute where
// a region has 100 boxes: each start costs 14 KB there, once.
func (t *Table) checkPackets(now time.Duration) []Packet {
	if t.agreement.complete || len(t.seeds) == 0 {
		return nil
	}
	list := t.checkTargets(now)
	list = list[:min(len(list), maxChecksPerTick)]
	names := t.ownNameIDs(now)
	b := t.header()
	b.Sum = digestOf(names)
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

// checkTargets returns the addresses of those to ask now.
func (t *Table) checkTargets(now time.Duration) []string {
	a := &t.agreement
	due := targets{
		own: t.self.Peers,
	}
	for _, seed := range t.seeds {
		if !a.agreedSeeds[seed] {
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

// token marks a question to an address, so that its answer is taken for an answer to
// no other one, nor to another process of this box.
func (t *Table) token(addr string) ID { return IDOf(addr, t.compact.selfStatus.Inc) }

// nameID stands for a box in whatever incarnation.
func nameID(box string) ID { return IDOf(box, 0) }

// digestOf returns what stands for a set of boxes.
func digestOf(names []ID) ID {
	out := ID(0)
	for _, id := range names {
		out ^= id
	}
	return out
}

// ownNameIDs returns the boxes of the region that this one knows, with itself.
func (t *Table) ownNameIDs(now time.Duration) []ID {
	return nameIDs(append(t.Sharers(t.self.Region, now), t.self.Box))
}

// nameIDs returns the IDs of boxes in whatever incarnation.
func nameIDs(names []string) []ID {
	out := make([]ID, 0, len(names))
	for _, name := range names {
		out = append(out, nameID(name))
	}
	return out
}

// answerCheck agrees that a box's list is complete, or tells it what is missing. It
// says nothing to a sum that differs: the same box asks again with names.
func (t *Table) answerCheck(out *outbox, b Compact, asker *record, from string, now time.Duration) {
	known := t.namesInRegion(asker, now)
	var alive []wire.BoxStatus
	var gone []Absence
	switch {
	case len(b.Names) > 0:
		alive, gone = t.missing(known, b.Names, now)
	case b.Sum != digestOf(nameIDs(known)):
		return
	}
	reply := t.header()
	if len(alive)+len(gone) == 0 {
		reply.Agreed = b.Check
		out.packets = append(out.packets, Packet{ // not paid for by the pace, like the question
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
		reply.Absent = gone[:min(len(gone), maxAbsent)]
		out.send(from, reply.encode())
	}
}

// namesInRegion returns all boxes of an asker's region that this one knows, the asker and
// itself with them.
func (t *Table) namesInRegion(asker *record, now time.Duration) []string {
	out := t.Sharers(asker.Status.Region, now)
	if !slices.Contains(out, asker.Status.Box) {
		out = append(out, asker.Status.Box)
	}
	if asker.Status.Region == t.self.Region {
		out = append(out, t.self.Box)
	}
	return out
}

// missing returns the known boxes that are not among names: the statuses of those
// alive, and those gone that may still use a quota.
func (t *Table) missing(known []string, names []ID, now time.Duration) (alive []wire.BoxStatus, gone []Absence) {
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
			gone = append(gone, Absence{
				Box: name,
				Age: now - t.lastSeen(name),
			})
		}
	}
	return alive, gone
}

// lastSeen returns when a box that is gone was alive last, by this box's own word or
// that of others.
func (t *Table) lastSeen(box string) time.Duration {
	seen := never
	if r, ok := t.records[box]; ok {
		seen = r.Seen
	}
	if remembered, ok := t.agreement.absent[box]; ok {
		seen = max(seen, remembered)
	}
	return seen
}

// recordAnswer takes in what another box says to a question of this one.
func (t *Table) recordAnswer(b Compact, r *record, now time.Duration) {
	a := &t.agreement
	for _, gone := range b.Absent {
		seen := now - gone.Age // below 0 where it was gone before this process began
		if known, ok := a.absent[gone.Box]; gone.Box != t.self.Box && (!ok || seen > known) {
			a.absent[gone.Box] = seen
		}
	}
	if b.Agreed == 0 {
		return
	}
	for _, seed := range t.seeds {
		if b.Agreed == t.token(seed) {
			a.agreedSeeds[seed] = true
			a.agreed[r.Status.Box] = true
		}
	}
	if b.Agreed == t.token(r.Status.Peers) {
		a.agreed[r.Status.Box] = true
	}
}

// expireAbsent forgets the boxes that no longer use a quota.
func (t *Table) expireAbsent(now time.Duration) {
	maps.DeleteFunc(t.agreement.absent, func(_ string, seen time.Duration) bool { return now-seen >= SharesFor })
}
