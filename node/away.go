package node

import (
	"maps"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/wire"
)

// Figures of sending a request to another region.
const (
	crossing   = 175 * time.Millisecond // there and back, 80 ms each way, and the box there
	awayPrice  = 30.0                   // thousandths of a request's worth: bytes between regions have a price, and prompts are read anew
	awayAll    = 250.0                  // gain in thousandths at which all requests go away; at less, a part of them, for all boxes see the same
	noRoom     = 60 * time.Second       // told as the wait where no replica can take a request
	farReads   = 36.0                   // prompt tokens that an engine there reads in a millisecond
	roomsFor   = 3 * time.Second        // what a region told counts so long
	unknownFar = 2 * time.Second        // expected of a region that has told nothing
)

// far is another region that could take a request.
type far struct {
	box    roster.Member
	expect time.Duration
	risk   float64
	age    time.Duration
}

// betterAway says whether a request goes away: the more often the more it gains.
func (s *state) betterAway(here, there float64, draw func(n int) int) bool {
	gain := here - there - awayPrice
	return gain > 0 && float64(draw(draws))*awayAll/draws < gain
}

const draws = 1000

// bestAway returns the box of another region where the least is at risk.
func (s *state) bestAway(ask ingress.Ask, goals placement.Goals, now time.Duration, draw func(n int) int) (far, bool) {
	if ask.Relayed {
		return far{}, false
	}
	byRegion := make(map[string][]roster.Member)
	for _, m := range s.roster.Serving("", now) {
		region := m.Status.Region
		if region == s.settings.Region || !ask.Route.Allows(region) || m.Status.Forward == "" || slices.Contains(ask.TriedBoxes, m.Status.Box) {
			continue
		}
		byRegion[region] = append(byRegion[region], m)
	}
	var best far
	found := false
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		boxes := byRegion[region]
		room, ok := s.roomIn(boxes, ask.Request.Service, now)
		if !ok {
			continue
		}
		room.Expect += crossing + readingThere(ask.Request.Prompt)
		f := far{
			box:    boxes[draw(len(boxes))],
			expect: room.Expect,
			risk:   room.Risk(goals) + float64(room.Fewest)*ask.Request.Harm(ask.Request.Prompt, ask.Request.Gap),
			age:    time.Duration(room.AgeMs) * time.Millisecond,
		}
		if !found || f.risk < best.risk || (f.risk == best.risk && f.expect < best.expect) {
			best = f
			found = true
		}
	}
	return best, found
}

// roomIn returns what a region's boxes told last of a service; false when it has
// no replica that could take a request.
func (s *state) roomIn(boxes []roster.Member, service string, now time.Duration) (out placement.Outlook, ok bool) {
	newest := time.Duration(-1)
	for _, m := range boxes {
		if m.Heard <= newest || now-m.Heard > roomsFor {
			continue
		}
		at := slices.IndexFunc(m.Status.Rooms, func(r wire.ServiceRoom) bool { return r.Service == service })
		if at < 0 {
			continue
		}
		room := m.Status.Rooms[at]
		newest = m.Heard
		out = placement.Outlook{
			Expect: time.Duration(room.WaitMs) * time.Millisecond,
			Busy:   float64(room.Busy) / percent,
			Usable: room.Usable,
			Fewest: room.Fewest,
			AgeMs:  (now - m.Heard).Milliseconds(),
		}
		ok = room.Usable > 0 && out.Expect < noRoom
	}
	if newest < 0 {
		out.Expect = unknownFar
		return out, true // nobody told, so it is asked
	}
	return out, ok
}

func readingThere(tokens int) time.Duration {
	return time.Duration(float64(tokens) / farReads * float64(time.Millisecond))
}

func (s *state) sendAway(f far) ingress.Target {
	return ingress.Target{
		Box:     f.box.Status.Box,
		BoxAddr: f.box.Status.Forward,
		Region:  f.box.Status.Region,
		AgeMs:   f.age.Milliseconds(),
		Choice: placement.Choice{
			Expect: f.expect,
		},
	}
}
