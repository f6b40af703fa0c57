package node

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/budget"
	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/decay"
	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/pacing"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/poison"
	"github.com/havenrudder/havenrudder/queue"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/segment"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	minSharers      = 3             // of a region; a box that starts while it is cut off has a record of none
	minSharersAlone = 4             // the same for a box without a record of another one
	maxRetryBoxes   = 390           // boxes of the largest installation
	noAllocation    = math.MaxInt32 // a divisor that leaves no allocation

	capacityIntervalPerReplica = 400 * time.Microsecond // between two computations of the region's capacity, for each of its replicas
	maxCapacityInterval        = 2 * time.Second        // below capacityTTL
)

// state is the recorded state of a box. It belongs to one actor, and takes the time as an
// argument.
type state struct {
	settings          Settings
	roster            *roster.Table
	view              *placement.View
	budget            *budget.Budget
	content           *catalog.Content
	table             *catalog.Table               // nil without a policy
	loggedAlive       map[string]bool              // state of boxes, as last logged
	loggedComplete    bool                         // all boxes of the region are recorded, as last logged
	loggedSilent      []string                     // silent failure domains, as last logged
	regionFailures    map[string]decay.Failures    // failures of requests, by region
	unreachable       map[string]unreachableBox    // boxes that could not be reached, by name
	routeRequests     map[string]decay.Count       // requests, by the name of a bound route
	confirmedRemovals map[string]confirmedRemovals // removals that boxes have sent, by box
	active            map[string]activeSet         // active boxes, by region
	replicaIDs        replicaIDs
	unanswered        map[string]int   // consecutive unanswered requests for usage reports, by engine
	reportedBorn      map[string]int64 // start times from engines' own reports, by replica id
	seq               int              // of the last status sent
	refreshCount      int              // updates fetched from readers
	capacity          []wire.ServiceRoom
	capacityAt        time.Duration // when it was computed; 0 for never
	poison            *poison.Detector
	signals           signalState
	segmentUses       segment.Relay            // to send to other boxes
	shares            map[string]*serviceShare // of competing services, by name
	builds            buildState
	waiting           waitingState
	links             regionLinks
	regionShares      map[regionShareKey]*regionShare
}

func newState(s Settings, self wire.BoxStatus, now time.Duration) *state {
	pacer := pacing.New(s.Box, coldTerms(s.Bounds), pacing.WithStart(now))
	ids := make(replicaIDs)
	out := &state{
		settings:          s,
		roster:            roster.New(self, roster.WithSeeds(otherSeeds(s))),
		view:              placement.NewView(s.Region, s.Domain, pacer, placement.WithCallbacks(ids.add, ids.drop)),
		budget:            budget.New(retryTerms(s.Bounds)),
		content:           catalog.NewContent(),
		loggedAlive:       make(map[string]bool),
		regionFailures:    make(map[string]decay.Failures),
		unreachable:       make(map[string]unreachableBox),
		routeRequests:     make(map[string]decay.Count),
		confirmedRemovals: make(map[string]confirmedRemovals),
		active:            make(map[string]activeSet),
		replicaIDs:        ids,
		unanswered:        make(map[string]int),
		reportedBorn:      make(map[string]int64),
		poison:            poison.NewDetector(s.Box),
		builds:            newBuildState(),
		waiting:           newWaitingState(),
		links:             newRegionLinks(s.Bounds.RegionLinkMbps),
		regionShares:      make(map[regionShareKey]*regionShare),
		signals: signalState{
			changed: make(map[string]time.Duration),
		},
	}
	out.view.Limiter().SetNonce(uint32(out.roster.SelfID()))
	return out
}

func otherSeeds(s Settings) []string {
	return slices.DeleteFunc(slices.Clone(s.Seeds), func(addr string) bool { return addr == s.SeedAddr })
}

func coldTerms(b Bounds) pacing.Limit {
	return pacing.Limit{
		Overage: b.ColdRateFactor,
		Slack:   b.ColdRateExtra,
	}
}

func retryTerms(b Bounds) budget.Limit {
	return budget.Limit{
		Ratio:     b.RetryRatio,
		Window:    b.RetryWindow,
		Allowance: b.RetryExtra,
	}
}

// applyUpdate applies a catalog update and returns the changes of the recorded state.
func (s *state) applyUpdate(u catalog.Update, now time.Duration) []placement.Change {
	var out []placement.Change
	applied := s.content.Apply(u)
	hasCatalog := s.content.NewestRevision() > 0 // a policy from another box may arrive before the replicas
	if p := s.content.Policy(); hasCatalog && p != nil && (s.table == nil || p.Version > s.table.Version()) {
		s.table = catalog.NewTable(*p)
		s.view.SetTable(s.table)
		s.pruneRoutes()
		out = append(out, placement.Change{
			Reason:  "policy in force",
			Subject: fmt.Sprint(p.Version),
			Channel: string(u.Channel),
		})
	}
	if !applied {
		return out
	}
	return append(out, s.updateView(now)...)
}

func (s *state) updateView(now time.Duration) []placement.Change {
	out := s.view.Apply(s.content, now)
	maps.DeleteFunc(s.unanswered, func(start string, _ int) bool { return s.view.Get(start) == nil })
	if len(s.reportedBorn) > 0 {
		s.pruneReportedBorn()
	}
	return out
}

// applyExpired applies removals whose time to be refuted has expired. It returns the changes since
// its last call, also those by load reports.
func (s *state) applyExpired(now time.Duration) []placement.Change {
	out := s.view.TakeChanges()
	if !s.content.ConfirmRemovals() {
		return out
	}
	return append(out, s.updateView(now)...)
}

// sharers returns the boxes of the region that may send to its replicas, this one included.
// Boxes without a recent heartbeat count too: they may still reach the replicas. It returns
// none until all boxes of the region are recorded, so that boxes that start together don't
// exceed a shared limit.
func (s *state) sharers(now time.Duration) []string {
	since, ok := s.roster.CompleteSince(now)
	if !ok {
		return nil
	}
	s.view.Limiter().SetStart(since)
	s.view.Pacer().SetStart(since) // other boxes' earlier requests count for a window
	out := append([]string{s.settings.Box}, s.roster.QuotaUsers(s.settings.Region, now)...)
	minimum := minSharers
	if len(out) == 1 {
		minimum = minSharersAlone
	}
	for n := len(out); n < minimum; n++ {
		out = append(out, fmt.Sprint("unknown-", n)) // boxes that may be cut off from this one
	}
	return out
}

// retryBoxes returns the number of boxes that share the retries beyond the ratio, this one
// included, or noAllocation where this box has no allocation. The active boxes of all regions share
// them: divided among all boxes, an allocation would be below one retry. Silent boxes count
// for a while, so that boxes that are cut off from each other compute the same number. Until
// all boxes of the region are recorded, it assumes the largest installation.
func (s *state) retryBoxes(now time.Duration) int {
	if _, ok := s.roster.CompleteSince(now); !ok {
		return max(1+len(s.roster.QuotaUsers("", now)), maxRetryBoxes)
	}
	byRegion := map[string][]string{
		s.settings.Region: append(s.roster.QuotaUsers(s.settings.Region, now), s.settings.Box),
	}
	for m := range s.roster.All() {
		if r := m.Status.Region; r != s.settings.Region && now-m.LastAlive < roster.ShareTTL {
			byRegion[r] = append(byRegion[r], m.Status.Box)
		}
	}
	own := byRegion[s.settings.Region]
	if !slices.Contains(activeOf(own), s.settings.Box) {
		return noAllocation
	}
	out := 0
	for _, names := range byRegion {
		out += min(len(names), maxActive)
	}
	return max(out, minSharers)
}

// receive applies a datagram of full statuses, and reports whether to answer it.
func (s *state) receive(g wire.Gossip, now time.Duration) (answer bool) {
	if s.roster.Receive(g.From, true, now) && g.From.Region == s.settings.Region {
		loads := make([]placement.OwnLoad, 0, len(g.From.Loads))
		for _, l := range g.From.Loads {
			loads = append(loads, ownLoad(l.Replica, l))
		}
		s.view.RecordPeerLoads(g.From.Box, loads, now)
	}
	for _, o := range g.Others {
		s.roster.Receive(o, false, now)
	}
	if len(g.From.Demand) > 0 {
		s.updateShares(now)
	}
	return g.From.Peers != "" && (g.Ask || s.roster.HasLater(g.From))
}

func (s *state) receiveCompact(b roster.Compact, from string, now time.Duration) roster.Received {
	h := s.roster.ReceiveCompact(b, from, now)
	s.receiveLoadReports(b.LoadReports, now)
	if len(b.Demand) > 0 {
		s.updateShares(now)
	}
	if !h.Newer || h.Status.Region != s.settings.Region || (len(h.Loads) == 0 && !h.AllLoads) {
		return h
	}
	loads := make([]placement.OwnLoad, 0, len(h.Loads))
	for _, l := range h.Loads {
		if id, ok := s.replicaIDs.start(l.Replica); ok {
			loads = append(loads, ownLoad(id, l.Load))
		}
	}
	s.view.RecordPeerLoads(h.Sender, loads, now)
	return h
}

func ownLoad(replica string, l wire.ReplicaLoad) placement.OwnLoad {
	return placement.OwnLoad{
		Incarnation: replica,
		Load: placement.Load{
			Requests:       l.InFlight,
			Tokens:         l.Tokens,
			PendingPrefill: l.Prompt,
			PrefillRate:    l.Reads,
		},
		RecentSegments: segmentKeys(l.Kept),
	}
}

// segmentNumbers converts segment keys to their wire form.
func segmentNumbers(keys []placement.SegmentKey) []int {
	out := make([]int, 0, len(keys))
	for _, k := range keys {
		out = append(out, int(k))
	}
	return out
}

// segmentKeys converts segment keys from their wire form.
func segmentKeys(list []int) []placement.SegmentKey {
	out := make([]placement.SegmentKey, 0, len(list))
	for _, n := range list {
		out = append(out, placement.SegmentKey(n))
	}
	return out
}

// fillStatus adds the variable part to a status.
func (s *state) fillStatus(b wire.BoxStatus, now time.Duration) wire.BoxStatus {
	s.seq++
	b.Seq = s.seq
	b.Inc = s.roster.Incarnation(b.Inc)
	b.Catalog = int(s.content.NewestRevision())
	b.Lapses = s.content.ConfirmedRemovals()
	if s.table == nil {
		return b
	}
	b.Policy = s.table.Version()
	b.Demand = s.reportDemand(now)
	for _, l := range s.view.OwnLoads(now) {
		b.Loads = append(b.Loads, wire.ReplicaLoad{
			Replica:  l.Incarnation,
			InFlight: l.Load.Requests,
			Tokens:   l.Load.Tokens,
			Prompt:   l.Load.PendingPrefill,
			Reads:    l.Load.PrefillRate,
			Kept:     segmentNumbers(l.RecentSegments),
		})
	}
	if every := min(time.Duration(len(s.view.Replicas()))*capacityIntervalPerReplica, maxCapacityInterval); s.capacityAt == 0 || now-s.capacityAt >= every {
		s.capacity = s.computeCapacity(now)
		s.capacityAt = now
	}
	b.Rooms = s.capacity
	return b
}

// computeCapacity computes the capacity of this region by service, for other regions.
func (s *state) computeCapacity(now time.Duration) []wire.ServiceRoom {
	var out []wire.ServiceRoom
	sharers := s.sharers(now)
	for _, svc := range s.table.Policy().Services {
		o := s.view.Estimate(placement.Request{
			Service: svc.Name,
			Urgency: placement.LeastUrgent, // behind all others
		}, sharers, now)
		if o.Reason != placement.None {
			o.Expect = noCapacityWait
		}
		if s.table.Competes(svc.Name) {
			o.Expect += s.queueWait(svc.Name)
		}
		out = append(out, wire.ServiceRoom{
			Service: svc.Name,
			Usable:  o.Usable,
			WaitMs:  int(o.Expect.Milliseconds()),
			Busy:    int(percent * o.Utilization),
			Fewest:  o.MinRequests,
		})
	}
	return out
}

// queueWait returns how long a request behind all others is expected to wait at this box for a service.
func (s *state) queueWait(service string) (wait time.Duration) {
	q, ok := s.waiting.queues[service]
	if !ok || q.rate <= 0 {
		return 0
	}
	for level := range queue.MaxLevels {
		_, cost, _ := q.Waiting(level)
		wait += time.Duration(float64(cost) / q.rate)
	}
	return wait
}

const percent = 100 // a full share on the wire

// place chooses a replica of this region, or a box of another region where the expected
// loss is lower.
func (s *state) place(ask ingress.TargetQuery, now time.Duration, draw func(n int) int) ingress.Target {
	if ask.Request.Build != 0 && !s.hasBuild(ask) {
		return ingress.Target{
			Reason: placement.NoBuild,
		}
	}
	s.countRoute(&ask, now)
	return s.choose(ask, localProspect{}, now, draw)
}

// countRoute counts a request of a bound route.
func (s *state) countRoute(ask *ingress.TargetQuery, now time.Duration) {
	if len(ask.Route.Homes) > 0 && !ask.Forwarded {
		s.countRouteRequest(ask.Route.Name, now)
	}
}

// choose is place for a request that is counted already.
func (s *state) choose(ask ingress.TargetQuery, local localProspect, now time.Duration, draw func(n int) int) ingress.Target {
	ask.Request.StepsPerEvent = s.view.StepsPerEvent(ask.Request.Service)
	sharers := s.sharers(now)
	regions := s.compareRegions(ask, local, sharers, now)
	if s.sendsAway(&regions, ask.Request.Service, now, draw) {
		return s.sendAway(&regions, now, draw)
	}
	if !regions.allowed {
		return ingress.Target{
			Reason:     placement.NoReplica,
			RetryAfter: cmp.Or(regions.linkWait, placementRetryWait),
		}
	}
	ask.Request.Unshared = isUnshared(ask)
	c := s.pick(ask, sharers, now)
	if regions.found && !regions.waits && s.contended(ask.Request.Service, c.Reason) {
		return s.sendAway(&regions, now, draw)
	}
	return ingress.Target{
		Choice:     c,
		Reason:     c.Reason,
		RetryAfter: cmp.Or(c.Wait, placementRetryWait),
	}
}

// chooseAway returns a box of another region for a request that its queue would hold too long or
// refuse; false if it stays.
func (s *state) chooseAway(ask ingress.TargetQuery, local localProspect, now time.Duration, draw func(n int) int) (ingress.Target, bool) {
	ask.Request.StepsPerEvent = s.view.StepsPerEvent(ask.Request.Service)
	regions := s.compareRegions(ask, local, s.sharers(now), now)
	if !s.sendsAway(&regions, ask.Request.Service, now, draw) {
		return ingress.Target{}, false
	}
	return s.sendAway(&regions, now, draw), true
}

// pick chooses a replica. A request on trial goes to its target, or to the replica with the
// fewest other trials.
func (s *state) pick(ask ingress.TargetQuery, sharers []string, now time.Duration) placement.Choice {
	if ask.Trial == nil {
		return s.view.Pick(ask.Request, sharers, now)
	}
	if c := s.pickTrialTarget(ask, sharers, now); c.Incarnation != "" {
		return c
	}
	for maxTrials := 0; ; maxTrials++ {
		excluded := s.poison.IncarnationsOnTrial(*ask.Trial, maxTrials)
		request := ask.Request
		request.Tried = slices.Concat(request.Tried, excluded)
		c := s.view.Pick(request, sharers, now)
		if c.Incarnation != "" {
			s.poison.BeginTrial(c.Incarnation, *ask.Trial)
		}
		if c.Incarnation != "" || len(excluded) == 0 {
			return c
		}
	}
}

// pickTrialTarget chooses the target of a request on trial; Incarnation is empty if it may not
// run there.
func (s *state) pickTrialTarget(ask ingress.TargetQuery, sharers []string, now time.Duration) placement.Choice {
	usable := s.view.Usable(ask.Request, now)
	target := s.poison.TrialTarget(*ask.Trial, usable)
	if target == "" {
		return placement.Choice{}
	}
	request := ask.Request
	request.Tried = slices.Concat(request.Tried, slices.DeleteFunc(usable, func(r string) bool { return r == target }))
	c := s.view.Pick(request, sharers, now)
	if c.Incarnation != "" {
		s.poison.BeginTrial(c.Incarnation, *ask.Trial)
	}
	return c
}

// alternative returns a target that was not tried, without counting the request; false when there
// is none.
func (s *state) alternative(ask ingress.TargetQuery, now time.Duration, draw func(n int) int) (ingress.Target, bool) {
	if ask.Route.Allows(s.settings.Region) {
		if c := s.view.Next(ask.Request, s.sharers(now), now); c.Reason == placement.None {
			return ingress.Target{
				Choice: c,
			}, true
		}
	}
	if list, _ := s.withLink(s.remoteRegions(ask, now), now); len(list) > 0 {
		return remoteTarget(list[draw(len(list))], draw), true
	}
	return ingress.Target{}, false
}

const placementRetryWait = 40 * time.Millisecond // where the next attempt has no known time
