// Package roster maintains the membership of the boxes of all regions from the
// heartbeats that they gossip. A Table has neither a clock nor a socket: callers pass
// in the time and send the datagrams that it returns. A Link sends and receives them.
package roster

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// Times since the last heartbeat of a box.
const (
	aliveTimeout    = 2500 * time.Millisecond // tolerates several lost datagrams in a row
	maxAliveWindow  = 12 * time.Second        // by then a box that others consider dead has given up its share of a quota
	partitionWindow = time.Minute             // a network partition usually heals within it
	memberTTL       = 10 * time.Minute        // as for the members of a failure domain in package membership
)

// Member is the record of one box. Its status is shared and must not be modified.
type Member struct {
	Status        wire.BoxStatus
	LastHeartbeat time.Duration // local time of the last heartbeat, received directly or relayed
	LastAlive     time.Duration // local time at which the box last counted as alive; quotas are divided by it
	CapacityAt    time.Duration // local time of the reported capacity
	FirstSeen     time.Duration // local time at which this incarnation was first received

	Demand   []wire.ServiceDemand // its last reported demand; nil for none yet
	DemandAt time.Duration        // local time of that report
}

// State returns the state of the box, which is serving if its status has none.
func (m Member) State() wire.ServingState {
	return cmp.Or(m.Status.State, wire.ServingStateServing)
}

// record is a member with the bookkeeping of the table. Loads and capacity have sequence
// numbers of their own, since not every status carries them.
type record struct {
	Member
	box             string
	loadsSeq        int  // heartbeat that carried the loads; -1 for none
	capacitySeq     int  // heartbeat that carried the capacity; -1 for none
	nextDigest      int  // first digest that may relay the status again
	fresh           bool // received from another region and not relayed yet
	id              ID
	relayedRound    int           // round in which a compact datagram last relayed it
	declaredDead    bool          // by its region or its monitors, and not refuted by a later heartbeat
	deadSince       time.Duration // local time of the last heartbeat that its region received, if declared dead
	deathAnnounced  bool          // this box considers a box of its region dead and has announced that
	capacityRelayed time.Duration // time of the capacity that was last relayed
	demandRelays    int           // datagrams in which the demand was relayed
	clockOffset     time.Duration // smallest difference between the local time of receipt and the uptime of the box
	hasClockOffset  bool
}

// Table is the membership as one box records it. It isn't safe for concurrent use.
type Table struct {
	self           wire.BoxStatus
	seeds          []string
	records        map[string]*record
	order          []*record // sorted by name
	ticks          int       // calls of Targets
	digestCount    int
	nearCursor     int
	silentCursor   int
	params         params
	compact        compactState
	domainLastSeen map[string]time.Duration // last heartbeat of any box, by failure domain of the own region
	minIncarnation int                      // of this box, to be later than an earlier process of it that others have a record of

	agreement  agreement
	monitoring monitoring
}

// Option configures a Table.
type Option func(*Table)

// WithSeeds sets addresses of boxes to contact at the start, as IP:port. They may be
// stale or down, and the box's own address is ignored.
func WithSeeds(seeds []string) Option {
	return func(t *Table) { t.seeds = slices.Clone(seeds) }
}

// New returns the table of the box self, without any other box. It uses the name, the
// region and the gossip address of self.
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
	t.setSelf(self) // other boxes may send requests before the first round
	t.seeds = slices.DeleteFunc(t.seeds, func(addr string) bool { return addr == self.Peers })
	return t
}

// Receive records a status of another box that was received at now, and reports whether it
// changed anything. direct means that the box itself sent it. An older or repeated status
// doesn't show that the box is alive, but the table keeps what only that status carries.
func (t *Table) Receive(s wire.BoxStatus, direct bool, now time.Duration) bool {
	if s.Box == t.self.Box { // from this box, or from an earlier process of the same name
		if s.Peers == t.self.Peers && s.Inc > t.compact.selfStatus.Inc {
			t.minIncarnation = s.Inc + 1
		}
		return false
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
				FirstSeen: now,
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
	if direct && newer {
		r.recordDemand(s.Demand, now)
	}
	changed := r.update(s, direct, now)
	t.recordRegionAlive(r, now)
	return changed
}

// Incarnation returns the incarnation of this box whose process has the number inc by its time of
// day, which may be earlier than that of the previous process.
func (t *Table) Incarnation(inc int) int { return max(inc, t.minIncarnation) }

// HasLater reports whether there is a record of a later incarnation of a box at the same address.
func (t *Table) HasLater(s wire.BoxStatus) bool {
	r, ok := t.records[s.Box]
	return ok && r.Status.Inc > s.Inc && r.Status.Peers == s.Peers
}

// previousProcess returns the status of the box at an address that no longer counts as alive, if any.
func (t *Table) previousProcess(addr string, now time.Duration) []wire.BoxStatus {
	for _, r := range t.order {
		if r.Status.Peers == addr && !t.alive(r, now) {
			return []wire.BoxStatus{r.staticStatus()}
		}
	}
	return nil
}

func (r *record) update(s wire.BoxStatus, direct bool, now time.Duration) bool {
	loads, capacity := r.Status.Loads, r.Status.Rooms
	newLoads := direct && s.Seq > r.loadsSeq
	if newLoads {
		loads, r.loadsSeq = s.Loads, s.Seq
	}
	// Relayed statuses may lack the capacity, so there an empty list has no meaning.
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
		r.CapacityAt = now
		if direct || !r.declaredDead { // a relayed heartbeat may predate the death
			r.LastHeartbeat = now
			r.LastAlive = now
			r.declaredDead = false
		}
	}
	r.Status.Loads = loads
	r.Status.Rooms = capacity
	if left {
		r.Status.State = leaving // an incarnation that leaves never serves again
	}
	return newer || newLoads || newCapacity || newState
}

// Members returns all recorded boxes but this one, by name.
func (t *Table) Members() []Member {
	return t.members(func(*record) bool { return true })
}

// All iterates over all recorded boxes but this one, by name. Unlike Members it doesn't
// allocate: the members belong to the table, are read-only, and are valid until it changes.
func (t *Table) All() iter.Seq[*Member] {
	return t.each(func(*record) bool { return true })
}

// AllServing iterates over the members that Serving returns, without allocating, as All does.
func (t *Table) AllServing(region string, now time.Duration) iter.Seq[*Member] {
	return t.each(func(r *record) bool { return t.isServing(r, region, now) })
}

func (t *Table) each(keep func(*record) bool) iter.Seq[*Member] {
	return func(yield func(*Member) bool) {
		for _, r := range t.order {
			if keep(r) && !yield(&r.Member) {
				return
			}
		}
	}
}

func (t *Table) members(keep func(*record) bool) []Member {
	var out []Member
	for _, r := range t.order {
		if keep(r) {
			out = append(out, r.Member)
		}
	}
	return out
}

// insert adds a record, or replaces that of the same box.
func (t *Table) insert(box string, r *record) {
	at, found := t.position(box)
	if found {
		t.order[at] = r
	} else {
		t.order = slices.Insert(t.order, at, r)
	}
	t.records[box] = r
}

func (t *Table) remove(box string) {
	if at, found := t.position(box); found {
		t.order = slices.Delete(t.order, at, at+1)
	}
	delete(t.records, box)
}

// position returns the index of the record of a box, or where to insert it.
func (t *Table) position(box string) (at int, found bool) {
	return slices.BinarySearchFunc(t.order, box, func(r *record, box string) int { return cmp.Compare(r.box, box) })
}

func (t *Table) aliveMembers(now time.Duration) []Member {
	return t.members(func(r *record) bool { return t.alive(r, now) })
}

// Alive reports whether a box counts as alive at now. The own box always does.
func (t *Table) Alive(name string, now time.Duration) bool {
	if name == t.self.Box {
		return true
	}
	r, ok := t.records[name]
	return ok && t.alive(r, now)
}

// Serving returns the other boxes of a region that are alive at now and accept new work,
// by name. An empty region stands for all.
func (t *Table) Serving(region string, now time.Duration) []Member {
	return t.members(func(r *record) bool { return t.isServing(r, region, now) })
}

func (t *Table) isServing(r *record, region string, now time.Duration) bool {
	return inRegion(region, r.Status.Region) && r.State() == wire.ServingStateServing && t.alive(r, now)
}

// MaxAliveIn returns an upper bound of the boxes of a region that were recently alive at the
// same time, in any state and with the own box. A quota that each box divides by it isn't
// exceeded while boxes come and go. An empty region stands for all.
func (t *Table) MaxAliveIn(region string, now time.Duration) int {
	n := 0
	if inRegion(region, t.self.Region) {
		n++
	}
	for _, r := range t.records {
		if inRegion(region, r.Status.Region) && now-r.LastAlive <= maxAliveWindow {
			n++
		}
	}
	return n
}

// MaxAlive is MaxAliveIn over all regions.
func (t *Table) MaxAlive(now time.Duration) int { return t.MaxAliveIn("", now) }

// inRegion reports whether the region of a box matches a filter; an empty one matches all.
func inRegion(region, of string) bool { return region == "" || region == of }

func (t *Table) removeExpired(now time.Duration) {
	for _, r := range t.records {
		if now-r.LastHeartbeat > memberTTL {
			t.retire(r, now)
		}
	}
}
