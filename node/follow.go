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
	readersPerRegion    = 2                      // catalog readers of a small region, one of them redundant
	watchersPerRegion   = 3                      // catalog watchers of a larger region, two of them redundant
	maxSharedReadAge    = 10 * time.Second       // of a read that is still sent to others: beyond it each follower reads itself
	localDatagramDelay  = 20 * time.Millisecond  // upper estimate of the delay of a datagram within a region
	remoteDatagramDelay = 200 * time.Millisecond // upper estimate between regions: 80 ms and processing
	maxSelfWatching     = 4                      // boxes of a region that each watch for themselves
)

// readersKey is the rendezvous key that ranks boxes of a region as catalog readers.
const readersKey = "catalog"

// role is what a box does to keep its copy of the catalog current.
type role struct {
	isReader   bool // polls the catalog on behalf of others
	isFollower bool // relies on the watchers of its region
	sharesAge  bool // sends the age of its last read to others
}

// role derives the role of this box from the live boxes of its region. Boxes with the same roster agree
// on their roles.
func (s *state) role(now time.Duration) role {
	names := []string{s.settings.Box}
	for m := range s.roster.All() {
		if m.Status.Region == s.settings.Region && s.roster.Alive(m.Status.Box, now) {
			names = append(names, m.Status.Box)
		}
	}
	if len(names) <= maxSelfWatching {
		return role{
			isReader: slices.Contains(rendezvous.Top(readersKey, names, readersPerRegion), s.settings.Box),
		}
	}
	watches := slices.Contains(rendezvous.Top(readersKey, names, watchersPerRegion), s.settings.Box)
	return role{
		isReader:   watches,
		isFollower: !watches,
		sharesAge:  true,
	}
}

// refresh requests catalog changes and their age from a watcher, unless a request is in progress.
func (n *Node) refresh(ctx context.Context) {
	if !n.refreshing.CompareAndSwap(false, true) {
		return
	}
	var from wire.BoxStatus
	var has copyState
	_ = n.state.Do(func(s *state) { // it fails only after the box has stopped
		from = s.nextWatcher(n.now())
		has = s.compareCopy(from)
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

// nextWatcher returns the catalog watchers of the region in rotation.
func (s *state) nextWatcher(now time.Duration) wire.BoxStatus {
	byName := make(map[string]wire.BoxStatus)
	for m := range s.roster.All() {
		if m.Status.Region == s.settings.Region && s.roster.Alive(m.Status.Box, now) {
			byName[m.Status.Box] = m.Status
		}
	}
	list := rendezvous.Top(readersKey, slices.Collect(maps.Keys(byName)), watchersPerRegion)
	if len(list) == 0 {
		return wire.BoxStatus{}
	}
	s.refreshCount++
	return byName[list[s.refreshCount%len(list)]]
}

func (n *Node) chooseRole() {
	var r role
	_ = n.state.Do(func(s *state) { r = s.role(n.now()) }) // it fails only after the box has stopped
	n.isReader.Store(r.isReader)
	n.isFollower.Store(r.isFollower)
	n.sendsAge.Store(r.sharesAge)
}

// catalogAge returns the time since the catalog was last confirmed, by a read of this box or of another.
func (n *Node) catalogAge() time.Duration { return n.now() - time.Duration(n.lastRead.Load()) }

// sharedReadMs returns the age of the last read as sent to other boxes; 0 for none.
func (n *Node) sharedReadMs() int {
	if !n.sendsAge.Load() {
		return 0
	}
	return int(n.sharedReadAge(n.lastRead.Load()))
}

// datagramDelay returns an upper estimate of the delay of a datagram from a region. It is added to
// received ages, which would otherwise stay constant while boxes exchange them.
func (n *Node) datagramDelay(region string) time.Duration {
	if region == n.settings.Region {
		return localDatagramDelay
	}
	return remoteDatagramDelay
}

// confirm records the read that another box reports, if that found nothing newer than revision.
// waited is the time since the datagram arrived.
func (n *Node) confirm(from wire.BoxStatus, revision int64, waited time.Duration) {
	if from.ReadMs == 0 || int64(from.Catalog) > revision {
		return
	}
	n.confirmAt(n.now() - time.Duration(from.ReadMs)*time.Millisecond - n.datagramDelay(from.Region) - waited)
}

// confirmAt records that the copy of this box was the newest at a time.
func (n *Node) confirmAt(at time.Duration) {
	for {
		was := n.lastRead.Load()
		if int64(at) <= was {
			return
		}
		if n.lastRead.CompareAndSwap(was, int64(at)) {
			if at-time.Duration(was) > maxUnconfirmed {
				n.confirmedSince.Store(int64(at))
			}
			return
		}
	}
}
