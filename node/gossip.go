package node

import (
	"context"
	"net"
	"time"

	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/poison"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/wire"
)

// runGossip tells other boxes of this one, and listens to them.
func (n *Node) runGossip(ctx context.Context) {
	for _, conn := range n.listeners.packets {
		link := roster.NewLink(conn,
			func(g wire.Gossip, _ net.Addr) { n.hear(ctx, g) },
			roster.WithCompact(func(b roster.Compact, from net.Addr) { n.hearCompact(ctx, b, from.String()) }),
			roster.WithOther(poison.Mark, func(buf []byte, from net.Addr) { n.receivePoison(buf, from.String()) }))
		n.links = append(n.links, link)
	}
	for _, link := range n.links { // when all are there, for a message that comes is answered
		n.tasks.Go(func() { link.Run(ctx) })
	}
	n.tasks.Go(func() {
		if err := peer.Serve(ctx, n.listeners.peers, n.answerPeer, func(peer.Method, int) {}); err != nil {
			n.record(decision.Event{
				Kind:   decision.Lost,
				Reason: "boxes can't ask this one",
				Detail: err.Error(),
			})
		}
	})
	n.tasks.Go(func() { n.beat(ctx) })
}

// beat tells others of this box in each round, and works out again what depends on
// what is known of them.
func (n *Node) beat(ctx context.Context) {
	n.tellEveryone(true)
	for ctx.Err() == nil {
		sleep.For(ctx, roster.Tick)
		n.noticeSuspension()
		n.tell()
		n.settle()
		n.recordUnlistedCrashes()
		n.gossipPoison()
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

// noticeSuspension writes down that the machine was suspended. All that is held with a time
// has grown older by then, as after a freeze.
func (n *Node) noticeSuspension() {
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

// tell sends one round of datagrams.
func (n *Node) tell() {
	n.send(func(s *state, self wire.BoxStatus) []roster.Packet {
		now := n.now()
		out := s.roster.Tell(self, now, n.draw)
		s.view.OthersFor(s.roster.LoadsAge())
		s.chooseTaking(n.servingState(), now)
		s.poison.Forget(now)
		return append(out, s.tellWords(now, n.draw)...)
	})
}

// tellEveryone sends news that can't wait for the next round. With ask the others
// answer at once.
func (n *Node) tellEveryone(ask bool) {
	n.send(func(s *state, self wire.BoxStatus) []roster.Packet {
		return s.roster.TellEveryone(self, n.now(), ask)
	})
}

// tellLoads tells the boxes of the region what this one has at its replicas.
func (n *Node) tellLoads() {
	n.send(func(s *state, self wire.BoxStatus) []roster.Packet {
		if !s.roster.TellsLoads() {
			return nil
		}
		return s.roster.TellLoads(self, n.now(), n.draw)
	})
}

// send sends what is made of the state and of what this box says of itself now.
func (n *Node) send(from func(s *state, self wire.BoxStatus) []roster.Packet) {
	var out []roster.Packet
	_ = n.state.Do(func(s *state) { out = from(s, n.self(s)) })
	n.post(out)
}

// post sends datagrams.
func (n *Node) post(list []roster.Packet) {
	for _, p := range list {
		n.deliver(p)
	}
}

// self returns what this box says of itself now.
func (n *Node) self(s *state) wire.BoxStatus {
	out := s.fill(n.status(), n.now())
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

// hear takes a datagram of whole statuses in.
func (n *Node) hear(ctx context.Context, g wire.Gossip) {
	_ = n.state.Do(func(s *state) { s.hear(g, n.now()) })
	if g.Ask && g.From.Peers != "" {
		n.send(func(s *state, self wire.BoxStatus) []roster.Packet {
			return s.roster.Answer(self, g.From.Peers, n.now())
		})
	}
	n.learn(ctx, g.From, int64(g.From.Catalog))
}

// hearCompact takes a compact datagram in.
func (n *Node) hearCompact(ctx context.Context, b roster.Compact, from string) {
	var h roster.Heard
	_ = n.state.Do(func(s *state) { h = s.hearCompact(b, from, n.now()) })
	n.post(h.Replies)
	if !h.Newer {
		h.Status.ReadMs = 0 // it was so long ago when an earlier compact datagram came
	}
	n.learn(ctx, h.Status, max(b.Catalog, b.Newest))
}

// learn takes in which revision of the catalog a box knows, or has heard of. A box
// that knows more is asked for it by one that follows others or can't read the
// catalog itself.
func (n *Node) learn(ctx context.Context, from wire.BoxStatus, newest int64) {
	var has copyState
	var waited time.Duration
	_ = n.state.Do(func(s *state) {
		has = s.compareCopy(from)
		waited = s.roster.Waited(from, n.now())
	})
	n.confirm(from, has.newest, waited)
	if from.Policy > has.policy {
		n.fetchMissingPolicy(ctx)
	}
	switch {
	case from.Peers != "" && n.shouldPull(from, has):
		n.startPull(ctx, from, has)
	case n.follows.Load(): // boxes of the own region will tell
	default:
		n.feed.Behind(newest)
	}
}

// startPull asks another box for what changed after a revision, unless one is asked
// already.
//
// A question that is for a doubt alone seldom brings anything, and another one to a box
// that knows more doesn't wait for it: replicas that came back late were not listed for
// 0.4 s.
func (n *Node) startPull(ctx context.Context, from wire.BoxStatus, has copyState) {
	if !n.pulling.CompareAndSwap(false, true) {
		return
	}
	n.tasks.Go(func() {
		defer n.pulling.Store(false)
		if n.pull(ctx, from, has.after) {
			sleep.For(ctx, busyRetryInterval) // another box has it by then
			return
		}
		if n.table.Load() != nil && int64(from.Catalog) <= has.newest {
			n.doubtAsk.Store(int64(n.now() + pullInterval))
			return
		}
		sleep.For(ctx, pullInterval)
	})
}

// watchMembers writes down boxes that fell silent or came back.
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
			if was, ok := s.alive[m.Status.Box]; ok && was == alive {
				continue
			}
			s.alive[m.Status.Box] = alive
			kind := decision.Regained
			if !alive {
				kind = decision.Lost
			}
			changes = append(changes, change{
				box:  m.Status.Box,
				kind: kind,
				age:  now - m.Heard,
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

// watchRegion writes down from when on all boxes of the region are known, without
// which this box takes no share of a quota, and when that is no longer so.
func (n *Node) watchRegion() {
	var complete, changed bool
	var sharing int
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		sharing = len(s.sharers(n.now()))
		complete = sharing > 0
		changed = complete != s.complete
		s.complete = complete
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
