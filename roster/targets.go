package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Tick is the time between two rounds of datagrams within a region: a quarter
// second lets a box's loads be known before they have changed much.
const Tick = 250 * time.Millisecond

// Whom to send to at which tick.
const (
	maxNearTargets   = 16 // members of the own region at a tick: 64 datagrams a second at most
	targetsPerRegion = 2  // members of each other region, so that one lost datagram is no matter
	farEvery         = 4  // ticks; other regions need no loads, and bytes to them have a price
	startupTicks     = 8  // first ticks of a box, at each of which other regions are sent to as well: it makes itself known within two seconds
	maxUrgentTargets = 64 // of news that can't wait; more boxes hear of it from these
	silentProbeEvery = 4  // ticks; once a second is soon enough to notice that a cut has healed
	seedProbeEvery   = 10 // ticks; seeds are mostly members, too
	minAlive         = 2  // with fewer boxes alive than this, the seeds are asked at each tick
)

// Targets returns the addresses to send to at this tick, each once. It is called
// once each Tick, and counts its calls. rnd returns a random number from 0 to
// n-1. Members that were silent for long are forgotten here.
func (t *Table) Targets(now time.Duration, rnd func(n int) int) []string {
	t.removeExpired(now)
	tick := t.ticks
	t.ticks++
	alive := t.aliveMembers(now)
	out := targets{
		own: t.self.Peers,
	}
	out.addMembers(t.nearTargets(alive))
	if tick%farEvery == 0 || tick < startupTicks {
		out.addMembers(t.farTargets(alive, rnd))
	}
	if tick%silentProbeEvery == 0 {
		out.addMembers(t.recentlySilent(now))
	}
	if tick%seedProbeEvery == 0 {
		out.addMembers(t.longSilent(now, rnd))
	}
	if tick%seedProbeEvery == 0 || len(alive) < minAlive {
		out.addAddrs(t.seeds)
	}
	return out.list
}

// Everyone returns the addresses of all members alive, and the seeds, for news
// that can't wait for the next tick: 64 at most, those of the own region first.
func (t *Table) Everyone(now time.Duration) []string {
	alive := t.aliveMembers(now)
	slices.SortStableFunc(alive, func(a, b Member) int {
		return cmp.Compare(t.regionRank(a), t.regionRank(b))
	})
	out := targets{
		own: t.self.Peers,
	}
	out.addMembers(alive)
	out.addAddrs(t.seeds)
	return out.list[:min(len(out.list), maxUrgentTargets)]
}

// OwnRegion returns the addresses of the members alive of the own region, as many
// as a tick is sent to.
func (t *Table) OwnRegion(now time.Duration) []string {
	out := targets{
		own: t.self.Peers,
	}
	out.addMembers(t.nearTargets(t.aliveMembers(now)))
	return out.list
}

// regionRank orders members: those of the own region come first.
func (t *Table) regionRank(m Member) int {
	if m.Status.Region == t.self.Region {
		return 0
	}
	return 1
}

// nearTargets returns members of the own region, in turn when they are many.
func (t *Table) nearTargets(alive []Member) []Member {
	own := slices.DeleteFunc(slices.Clone(alive), func(m Member) bool {
		return m.Status.Region != t.self.Region
	})
	return rotate(own, &t.nearCursor)
}

// farTargets returns random members of each other region.
func (t *Table) farTargets(alive []Member, rnd func(n int) int) []Member {
	regions := make(map[string][]Member)
	for _, m := range alive {
		if m.Status.Region != t.self.Region {
			regions[m.Status.Region] = append(regions[m.Status.Region], m)
		}
	}
	var out []Member
	for _, region := range slices.Sorted(maps.Keys(regions)) {
		out = append(out, pickRandom(regions[region], targetsPerRegion, rnd)...)
	}
	return out
}

// recentlySilent returns members that were silent for a short time, in turn when they
// are many.
func (t *Table) recentlySilent(now time.Duration) []Member {
	silent := t.members(func(r *record) bool {
		return !t.alive(r, now) && now-r.Heard < partitionWindow
	})
	return rotate(silent, &t.silentCursor)
}

// longSilent returns one member that was silent for longer, at random: two parts
// of the fleet meet again after a long cut also when no seed is up.
func (t *Table) longSilent(now time.Duration, rnd func(n int) int) []Member {
	silent := t.members(func(r *record) bool { return now-r.Heard >= partitionWindow })
	return pickRandom(silent, 1, rnd)
}

// rotate returns up to ownTargets members from *turn on, and moves it past them.
func rotate(list []Member, turn *int) []Member {
	if len(list) <= maxNearTargets {
		return list
	}
	out := make([]Member, 0, maxNearTargets)
	for i := range maxNearTargets {
		out = append(out, list[(*turn+i)%len(list)])
	}
	*turn = (*turn + maxNearTargets) % len(list)
	return out
}

// pickRandom moves n random members, or all when there are fewer, to the head of list
// and returns them.
func pickRandom[T any](list []T, n int, rnd func(n int) int) []T {
	n = min(n, len(list))
	for i := range n {
		j := i + rnd(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// targets collects addresses, each once, without the own one.
type targets struct {
	own  string
	list []string
}

// addMembers adds the addresses of members.
func (o *targets) addMembers(members []Member) {
	for _, m := range members {
		o.addAddrs([]string{m.Status.Peers})
	}
}

// addAddrs adds the addresses that are new.
func (o *targets) addAddrs(list []string) {
	for _, addr := range list {
		if addr != "" && addr != o.own && !slices.Contains(o.list, addr) {
			o.list = append(o.list, addr)
		}
	}
}
