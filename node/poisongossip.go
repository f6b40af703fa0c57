package node

import (
	"fmt"
	"time"

	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/poison"
	"github.com/havenrudder/havenrudder/roster"
)

// tellPoison tells other boxes what is due of requests that end their replicas, and writes
// down what is held of them now.
func (n *Node) tellPoison() {
	var out []roster.Packet
	var changes []poison.Change
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		now := n.now()
		out = s.tellPoison(now, n.draw)
		changes = s.poison.Changes(now)
		n.suspects.Store(int32(s.poison.Known()))
	})
	n.sendPackets(out)
	for _, c := range changes {
		n.recordPoisonChange(c)
	}
}

// recordPoisonChange writes down what is held of a request now.
func (n *Node) recordPoisonChange(c poison.Change) {
	e := decision.Event{
		Kind:   decision.Belief,
		Digest: c.Digest.String(),
	}
	switch {
	case c.Quarantined:
		e.Reason = "request quarantined, replicas ended under it"
		e.Tries = c.Ends
		e.Detail = fmt.Sprintf("for %s, starts %v", c.Left.Round(time.Second), c.Starts)
	case c.Cleared:
		e.Reason = "request cleared by a whole answer"
	default:
		e.Reason = "request no longer quarantined"
	}
	n.record(e)
}

// tellPoison returns what is due to be told of requests that end their replicas.
func (s *state) tellPoison(now time.Duration, rnd func(n int) int) []roster.Packet {
	return packets(s.poison.Due(s.poisonBoxes(now), now, rnd))
}

// poisonBoxes returns the other boxes that are alive.
func (s *state) poisonBoxes(now time.Duration) []poison.Box {
	var out []poison.Box
	for m := range s.roster.All() {
		if s.roster.Alive(m.Status.Box, now) {
			out = append(out, poison.Box{
				Name: m.Status.Box,
				Addr: m.Status.Peers,
			})
		}
	}
	return out
}

// hearPoison takes a datagram of another box in.
func (n *Node) hearPoison(buf []byte, from string) {
	var answers []poison.Packet
	news := false
	_ = n.state.Do(func(s *state) { answers, news = s.poison.Hear(buf, from, n.now()) }) // it fails only when the box has ended
	n.sendPackets(packets(answers))
	if news {
		n.tellPoison()
	}
}

// packets returns datagrams as the roster's link sends them.
func packets(list []poison.Packet) []roster.Packet {
	out := make([]roster.Packet, 0, len(list))
	for _, p := range list {
		out = append(out, roster.Packet{
			Addr: p.Addr,
			Buf:  p.Buf,
		})
	}
	return out
}

// quarantinedRequests returns how many requests are turned away; it is read after the box has
// begun to run.
func (n *Node) quarantinedRequests() (count int) {
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		now := n.now()
		for _, r := range s.poison.Records() {
			if _, quarantined := s.poison.Quarantined(r.Digest, now); quarantined {
				count++
			}
		}
	})
	return count
}
