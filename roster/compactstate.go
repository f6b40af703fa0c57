package roster

import (
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// Limits of the gossip in compact datagrams.
const (
	maxNearEntries        = 96 // liveness entries of the own region in one datagram; 1,000 boxes in 11 regions are 91 in each
	maxFarEntries         = 8  // liveness entries of other regions in one datagram, beside one of each region
	maxDeaths             = 24 // in one datagram; the next one carries the rest
	maxLeaving            = 16
	deathFanout           = 3  // boxes that receive a newly recorded death at once
	maxUnknown            = 64 // boxes whose status one datagram requests
	maxStatusReplies      = 32
	maxChanged            = 64 // queued boxes; for others, compact datagrams carry the changes
	changeFanout          = 6  // boxes to which each box relays changes; misses one box in 400
	bulkChangeFanout      = 2  // the same while this box has recently started and more changes are queued than a tick relays; who lacks a status requests it
	maxChangesPerTick     = 8
	revisionFanout        = 6                      // boxes that receive a newer catalog revision at once
	readFanout            = 3                      // boxes of the region that receive a later catalog read at once
	minReadAdvance        = 750 * time.Millisecond // since the last catalog read that was sent at once
	statusesPerReply      = 4
	startupBeats          = 20                     // heartbeats up to which a box has recently started
	deathGossipWindow     = 25 * time.Second       // since the last heartbeat; the age in an entry holds no more
	deathSlack            = 2 * time.Second        // by which another region may have received a later heartbeat than the own one
	pauseThreshold        = time.Second            // without a tick or a datagram, after which the box is muted for a while
	statusRequestInterval = 200 * time.Millisecond // until the status of the same box is requested again; longer than a round trip between regions
	requestMemory         = time.Second            // until an unanswered request is forgotten
	startupProbeTime      = 4 * time.Second        // from the start of a box, in which it probes all regions
	startupProbeFanout    = 2                      // boxes of each region in a tick
	partitionThreshold    = 15 * time.Second       // without a heartbeat of a region, after which its earlier heartbeats don't count
	probePercent          = 70                     // of a timeout, from which on a box or region is probed
	maxProbes             = 4
	percent               = 100
	seedSenders           = 3 // expected number of boxes that contact a seed in one round
)

// compactState is the state of a table for the gossip in compact datagrams.
type compactState struct {
	self           ID
	selfStatus     wire.BoxStatus
	byID           map[ID]*record       // nil for an ID that two boxes share
	retired        map[ID]time.Duration // replaced or expired incarnations, with the time
	requested      map[ID]statusRequest
	regions        map[string]regionLiveness // by name, with the own region
	changed        []string                  // boxes whose change is not relayed yet
	near           []string                  // boxes of the own region left to send to in this cycle
	farRegions     []string
	rounds         int     // calls of CompactRound
	budget         float64 // bytes left to send
	demandBudget   float64 // bytes of demand left to send
	statusReplies  int     // datagrams of requested statuses in this tick
	newestRevision int64
	sentRevision   int64         // newest catalog revision that was sent at once
	sentReadAt     time.Duration // latest catalog read that was sent at once
	lastTick       time.Duration
	lastReceived   time.Duration // receipt of the last compact datagram
	newDeaths      bool
	muteUntil      time.Duration // until then this box reports no deaths
}

func newCompactState() compactState {
	return compactState{
		byID:      make(map[ID]*record),
		retired:   make(map[ID]time.Duration),
		requested: make(map[ID]statusRequest),
		regions:   make(map[string]regionLiveness),
	}
}

// statusRequest is the latest request for the status of a box.
type statusRequest struct {
	at       time.Duration
	from     string // address that it went to
	repeated bool   // an earlier one was not answered
	doubled  bool   // it also went to a second box
}

// startRequest reports whether to request the status of a box from an address, and records the
// request. A request after one that was not answered may go to two boxes, so that the loss of a
// further datagram delays nothing.
func (l *compactState) startRequest(id ID, from string, now time.Duration) bool {
	last, ok := l.requested[id]
	if !ok || now-last.at >= statusRequestInterval {
		l.requested[id] = statusRequest{
			at:       now,
			from:     from,
			repeated: ok,
		}
		return true
	}
	if !last.repeated || last.doubled || last.from == from {
		return false
	}
	last.doubled = true
	l.requested[id] = last
	return true
}

func (l *compactState) sweep(now time.Duration) {
	for id, last := range l.requested {
		if now-last.at >= requestMemory {
			delete(l.requested, id)
		}
	}
	for id, at := range l.retired {
		if now-at >= partitionWindow {
			delete(l.retired, id)
		}
	}
}

// Packet is a datagram to send.
type Packet struct {
	Addr string // IP:port
	Buf  []byte
}

// outbox collects packets and subtracts their bytes from the budget of the table.
type outbox struct {
	compact  *compactState
	selfAddr string
	packets  []Packet
}

// send adds a datagram, unless the address is empty or that of this box.
func (o *outbox) send(addr string, buf []byte) {
	if addr == "" || addr == o.selfAddr || len(buf) == 0 {
		return
	}
	o.compact.budget -= float64(len(buf) + packetHeaderBytes)
	o.packets = append(o.packets, Packet{
		Addr: addr,
		Buf:  buf,
	})
}

// sendUnmetered adds a datagram that doesn't count against the budget.
func (o *outbox) sendUnmetered(addr string, buf []byte) {
	paid := o.compact.budget
	o.send(addr, buf)
	o.compact.budget = paid
}

// sendDemand adds a datagram with some bytes of demand, which count against the budget of demand.
func (o *outbox) sendDemand(addr string, buf []byte, demand int) {
	o.send(addr, buf)
	o.compact.budget += float64(demand)
	o.compact.demandBudget -= float64(demand)
}

func (o *outbox) hasBudget() bool { return o.compact.budget > 0 }
