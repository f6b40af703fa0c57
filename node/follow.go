package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	readers     = 2                      // boxes of a region that read the catalog again, so that one may be lost
	watchers    = 3                      // boxes of a larger region that watch it for the others, so that two may be lost
	tellAge     = 10 * time.Second       // of knowledge that is of use to no follower: each has read by then
	nearWay     = 20 * time.Millisecond  // that a datagram takes at most, as a rule, within a region; a millisecond, and what its ends take
	farWay      = 200 * time.Millisecond // the same between regions: 80 ms, and what its ends take
	allWatchers = 4                      // boxes of a region up to which each watches for itself: three as a rule and a spare one
)

// readersKey is the key by which boxes of a region rank each other to read the catalog.
const readersKey = "catalog"

// role is what a box does to keep its copy of the catalog current.
type role struct {
	reads   bool // it reads again and again on behalf of others
	follows bool // others watch and read on its behalf
	tells   bool // there are others that need to know how old its knowledge is
}

// role returns what this box does, from the boxes of the region that are alive. All
// of them agree on it as far as they know of each other.
func (s *state) role(now time.Duration) role {
	names := []string{s.settings.Box}
	for m := range s.roster.All() {
		if m.Status.Region == s.settings.Region && s.roster.Alive(m.Status.Box, now) {
			names = append(names, m.Status.Box)
		}
	}
	if len(names) <= allWatchers {
		return role{
			reads: slices.Contains(rendezvous.Top(readersKey, names, readers), s.settings.Box),
		}
	}
	watches := slices.Contains(rendezvous.Top(readersKey, names, watchers), s.settings.Box)
	return role{
		reads:   watches,
		follows: !watches,
		tells:   true,
	}
}

// refresh asks a box that reads the catalog for others what has changed, and how old that
// is, unless one is asked already.
func (n *Node) refresh(ctx context.Context) {
	if !n.refreshing.CompareAndSwap(false, true) {
		return
	}
	var from wire.BoxStatus
	var has copyState
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		from = s.watcher(n.now())
		has = s.holds(from)
	})
	if from.Peers == "" {
		n.refreshing.Store(false)
		return
	}
	n.tasks.Go(func() {
		defer n.refreshing.Store(false)
		n.pull(ctx, from, has.after)
	})
}

// watcher returns one of the boxes of the region that watch the catalog for the others, each
// in turn.
func (s *state) watcher(now time.Duration) wire.BoxStatus {
	byName := make(map[string]wire.BoxStatus)
	for m := range s.roster.All() {
		if m.Status.Region == s.settings.Region && s.roster.Alive(m.Status.Box, now) {
			byName[m.Status.Box] = m.Status
		}
	}
	list := rendezvous.Top(readersKey, slices.Collect(maps.Keys(byName)), watchers)
	if len(list) == 0 {
		return wire.BoxStatus{}
	}
	s.refreshCount++
	return byName[list[s.refreshCount%len(list)]]
}

// chooseRole works out again what this box does for the catalog.
func (n *Node) chooseRole() {
	var r role
	_ = n.state.Do(func(s *state) { r = s.role(n.now()) }) // it fails only when the box has ended
	n.isReader.Store(r.reads)
	n.isFollower.Store(r.follows)
	n.sendsAge.Store(r.tells)
}

// catalogAge returns how old what this box knows is, by its own last reading and by
// the word of others.
func (n *Node) catalogAge() time.Duration { return n.now() - time.Duration(n.lastRead.Load()) }

// readMs returns what this box tells others of the age of its knowledge; 0 for
// nothing.
func (n *Node) readMs() int {
	if !n.sendsAge.Load() {
		return 0
	}
	return int(n.readingAge(n.lastRead.Load()))
}

// wayFrom returns how long a datagram from a region takes at most, as a rule. Without it
// a reading that boxes of several regions told each other got no older by its ways, and
// when all watchers were lost no follower read for 3 s.
func (n *Node) wayFrom(region string) time.Duration {
	if region == n.settings.Region {
		return nearWay
	}
	return farWay
}

// confirm takes in that another box knows of a reading of the catalog that found
// nothing newer than what this one knows. The word of it has waited for a time.
func (n *Node) confirm(from wire.BoxStatus, revision int64, waited time.Duration) {
	if from.ReadMs == 0 || int64(from.Catalog) > revision {
		return
	}
	n.confirmAt(n.now() - time.Duration(from.ReadMs)*time.Millisecond - n.wayFrom(from.Region) - waited)
}

// confirmAt takes in that the publisher had nothing newer, at a time, than what this box knows.
func (n *Node) confirmAt(at time.Duration) {
	for {
		was := n.lastRead.Load()
		if int64(at) <= was || n.lastRead.CompareAndSwap(was, int64(at)) {
			return
		}
	}
}
