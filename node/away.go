package node

import (
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
	awayGain   = 150 * time.Millisecond // going away has a price in bytes and cold prompts, so it must save this much
	noRoom     = 60 * time.Second       // told as the wait where no replica can take a request
	farReads   = 36.0                   // prompt tokens that an engine there reads in a millisecond
	roomsFor   = 3 * time.Second        // what a region told counts so long
	unknownFar = 2 * time.Second        // expected of a region that has told nothing
)

// far is another region that could take a request.
type far struct {
	box    roster.Member
	expect time.Duration
	age    time.Duration
}

// bestAway returns the box of another region that is expected to answer soonest.
func (s *state) bestAway(ask ingress.Ask, now time.Duration, draw func(n int) int) (far, bool) {
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
	for region, boxes := range byRegion {
		wait, age, ok := s.roomIn(boxes, ask.Request.Service, now)
		if !ok {
			continue
		}
		f := far{
			box:    boxes[draw(len(boxes))],
			expect: wait + crossing + readingThere(ask.Request.Prompt) + readingThere(s.away[region]),
			age:    age,
		}
		if !found || f.expect < best.expect || (f.expect == best.expect && f.box.Status.Box < best.box.Status.Box) {
			best = f
			found = true
		}
	}
	return best, found
}

// roomIn returns the wait that a region's boxes told last for a service; false
// when it has no replica that could take a request.
func (s *state) roomIn(boxes []roster.Member, service string, now time.Duration) (wait, age time.Duration, ok bool) {
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
		wait = time.Duration(room.WaitMs) * time.Millisecond
		ok = room.Usable > 0 && wait < noRoom
	}
	if newest < 0 {
		return unknownFar, 0, true // nobody told, so it is asked
	}
	return wait, now - newest, ok
}

func readingThere(tokens int) time.Duration {
	return time.Duration(float64(tokens) / farReads * float64(time.Millisecond))
}

func (s *state) sendAway(ask ingress.Ask, f far) ingress.Target {
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
