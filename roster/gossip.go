package roster

import (
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// What is passed on among few boxes.
const (
	digestEvery = 4 // ticks in which others' statuses are passed on, once a second, as to other regions
	maxDigest   = 8 // other boxes' statuses in one datagram
)

// Tell returns what a box sends at this tick. self is what it says of itself. It
// is called once each Tick. rnd returns a random number from 0 to n-1.
func (t *Table) Tell(self wire.BoxStatus, now time.Duration, rnd func(n int) int) []Packet {
	t.Adapt(now)
	if !t.params.fullStatus {
		return t.Round(self, now, rnd)
	}
	t.setSelf(self)
	var others []wire.BoxStatus
	if t.ticks%digestEvery == 0 { // not each time, for bytes are bounded, and one in a digest loses its turn
		others = t.Digest(now, maxDigest)
	}
	targets := t.Targets(now, rnd)
	return append(gossipPackets(targets, wire.Gossip{
		From:   self,
		Others: others,
	}), t.checkPackets(now)...)
}

// TellLoads returns what tells the boxes of the region at once what this one has
// at its replicas.
func (t *Table) TellLoads(self wire.BoxStatus, now time.Duration, rnd func(n int) int) []Packet {
	if !t.params.fullStatus {
		return t.Loads(self, now, rnd)
	}
	return gossipPackets(t.OwnRegion(now), wire.Gossip{
		From: self,
	})
}

// TellEveryone returns news that can't wait, for as many boxes as hear it at once.
// With ask they answer at once.
func (t *Table) TellEveryone(self wire.BoxStatus, now time.Duration, ask bool) []Packet {
	t.setSelf(self)
	return gossipPackets(t.Everyone(now), t.fullGossip(self, now, ask))
}

// Answer returns what this box says to one that asks.
func (t *Table) Answer(self wire.BoxStatus, addr string, now time.Duration) []Packet {
	t.setSelf(self)
	return gossipPackets([]string{addr}, t.fullGossip(self, now, false))
}

// fullGossip returns whole statuses: the own one and some of others.
func (t *Table) fullGossip(self wire.BoxStatus, now time.Duration, ask bool) wire.Gossip {
	return wire.Gossip{
		From:   self,
		Others: t.Digest(now, maxDigest),
		Ask:    ask,
	}
}

// gossipPackets returns the same gossip for some addresses.
func gossipPackets(targets []string, g wire.Gossip) []Packet {
	if len(targets) == 0 {
		return nil
	}
	buf, err := Encode(g)
	if err != nil {
		return nil // a box whose bare status doesn't fit is heard by nobody, and shows in their logs as absent
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
