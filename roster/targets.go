package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Tick is the time between two rounds of heartbeats within a region.
const Tick = 250 * time.Millisecond

const (
	maxNearTargets   = 16 // members of the own region in a tick
	targetsPerRegion = 2  // members of each other region, so that the loss of one datagram is harmless
	farEvery         = 4  // ticks; other regions need no loads, and traffic between regions has a price
	startupTicks     = 8  // first ticks of a box, each of which also sends to other regions; a box makes itself known within two seconds
	maxUrgentTargets = 64 // of an urgent update; others receive it from these
	silentProbeEvery = 4  // ticks; once a second is soon enough to notice that a partition has healed
	seedProbeEvery   = 10 // ticks
	minAlive         = 2  // with fewer live boxes, each tick sends to the seeds
)

// Targets returns the distinct addresses to send to at this tick, and expires members. It
// must be called once per Tick. rnd returns a random number from 0 to n-1.
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

// BroadcastTargets returns the addresses of live members, those of the own region first, and the
// seeds, up to the limit for urgent updates.
func (t *Table) BroadcastTargets(now time.Duration) []string {
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

// RegionTargets returns the addresses of live members of the own region, up to the limit of a
// tick.
func (t *Table) RegionTargets(now time.Duration) []string {
	out := targets{
		own: t.self.Peers,
	}
	out.addMembers(t.nearTargets(t.aliveMembers(now)))
	return out.list
}

func (t *Table) regionRank(m Member) int {
	if m.Status.Region == t.self.Region {
		return 0
	}
	return 1
}

// nearTargets returns members of the own region, cycling if there are many.
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

// recentlySilent returns dead members seen within partitionWindow, cycling if there are many.
func (t *Table) recentlySilent(now time.Duration) []Member {
	silent := t.members(func(r *record) bool {
		return !t.alive(r, now) && now-r.LastHeartbeat < partitionWindow
	})
	return rotate(silent, &t.silentCursor)
}

// longSilent returns a random member not seen within partitionWindow, so that parts of the
// fleet meet again after a long partition even if no seed is up.
func (t *Table) longSilent(now time.Duration, rnd func(n int) int) []Member {
	silent := t.members(func(r *record) bool { return now-r.LastHeartbeat >= partitionWindow })
	return pickRandom(silent, 1, rnd)
}

// rotate returns up to maxNearTargets members from the cursor on, and advances the cursor.
func rotate(list []Member, cursor *int) []Member {
	if len(list) <= maxNearTargets {
		return list
	}
	out := make([]Member, 0, maxNearTargets)
	for i := range maxNearTargets {
		out = append(out, list[(*cursor+i)%len(list)])
	}
	*cursor = (*cursor + maxNearTargets) % len(list)
	return out
}

// pickRandom moves n random elements, or all if there are fewer, to the front of list and
// returns them.
func pickRandom[T any](list []T, n int, rnd func(n int) int) []T {
	n = min(n, len(list))
	for i := range n {
		j := i + rnd(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:n]
}

// targets collects distinct addresses, without the own one.
type targets struct {
	own  string
	list []string
}

func (o *targets) addMembers(members []Member) {
	for _, m := range members {
		o.addAddrs([]string{m.Status.Peers})
	}
}

func (o *targets) addAddrs(list []string) {
	for _, addr := range list {
		if addr != "" && addr != o.own && !slices.Contains(o.list, addr) {
			o.list = append(o.list, addr)
		}
	}
}
