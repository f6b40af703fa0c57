package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	peerDial   = 500 * time.Millisecond // between regions a connection takes 160 ms
	pullLimit  = 2 * time.Second        // for a whole catalog from another box
	pullPause  = 300 * time.Millisecond // between two of them
	readers    = 2                      // boxes of a region that read the catalog again, so that one may be lost
	passEvery  = 4                      // rounds in which others' statuses are passed on, once a second, as to other regions
	passedOn   = 8                      // other boxes' statuses in one datagram
	reloadLook = time.Second            // how often the settings are compared
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
		n.send(n.message(), n.everyone(), true)
		for round := 0; ctx.Err() == nil; round++ {
			sleep.For(ctx, roster.Tick)
			n.tell(round)
			n.watchMembers()
		}
	})
}

// tell sends one round of datagrams. What this box heard of others is passed on in
// some of them only, for bytes are bounded.
func (n *Node) tell(round int) {
	var targets []string
	_ = n.state.Do(func(s *state) { targets = s.roster.Targets(n.now(), rand.IntN) })
	g := n.message()
	if round%passEvery != 0 {
		g.Others = nil
	}
	n.send(g, targets, false)
}

// tellEveryone sends news that can't wait for the next round.
func (n *Node) tellEveryone() { n.send(n.message(), n.everyone(), false) }

// tellLoads tells the boxes of the region what this one has at its replicas.
func (n *Node) tellLoads() {
	var targets []string
	_ = n.state.Do(func(s *state) { targets = s.roster.OwnRegion(n.now()) })
	g := n.message()
	g.Others = nil
	n.send(g, targets, false)
}

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

// message returns what this box says of itself now.
func (n *Node) message() (g wire.Gossip) {
	_ = n.state.Do(func(s *state) {
		g.From = s.fill(n.status(), n.now())
		g.Others = s.roster.Digest(n.now(), passedOn)
	})
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
		n.send(n.message(), []string{g.From.Peers}, false)
	}
	n.feed.Behind(int64(g.From.Catalog))
	if g.From.Peers == "" || !n.pulls(g.From, revision) {
		return
	}
	if n.pulling.CompareAndSwap(false, true) {
		n.tasks.Go(func() {
			defer n.pulling.Store(false)
			n.pull(ctx, g.From)
			sleep.For(ctx, pullPause)
		})
	}
}

// pulls says whether the catalog is asked for from another box: when this one
// knows no policy, or can't read the publisher and the other knows more.
func (n *Node) pulls(from wire.BoxStatus, revision int64) bool {
	if n.table.Load() == nil {
		return from.Policy > 0
	}
	return !n.storeOK.Load() && int64(from.Catalog) > revision
}

// readsForOthers says whether this box is one of those that read the whole
// catalog again and again on behalf of the boxes of its region.
func (n *Node) readsForOthers() (out bool) {
	_ = n.state.Do(func(s *state) {
		names := []string{s.settings.Box}
		for _, m := range s.roster.Members() {
			if m.Status.Region == s.settings.Region && s.roster.Alive(m.Status.Box, n.now()) {
				names = append(names, m.Status.Box)
			}
		}
		out = slices.Contains(rendezvous.Top("catalog", names, readers), s.settings.Box)
	})
	return out
}

// catalogRequest asks for a catalog newer than a revision.
type catalogRequest struct {
	After int64 `json:"after"`
}

// pull asks another box for its catalog.
func (n *Node) pull(ctx context.Context, from wire.BoxStatus) {
	ctx, cancel := context.WithTimeout(ctx, pullLimit)
	defer cancel()
	var s catalog.Snapshot
	err := n.peers.Call(ctx, from.Peers, peer.Catalog, catalogRequest{}, &s)
	if err != nil {
		n.record(decision.Event{
			Kind:     decision.Belief,
			Upstream: from.Box,
			Reason:   "catalog not read from box",
			Detail:   err.Error(),
		})
		return
	}
	n.takeUpdate(catalog.Update{
		Snapshot: &s,
		Revision: s.Revision,
		Settled:  true,
	})
}

// answerPeer answers another box's question.
func (n *Node) answerPeer(_ context.Context, m peer.Method, params json.RawMessage) (any, error) {
	if m != peer.Catalog {
		return nil, errors.Newf("unknown message %q", string(m))
	}
	var req catalogRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "catalog")
	}
	var out catalog.Snapshot
	err := n.state.Do(func(s *state) { out = s.content.Snapshot() })
	return out, err
}

// takeUpdate takes an update of the catalog in.
func (n *Node) takeUpdate(u catalog.Update) {
	first := n.table.Load() == nil
	_ = n.state.Do(func(s *state) {
		for _, b := range s.take(u, n.now()) {
			n.record(decision.Event{
				Kind:     decision.Belief,
				Upstream: b.About,
				Reason:   b.Reason,
				Revision: b.Rev,
				Detail:   b.Region,
			})
		}
		n.table.Store(s.table)
	})
	if first && n.table.Load() != nil {
		n.tellEveryone() // this box serves from now on
	}
}

// storeHealth takes in whether a call to the store succeeded.
func (n *Node) storeHealth(err error) {
	ok := err == nil
	if ok {
		n.read.Store(int64(n.now()))
	}
	if n.storeOK.Swap(ok) == ok {
		return
	}
	e := decision.Event{
		Kind:     decision.Regained,
		Upstream: "store",
	}
	if !ok {
		e.Kind = decision.Lost
		e.Detail = err.Error()
	}
	n.record(e)
}

func (n *Node) badValue(name string, err error) {
	n.record(decision.Event{
		Kind:     decision.Belief,
		Upstream: name,
		Reason:   "value not usable, the last good one stays",
		Detail:   err.Error(),
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

// runReload looks now and then whether the settings have changed, for they may
// do so without a signal.
func (n *Node) runReload(ctx context.Context) {
	n.tasks.Go(func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(reloadLook):
				n.reload(false)
			case <-n.told:
				n.reload(true)
			}
		}
	})
}

// Reload has the settings read again.
func (n *Node) Reload() {
	select {
	case n.told <- struct{}{}:
	default: // they are about to be read
	}
}

// reload takes changed settings in. Addresses are those of the start.
func (n *Node) reload(told bool) {
	s, err := n.adapter.Reload()
	if err != nil {
		n.record(decision.Event{
			Kind:   decision.Reload,
			Reason: "settings not usable, the last good ones stay",
			Detail: err.Error(),
		})
		return
	}
	if s.Bounds == n.bounds && !told {
		return
	}
	n.bounds = s.Bounds
	_ = n.state.Do(func(st *state) { // it fails only when the box has ended
		st.budget.SetTerms(retryTerms(s.Bounds))
		st.view.Pacer().SetTerms(coldTerms(s.Bounds))
	})
	n.record(decision.Event{
		Kind:   decision.Reload,
		Reason: "settings taken in",
	})
}
