package node

import (
	"context"
	"net"
	"time"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/origin"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/poison"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/segment"
	"github.com/havenrudder/havenrudder/signal"
	"github.com/havenrudder/havenrudder/wire"
)

func (n *Node) runGossip(ctx context.Context) {
	for _, conn := range n.listeners.packets {
		link := roster.NewLink(conn,
			func(g wire.Gossip, _ net.Addr) { n.receive(ctx, g) },
			roster.WithCompact(func(b roster.Compact, from net.Addr) { n.receiveCompact(ctx, b, from.String()) }),
			roster.WithForeign(poison.DatagramType, func(buf []byte, from net.Addr) { n.receivePoison(buf, from.String()) }),
			roster.WithForeign(poison.PartsDatagramType, func(buf []byte, from net.Addr) { n.receivePoison(buf, from.String()) }),
			roster.WithForeign(signal.DatagramType, func(buf []byte, from net.Addr) { n.receiveSignals(buf, from.String()) }),
			roster.WithForeign(origin.DatagramType, func(buf []byte, from net.Addr) { n.receiveBuild(buf, from.String()) }),
			roster.WithForeign(segment.DatagramType, func(buf []byte, from net.Addr) { n.receiveSegments(buf, from.String()) }))
		n.links = append(n.links, link)
	}
	for _, link := range n.links { // after all are created, since an answer to a message uses the first
		n.tasks.Go(func() { link.Run(ctx) })
	}
	n.tasks.Go(func() {
		if err := peer.Serve(ctx, n.listeners.peers, n.answerPeer, func(peer.Method, int) {}); err != nil {
			n.record(decision.Event{
				Kind:   decision.Lost,
				Reason: "connections of other boxes not served",
				Detail: err.Error(),
			})
		}
	})
	n.tasks.Go(func() { n.runHeartbeats(ctx) })
}

// runHeartbeats sends heartbeats and updates the state that depends on those of other boxes.
func (n *Node) runHeartbeats(ctx context.Context) {
	n.notifyAll(true)
	for ctx.Err() == nil {
		began := clock.Now()
		sleep.For(ctx, roster.Tick)
		n.recordDelay(clock.Since(began) - roster.Tick)
		n.recordSuspension()
		n.sendHeartbeats()
		n.applyExpired()
		n.recordUnlistedCrashes()
		n.gossipPoison()
		n.gossipSignals()
		n.chooseRole()
		n.requestSnapshot(ctx)
		n.fetchMissingPolicy(ctx)
		n.rereadMissingPolicy()
		n.requestProofs(ctx)
		n.maintainQuotas(ctx)
		n.recordLeaseChange()
		n.watchMembers()
		n.watchRegion()
		n.watchDomains()
	}
}

// minLoggedDelay is how late a heartbeat is from which that is logged: requests and the ends of their
// connections are noticed as late.
const minLoggedDelay = 200 * time.Millisecond

// recordDelay records how late a timer fired because the process lacked processor time.
func (n *Node) recordDelay(late time.Duration) {
	if late < minLoggedDelay {
		return
	}
	n.meter.Delayed(late)
	n.record(decision.Event{
		Kind:   decision.Belief,
		Reason: "process was held up",
		ForMs:  late.Milliseconds(),
	})
}

// recordSuspension records a suspension of the machine. Its duration counts in the age of
// all records.
func (n *Node) recordSuspension() {
	clock.Check()
	total := clock.Suspended()
	gap := total - n.suspended
	if gap == 0 {
		return
	}
	n.suspended = total
	n.meter.Suspended(gap)
	n.record(decision.Event{
		Kind:   decision.Regained,
		Reason: "machine was suspended",
		AgeMs:  gap.Milliseconds(),
	})
}

func (n *Node) sendHeartbeats() {
	n.send(func(s *state, self wire.BoxStatus) []roster.Packet {
		now := n.now()
		out := s.roster.Gossip(self, now, n.draw)
		s.view.SetPeerLoadTTL(s.roster.LoadsTTL())
		s.chooseActive(n.servingState(), now)
		s.updateShares(now) // applyExpired, which follows, places requests by them
		s.poison.Expire(now)
		n.heldParts.Store(int32(s.poison.HeldParts()))
		out = append(out, s.loadReportPackets(now, n.draw)...)
		return append(out, s.segmentPackets(now, n.draw)...)
	})
}

// notifyAll sends the status of this box to all others before the next round. With ask
// they answer at once.
func (n *Node) notifyAll(ask bool) {
	n.send(func(s *state, self wire.BoxStatus) []roster.Packet {
		return s.roster.Broadcast(self, n.now(), ask)
	})
}

// sendLoads sends the load of this box at the replicas to the boxes of the region.
func (n *Node) sendLoads() {
	n.send(func(s *state, self wire.BoxStatus) []roster.Packet {
		if !s.roster.SharesLoads() {
			return nil
		}
		return s.roster.SendLoads(self, n.now(), n.draw)
	})
}

// send sends the datagrams that makePackets makes of the state and of this box's status.
func (n *Node) send(makePackets func(s *state, self wire.BoxStatus) []roster.Packet) {
	var out []roster.Packet
	_ = n.state.Do(func(s *state) { out = makePackets(s, n.ownStatus(s)) })
	n.sendPackets(out)
}

func (n *Node) sendPackets(list []roster.Packet) {
	for _, p := range list {
		n.sendPacket(p)
	}
}

func (n *Node) ownStatus(s *state) wire.BoxStatus {
	out := s.fillStatus(n.status(), n.now())
	out.ReadMs = n.sharedReadMs()
	out.UpMs = int(n.now().Milliseconds())
	if n.closed.Load() {
		out.Callers = ""
	}
	switch {
	case n.leaving.Load():
		out.State = wire.ServingStateLeaving
	case n.table.Load() == nil:
		out.State = wire.ServingStateStarting
	}
	return out
}

// receive applies a datagram of full statuses.
func (n *Node) receive(ctx context.Context, g wire.Gossip) {
	answer := false
	_ = n.state.Do(func(s *state) {
		answer = s.receive(g, n.now())
		n.dispatchSoon(s)
	})
	if answer {
		n.send(func(s *state, self wire.BoxStatus) []roster.Packet {
			return s.roster.Reply(self, g.From, n.now())
		})
	}
	n.compareCatalog(ctx, g.From, int64(g.From.Catalog))
}

func (n *Node) receiveCompact(ctx context.Context, b roster.Compact, from string) {
	var h roster.Received
	_ = n.state.Do(func(s *state) {
		h = s.receiveCompact(b, from, n.now())
		n.dispatchSoon(s)
	})
	n.sendPackets(h.Replies)
	if !h.Newer {
		h.Status.ReadMs = 0 // it is the age at the time of an earlier datagram
	}
	n.compareCatalog(ctx, h.Status, max(b.Catalog, b.NewestCatalog))
}

// compareCatalog fetches a newer catalog from another box if this one is a follower or can't
// read the catalog.
func (n *Node) compareCatalog(ctx context.Context, from wire.BoxStatus, newest int64) {
	var has copyState
	var waited time.Duration
	_ = n.state.Do(func(s *state) {
		has = s.compareCopy(from)
		waited = s.roster.QueueingDelay(from, n.now())
	})
	n.confirm(from, has.newest, waited)
	if from.Policy > has.policy {
		n.fetchMissingPolicy(ctx)
	}
	switch {
	case from.Peers != "" && n.shouldPull(from, has):
		n.startPull(ctx, from, has)
	case n.isFollower.Load(): // boxes of its region will send it
	default:
		n.feed.NotifyRevision(newest)
	}
}

// startPull fetches the changes after a revision from another box, unless a fetch is running.
// A fetch for unconfirmed removals alone doesn't delay the next one from a newer catalog.
func (n *Node) startPull(ctx context.Context, from wire.BoxStatus, has copyState) {
	if !n.pulling.CompareAndSwap(false, true) {
		return
	}
	n.tasks.Go(func() {
		defer n.pulling.Store(false)
		if n.pull(ctx, from, has.after) {
			sleep.For(ctx, busyRetryInterval) // another box may have it by then
			return
		}
		if n.table.Load() != nil && int64(from.Catalog) <= has.newest {
			n.nextRemovalPull.Store(int64(n.now() + pullInterval))
			return
		}
		sleep.For(ctx, pullInterval)
	})
}

// watchMembers records boxes that became silent or recovered.
func (n *Node) watchMembers() {
	type change struct {
		box  string
		kind decision.Kind
		age  time.Duration
	}
	var changes []change
	_ = n.state.Do(func(s *state) {
		now := n.now()
		for m := range s.roster.All() {
			alive := s.roster.Alive(m.Status.Box, now)
			if was, ok := s.loggedAlive[m.Status.Box]; ok && was == alive {
				continue
			}
			s.loggedAlive[m.Status.Box] = alive
			kind := decision.Regained
			if !alive {
				kind = decision.Lost
			}
			changes = append(changes, change{
				box:  m.Status.Box,
				kind: kind,
				age:  now - m.LastHeartbeat,
			})
		}
	})
	for _, c := range changes {
		n.record(decision.Event{
			Kind:     c.kind,
			Upstream: c.box,
			AgeMs:    c.age.Milliseconds(),
		})
	}
}

// watchRegion records whether all boxes of the region are recorded, without which this box
// has no allocation of a quota.
func (n *Node) watchRegion() {
	var complete, changed bool
	var sharing int
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		sharing = len(s.sharers(n.now()))
		complete = sharing > 0
		changed = complete != s.loggedComplete
		s.loggedComplete = complete
	})
	if !changed {
		return
	}
	reason := "boxes of the region not all known"
	if complete {
		reason = "all boxes of the region known"
	}
	n.record(decision.Event{
		Kind:     decision.Belief,
		Upstream: n.settings.Region,
		Reason:   reason,
		Sharers:  sharing,
	})
}

// packetsTo returns one datagram to each of some addresses.
func packetsTo(addrs []string, buf []byte) (out []roster.Packet) {
	for _, addr := range addrs {
		out = append(out, roster.Packet{
			Addr: addr,
			Buf:  buf,
		})
	}
	return out
}

func (n *Node) recordMalformedDatagram(from string, err error) {
	n.record(decision.Event{
		Kind:   decision.Belief,
		Reason: "malformed datagram passed over",
		Detail: err.Error() + " from " + from,
	})
}
