// Package roster knows the boxes of all regions from the heartbeats they
// gossip. A Table is pure: time comes in as an argument, and nothing is sent
// from it. A Link carries the datagrams.
package roster

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// Ages of what was heard.
const (
	aliveTimeout    = 2500 * time.Millisecond // ten ticks: several lost datagrams in a row are no death
	maxAliveWindow  = 12 * time.Second        // a box that others no longer hear has given up its share of a quota by then
	partitionWindow = time.Minute             // a cut of the network heals within this time as a rule
	memberTTL       = 10 * time.Minute        // as for the members of a failure domain, package membership
)

// Member is what is known of one box. Its status is shared: read it only.
type Member struct {
	Status wire.BoxStatus
	Heard  time.Duration // our clock when it was last known to be alive, by its own or others' word
	Seen   time.Duration // our clock when it last counted as alive; quotas are divided by it
	Told   time.Duration // our clock when its rooms were as they are stated
	Known  time.Duration // our clock when this incarnation was first heard
}

// State returns the state of the box; a box that states none is serving.
func (m Member) State() wire.ServingState {
	return cmp.Or(m.Status.State, wire.ServingStateServing)
}

// record is a member with what the table needs to keep it. The loads and the
// rooms have numbers of their own, as not every status carries them.
type record struct {
	Member
	box             string
	loadsSeq        int  // heartbeat that brought the loads; -1 for none
	capacitySeq     int  // heartbeat that brought the rooms; -1 for none
	nextDigest      int  // digest from which on it may be passed on again
	fresh           bool // another region's box sent it itself, and it was not passed on yet
	id              ID
	relayedRound    int           // round in which it was last passed on in a compact datagram
	declaredDead    bool          // its region says that it is dead, and nothing newer was heard
	deadSince       time.Duration // our clock when its region heard it last, where it is silent
	deathAnnounced  bool          // this box of the own region was found to be dead, and others were told at once
	capacityRelayed time.Duration // as of when its rooms were last passed on
	minClockOffset  time.Duration // least that our clock was ahead of the box's time since its start, its words' way with it
	hasClockOffset  bool          // ahead is known
}

// Table is the view of one box. It belongs to one actor.
type Table struct {
	self           wire.BoxStatus
	seeds          []string
	records        map[string]*record
	order          []*record // the same, by name
	ticks          int       // calls of Targets
	digestCount    int       // calls of Digest
	nearCursor     int       // first of the own region's members to send to next
	silentCursor   int       // first of the silent members to send to next
	params         protocolParams
	compact        compactState
	domainLastSeen map[string]time.Duration // failure domains of the own region, and our clock at the latest sign of life of any of their boxes

	agreement  agreement
	monitoring monitoring
}

// Option changes a table that is made.
type Option func(*Table)

// WithSeeds names addresses of other boxes to begin with, as IP:port. They may
// be stale or down, and the own one is passed over.
func WithSeeds(seeds []string) Option {
	return func(t *Table) { t.seeds = slices.Clone(seeds) }
}

// New returns the table of the box self that knows of no other. Of self it uses
// the name, the region and the address for datagrams.
func New(self wire.BoxStatus, opts ...Option) *Table {
	t := &Table{
		self:           self,
		records:        make(map[string]*record),
		params:         fullStatusParams(),
		compact:        newCompactState(),
		domainLastSeen: make(map[string]time.Duration),

		agreement: newAgreement(),
	}
	for _, opt := range opts {
		opt(t)
	}
	t.setSelf(self) // others may ask before the first round
	t.seeds = slices.DeleteFunc(t.seeds, func(addr string) bool { return addr == self.Peers })
	return t
}

// Hear takes the status of another box in at now, and says whether it changed
// anything. direct says that the box itself sent it. A status that is older than
// the one known, or the same, is a late or repeated message: it doesn't show that
// the box is alive, but what it alone carries is kept.
func (t *Table) Hear(s wire.BoxStatus, direct bool, now time.Duration) bool {
	if s.Box == t.self.Box {
		return false // our own words, or those of a process that had our name
	}
	if direct {
		t.recordContact(now)
	}
	r, ok := t.records[s.Box]
	if ok && s.Inc < r.Status.Inc {
		return false
	}
	if !ok || s.Inc > r.Status.Inc {
		r = &record{
			Member: Member{
				Status: wire.BoxStatus{
					Inc: s.Inc,
					Seq: -1,
				},
				Known: now,
			},
			box:         s.Box,
			loadsSeq:    -1,
			capacitySeq: -1,
			id:          IDOf(s.Box, s.Inc),
		}
		t.replace(s.Box, r, now)
	}
	t.noteChange(r, s, ok)
	newer := s.Seq > r.Status.Seq
	if newer && s.Region != t.self.Region && (direct || (!ok && !t.params.fullStatus)) {
		r.fresh = true
	}
	changed := r.update(s, direct, now)
	t.recordRegionAlive(r, now)
	return changed
}

// update takes in a status of the incarnation that the record is of.
func (r *record) update(s wire.BoxStatus, direct bool, now time.Duration) bool {
	loads, capacity := r.Status.Loads, r.Status.Rooms
	newLoads := direct && s.Seq > r.loadsSeq
	if newLoads {
		loads, r.loadsSeq = s.Loads, s.Seq
	}
	// Second-hand statuses may come without capacity, so none says nothing there.
	newCapacity := (direct || len(s.Rooms) > 0) && s.Seq > r.capacitySeq
	if newCapacity {
		capacity, r.capacitySeq = s.Rooms, s.Seq
	}
	const leaving = wire.ServingStateLeaving
	left := r.Status.State == leaving || s.State == leaving
	newState := left && r.Status.State != leaving
	newer := s.Seq > r.Status.Seq
	if newer {
		r.Status = s
		r.Told = now
		if direct || !r.declaredDead { // what others pass on may be old
			r.Heard = now
			r.Seen = now
			r.declaredDead = false
		}
	}
	r.Status.Loads = loads
	r.Status.Rooms = capacity
	if left {
		r.Status.State = leaving // an incarnation that leaves does not come back
	}
	return newer || newLoads || newCapacity || newState
}

// Members returns every known box but its own, by name.
func (t *Table) Members() []Member {
	return t.members(func(*record) bool { return true })
}

// All goes through every known box but its own, by name. What it gives is the table's:
// it is read only, and only until the table is next told anything. Unlike Members it
// takes no memory, of which 295 boxes took 88 KB for each request.
func (t *Table) All() iter.Seq[*Member] {
	return t.each(func(*record) bool { return true })
}

// AllServing is Serving as All gives it.
func (t *Table) AllServing(region string, now time.Duration) iter.Seq[*Member] {
	return t.each(func(r *record) bool { return t.isServing(r, region, now) })
}

// each goes through the members for which keep says true.
func (t *Table) each(keep func(*record) bool) iter.Seq[*Member] {
	return func(yield func(*Member) bool) {
		for _, r := range t.order {
			if keep(r) && !yield(&r.Member) {
				return
			}
		}
	}
}

// members returns the members for which keep says true.
func (t *Table) members(keep func(*record) bool) []Member {
	var out []Member
	for _, r := range t.order {
		if keep(r) {
			out = append(out, r.Member)
		}
	}
	return out
}

// insert puts a record in the place of one of the same box, or in a new one.
func (t *Table) insert(box string, r *record) {
	at, found := t.position(box)
	if found {
		t.order[at] = r
	} else {
		t.order = slices.Insert(t.order, at, r)
	}
	t.records[box] = r
}

// remove drops the record of a box.
func (t *Table) remove(box string) {
	if at, found := t.position(box); found {
		t.order = slices.Delete(t.order, at, at+1)
	}
	delete(t.records, box)
}

// position returns where the record of a box stands or belongs.
func (t *Table) position(box string) (at int, found bool) {
	return slices.BinarySearchFunc(t.order, box, func(r *record, box string) int { return cmp.Compare(r.box, box) })
}

// aliveMembers returns the members alive at now.
func (t *Table) aliveMembers(now time.Duration) []Member {
	return t.members(func(r *record) bool { return t.alive(r, now) })
}

// Alive says whether name was heard of late at now. The own box always is.
func (t *Table) Alive(name string, now time.Duration) bool {
	if name == t.self.Box {
		return true
	}
	r, ok := t.records[name]
	return ok && t.alive(r, now)
}

// Serving returns the boxes of a region that are alive at now and take new work,
// by name, without its own. An empty region stands for all.
func (t *Table) Serving(region string, now time.Duration) []Member {
	return t.members(func(r *record) bool { return t.isServing(r, region, now) })
}

// isServing says whether a box is one of a region that is alive and takes new work.
func (t *Table) isServing(r *record, region string, now time.Duration) bool {
	return inRegion(region, r.Status.Region) && r.State() == wire.ServingStateServing && t.alive(r, now)
}

// MostIn returns how many boxes of a region may have been alive at one time of
// late, in whatever state, its own with them. It errs to the high side: a quota
// that each box divides by it is not exceeded while boxes come and go. An empty
// region stands for all.
func (t *Table) MostIn(region string, now time.Duration) int {
	n := 0
	if inRegion(region, t.self.Region) {
		n++
	}
	for _, r := range t.records {
		if inRegion(region, r.Status.Region) && now-r.Seen <= maxAliveWindow {
			n++
		}
	}
	return n
}

// Most is MostIn over all regions.
func (t *Table) Most(now time.Duration) int { return t.MostIn("", now) }

// inRegion says whether a region is the one asked for; an empty one stands for all.
func inRegion(region, of string) bool { return region == "" || region == of }

// removeExpired drops the members that were silent for long.
func (t *Table) removeExpired(now time.Duration) {
	for name, r := range t.records {
		if now-r.Heard > memberTTL {
			t.compact.retire(r, now)
			t.remove(name)
		}
	}
}
