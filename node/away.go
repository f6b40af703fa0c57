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

// Figures of sending a request to another region.
const (
	crossing   = 175 * time.Millisecond // there and back, 80 ms each way, and the box there
	awayPrice  = 30.0                   // thousandths of a request's worth: what its bytes between regions cost
	awayAll    = 250.0                  // gain in thousandths at which all requests go away; at less, a part of them, for all boxes see the same
	againPrice = 40.0                   // thousandths that 1,000 shared tokens cost which another region keeps
	sharedMin  = 1000                   // shared tokens from which a prompt has a home region; fewer aren't worth the way
	noRoom     = 60 * time.Second       // told as the wait where no replica can take a request
	roomsFor   = 3 * time.Second        // what a region told counts so long
	unknownFar = 2 * time.Second        // expected of a region that has told nothing
	trialFor   = 600 * time.Millisecond // by then a request to another region has a connection, or none
	failRisk   = 1000.0                 // thousandths at risk where every request to a region fails
)

// far is another region that could take a request.
type far struct {
	region string
	boxes  []*roster.Member  // that may be sent to; the table's
	all    []*roster.Member  // that take work, and tell of the region; the table's
	room   placement.Outlook // as its boxes told last
	risk   float64           // thousandths of the request's worth
}

// crossed takes in whether a request to a region was answered.
func (s *state) crossed(region string, ok bool, now time.Duration) {
	path := s.paths[region]
	path.Add(!ok, now)
	s.paths[region] = path
}

// betterAway says whether a request goes away: the more often the more it gains, for
// all boxes see the same. It always goes to the home region of its shared parts if
// that gains anything, for the homes of different parts divide requests by themselves:
// when a third of them stayed, requests lost 0.013 of their worth more, on 15 paired days.
func betterAway(here, there float64, toHome bool, draw func(n int) int) bool {
	gain := here - there - awayPrice
	return gain > 0 && (toHome || float64(draw(draws))*awayAll/draws < gain)
}

// draws is the number of values that one draw may take.
const draws = 1000

// others returns the other regions that could take a request, in order.
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

// mayForward says whether a request may be passed on to a box of another region.
func (s *state) mayForward(ask ingress.Ask, m *roster.Member, now time.Duration) bool {
	return s.taking[m.Status.Region].has(m.Status.Box) && m.Status.Forward != "" &&
		!slices.Contains(ask.TriedBoxes, m.Status.Box) && !s.isLost(m, now)
}

// home returns the region that keeps the shared parts of a prompt: of those that
// could take it each gets prompts in proportion to its replicas, and all boxes
// agree. It is empty where the parts aren't worth the way.
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

// weigh fills in what is at risk in another region, and returns the one with the
// least; false when there is none.
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

// riskHere returns what is at risk in this region.
func (s *state) riskHere(here placement.Outlook, ask ingress.Ask, goals placement.Goals, home string) float64 {
	risk := here.Risk(goals) + ask.Request.Harm(here.Missing, here.Fewest)
	if home != "" && home != s.settings.Region {
		risk += againPrice * float64(here.Unsent) / 1000
	}
	return risk
}

// unreached is a box that could not be reached.
type unreached struct {
	at    time.Duration   // when that was found out
	out   absence.Absence // it is not used while it is on
	trial time.Duration   // when a request was sent to it again
}

// lose notes that a box could not be reached. It is not used for a time that
// doubles until it is reached: being heard is not enough, for datagrams come through
// a cut of one direction.
func (s *state) lose(box string, now time.Duration) {
	u, known := s.lost[box]
	if known && u.out.On(now) {
		return // requests that were under way together tell it once
	}
	u.at = now
	u.out.Begin(now)
	s.lost[box] = u
}

// tryAgain notes that a request goes to a box that could not be reached: until it is
// known what becomes of it, no other one does.
func (s *state) tryAgain(box string, now time.Duration) {
	if u, ok := s.lost[box]; ok {
		u.trial = now
		s.lost[box] = u
	}
}

// reached notes that a box was reached.
func (s *state) reached(box string) { delete(s.lost, box) }

// isLost says whether a box could not be reached of late, or not since it was last
// heard.
func (s *state) isLost(m *roster.Member, now time.Duration) bool {
	u, ok := s.lost[m.Status.Box]
	return ok && (u.out.On(now) || m.Heard <= u.at || (u.trial > 0 && now-u.trial < trialFor))
}

// roomIn returns what a region's boxes told last of a service; false when it has
// no replica that could take a request. Any of its boxes tells of all of it: where a sixth
// takes callers, what these told themselves was mostly too old.
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
		return out, true // nobody told, so it is asked
	}
	return out, ok
}

// sendAway returns one of a region's boxes as the target.
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
