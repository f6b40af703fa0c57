package placement

import (
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/pacing"
)

const (
	unlistedTTL     = 30 * time.Second // until an idle replica that is no longer listed is evicted
	leavingTTL      = 10 * time.Minute // the same for one that has reported that it leaves
	defaultColdTime = 3 * time.Second  // after an ejection or evacuation, unless the service defines it
)

// View is the recorded state of the replicas of a box's region. It isn't safe for concurrent
// use.
type View struct {
	region    string
	domain    string
	table     *catalog.Table      // nil until the first policy
	replicas  map[string]*Replica // by incarnation
	sorted    []*Replica          // sorted by incarnation
	evacuated map[string]bool
	pacer     *pacing.Pacer
	limiter   *pacing.Limiter
	index     index
	onAdded   func(incarnation string)
	onRemoved func(incarnation string)

	peerLoadTTL    time.Duration          // for which the report of another box is valid
	byReports      bool                   // use load reports of engines instead of those of boxes
	pendingChanges []Change               // not yet returned by TakeChanges
	usedLoans      []pacing.Loan          // whose requests have arrived, not yet returned by TakeUsedLoans
	boxes          int                    // boxes of the region that callers use
	typicalLoad    map[string]typicalLoad // by service
	meanLoads      map[string]meanLoad    // by service
	steps          map[string]float64     // by service

	occupancyFactors map[string]float64   // actual over estimated time in a slot, by service
	segmentTokens    map[string]float64   // mean size of the last shared segment of a prompt, by service
	pendingUses      []SegmentUse         // not yet returned by TakeSegmentUses
	updatedAt        time.Duration        // when another box last sent which segments it uses; 0 for never
	figures          map[string]*figures  // by service
	inFlight         map[string]*inFlight // by service
}

// Option configures a View.
type Option func(*View)

// WithCallbacks sets the callbacks for incarnations that are recorded or evicted.
func WithCallbacks(onAdded, onRemoved func(incarnation string)) Option {
	return func(v *View) {
		v.onAdded = onAdded
		v.onRemoved = onRemoved
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
		limiter:   pacing.NewLimiter(pacer.Box()),
		index:     newIndex(),
		onAdded:   func(string) {},
		onRemoved: func(string) {},

		peerLoadTTL: peerLoadTTL,
		boxes:       1,
		typicalLoad: make(map[string]typicalLoad),
		meanLoads:   make(map[string]meanLoad),
		steps:       make(map[string]float64),

		occupancyFactors: make(map[string]float64),
		segmentTokens:    make(map[string]float64),
		figures:          make(map[string]*figures),
		inFlight:         make(map[string]*inFlight),
	}
	for _, opt := range opts {
		opt(v)
	}
	return v
}

// Pacer returns the rate limit on requests to cold replicas.
func (v *View) Pacer() *pacing.Pacer { return v.pacer }

// TakeUsedLoans returns the loans whose requests have arrived since the last call.
func (v *View) TakeUsedLoans() []pacing.Loan {
	out := v.usedLoans
	v.usedLoans = nil
	return out
}

// Limiter returns the rate limits that replicas name.
func (v *View) Limiter() *pacing.Limiter { return v.limiter }

// Replicas returns all recorded replicas, sorted by incarnation.
func (v *View) Replicas() []*Replica { return v.sorted }

// Get returns the replica of an incarnation, nil for none.
func (v *View) Get(incarnation string) *Replica { return v.replicas[incarnation] }

// Evacuated reports whether a failure domain is evacuated.
func (v *View) Evacuated(domain string) bool { return v.evacuated[domain] }

// SetTable applies a new policy.
func (v *View) SetTable(t *catalog.Table) {
	v.index.stale = v.index.stale || !sameServices(v.table, t)
	v.table = t
	for _, r := range v.replicas {
		r.service = t.Service(r.info.Service)
		v.limitCold(r, r.coldUntil) // its service may have been undefined when it became cold
	}
}

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

// Change is a change of recorded state.
type Change struct {
	Subject string          // incarnation of a replica, or failure domain
	Reason  string          // what changed
	Rev     int64           // catalog revision of the change
	Addr    string          // address of a new incarnation; open connections may lead to an earlier one
	Signal  decision.Signal // what a replica reported of itself; empty for other changes
	For     time.Duration   // how long the replica defers requests; only with a Signal of decision.RetryAfter
	Limit   float64         // requests per second that the replica names; only with a Signal of decision.Limit
	Channel string          // by which a policy arrived; empty for other changes
}

// Apply applies the changes of the catalog since the last call.
func (v *View) Apply(c *catalog.Content, now time.Duration) []Change {
	ids := v.index.update(c, v.region)
	newest := v.newestAt(c, ids)
	seen := make(map[string]bool, len(ids))
	var changes []Change
	for _, id := range ids {
		info, ok := c.Replica(id)
		switch {
		case !ok || info.Region != v.region:
		case isSuperseded(info, newest[info.Addr]):
			v.applySuperseded(info, now)
		default:
			seen[info.Incarnation()] = true
			changes = v.applyReplica(changes, info, now)
		}
	}
	for _, id := range ids {
		for _, r := range v.index.byID[id] {
			if r.listed && !seen[r.incarnation] {
				v.markUnlisted(r)
				r.lastSeen = now
				changes = append(changes, Change{
					Subject: r.incarnation,
					Reason:  v.describeRemoval(r, newest),
					Rev:     c.NewestRevision(),
				})
			}
		}
	}
	v.evictUnlisted(now)
	v.updateUnconfirmed(c)
	v.updatePutOff(c)
	return v.applyEvacuated(changes, c, now)
}

// newestAt returns the latest entry at each address, among those with ids. It ignores
// entries of undefined services, which may come from other writers.
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

// isSuperseded reports whether a later entry has the address of a replica. A replica may
// restart under a new id before its old entry expires; requests to the old id would be
// misdirected. A copy, whose start time isn't later, doesn't count.
func isSuperseded(info, newest catalog.Replica) bool {
	if newest.Revision <= info.Revision {
		return false
	}
	return newest.StartedAt == 0 || info.StartedAt == 0 || newest.StartedAt > info.StartedAt
}

func (v *View) applyReplica(changes []Change, info catalog.Replica, now time.Duration) []Change {
	incarnation := info.Incarnation()
	r, ok := v.getOrAdd(info, now)
	changed := !ok || info.IsChangeOf(r.info)
	leaves := info.Leaving && !r.info.Leaving
	info.Leaving = info.Leaving || r.info.Leaving // leaving is final
	v.markListed(r, info)
	if v.table != nil {
		r.service = v.table.Service(info.Service)
	}
	if changed && info.ColdRemaining > 0 {
		v.markCold(r, info.ColdRemaining.Duration(), now)
	}
	if !changed {
		return changes
	}
	b := Change{
		Subject: incarnation,
		Reason:  v.describeChange(r, ok, leaves),
		Rev:     info.Revision,
	}
	if !ok && v.otherIncarnation(r) != nil {
		b.Addr = info.Addr
	}
	return append(changes, b)
}

// getOrAdd returns the record of an incarnation and whether it existed.
func (v *View) getOrAdd(info catalog.Replica, now time.Duration) (r *Replica, ok bool) {
	incarnation := info.Incarnation()
	if r, ok = v.replicas[incarnation]; ok {
		return r, true
	}
	r = &Replica{
		incarnation: incarnation,
		info:        catalog.Replica{ID: info.ID},
		peerLoads:   make(map[string]peerLoad),
		cached:      make(map[string]time.Duration),
		lastSeen:    now,

		peerSegments: make(map[SegmentKey]time.Duration),
	}
	v.add(r)
	return r, false
}

// applySuperseded applies the entry of a replica whose address another one has. The replica
// isn't listed, but its Leaving flag is kept in case its entry becomes the latest again.
func (v *View) applySuperseded(info catalog.Replica, now time.Duration) {
	r, _ := v.getOrAdd(info, now)
	info.Leaving = info.Leaving || r.info.Leaving
	v.setInfo(r, info)
}

// describeChange returns what changed in an entry, by precedence.
func (v *View) describeChange(r *Replica, known, leaves bool) string {
	switch {
	case leaves:
		return "replica leaving"
	case !known && v.otherIncarnation(r) != nil:
		return "replica started again"
	case r.info.ColdRemaining > 0:
		return "replica cold"
	case !known:
		return "replica listed"
	}
	return "replica changed"
}

func (v *View) markCold(r *Replica, left, now time.Duration) {
	r.coldUntil = max(r.coldUntil, now+left)
	clear(r.cached)
	clear(r.peerSegments)
	r.held.clear()
	r.sentSegments = nil
	v.limitCold(r, r.coldUntil)
}

// limitCold starts the rate limit of a cold replica, if its service defines one.
func (v *View) limitCold(r *Replica, until time.Duration) {
	if r.service != nil && r.service.ColdPerSecond > 0 && until > 0 {
		v.pacer.MarkCold(r.info.ID, r.service.ColdPerSecond, until)
	}
}

// markReturned records that a replica that received no requests for a while may be cold.
func (v *View) markReturned(r *Replica, now time.Duration) {
	left := defaultColdTime
	if r.service != nil && r.service.ColdFor > 0 {
		left = r.service.ColdFor.Duration()
	}
	v.markCold(r, left, now)
}

func (v *View) applyEvacuated(changes []Change, c *catalog.Content, now time.Duration) []Change {
	evacuated := make(map[string]bool)
	for _, d := range c.Evacuated() {
		evacuated[d] = true
		if !v.evacuated[d] {
			changes = append(changes, Change{
				Subject: d,
				Reason:  "failure domain closed",
				Rev:     c.NewestRevision(),
			})
		}
	}
	for d := range v.evacuated {
		if !evacuated[d] {
			v.restoreDomain(d, now)
			changes = append(changes, Change{
				Subject: d,
				Reason:  "failure domain open again",
				Rev:     c.NewestRevision(),
			})
		}
	}
	v.evacuated = evacuated
	return changes
}

// restoreDomain ends the evacuation of a failure domain. Its replicas may be cold.
func (v *View) restoreDomain(domain string, now time.Duration) {
	for _, r := range v.replicas {
		if r.info.Domain == domain {
			v.markReturned(r, now)
		}
	}
}

// RecordPeerLoads records the loads that another box reports. The box has none at replicas that
// it leaves out.
func (v *View) RecordPeerLoads(box string, loads []OwnLoad, now time.Duration) {
	v.updatedAt = now
	for _, r := range v.replicas {
		delete(r.peerLoads, box)
	}
	for _, l := range loads {
		if r, ok := v.replicas[l.Incarnation]; ok {
			r.peerLoads[box] = peerLoad{
				load:   l.Load,
				expiry: now + v.peerLoadTTL,
			}
			r.recordPeerSegments(l.RecentSegments, now)
		}
	}
}

// SetPeerLoadTTL sets for how long the reports of other boxes are valid, at least peerLoadTTL.
func (v *View) SetPeerLoadTTL(d time.Duration) { v.peerLoadTTL = max(d, peerLoadTTL) }

// OwnLoad is the load of one box at one replica.
type OwnLoad struct {
	Incarnation    string // its incarnation
	Load           Load
	RecentSegments []SegmentKey // last shared segments of recently sent prompts
}

// OwnLoads returns this box's loads, for its reports to other boxes.
func (v *View) OwnLoads(now time.Duration) []OwnLoad {
	var out []OwnLoad
	for _, r := range v.sorted {
		if r.own == (Load{}) && now-r.prefillRateAt > prefillWindow {
			continue
		}
		own := r.currentOwnLoad(now)
		if own != (Load{}) {
			out = append(out, OwnLoad{
				Incarnation:    r.incarnation,
				Load:           own,
				RecentSegments: r.sentSegmentKeys(now),
			})
		}
	}
	return out
}
