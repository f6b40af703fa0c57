// Package membership knows the boxes of one failure domain from their
// heartbeats and from the platform's lagging list. It is pure: time comes in
// as an argument, and nothing is sent from here.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// Pace of heartbeats. Each box sends to each other one, so the interval grows
// with their number and the bytes a box spends stay under budget.
const (
	heartbeatBytes = 153  // size of one heartbeat with its envelope, by 'measure control'
	bytesPerSecond = 1200 // budget for heartbeats, sent and received together
	minInterval    = time.Second
	maxInterval    = 10 * time.Second
	missed         = 3 // heartbeats missed until a box is suspected
	forgetAfter    = 10 * time.Minute
)

// Interval returns the pace of heartbeats among n boxes.
func Interval(n int) time.Duration {
	perSecond := float64(2*heartbeatBytes*max(n-1, 0)) / bytesPerSecond
	d := time.Duration(perSecond * float64(time.Second))
	return min(max(d, minInterval), maxInterval)
}

// Member is what is known of one box.
type Member struct {
	Name    string
	Callers string // address for callers
	Peers   string // address for boxes
	Inc     int    // incarnation; 0 while it was never heard
	Seq     int
	State   wire.ServingState
	Version int           // bundle version it has in force
	Clock   time.Duration // its monotonic clock when last heard
	Load    float64
	Blind   bool          // it can't read the platform
	Heard   time.Duration // our clock when last heard
	Listed  bool          // the platform's list names it
}

// Table is the view of one box. It belongs to one actor.
type Table struct {
	self    string
	members map[string]*Member
	lastRun time.Duration
}

// NewTable returns a table that knows of no other box.
func NewTable(self string) *Table {
	return &Table{
		self:    self,
		members: make(map[string]*Member),
	}
}

func (t *Table) member(name string) *Member {
	m, ok := t.members[name]
	if !ok {
		m = &Member{
			Name:  name,
			State: wire.ServingStateStarting,
		}
		t.members[name] = m
	}
	return m
}

// Hear takes a heartbeat in at now. An older incarnation or an older number is
// a late or repeated message and changes nothing.
func (t *Table) Hear(h wire.Heartbeat, now time.Duration) bool {
	if h.Box == t.self {
		return false
	}
	m := t.member(h.Box)
	if h.Inc < m.Inc || (h.Inc == m.Inc && h.Seq <= m.Seq) {
		return false
	}
	wasLeaving := m.Inc == h.Inc && m.State == wire.ServingStateLeaving
	m.Inc = h.Inc
	m.Seq = h.Seq
	m.State = wire.ServingState(h.State)
	if wasLeaving {
		m.State = wire.ServingStateLeaving // an incarnation that leaves does not come back
	}
	m.Version = h.Version
	m.Clock = time.Duration(h.ClockMs) * time.Millisecond
	m.Load = h.Load
	m.Blind = h.Blind
	m.Heard = now
	m.Callers = cmp.Or(h.Callers, m.Callers)
	m.Peers = cmp.Or(h.Peers, m.Peers)
	return true
}

// List takes the platform's list in. A box it no longer names stays as long as
// it is heard: the list lags.
func (t *Table) List(boxes []wire.BoxEntry) {
	for _, m := range t.members {
		m.Listed = false
	}
	for _, b := range boxes {
		if b.Name == t.self {
			continue
		}
		m := t.member(b.Name)
		m.Listed = true
		m.Callers = b.Callers
		m.Peers = b.Peers
		if b.State == wire.ServingStateLeaving {
			m.State = wire.ServingStateLeaving
		}
	}
}

// Tick tells the table that its box is running at now. When the box itself was
// paused, no other box is suspected for what it could not hear; Tick then
// returns true, and beliefs are stale until they are renewed.
func (t *Table) Tick(now time.Duration) bool {
	gap := now - t.lastRun
	paused := t.lastRun > 0 && gap > 2*t.Interval()
	if paused {
		for _, m := range t.members {
			m.Heard += gap
		}
	}
	t.lastRun = now
	for name, m := range t.members {
		if !m.Listed && now-m.Heard > forgetAfter {
			delete(t.members, name)
		}
	}
	return paused
}

// Interval returns the pace of heartbeats at the present size.
func (t *Table) Interval() time.Duration { return Interval(len(t.members) + 1) }

// Alive says whether name was heard of late at now.
func (t *Table) Alive(name string, now time.Duration) bool {
	m, ok := t.members[name]
	return ok && m.Inc > 0 && now-m.Heard <= missed*t.Interval()
}

// Serving says whether name is alive at now and takes new work.
func (t *Table) Serving(name string, now time.Duration) bool {
	return t.Alive(name, now) && t.members[name].State == wire.ServingStateServing
}

// Get returns what is known of name.
func (t *Table) Get(name string) (Member, bool) {
	m, ok := t.members[name]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Members returns every known box but its own, by name.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.members))
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		out = append(out, *t.members[name])
	}
	return out
}

// Names returns the names of the boxes for which keep holds, in order.
func (t *Table) Names(keep func(name string) bool) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		if keep(name) {
			out = append(out, name)
		}
	}
	return out
}
