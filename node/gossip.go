package node

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	passEvery = 4 // rounds in which others' statuses are passed on, once a second, as to other regions
	passedOn  = 8 // other boxes' statuses in one datagram
)

// runGossip tells other boxes of this one, and listens to them.
func (n *Node) runGossip(ctx context.Context) {
	for _, conn := range n.listeners.packets {
		link := roster.NewLink(conn, func(g wire.Gossip, _ net.Addr) { n.hear(ctx, g) })
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
	n.tasks.Go(func() {
		n.send(n.message(true), n.everyone(), true)
		for round := 0; ctx.Err() == nil; round++ {
			sleep.For(ctx, roster.Tick)
			n.tell(round)
			n.chooseRole()
			n.watchMembers()
		}
	})
}

// tell sends one round of datagrams. What this box heard of others is passed on in
// some of them only, for bytes are bounded.
func (n *Node) tell(round int) {
	var targets []string
	_ = n.state.Do(func(s *state) { targets = s.roster.Targets(n.now(), rand.IntN) })
	n.send(n.message(round%passEvery == 0), targets, false)
}

// tellEveryone sends news that can't wait for the next round.
func (n *Node) tellEveryone() { n.send(n.message(true), n.everyone(), false) }

// tellLoads tells the boxes of the region what this one has at its replicas.
func (n *Node) tellLoads() {
	var targets []string
	_ = n.state.Do(func(s *state) { targets = s.roster.OwnRegion(n.now()) })
	n.send(n.message(false), targets, false)
}

// everyone returns the addresses for news that can't wait.
func (n *Node) everyone() (out []string) {
	_ = n.state.Do(func(s *state) { out = s.roster.Everyone(n.now()) })
	return out
}

// send sends a message to the boxes at some addresses. With ask they answer at
// once.
func (n *Node) send(g wire.Gossip, targets []string, ask bool) {
	g.Ask = ask
	for _, addr := range targets {
		_ = n.links[0].Send(addr, g) // a datagram may be lost anyway, and the next one follows
	}
}

// message returns what this box says of itself now, and where others is true, what
// it heard of other boxes: only where it is sent, for those in it lose their turn.
func (n *Node) message(others bool) (g wire.Gossip) {
	_ = n.state.Do(func(s *state) {
		g.From = s.fill(n.status(), n.now())
		if others {
			g.Others = s.roster.Digest(n.now(), passedOn)
		}
	})
	g.From.ReadMs = n.readMs()
	if n.closed.Load() {
		g.From.Callers = ""
	}
	switch {
	case n.leaving.Load():
		g.From.State = wire.ServingStateLeaving
	case n.table.Load() == nil:
		g.From.State = wire.ServingStateStarting
	}
	return g
}

// hear takes a datagram in. A box that knows more than one that can't read the
// catalog itself is asked for it.
func (n *Node) hear(ctx context.Context, g wire.Gossip) {
	revision := int64(0)
	_ = n.state.Do(func(s *state) {
		s.hear(g, n.now())
		revision = s.content.Revision()
	})
	if g.Ask && g.From.Peers != "" {
		n.send(n.message(true), []string{g.From.Peers}, false)
	}
	n.confirm(g.From, revision)
	switch {
	case g.From.Peers != "" && n.pulls(g.From, revision):
		n.startPull(ctx, g.From, revision)
	case n.follows.Load(): // boxes of the own region will tell
	default:
		n.feed.Behind(int64(g.From.Catalog))
	}
}

// startPull asks another box for its catalog, unless one is asked already.
func (n *Node) startPull(ctx context.Context, from wire.BoxStatus, revision int64) {
	if !n.pulling.CompareAndSwap(false, true) {
		return
	}
	n.tasks.Go(func() {
		defer n.pulling.Store(false)
		n.pull(ctx, from, revision)
		sleep.For(ctx, pullPause)
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
		for _, m := range s.roster.Members() {
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
