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

// Costs and limits of sending requests to another region. Expected losses are in thousandths
// of a request's value.
const (
	crossing   = 175 * time.Millisecond // added by the way to another region and back
	awayPrice  = 30.0                   // cost of the bytes between regions
	awayAll    = 250.0                  // gain from which all requests are sent to another region; below it a share of them
	againPrice = 40.0                   // cost of 1,000 shared tokens that are cached in another region
	sharedMin  = 1000                   // shared tokens from which a prompt has a home region
	noRoom     = 60 * time.Second       // sent as the wait where no replica can take a request
	roomsFor   = 3 * time.Second        // TTL of a received capacity
	unknownFar = 2 * time.Second        // wait assumed for a region that has sent no capacity
	trialFor   = 600 * time.Millisecond // in which one request probes an unreachable box
	failRisk   = 1000.0                 // expected loss where every request to a region fails
)

// far is another region with capacity for a request.
type far struct {
	region string
	boxes  []*roster.Member  // targets; owned by the roster
	all    []*roster.Member  // serving boxes, which send the region's capacity; owned by the roster
	room   placement.Outlook // by the latest capacity sent
	risk   float64           // expected loss
}

// crossed records whether a request to a region was answered.
func (s *state) crossed(region string, ok bool, now time.Duration) {
	path := s.paths[region]
	path.Add(!ok, now)
	s.paths[region] = path
}

// betterAway reports whether a request is sent to another region. The probability grows with
// the gain, since all boxes see the same difference. Any gain suffices for the home region of
// its shared segments: the homes of different segments distribute the requests.
func betterAway(here, there float64, toHome bool, draw func(n int) int) bool {
	gain := here - there - awayPrice
	return gain > 0 && (toHome || float64(draw(draws))*awayAll/draws < gain)
}

// draws is the number of values of one random draw.
const draws = 1000

// others returns the other regions with capacity for a request, sorted by name.
func (s *state) others(ask ingress.Ask, now time.Duration) []far {
	if ask.Relayed {
		return nil
	}
	byRegion := make(map[string]*far)
	for m := range s.roster.AllServing("", now) {
		region := m.Status.Region
		if slices.Contains(ask.NoRegions, region) || region == s.settings.Region || !ask.Route.Allows(region) {
			continue
		}
		f, ok := byRegion[region]
		if !ok {
			f = &far{
				region: region,
			}
			byRegion[region] = f
		}
		f.all = append(f.all, m)
		if s.mayForward(ask, m, now) {
			f.boxes = append(f.boxes, m)
		}
	}
	var out []far
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		f := byRegion[region]
		if len(f.boxes) == 0 {
			continue
		}
		if room, ok := s.roomIn(f.all, ask.Request.Service, now); ok {
			f.room = room
			out = append(out, *f)
		}
	}
	return out
}

// mayForward reports whether a request may be forwarded to a box of another region.
func (s *state) mayForward(ask ingress.Ask, m *roster.Member, now time.Duration) bool {
	return s.taking[m.Status.Region].has(m.Status.Box) && m.Status.Forward != "" &&
		!slices.Contains(ask.TriedBoxes, m.Status.Box) && !s.isLost(m, now)
}

// home returns the region that caches the shared segments of a prompt. Weighted rendezvous
// hashing gives each region prompts in proportion to its replicas, and all boxes agree. It is
// empty for a prompt with few shared tokens.
func (s *state) home(ask ingress.Ask, here placement.Outlook, others []far) string {
	if ask.Request.Shared() < sharedMin {
		return ""
	}
	best := ""
	top := 0.0
	consider := func(region string, usable int) {
		if w := rendezvous.Weighted(ask.Request.Subject(), region, float64(usable)); w > top {
			top = w
			best = region
		}
	}
	if ask.Route.Allows(s.settings.Region) {
		consider(s.settings.Region, here.Usable)
	}
	for _, f := range others {
		consider(f.region, f.room.Usable)
	}
	return best
}

// weigh computes the expected loss in other regions and returns the region with the lowest;
// false when there is none.
func (s *state) weigh(others []far, ask ingress.Ask, home string, goals placement.Goals, now time.Duration) (far, bool) {
	var best far
	for i, f := range others {
		unread := ask.Request.Prompt
		if f.region == home {
			unread -= ask.Request.Shared()
		}
		f.room.Expect += crossing + placement.ReadTime(unread)
		f.risk = f.room.Risk(goals) + ask.Request.Harm(unread-ask.Request.Own(), f.room.Fewest) + failRisk*s.paths[f.region].Share(now)
		if home != "" && f.region != home {
			f.risk += againPrice * float64(ask.Request.Shared()) / 1000
		}
		if i == 0 || f.risk < best.risk || (f.risk == best.risk && f.room.Expect < best.room.Expect) {
			best = f
		}
	}
	return best, len(others) > 0
}

// riskHere returns the expected loss in this region.
func (s *state) riskHere(here placement.Outlook, ask ingress.Ask, goals placement.Goals, home string) float64 {
	risk := here.Risk(goals) + ask.Request.Harm(here.Missing, here.Fewest)
	if home != "" && home != s.settings.Region {
		risk += againPrice * float64(here.Unsent) / 1000
	}
	return risk
}

// unreached is a box that could not be reached.
type unreached struct {
	at    time.Duration   // time of the failure
	out   absence.Absence // no requests are sent while it is on
	trial time.Duration   // time of the last request that probed it
}

// lose records that a box could not be reached. It receives no requests during a back-off that
// doubles until a request reaches it. A heartbeat doesn't reset the back-off, since datagrams
// pass a partition in one direction.
func (s *state) lose(box string, now time.Duration) {
	u, known := s.lost[box]
	if known && u.out.On(now) {
		return // concurrent requests count once
	}
	u.at = now
	u.out.Begin(now)
	s.lost[box] = u
}

// tryAgain records that a request probes an unreachable box. No other request is sent there
// until its result is known.
func (s *state) tryAgain(box string, now time.Duration) {
	if u, ok := s.lost[box]; ok {
		u.trial = now
		s.lost[box] = u
	}
}

// reached records that a box was reached.
func (s *state) reached(box string) { delete(s.lost, box) }

// isLost reports whether a box is in back-off, is being probed, or has sent no heartbeat since
// the last failure.
func (s *state) isLost(m *roster.Member, now time.Duration) bool {
	u, ok := s.lost[m.Status.Box]
	return ok && (u.out.On(now) || m.Heard <= u.at || (u.trial > 0 && now-u.trial < trialFor))
}

// roomIn returns the latest capacity of a region that any of its boxes sent for a service;
// false when no replica can take a request.
func (s *state) roomIn(boxes []*roster.Member, service string, now time.Duration) (out placement.Outlook, ok bool) {
	newest := time.Duration(-1)
	for _, m := range boxes {
		if m.Told <= newest || now-m.Told > max(roomsFor, s.roster.RoomsAge()) {
			continue
		}
		at := slices.IndexFunc(m.Status.Rooms, func(r wire.ServiceRoom) bool { return r.Service == service })
		if at < 0 {
			continue
		}
		room := m.Status.Rooms[at]
		newest = m.Told
		out = placement.Outlook{
			Expect: time.Duration(room.WaitMs) * time.Millisecond,
			Busy:   float64(room.Busy) / percent,
			Usable: room.Usable,
			Fewest: room.Fewest,
			AgeMs:  (now - m.Told).Milliseconds(),
		}
		ok = room.Usable > 0 && out.Expect < noRoom
	}
	if newest < 0 {
		out.Expect = unknownFar
		return out, true // without a report a request may be tried
	}
	return out, ok
}

// sendAway returns a random box of a region as the target.
func sendAway(f far, draw func(n int) int) ingress.Target {
	box := f.boxes[draw(len(f.boxes))].Status
	return ingress.Target{
		Box:     box.Box,
		BoxAddr: box.Forward,
		Region:  f.region,
		AgeMs:   f.room.AgeMs,
		Choice: placement.Choice{
			Expect: f.room.Expect,
		},
	}
}
