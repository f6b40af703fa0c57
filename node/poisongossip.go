package node

import (
	"fmt"
	"time"

	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/poison"
	"github.com/havenrudder/havenrudder/roster"
)

// gossipPoison sends pending poison request records to other boxes, and logs changes of them.
func (n *Node) gossipPoison() {
	var out []roster.Packet
	var changes []poison.Change
	_ = n.state.Do(func(s *state) { // it fails only after the box has stopped
		now := n.now()
		out = s.gossipPoison(now, n.draw)
		changes = s.poison.Changes(now)
		n.suspects.Store(int32(s.poison.PublishedCount()))
	})
	n.sendPackets(out)
	for _, c := range changes {
		n.recordPoisonChange(c)
	}
}

func (n *Node) recordPoisonChange(c poison.Change) {
	e := decision.Event{
		Kind:   decision.Belief,
		Digest: c.Digest.String(),
	}
	switch {
	case c.Part:
		e.Reason, e.Detail = partChange(c)
		e.Tries = c.Crashes
	case c.Quarantined:
		e.Reason = "request quarantined, replicas ended under it"
		e.Tries = c.Crashes
		e.Detail = fmt.Sprintf("for %s, starts %v", c.Left.Round(time.Second), c.Incarnations)
	case c.Cleared:
		e.Reason = "request cleared by a whole answer"
	default:
		e.Reason = "request no longer quarantined"
	}
	n.record(e)
}

// partChange returns the reason and the detail of the line about a change of the quarantine of a part.
func partChange(c poison.Change) (reason, detail string) {
	switch {
	case c.Quarantined:
		return "part of prompts quarantined, replicas ended under it",
			fmt.Sprintf("for %s, with %d tied parts, starts %v", c.Left.Round(time.Second), c.Tied, c.Incarnations)
	case c.Cleared:
		return "part of prompts cleared by a whole answer", ""
	}
	return "part of prompts no longer quarantined", ""
}

// gossipPoison returns the pending datagrams with poison request records.
func (s *state) gossipPoison(now time.Duration, rnd func(n int) int) []roster.Packet {
	return rosterPackets(s.poison.Due(s.poisonBoxes(now), now, rnd))
}

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

// receivePoison applies a datagram of another box.
func (n *Node) receivePoison(buf []byte, from string) {
	var answers []poison.Packet
	changed := false
	_ = n.state.Do(func(s *state) { answers, changed = s.poison.Receive(buf, from, n.now()) }) // it fails only after the box has stopped
	n.sendPackets(rosterPackets(answers))
	if changed {
		n.gossipPoison()
	}
}

func rosterPackets(list []poison.Packet) []roster.Packet {
	out := make([]roster.Packet, 0, len(list))
	for _, p := range list {
		out = append(out, roster.Packet{
			Addr: p.Addr,
			Buf:  p.Buf,
		})
	}
	return out
}

// quarantinedRequests returns the number of requests in quarantine. It may be called only after the box has
// started to run.
func (n *Node) quarantinedRequests() (count int) {
	_ = n.state.Do(func(s *state) { // it fails only after the box has stopped
		now := n.now()
		for _, r := range s.poison.Published() {
			if _, quarantined := s.poison.Quarantined(r.Digest, now); quarantined {
				count++
			}
		}
	})
	return count
}
