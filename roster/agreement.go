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
	SharesFor = silentFor

	checkEvery = 500 * time.Millisecond // a box that did not agree is asked again; an answer from another region takes 160 ms
	checkTurn  = 2                      // ticks; among many boxes the bytes of the other one are left to what else is told
	mostChecks = 8                      // boxes that are asked at one tick: a region of 30 within a second, in 1.3 KB a tick
	mostAbsent = 8                      // names of boxes that are gone in one answer; the rest in the next
	aloneAfter = 3 * time.Second        // a box without seeds waits so long to be found; the others try each 2.5 s
	seedless   = 10 * time.Second       // where no seed answers, the word of the region's boxes is enough after so long; ten seconds let boxes of 390 hear of each other
)

// Absence is a box that is gone, but may still use its share of a quota.
type Absence struct {
	Box string
	Age time.Duration // since its last sign of life; rounded up to 100 ms when it is told
}

// agreement is what is known of whether the list of the region's boxes is complete.
type agreement struct {
	agreed  map[string]bool          // boxes that agreed
	seeds   map[string]bool          // addresses of seeds that agreed
	asked   map[string]time.Duration // addresses, and when they were asked last
	absent  map[string]time.Duration // boxes that others remember, and their last sign of life
	contact time.Duration            // since when others are heard without a break
	heard   time.Duration            // when another box was heard last
	done    bool                     // the list is complete
	since   time.Duration            // when it became so
}

// newAgreement returns the agreement of a box that has heard nobody.
func newAgreement() agreement {
	return agreement{
		agreed: make(map[string]bool),
		seeds:  make(map[string]bool),
		asked:  make(map[string]time.Duration),
		absent: make(map[string]time.Duration),
		heard:  never,
	}
}

// CompleteSince returns since when this box knows all boxes of its region that may use
// a quota, and whether it does.
func (t *Table) CompleteSince(now time.Duration) (since time.Duration, ok bool) {
	if len(t.seeds) == 0 {
		return aloneAfter, now >= aloneAfter
	}
	return t.agreement.since, t.agreement.done
}

// Sharers returns the other boxes of a region that may use a share of its quotas, by
// name: those heard of within SharesFor, and of the own region also those that others
// remember. An empty region stands for all.
func (t *Table) Sharers(region string, now time.Duration) []string {
	names := make(map[string]bool)
	for name, r := range t.records {
		if within(region, r.Status.Region) && now-r.Seen < SharesFor {
			names[name] = true
		}
	}
	if within(region, t.self.Region) {
		for name, seen := range t.agreement.absent {
			if now-seen < SharesFor {
				names[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// touched takes in that another box was heard directly.
func (t *Table) touched(now time.Duration) {
	a := &t.agreement
	if now-a.heard > aliveFor {
		a.contact = now
	}
	a.heard = now
}

// agree works out whether the list is complete. A box that heard nobody for a while
// may have missed boxes that began, and asks anew.
func (t *Table) agree(now time.Duration) {
	a := &t.agreement
	if now-a.heard > aliveFor {
		clear(a.agreed)
		clear(a.seeds)
		a.done = false
		return
	}
	if a.done || len(a.agreed) == 0 {
		return
	}
	if len(a.seeds) == 0 && now-a.contact < seedless {
		return
	}
	if len(t.undecided(now)) > 0 {
		return
	}
	a.done = true
	a.since = now
}

// undecided returns the boxes of the region that are alive and have not agreed.
func (t *Table) undecided(now time.Duration) []Member {
	return t.members(func(r *record) bool {
		return r.Status.Region == t.self.Region && !t.agreement.agreed[r.Status.Box] && t.alive(r, now)
	})
}

// checks returns the questions to those that have not agreed, where boxes are few.
func (t *Table) checks(now time.Duration) []Packet {
	out := &outbox{
		compact: &t.compact,
		own:     t.self.Peers,
	}
	t.sendChecks(out, now)
	return out.list
}

// sendChecks asks those that have not agreed, the longest not asked first.
func (t *Table) sendChecks(out *outbox, now time.Duration) {
	a := &t.agreement
	if a.done || len(t.seeds) == 0 {
		return
	}
	list := t.toCheck(now)
	b := t.header()
	b.Names = t.ownNames(now)
	for _, addr := range list[:min(len(list), mostChecks)] {
		if !t.pace.plain && !out.left() {
			return
		}
		a.asked[addr] = now
		b.Check = t.token(addr)
		out.send(addr, b.encode())
	}
}

// toCheck returns the addresses of those to ask now.
func (t *Table) toCheck(now time.Duration) []string {
	a := &t.agreement
	due := targets{
		own: t.self.Peers,
	}
	for _, seed := range t.seeds {
		if !a.seeds[seed] {
			due.addrs([]string{seed})
		}
	}
	due.add(t.undecided(now))
	list := slices.DeleteFunc(due.list, func(addr string) bool {
		at, ok := a.asked[addr]
		return ok && now-at < checkEvery
	})
	slices.SortStableFunc(list, func(x, y string) int { return cmp.Compare(a.asked[x], a.asked[y]) })
	return list
}

// token marks a question to an address, so that its answer is taken for an answer to
// no other one, nor to another process of this box.
func (t *Table) token(addr string) ID { return IDOf(addr, t.compact.said.Inc) }

// nameID stands for a box in whatever incarnation.
func nameID(box string) ID { return IDOf(box, 0) }

// ownNames returns the boxes of the region that this one knows, with itself.
func (t *Table) ownNames(now time.Duration) []ID {
	out := []ID{nameID(t.self.Box)}
	for _, name := range t.Sharers(t.self.Region, now) {
		out = append(out, nameID(name))
	}
	return out
}

// answerCheck agrees that a box's list is complete, or tells it what is missing.
func (t *Table) answerCheck(out *outbox, b Compact, asker *record, from string, now time.Duration) {
	alive, gone := t.missing(b.Names, asker, now)
	reply := t.header()
	if len(alive)+len(gone) == 0 {
		reply.Agreed = b.Check
		out.send(from, reply.encode())
		return
	}
	if len(alive) > 0 && t.compact.answers < mostAnswers {
		t.compact.answers++
		out.send(from, t.gossip(alive[:min(len(alive), perAnswer)], false))
	}
	if len(gone) > 0 {
		reply.Absent = gone[:min(len(gone), mostAbsent)]
		out.send(from, reply.encode())
	}
}

// missing returns the boxes of the asker's region that are not among names: the
// statuses of those alive, and those gone that may still use a quota.
func (t *Table) missing(names []ID, asker *record, now time.Duration) (alive []wire.BoxStatus, gone []Absence) {
	region := asker.Status.Region
	lacks := func(box string) bool { return box != asker.Status.Box && !slices.Contains(names, nameID(box)) }
	if region == t.self.Region && lacks(t.self.Box) {
		alive = append(alive, t.compact.said)
	}
	for _, name := range t.Sharers(region, now) {
		if !lacks(name) {
			continue
		}
		r, ok := t.records[name]
		if ok && t.alive(r, now) {
			alive = append(alive, r.bare())
			continue
		}
		seen, remembered := t.agreement.absent[name]
		if ok && (!remembered || r.Seen > seen) {
			seen = r.Seen
		}
		gone = append(gone, Absence{
			Box: name,
			Age: now - seen,
		})
	}
	return alive, gone
}

// hearAnswer takes in what another box says to a question of this one.
func (t *Table) hearAnswer(b Compact, r *record, now time.Duration) {
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
			a.seeds[seed] = true
			a.agreed[r.Status.Box] = true
		}
	}
	if b.Agreed == t.token(r.Status.Peers) {
		a.agreed[r.Status.Box] = true
	}
}

// forgetAbsent forgets the boxes that no longer use a quota.
func (t *Table) forgetAbsent(now time.Duration) {
	maps.DeleteFunc(t.agreement.absent, func(_ string, seen time.Duration) bool { return now-seen >= SharesFor })
}
