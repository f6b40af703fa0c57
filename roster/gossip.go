package roster

import (
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// Relay of statuses in full-status mode.
const (
	digestEvery = 4 // ticks
	maxDigest   = 8
)

// Gossip returns the datagrams to send at this tick. It must be called once per tick. self is
// the status of this box. rnd returns a random number from 0 to n-1.
func (t *Table) Gossip(self wire.BoxStatus, now time.Duration, rnd func(n int) int) []Packet {
	t.BeginTick(now)
	if !t.params.fullStatus {
		return t.CompactRound(self, now, rnd)
	}
	t.setSelf(self)
	var others []wire.BoxStatus
	if t.ticks%digestEvery == 0 { // only now, as Digest marks its boxes as relayed
		others = t.Digest(now, maxDigest)
	}
	targets := t.Targets(now, rnd)
	return append(gossipPackets(targets, wire.Gossip{
		From:   self,
		Others: others,
	}), t.checkPackets(now)...)
}

// SendLoads returns datagrams that send the loads of this box to its region at once.
func (t *Table) SendLoads(self wire.BoxStatus, now time.Duration, rnd func(n int) int) []Packet {
	if !t.params.fullStatus {
		return t.CompactLoads(self, now, rnd)
	}
	return gossipPackets(t.RegionTargets(now), wire.Gossip{
		From: self,
	})
}

// Broadcast returns the datagrams of an urgent update. ask requests an immediate answer.
func (t *Table) Broadcast(self wire.BoxStatus, now time.Duration, ask bool) []Packet {
	t.setSelf(self)
	return gossipPackets(t.BroadcastTargets(now), t.fullGossip(self, now, ask))
}

// Reply returns the answer to a box that asks for one, or of which there is a record of a later
// incarnation, which it then exceeds.
func (t *Table) Reply(self, to wire.BoxStatus, now time.Duration) []Packet {
	t.setSelf(self)
	g := t.fullGossip(self, now, false)
	if t.HasLater(to) {
		g.Others = slices.Insert(g.Others, 0, t.records[to.Box].staticStatus())
	}
	return gossipPackets([]string{to.Peers}, g)
}

// fullGossip returns the full statuses of this box and some others.
func (t *Table) fullGossip(self wire.BoxStatus, now time.Duration, ask bool) wire.Gossip {
	return wire.Gossip{
		From:   self,
		Others: t.Digest(now, maxDigest),
		Ask:    ask,
	}
}

// gossipPackets addresses the same gossip to several boxes.
func gossipPackets(targets []string, g wire.Gossip) []Packet {
	if len(targets) == 0 {
		return nil
	}
	buf, err := Encode(g)
	if err != nil {
		return nil // the bare status exceeds a datagram, so other boxes don't receive this one's heartbeats
	}
	out := make([]Packet, 0, len(targets))
	for _, addr := range targets {
		out = append(out, Packet{
			Addr: addr,
			Buf:  buf,
		})
	}
	return out
}
