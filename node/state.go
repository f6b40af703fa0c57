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
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	fewestSharers = 3             // boxes that a region has at least, as far as quotas are concerned: one that starts while it is cut off knows of none
	lonelySharers = 4             // the same for a box that has heard of no other, whose region may have a spare one beside the usual three
	mostSpenders  = 390           // boxes of an installation, as it is designed for
	noPart        = math.MaxInt32 // boxes among which what is divided leaves none to any

	roomsPerReplica = 400 * time.Microsecond // between two looks at what a region can take, for each of its replicas: a look is at all of them
	roomsMost       = 2 * time.Second        // of it, so that what is told is no older than what counts
)

// state is all that a box believes. It belongs to one actor, and takes the time
// as an argument.
type state struct {
	settings   Settings
	roster     *roster.Table
	view       *placement.View
	budget     *budget.Budget
	content    *catalog.Content
	table      *catalog.Table               // nil until a policy is known
	alive      map[string]bool              // boxes, as the log says last
	complete   bool                         // all boxes of the region are known, as the log says last
	silent     []string                     // failure domains that fell silent as a whole, as the log says last
	paths      map[string]decay.Failures    // of requests to other regions
	lost       map[string]unreached         // boxes
	asks       map[string]decay.Count       // requests by the name of a bound route
	lapses     map[string]confirmedRemovals // by box: replicas found gone that it has told of
	taking     map[string]taking            // by region
	short      shortNames
	unanswered map[string]int   // questions for an account in a row, by engine
	told       map[string]int64 // the latest start that was taken in by an engine's word, by its id
	seq        int              // of the last status told
	refreshed  int              // times that a box which watches for others was asked
	rooms      []wire.ServiceRoom
	roomsAt    time.Duration // when these were worked out; 0 for never
	poison     *poison.Watch
}

// newState returns the state of a box that knows nothing yet.
func newState(s Settings, self wire.BoxStatus, now time.Duration) *state {
	pacer := pacing.New(s.Box, coldTerms(s.Bounds), pacing.WithStart(now))
	short := make(shortNames)
	return &state{
		settings:   s,
		roster:     roster.New(self, roster.WithSeeds(otherSeeds(s))),
		view:       placement.NewView(s.Region, s.Domain, pacer, placement.WithStarts(short.add, short.drop)),
		budget:     budget.New(retryTerms(s.Bounds)),
		content:    catalog.NewContent(),
		alive:      make(map[string]bool),
		paths:      make(map[string]decay.Failures),
		lost:       make(map[string]unreached),
		asks:       make(map[string]decay.Count),
		lapses:     make(map[string]confirmedRemovals),
		taking:     make(map[string]taking),
		short:      short,
		unanswered: make(map[string]int),
		told:       make(map[string]int64),
		poison:     poison.NewWatch(s.Box),
	}
}

// otherSeeds returns the seeds that are other boxes.
func otherSeeds(s Settings) []string {
	return slices.DeleteFunc(slices.Clone(s.Seeds), func(addr string) bool { return addr == s.Seed })
}

// coldTerms returns the bounds on requests to cold replicas.
func coldTerms(b Bounds) pacing.Terms {
	return pacing.Terms{
		Overage: b.ColdOverage,
		Slack:   b.ColdSlack,
	}
}

// retryTerms returns the bounds on repeated requests.
func retryTerms(b Bounds) budget.Terms {
	return budget.Terms{
		Ratio:  b.RetryRatio,
		Window: b.RetryWindow,
		Extra:  b.RetryExtra,
	}
}

// take takes an update of the catalog in and returns what changed.
func (s *state) take(u catalog.Update, now time.Duration) []placement.Belief {
	var out []placement.Belief
	taken := s.content.Take(u)
	known := s.content.Newest() > 0 // a policy from another box may come before the replicas
	if p := s.content.Policy(); known && p != nil && (s.table == nil || p.Version > s.table.Version()) {
		s.table = catalog.NewTable(*p)
		s.view.SetTable(s.table)
		s.forgetRoutes()
		out = append(out, placement.Belief{
			Reason: "policy in force",
			About:  fmt.Sprint(p.Version),
		})
	}
	if !taken {
		return out
	}
	return append(out, s.takeView(now)...)
}

// takeView brings the view of the replicas to what the catalog holds.
func (s *state) takeView(now time.Duration) []placement.Belief {
	out := s.view.Take(s.content, now)
	maps.DeleteFunc(s.unanswered, func(start string, _ int) bool { return s.view.Get(start) == nil })
	if len(s.told) > 0 {
		s.forgetTold()
	}
	return out
}

// settle believes the removals whose time of doubt is over, and returns what changed
// since it was called last, by engines' words too.
func (s *state) settle(now time.Duration) []placement.Belief {
	out := s.view.Changed()
	if !s.content.Settle() {
		return out
	}
	return append(out, s.takeView(now)...)
}

// sharers returns the boxes of the region that may send to its replicas, this one
// included: also those not heard of for a while, for a box that is cut off from this
// one may still reach the replicas. There are none until this box knows all of them:
// with shares among some, boxes that began together sent a cold replica a request
// each.
func (s *state) sharers(now time.Duration) []string {
	since, ok := s.roster.CompleteSince(now)
	if !ok {
		return nil
	}
	s.view.Pacer().SetStart(since) // what others sent before they knew this box still counts for a window
	out := append([]string{s.settings.Box}, s.roster.Sharers(s.settings.Region, now)...)
	fewest := fewestSharers
	if len(out) == 1 {
		fewest = lonelySharers
	}
	for n := len(out); n < fewest; n++ {
		out = append(out, fmt.Sprint("unknown-", n)) // boxes that this one may be cut off from
	}
	return out
}

// spenders returns among how many boxes the repeats beyond the ratio are divided, this one
// included, or noPart where this one has none of them: those that callers are told to use,
// of all regions, by who may have sent of late, so that boxes which can't hear each other
// take the same ones. Divided among all boxes of a large installation no part was a whole
// repeat. Until a box knows its region it may know of few others, and supposes as many as
// there can be: 63 boxes that began together, 6 s before their seeds, repeated 674 requests
// in a window where 168 are allowed, and 66 with this.
func (s *state) spenders(now time.Duration) int {
	if _, ok := s.roster.CompleteSince(now); !ok {
		return max(1+len(s.roster.Sharers("", now)), mostSpenders)
	}
	byRegion := map[string][]string{
		s.settings.Region: append(s.roster.Sharers(s.settings.Region, now), s.settings.Box),
	}
	for m := range s.roster.All() {
		if r := m.Status.Region; r != s.settings.Region && now-m.Seen < roster.SharesFor {
			byRegion[r] = append(byRegion[r], m.Status.Box)
		}
	}
	own := byRegion[s.settings.Region]
	if !slices.Contains(takersOf(own), s.settings.Box) {
		return noPart
	}
	out := 0
	for _, names := range byRegion {
		out += min(len(names), mostTaking)
	}
	return max(out, fewestSharers)
}

// hear takes another box's message in.
func (s *state) hear(g wire.Gossip, now time.Duration) {
	if s.roster.Hear(g.From, true, now) && g.From.Region == s.settings.Region {
		loads := make([]placement.OwnLoad, 0, len(g.From.Loads))
		for _, l := range g.From.Loads {
			loads = append(loads, ownLoad(l.Replica, l))
		}
		s.view.Told(g.From.Box, loads, now)
	}
	for _, o := range g.Others {
		s.roster.Hear(o, false, now)
	}
}

// hearCompact takes another box's compact datagram in.
func (s *state) hearCompact(b roster.Compact, from string, now time.Duration) roster.Heard {
	h := s.roster.HearCompact(b, from, now)
	s.hearWords(b.Words, now)
	if !h.Newer || h.Status.Region != s.settings.Region || (len(h.Loads) == 0 && !h.All) {
		return h
	}
	loads := make([]placement.OwnLoad, 0, len(h.Loads))
	for _, l := range h.Loads {
		if id, ok := s.short[l.Replica]; ok {
			loads = append(loads, ownLoad(id, l.Load))
		}
	}
	s.view.Told(h.Sender, loads, now)
	return h
}

// ownLoad returns what a box says of a replica as placement takes it.
func ownLoad(replica string, l wire.ReplicaLoad) placement.OwnLoad {
	return placement.OwnLoad{
		Replica: replica,
		Load: placement.Load{
			Requests: l.InFlight,
			Tokens:   l.Tokens,
			Unread:   l.Prompt,
			Reads:    l.Reads,
		},
		Kept: partKeys(l.Kept),
	}
}

// numbers returns keys of parts as they are told.
func numbers(keys []placement.PartKey) []int {
	out := make([]int, 0, len(keys))
	for _, k := range keys {
		out = append(out, int(k))
	}
	return out
}

// partKeys returns what numbers made of keys.
func partKeys(list []int) []placement.PartKey {
	out := make([]placement.PartKey, 0, len(list))
	for _, n := range list {
		out = append(out, placement.PartKey(n))
	}
	return out
}

// fill adds to a status what changes.
func (s *state) fill(b wire.BoxStatus, now time.Duration) wire.BoxStatus {
	s.seq++
	b.Seq = s.seq
	b.Catalog = int(s.content.Newest())
	b.Lapses = s.content.Lapses()
	if s.table == nil {
		return b
	}
	b.Policy = s.table.Version()
	for _, l := range s.view.Tell(now) {
		b.Loads = append(b.Loads, wire.ReplicaLoad{
			Replica:  l.Replica,
			InFlight: l.Load.Requests,
			Tokens:   l.Load.Tokens,
			Prompt:   l.Load.Unread,
			Reads:    l.Load.Reads,
			Kept:     numbers(l.Kept),
		})
	}
	if every := min(time.Duration(len(s.view.Replicas()))*roomsPerReplica, roomsMost); s.roomsAt == 0 || now-s.roomsAt >= every {
		s.rooms = s.roomsNow(now)
		s.roomsAt = now
	}
	b.Rooms = s.rooms
	return b
}

// roomsNow returns what this region's replicas can take, for other regions.
func (s *state) roomsNow(now time.Duration) []wire.ServiceRoom {
	var out []wire.ServiceRoom
	sharers := s.sharers(now)
	for _, svc := range s.table.Policy().Services {
		o := s.view.Outlook(placement.Request{
			Service: svc.Name,
		}, sharers, now)
		if o.Reason != placement.None {
			o.Expect = noRoom
		}
		out = append(out, wire.ServiceRoom{
			Service: svc.Name,
			Usable:  o.Usable,
			WaitMs:  int(o.Expect.Milliseconds()),
			Busy:    int(percent * o.Busy),
			Fewest:  o.Fewest,
		})
	}
	return out
}

// percent is a whole in the unit in which boxes tell shares.
const percent = 100

// place chooses where a request goes: to a replica of this region, or to a box
// of another one where that puts less of its worth at risk.
func (s *state) place(ask ingress.Ask, now time.Duration, draw func(n int) int) ingress.Target {
	if len(ask.Route.Homes) > 0 && !ask.Relayed {
		s.asked(ask.Route.Name, now)
	}
	sharers := s.sharers(now)
	ask.Request.Steps = s.view.Steps(ask.Request.Service)
	goals := placement.Goals{
		First: ask.Goal,
		Gap:   ask.Route.GapGoal.Duration(),
		Left:  ask.Left,
	}
	here := s.view.Outlook(ask.Request, sharers, now)
	others := s.others(ask, now)
	home := s.home(ask, here, others)
	far, hasFar := s.weigh(others, ask, home, goals, now)
	allowed := ask.Route.Allows(s.settings.Region)
	if hasFar {
		risk := s.riskHere(here, ask, goals, home)
		if !allowed || here.Reason != placement.None || betterAway(risk, far.risk, far.region == home, draw) {
			t := sendAway(far, draw)
			s.tryAgain(t.Box, now)
			return t
		}
	}
	if !allowed {
		return ingress.Target{
			Reason: placement.Nothing,
			Wait:   askAgain,
		}
	}
	c := s.pick(ask, sharers, now)
	return ingress.Target{
		Choice: c,
		Reason: c.Reason,
		Wait:   cmp.Or(c.Wait, askAgain),
	}
}

// pick chooses a replica. A request on trial goes where the fewest others on trial run.
func (s *state) pick(ask ingress.Ask, sharers []string, now time.Duration) placement.Choice {
	if ask.Trial == nil {
		return s.view.Pick(ask.Request, sharers, now)
	}
	for most := 0; ; most++ {
		but := s.poison.Trials(*ask.Trial, most)
		request := ask.Request
		request.Tried = slices.Concat(request.Tried, but)
		c := s.view.Pick(request, sharers, now)
		if c.Replica != "" {
			s.poison.BeginTrial(c.Replica, *ask.Trial)
		}
		if c.Replica != "" || len(but) == 0 {
			return c
		}
	}
}

// other returns a target that was not tried, without counting the request in; false
// when there is none.
func (s *state) other(ask ingress.Ask, now time.Duration, draw func(n int) int) (ingress.Target, bool) {
	if ask.Route.Allows(s.settings.Region) {
		if c := s.view.Next(ask.Request, s.sharers(now), now); c.Reason == placement.None {
			return ingress.Target{
				Choice: c,
			}, true
		}
	}
	if list := s.others(ask, now); len(list) > 0 {
		return sendAway(list[draw(len(list))], draw), true
	}
	return ingress.Target{}, false
}

// askAgain is when to ask for a target again where nothing says when there will
// be one: other boxes are heard of, and replicas are listed, at any moment.
const askAgain = 40 * time.Millisecond
