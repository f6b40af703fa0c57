package placement

import (
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/pacing"
)

const (
	unlistedTTL     = 30 * time.Second // a replica that is gone and idle is forgotten after this
	defaultColdTime = 3 * time.Second  // a replica that was out of reach may be cold when it is back, where the policy doesn't say for how long
)

// View is what a box knows of the replicas of its region. It belongs to one
// actor.
type View struct {
	region    string
	domain    string
	table     *catalog.Table      // nil until there is a policy
	replicas  map[string]*Replica // by start
	byName    []*Replica          // in the order of starts
	evacuated map[string]bool
	pacer     *pacing.Pacer
	index     index
	onAdded   func(start string) // seam: told of a start that is known from now on
	onRemoved func(start string) // seam: told of one that is forgotten

	peerLoadTTL    time.Duration             // what another box told counts so long
	byReports      bool                      // loads are known by the replicas' own words
	pendingChanges []Belief                  // by words, not asked for yet
	activeBoxes    int                       // of the region that callers are told to use
	typical        map[string]typicalRequest // by service
	meanLoads      map[string]meanLoad       // by service
	stepsPerEvent  map[string]float64        // of an engine until the next event, by service
}

// Option changes a View.
type Option func(*View)

// WithStarts sets what is told of each start of a replica that is known from now on, and
// of each that is forgotten.
func WithStarts(added, removed func(start string)) Option {
	return func(v *View) {
		v.onAdded = added
		v.onRemoved = removed
	}
}

// NewView returns the view of a box in a failure domain of a region.
func NewView(region, domain string, pacer *pacing.Pacer, opts ...Option) *View {
	v := &View{
		region:    region,
		domain:    domain,
		replicas:  make(map[string]*Replica),
		evacuated: make(map[string]bool),
		pacer:     pacer,
		index:     newIndex(),
		onAdded:   func(string) {},
		onRemoved: func(string) {},

		peerLoadTTL:   minPeerLoadTTL,
		activeBoxes:   1,
		typical:       make(map[string]typicalRequest),
		meanLoads:     make(map[string]meanLoad),
		stepsPerEvent: make(map[string]float64),
	}
	for _, opt := range opts {
		opt(v)
	}
	return v
}

// Pacer returns what bounds the requests to cold replicas.
func (v *View) Pacer() *pacing.Pacer { return v.pacer }

// Replicas returns all replicas known, in the order of their starts.
func (v *View) Replicas() []*Replica { return v.byName }

// Get returns a replica by its start, nil for none of that.
func (v *View) Get(start string) *Replica { return v.replicas[start] }

// Closed says whether the replicas of a failure domain get no work.
func (v *View) Closed(domain string) bool { return v.evacuated[domain] }

// SetTable takes a newer policy in.
func (v *View) SetTable(t *catalog.Table) {
	v.index.stale = v.index.stale || !sameServices(v.table, t)
	v.table = t
	for _, r := range v.replicas {
		r.service = t.Service(r.info.Service)
		v.limitCold(r, r.coldUntil) // its service may not have been known when that was said
	}
}

// sameServices says whether two policies name the same services.
func sameServices(a, b *catalog.Table) bool {
	if a == nil || len(a.Policy().Services) != len(b.Policy().Services) {
		return false
	}
	for _, s := range a.Policy().Services {
		if b.Service(s.Name) == nil {
			return false
		}
	}
	return true
}

// Belief is a change of what is believed.
type Belief struct {
	About  string // a replica, by its start, or failure domain
	Reason string // what is believed of it now
	Rev    int64  // revision of what is published that says so
	Addr   string // of a replica that has started again: connections there may be of the start before
}

// Take brings the view to what the catalog holds. Only what has changed of that since it
// was called last is looked at.
func (v *View) Take(c *catalog.Content, now time.Duration) []Belief {
	ids := v.index.update(c, v.region)
	newest := v.newestAt(c, ids)
	seen := make(map[string]bool, len(ids))
	var changes []Belief
	for _, id := range ids {
		info, ok := c.Replica(id)
		switch {
		case !ok || info.Region != v.region:
		case isSuperseded(info, newest[info.Addr]):
			v.applySuperseded(info, now)
		default:
			seen[info.Start()] = true
			changes = v.applyReplica(changes, info, now)
		}
	}
	for _, id := range ids {
		for _, r := range v.index.byID[id] {
			if r.listed && !seen[r.incarnation] {
				v.markUnlisted(r)
				r.lastSeen = now
				changes = append(changes, Belief{
					About:  r.incarnation,
					Reason: v.describeRemoval(r, newest),
					Rev:    c.Newest(),
				})
			}
		}
	}
	v.evictUnlisted(now)
	v.updateUnconfirmed(c)
	return v.applyEvacuated(changes, c, now)
}

// newestAt returns the newest entry at each address of some replicas of the region. An
// entry of a service that no policy names may be another writer's, and takes nobody's
// address.
func (v *View) newestAt(c *catalog.Content, ids []string) map[string]catalog.Replica {
	out := make(map[string]catalog.Replica, len(ids))
	for _, id := range ids {
		info, _ := c.Replica(id)
		if info.Region != v.region || v.table == nil || v.table.Service(info.Service) == nil {
			continue
		}
		if info.Revision > out[info.Addr].Revision {
			out[info.Addr] = info
		}
	}
	return out
}

// isSuperseded says whether a newer entry has the address of a replica. A replica that starts
// again may do so under a new id while the entry of the old one has not lapsed; requests to
// the old one would come back misdirected. A copy of its entry, which tells of no later start,
// doesn't count.
func isSuperseded(info, newest catalog.Replica) bool {
	if newest.Revision <= info.Revision {
		return false
	}
	return newest.Born == 0 || info.Born == 0 || newest.Born > info.Born
}

// applyReplica takes in what is published of one replica.
func (v *View) applyReplica(changes []Belief, info catalog.Replica, now time.Duration) []Belief {
	start := info.Start()
	r, ok := v.getOrAdd(info, now)
	changed := info.Revision != r.info.Revision || !ok
	leaves := info.Leaving && !r.info.Leaving
	info.Leaving = info.Leaving || r.info.Leaving // a replica that leaves doesn't come back
	v.markListed(r, info)
	if v.table != nil {
		r.service = v.table.Service(info.Service)
	}
	if changed && info.ColdLeft > 0 {
		v.markCold(r, info.ColdLeft.Duration(), now)
	}
	if !changed {
		return changes
	}
	b := Belief{
		About:  start,
		Reason: v.describeChange(r, ok, leaves),
		Rev:    info.Revision,
	}
	if !ok && v.otherIncarnation(r) != nil {
		b.Addr = info.Addr
	}
	return append(changes, b)
}

// getOrAdd returns what is getOrAdd of a start, and whether anything was.
func (v *View) getOrAdd(info catalog.Replica, now time.Duration) (r *Replica, ok bool) {
	start := info.Start()
	if r, ok = v.replicas[start]; ok {
		return r, true
	}
	r = &Replica{
		incarnation: start,
		info:        catalog.Replica{ID: info.ID},
		peerLoads:   make(map[string]peerLoad),
		cached:      make(map[string]time.Duration),
		lastSeen:    now,

		peerSegments: make(map[PartKey]time.Duration),
	}
	v.add(r)
	return r, false
}

// applySuperseded takes in what is published of a replica whose address another has by now. It
// isn't listed, but should its entry be the newest again, it has not forgotten that it
// leaves.
func (v *View) applySuperseded(info catalog.Replica, now time.Duration) {
	r, _ := v.getOrAdd(info, now)
	info.Leaving = info.Leaving || r.info.Leaving
	v.setInfo(r, info)
}

// describeChange says what a changed entry means, most important first.
func (v *View) describeChange(r *Replica, known, leaves bool) string {
	switch {
	case leaves:
		return "replica leaving"
	case !known && v.otherIncarnation(r) != nil:
		return "replica started again"
	case r.info.ColdLeft > 0:
		return "replica cold"
	case !known:
		return "replica listed"
	}
	return "replica changed"
}

// markCold notes that a replica is cold for so long.
func (v *View) markCold(r *Replica, left, now time.Duration) {
	r.coldUntil = max(r.coldUntil, now+left)
	clear(r.cached)
	clear(r.peerSegments)
	r.sentSegments = nil
	v.limitCold(r, r.coldUntil)
}

// limitCold paces a replica of a service that bounds the requests to cold ones.
func (v *View) limitCold(r *Replica, until time.Duration) {
	if r.service != nil && r.service.ColdPerSecond > 0 && until > 0 {
		v.pacer.Cold(r.info.ID, r.service.ColdPerSecond, until)
	}
}

// markReturned notes that a replica which got no work for a while may be cold.
func (v *View) markReturned(r *Replica, now time.Duration) {
	left := defaultColdTime
	if r.service != nil && r.service.ColdFor > 0 {
		left = r.service.ColdFor.Duration()
	}
	v.markCold(r, left, now)
}

// applyEvacuated takes in which failure domains get no work.
func (v *View) applyEvacuated(changes []Belief, c *catalog.Content, now time.Duration) []Belief {
	evacuated := make(map[string]bool)
	for _, d := range c.Evacuated() {
		evacuated[d] = true
		if !v.evacuated[d] {
			changes = append(changes, Belief{
				About:  d,
				Reason: "failure domain closed",
				Rev:    c.Newest(),
			})
		}
	}
	for d := range v.evacuated {
		if !evacuated[d] {
			v.restoreDomain(d, now)
			changes = append(changes, Belief{
				About:  d,
				Reason: "failure domain open again",
				Rev:    c.Newest(),
			})
		}
	}
	v.evacuated = evacuated
	return changes
}

// restoreDomain gives the replicas of a failure domain work again, at the pace of cold
// ones, for they had none.
func (v *View) restoreDomain(domain string, now time.Duration) {
	for _, r := range v.replicas {
		if r.info.Domain == domain {
			v.markReturned(r, now)
		}
	}
}

// Told takes in all that another box says of its work at replicas. Where it
// names none, it has none.
func (v *View) Told(box string, loads []OwnLoad, now time.Duration) {
	for _, r := range v.replicas {
		delete(r.peerLoads, box)
	}
	for _, l := range loads {
		if r, ok := v.replicas[l.Replica]; ok {
			r.peerLoads[box] = peerLoad{
				load:   l.Load,
				expiry: now + v.peerLoadTTL,
			}
			r.recordPeerSegments(l.Kept, now)
		}
	}
}

// OthersFor sets how long what other boxes tell counts from now on: as long as they
// take to tell it twice, but not less than among few boxes.
func (v *View) OthersFor(d time.Duration) { v.peerLoadTTL = max(d, minPeerLoadTTL) }

// OwnLoad is one box's work at one replica.
type OwnLoad struct {
	Replica string // its start
	Load    Load
	Kept    []PartKey // last shared parts of the prompts that it was given of late
}

// Tell returns this box's work at every replica where it has any.
func (v *View) Tell(now time.Duration) []OwnLoad {
	var out []OwnLoad
	for _, r := range v.byName {
		if r.own == (Load{}) && now-r.prefillRateAt > prefillWindow {
			continue
		}
		own := r.currentOwnLoad(now)
		if own != (Load{}) {
			out = append(out, OwnLoad{
				Replica: r.incarnation,
				Load:    own,
				Kept:    r.sentSegmentKeys(now),
			})
		}
	}
	return out
}
