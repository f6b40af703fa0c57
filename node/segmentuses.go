package node

import (
	"time"

	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/segment"
)

// segmentPackets returns the datagram with recent uses of prompt segments for another active box,
// where boxes are too many to send each other their loads.
func (s *state) segmentPackets(now time.Duration, draw func(n int) int) []roster.Packet {
	for _, u := range s.view.TakeSegmentUses() {
		s.segmentUses.Add(segment.Use{
			Replica: uint32(roster.ReplicaIDOf(u.Incarnation)),
			Key:     uint32(u.Key),
			Age:     now - u.At,
		}, now)
	}
	if s.roster.SharesLoads() || !s.active[s.settings.Region].has(s.settings.Box) {
		return nil
	}
	addrs := s.activePeers(now)
	if len(addrs) == 0 {
		return nil
	}
	uses := s.segmentUses.Next(now)
	if len(uses) == 0 {
		return nil
	}
	to := draw(len(addrs))
	return packetsTo(addrs[to:to+1], segment.Encode(uses))
}

// activePeers returns the gossip addresses of the other active boxes of the region.
func (s *state) activePeers(now time.Duration) []string {
	here := s.active[s.settings.Region]
	var addrs []string
	for m := range s.roster.AllServing(s.settings.Region, now) {
		if here.has(m.Status.Box) && m.Status.Peers != "" {
			addrs = append(addrs, m.Status.Peers)
		}
	}
	return addrs
}

// receiveSegmentUses records the uses that another box tells, and has the new ones relayed.
func (s *state) receiveSegmentUses(uses []segment.Use, now time.Duration) {
	for _, u := range uses {
		incarnation, ok := s.replicaIDs.start(roster.ReplicaID(u.Replica))
		if !ok {
			continue
		}
		if s.view.RecordSegmentUse(placement.SegmentUse{
			Incarnation: incarnation,
			Key:         placement.SegmentKey(u.Key),
			At:          now - u.Age,
		}, now) {
			s.segmentUses.Add(u, now)
		}
	}
}

func (n *Node) receiveSegments(buf []byte, from string) {
	uses, err := segment.Decode(buf)
	if err != nil {
		n.recordMalformedDatagram(from, err)
		return
	}
	_ = n.state.Do(func(s *state) { s.receiveSegmentUses(uses, n.now()) }) // it fails only when the box has ended
}
