package roster

import (
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// Limits of what is told among many boxes.
const (
	maxNearEntries        = 96                     // boxes of the own region in one compact datagram: all of a region of 91, as 1,000 boxes in 11 regions have
	maxFarEntries         = 8                      // boxes of other regions in one compact datagram, beside one of each region
	maxDeaths             = 24                     // deaths in one compact datagram; the rest in the next
	maxLeaving            = 16                     // boxes that leave in one compact datagram
	deathFanout           = 3                      // boxes that are told at once of a death just known
	maxUnknown            = 32                     // boxes asked for at once
	maxStatusReplies      = 16                     // datagrams of statuses in a tick for those who ask
	maxChanged            = 64                     // boxes whose news wait to be passed on; of others the next compact datagrams tell
	changeFanout          = 6                      // boxes that each box passes news on to: all but one in 400 hear of it, and these by the next compact datagrams
	maxChangesPerTick     = 8                      // boxes in the news of one tick, in two datagrams
	revisionFanout        = 6                      // boxes that are told of a newer revision at once
	readFanout            = 3                      // boxes of the region that are told of a later reading of the catalog at once
	minReadAdvance        = 750 * time.Millisecond // by which it is later than the last that was passed on
	statusesPerReply      = 4                      // statuses in one datagram, by TestSizesOfStatuses
	startupBeats          = 20                     // heartbeats until which a box has begun of late: 5 s
	deathGossipWindow     = 25 * time.Second       // after the last sign of life; an age in a compact datagram has room for no more
	deathSlack            = 2 * time.Second        // by which a sign of life that only another region had may be later than those of the own one
	pauseThreshold        = time.Second            // a box that was paused for so long has missed what others told
	statusRequestInterval = time.Second            // a box is asked for again only after it
	partitionThreshold    = 15 * time.Second       // a region that was silent for longer was cut off, and each of its boxes has to be heard anew
	probePercent          = 70                     // percent of the time for which a box counts as alive; the rest is six ticks of 6 s
	maxProbes             = 4                      // in a tick
	percent               = 100
	seedSenders           = 3 // boxes of all that ask a seed in the same round of seeds
)

// compactState is what a table keeps, beside its records, where boxes are many and
// tell each other in compact datagrams within a budget of bytes.
type compactState struct {
	selfID         ID                        // of this box
	selfStatus     wire.BoxStatus            // what this box said of itself last
	byID           map[ID]*record            // nil for an ID that two boxes share
	retired        map[ID]time.Duration      // replaced or forgotten incarnations, and when they were
	requested      map[ID]time.Duration      // unknown boxes, and when their status was last asked for
	regions        map[string]regionLiveness // by name, that of the own region too
	changed        []string                  // boxes whose news were not passed on yet
	nearQueue      []string                  // boxes of the own region still to be told in this round
	farQueue       []string                  // regions still to be told
	rounds         int                       // calls of Round
	budget         float64                   // bytes that may be sent now
	statusReplies  int                       // datagrams sent in this tick to boxes that asked for statuses
	newestRevision int64                     // revision of the catalog that others tell of
	sentRevision   int64                     // revision that others were told of at once
	sentReadAt     time.Duration             // when the catalog was read, as others were told at once
	lastTick       time.Duration             // when Adapt was called last
	lastReceived   time.Duration             // when the last compact datagram came
	newDeaths      bool                      // a death became known since the last round
	muteUntil      time.Duration             // until then this box tells no deaths
}

// newCompactState returns the state of a box that knows of no other.
func newCompactState() compactState {
	return compactState{
		byID:      make(map[ID]*record),
		retired:   make(map[ID]time.Duration),
		requested: make(map[ID]time.Duration),
		regions:   make(map[string]regionLiveness),
	}
}

// retire forgets the ID of a record, but remembers for a while that it is an old one.
func (l *compactState) retire(r *record, now time.Duration) {
	delete(l.byID, r.id)
	l.retired[r.id] = now
}

// startRequest says whether to ask for a box, and notes that it is asked for.
func (l *compactState) startRequest(id ID, now time.Duration) bool {
	if at, ok := l.requested[id]; ok && now-at < statusRequestInterval {
		return false
	}
	l.requested[id] = now
	return true
}

// sweep forgets what was asked for and replaced long ago.
func (l *compactState) sweep(now time.Duration) {
	for id, at := range l.requested {
		if now-at >= statusRequestInterval {
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

// outbox collects packets and takes their bytes off the budget of the table.
type outbox struct {
	compact  *compactState
	selfAddr string
	packets  []Packet
}

// send adds a datagram; without an address, or for this box itself, it adds none.
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

// sendUnmetered adds a datagram that isn't paid for by the pace.
func (o *outbox) sendUnmetered(addr string, buf []byte) {
	paid := o.compact.budget
	o.send(addr, buf)
	o.compact.budget = paid
}

// hasBudget says whether bytes are hasBudget to send.
func (o *outbox) hasBudget() bool { return o.compact.budget > 0 }
