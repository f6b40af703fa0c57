package node

import (
	"maps"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/absence"
	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/wire"
)

// Expected losses and costs are in thousandths of a request's value.
const (
	crossRegionTime   = 175 * time.Millisecond // added by the round trip to another region
	crossRegionCost   = 30.0                   // cost of the bytes between regions
	fullShareGain     = 250.0                  // gain from which all requests are sent to another region; below it a share of them
	cacheMissCost     = 40.0                   // cost of 1,000 shared tokens that are cached in another region
	minSharedTokens   = 1000                   // shared tokens from which a prompt has a home region
	noCapacityWait    = 60 * time.Second       // sent as the wait where no replica can take a request
	capacityTTL       = 3 * time.Second        // TTL of a received capacity
	unknownRegionWait = 2 * time.Second        // wait assumed for a region that has sent no capacity
	probeWindow       = 600 * time.Millisecond // in which one request probes an unreachable box
	failureLoss       = 1000.0                 // expected loss where every request to a region fails
	uselessLoss       = 2 * failureLoss        // loss of a request that is refused; a late answer keeps some value
)

// Costs of a request that goes to another region, of a service whose requests compete.
const (
	typicalLinkBytes = 64 << 10 // bytes on the link that cost crossRegionCost: a prompt of some 15,000 tokens
	minLinkCost      = 5.0      // of a request with few bytes
	maxScarcity      = 4.0      // by how much more a byte costs where none is left
	crowdedFrom      = 0.2      // wait in a region, over the latency target, from which a request makes others there late
	crowdedFull      = 0.7      // wait at which it makes one late
	fullGain         = 40.0     // gain from which all requests are sent, as regionShare bounds them
	minUrgencyWeight = 0.5      // weight of that for the most urgent requests; 1.5 for the least urgent
)

// remoteRegion is another region with capacity for a request.
type remoteRegion struct {
	region    string
	boxes     []*roster.Member   // targets; owned by the roster
	reporters []*roster.Member   // serving boxes, which send the region's capacity; owned by the roster
	estimate  placement.Estimate // by the latest capacity sent
	loss      float64            // expected loss
	callers   float64            // cost for the callers of the region, of a service whose requests compete
}

func (s *state) recordRegionResult(region string, ok bool, now time.Duration) {
	failures := s.regionFailures[region]
	failures.Add(!ok, now)
	s.regionFailures[region] = failures
}

// sendsToRegion reports whether a request is sent to another region. The probability grows with
// the gain: all boxes compute the same gain and must not all send there. Any gain suffices for the
// home region of its shared segments, as homes differ between segments.
func sendsToRegion(here, there float64, toHome bool, draw func(n int) int) bool {
	gain := here - there - crossRegionCost
	return gain > 0 && (toHome || float64(draw(drawRange))*fullShareGain/drawRange < gain)
}

// localProspect is what a request has to expect in the queue of its service at this box.
type localProspect struct {
	wait    time.Duration // until it is placed
	waited  time.Duration // so far
	refused bool          // the queue refuses it
}

// regionComparison is what a request is expected to meet in the region of this box and in others.
type regionComparison struct {
	allowed  bool               // the request may run in this region
	here     placement.Estimate // in this region
	loss     float64            // expected in this region
	home     string             // region that caches the shared segments; empty for none
	others   []remoteRegion
	best     remoteRegion     // of the others
	found    bool             // there is another region
	competes bool             // requests of the service compete for its capacity
	waits    bool             // the request may wait here for capacity
	linkWait time.Duration    // until a link to another region has room; 0 if one has or there is none
	weighing ingress.Weighing // of the best other region
}

// compareRegions compares the regions for a request, without counting it.
func (s *state) compareRegions(ask ingress.TargetQuery, local localProspect, sharers []string, now time.Duration) regionComparison {
	goals := placement.Targets{
		FirstByte: ask.LatencyTarget,
		Gap:       ask.Route.GapTarget.Duration(),
		Deadline:  ask.TimeLeft,
	}
	out := regionComparison{
		allowed:  ask.Route.Allows(s.settings.Region),
		here:     s.view.Estimate(ask.Request, sharers, now),
		competes: s.table != nil && s.table.Competes(ask.Request.Service),
		waits:    s.waitsInOrder(&ask),
	}
	all := s.remoteRegions(ask, now)
	out.home = s.homeRegion(ask, out.here, all) // also one whose link is used up, so that prompts keep theirs
	out.others, out.linkWait = s.withLink(all, now)
	out.best, out.found = s.lowestLoss(out.others, ask, out.home, goals, out.competes, now)
	if !out.found {
		return out
	}
	if out.competes {
		out.here.Expect += s.localWait(&out, &ask, local)
	}
	out.loss = s.localLoss(out.here, ask, goals, out.home)
	if local.refused {
		out.loss = uselessLoss
	}
	s.weigh(&out, &ask, now)
	return out
}

// localWait returns how long a request of a competing service is expected to wait here, beyond what it
// meets at the replica that was compared, if there is one.
func (s *state) localWait(c *regionComparison, ask *ingress.TargetQuery, local localProspect) time.Duration {
	full := c.here.Reason == placement.Full
	if !c.waits || !full && !s.shareReached(ask.Request.Service) {
		return local.wait
	}
	cost := s.view.Occupancy(ask.Request)
	wait := max(scaled(cost, 1/s.rateOf(ask.Request.Service)), local.wait) // the first of those that wait gets the next free slot
	if full && float64(s.running(ask.Request.Service)) < s.rateOf(ask.Request.Service) {
		wait = max(wait, local.waited) // memory is short, not slots, so that the queue's estimate is too low
	}
	if full {
		wait += s.slotWait(ask.Request)
	}
	return wait
}

// slotWait returns the expected time to the first byte of a request, with its wait at a replica, where
// all replicas have as many requests as they take.
func (s *state) slotWait(req placement.Request) time.Duration {
	queued := float64(s.running(req.Service))/s.rateOf(req.Service) - 1
	return s.view.FirstByteTime(req) + scaled(s.view.Occupancy(req), max(queued, 0))
}

// rateOf returns the slots that this box may use at once for a service: less than 1 where there are more
// boxes than slots, and 1 while it isn't known.
func (s *state) rateOf(service string) float64 {
	if q := s.waiting.queues[service]; q != nil && q.rate > 0 {
		return q.rate
	}
	return 1
}

func scaled(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// weigh compares the gain of a request by going to the best other region with what that costs.
func (s *state) weigh(c *regionComparison, ask *ingress.TargetQuery, now time.Duration) {
	bytes := s.expectedLinkBytes(ask)
	c.weighing = ingress.Weighing{
		LossHere:  c.loss,
		LossThere: c.best.loss,
		LinkCost:  crossRegionCost,
		Bytes:     bytes,
	}
	if c.competes {
		c.weighing.LinkCost = linkCost(bytes, s.linkLeft(c.best.region, now))
		c.weighing.CallersCost = c.best.callers * (minUrgencyWeight + ask.Request.Rank)
	}
	c.weighing.Share = s.awayShare(c, ask.Request.Service)
}

// linkCost returns the cost of bytes between regions, where a part of what this box may send is left.
func linkCost(bytes int, left float64) float64 {
	scarcity := 1 + maxScarcity*(1-left)
	return max(crossRegionCost*float64(bytes)/typicalLinkBytes*scarcity, minLinkCost)
}

// callersCost returns what a request costs the callers of a region where others wait: with a long queue
// it makes one of theirs late, with a short one none.
func callersCost(wait, target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	part := (float64(wait)/float64(target) - crowdedFrom) / (crowdedFull - crowdedFrom)
	part = min(max(part, 0), 1)
	return failureLoss * part * part
}

// gain returns what a request gains by going to the other region, beyond what that costs.
func gain(w ingress.Weighing) float64 {
	return w.LossHere - w.LossThere - w.LinkCost - w.CallersCost
}

// mustSendAway reports whether the request can't run in this region now, but in another one.
func (c *regionComparison) mustSendAway() bool {
	if !c.found {
		return false
	}
	return !c.allowed || c.here.Reason != placement.None && !(c.waits && c.here.Reason == placement.Full)
}

// sendsAway reports whether the request is sent to another region. It counts the request for the share
// of those that may.
func (s *state) sendsAway(c *regionComparison, service string, now time.Duration, draw func(n int) int) bool {
	switch {
	case c.mustSendAway():
		return true
	case !c.found:
		return false
	case !c.competes:
		return sendsToRegion(c.loss, c.best.loss, c.best.region == c.home, draw)
	}
	s.noteReports(c, service, now)
	wanted := c.wantedShare()
	if wanted == 0 {
		return false
	}
	if c.best.region == c.home {
		return true // not damped, as homes differ between segments
	}
	r := s.regionShareOf(service, c.best.region)
	drawn := float64(draw(drawRange)) / drawRange
	if drawn >= r.share && drawn < wanted {
		r.rise(now)
	}
	c.weighing.Share = min(wanted, r.share)
	if drawn >= c.weighing.Share {
		return false
	}
	r.used = true
	return true
}

// noteReports adapts the shares of requests that may go to other regions to what these report: they
// fall for crowded regions.
func (s *state) noteReports(c *regionComparison, service string, now time.Duration) {
	for _, o := range c.others {
		r := s.regionShareOf(service, o.region)
		r.see(now)
		failures := s.regionFailures[o.region]
		r.crowded = o.callers >= crowdedCost || failures.Share(now) >= crowdedFailed
		if r.crowded {
			r.fall(now)
		}
	}
}

// wantedShare returns the probability with which the request would be sent to another region without
// regard to the other requests.
func (c *regionComparison) wantedShare() float64 {
	net := gain(c.weighing)
	switch {
	case c.mustSendAway():
		return 1
	case !c.found || net <= 0:
		return 0
	case c.best.region == c.home:
		return 1
	case c.competes:
		return min(net/fullGain, 1)
	}
	return min(net/fullShareGain, 1)
}

// awayShare returns the probability with which the request is sent to another region.
func (s *state) awayShare(c *regionComparison, service string) float64 {
	wanted := c.wantedShare()
	if !c.competes || c.mustSendAway() || wanted == 0 || c.best.region == c.home {
		return wanted
	}
	key := regionShareKey{
		service: service,
		region:  c.best.region,
	}
	if r, ok := s.regionShares[key]; ok {
		return min(wanted, r.share)
	}
	return 0
}

func (s *state) regionShareOf(service, region string) *regionShare {
	key := regionShareKey{
		service: service,
		region:  region,
	}
	r, ok := s.regionShares[key]
	if !ok {
		r = &regionShare{}
		s.regionShares[key] = r
	}
	return r
}

// sendAway returns a box of the best other region as the target, and takes the bytes on the link.
func (s *state) sendAway(c *regionComparison, now time.Duration, draw func(n int) int) ingress.Target {
	t := remoteTarget(c.best, draw)
	w := c.weighing
	t.Weighing = &w
	s.markProbed(t.Box, now)
	s.takeLink(t.Region, w.Bytes, now)
	return t
}

const drawRange = 1000 // values of one random draw

// remoteRegions returns the other regions with capacity for a request, sorted by name.
func (s *state) remoteRegions(ask ingress.TargetQuery, now time.Duration) []remoteRegion {
	if ask.Forwarded {
		return nil
	}
	byRegion := make(map[string]*remoteRegion)
	for m := range s.roster.AllServing("", now) {
		region := m.Status.Region
		if slices.Contains(ask.ExcludedRegions, region) || region == s.settings.Region || !ask.Route.Allows(region) {
			continue
		}
		f, ok := byRegion[region]
		if !ok {
			f = &remoteRegion{
				region: region,
			}
			byRegion[region] = f
		}
		f.reporters = append(f.reporters, m)
		if s.mayForward(ask, m, now) {
			f.boxes = append(f.boxes, m)
		}
	}
	var out []remoteRegion
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		f := byRegion[region]
		if len(f.boxes) == 0 {
			continue
		}
		if build := ask.Request.Build; build != 0 && !s.content.HasBuild(build, region) {
			continue
		}
		if room, ok := s.capacityOf(f.reporters, ask.Request.Service, now); ok {
			f.estimate = room
			out = append(out, *f)
		}
	}
	return out
}

// withLink returns the regions whose link has room, and if there is none, the time until one has.
func (s *state) withLink(all []remoteRegion, now time.Duration) (out []remoteRegion, wait time.Duration) {
	for _, f := range all {
		w := s.linkWait(f.region, now)
		if w == 0 {
			out = append(out, f)
		} else if wait == 0 || w < wait {
			wait = w
		}
	}
	if len(out) > 0 {
		wait = 0
	}
	return out, wait
}

func (s *state) mayForward(ask ingress.TargetQuery, m *roster.Member, now time.Duration) bool {
	return s.active[m.Status.Region].has(m.Status.Box) && m.Status.Forward != "" &&
		!slices.Contains(ask.TriedBoxes, m.Status.Box) && !s.isUnreachable(m, now)
}

// homeRegion returns the region that caches the shared segments of a prompt. Weighted rendezvous
// hashing gives each region prompts in proportion to its replicas, and all boxes agree. It is
// empty for a prompt with few shared tokens.
func (s *state) homeRegion(ask ingress.TargetQuery, here placement.Estimate, others []remoteRegion) string {
	if ask.Request.SharedTokens() < minSharedTokens {
		return ""
	}
	best := ""
	top := 0.0
	consider := func(region string, usable int) {
		if w := rendezvous.Weighted(ask.Request.RoutingKey(), region, float64(usable)); w > top {
			top = w
			best = region
		}
	}
	if ask.Route.Allows(s.settings.Region) {
		consider(s.settings.Region, here.Usable)
	}
	for _, f := range others {
		consider(f.region, f.estimate.Usable)
	}
	return best
}

// lowestLoss computes the expected loss in other regions and returns the region with the lowest;
// false when there is none.
func (s *state) lowestLoss(others []remoteRegion, ask ingress.TargetQuery, home string, goals placement.Targets, competes bool, now time.Duration) (remoteRegion, bool) {
	var best remoteRegion
	for i, f := range others {
		unread := ask.Request.Prompt
		if f.region == home {
			unread -= ask.Request.SharedTokens()
		}
		if competes {
			f.callers = callersCost(f.estimate.Expect, ask.Route.LatencyTarget.Duration())
		}
		f.estimate.Expect += crossRegionTime + s.view.PrefillTime(ask.Request.Service, unread, now)
		f.loss = f.estimate.ExpectedLoss(goals) + ask.Request.InterferenceCost(unread-ask.Request.UniqueTokens(), f.estimate.MinRequests) + failureLoss*s.regionFailures[f.region].Share(now)
		if home != "" && f.region != home {
			f.loss += cacheMissCost * float64(ask.Request.SharedTokens()) / 1000
		}
		others[i].loss = f.loss
		others[i].callers = f.callers
		total, lowest := f.loss+f.callers, best.loss+best.callers
		if i == 0 || total < lowest || (total == lowest && f.estimate.Expect < best.estimate.Expect) {
			best = f
		}
	}
	return best, len(others) > 0
}

func (s *state) localLoss(here placement.Estimate, ask ingress.TargetQuery, goals placement.Targets, home string) float64 {
	loss := here.ExpectedLoss(goals) + ask.Request.InterferenceCost(here.Missing, here.MinRequests)
	if home != "" && home != s.settings.Region {
		loss += cacheMissCost * float64(here.Uncached) / 1000
	}
	return loss
}

type unreachableBox struct {
	failedAt time.Duration   // time of the failure
	backOff  absence.Absence // no requests are sent while it is on
	probedAt time.Duration   // time of the last request that probed it
}

// markUnreachable starts a back-off for a box that could not be reached. The back-off doubles
// until a request reaches the box. Heartbeats don't end it: they pass one-way partitions.
func (s *state) markUnreachable(box string, now time.Duration) {
	u, recorded := s.unreachable[box]
	if recorded && u.backOff.On(now) {
		return // concurrent requests count once
	}
	u.failedAt = now
	u.backOff.Begin(now)
	s.unreachable[box] = u
}

// markProbed records that a request probes an unreachable box. No other request is sent there
// until its result is known.
func (s *state) markProbed(box string, now time.Duration) {
	if u, ok := s.unreachable[box]; ok {
		u.probedAt = now
		s.unreachable[box] = u
	}
}

func (s *state) markReached(box string) { delete(s.unreachable, box) }

// isUnreachable reports whether a box is in back-off, is being probed, or has sent no
// heartbeat since the last failure.
func (s *state) isUnreachable(m *roster.Member, now time.Duration) bool {
	u, ok := s.unreachable[m.Status.Box]
	return ok && (u.backOff.On(now) || m.LastHeartbeat <= u.failedAt || (u.probedAt > 0 && now-u.probedAt < probeWindow))
}

// capacityOf returns the latest capacity of a region that any of its boxes sent for a service;
// false when no replica can take a request.
func (s *state) capacityOf(boxes []*roster.Member, service string, now time.Duration) (out placement.Estimate, ok bool) {
	newest := time.Duration(-1)
	for _, m := range boxes {
		if m.CapacityAt <= newest || now-m.CapacityAt > max(capacityTTL, s.roster.CapacityTTL()) {
			continue
		}
		at := slices.IndexFunc(m.Status.Rooms, func(r wire.ServiceRoom) bool { return r.Service == service })
		if at < 0 {
			continue
		}
		reported := m.Status.Rooms[at]
		newest = m.CapacityAt
		out = placement.Estimate{
			Expect:      time.Duration(reported.WaitMs) * time.Millisecond,
			Utilization: float64(reported.Busy) / percent,
			Usable:      reported.Usable,
			MinRequests: reported.Fewest,
			AgeMs:       (now - m.CapacityAt).Milliseconds(),
		}
		ok = reported.Usable > 0 && out.Expect < noCapacityWait
	}
	if newest < 0 {
		out.Expect = unknownRegionWait
		return out, true // without a report a request may be tried
	}
	return out, ok
}

// remoteTarget returns a random box of a region as the target.
func remoteTarget(f remoteRegion, draw func(n int) int) ingress.Target {
	box := f.boxes[draw(len(f.boxes))].Status
	return ingress.Target{
		Box:     box.Box,
		BoxAddr: box.Forward,
		Region:  f.region,
		AgeMs:   f.estimate.AgeMs,
		Choice: placement.Choice{
			Expect: f.estimate.Expect,
		},
	}
}
