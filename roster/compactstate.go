package roster

import (
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// Limits of what is told among many boxes.
const (
	mostVitals   = 96                     // boxes of the own region in one compact datagram: all of a region of 91, as 1,000 boxes in 11 regions have
	farVitals    = 8                      // boxes of other regions in one compact datagram, beside one of each region
	mostSilent   = 24                     // deaths in one compact datagram; the rest in the next
	mostLeaving  = 16                     // boxes that leave in one compact datagram
	deathFan     = 3                      // boxes that are told at once of a death just known
	mostUnknown  = 32                     // boxes asked for at once
	mostAnswers  = 16                     // datagrams of statuses in a tick for those who ask
	mostNews     = 64                     // boxes whose news wait to be passed on; of others the next compact datagrams tell
	newsFan      = 6                      // boxes that each box passes news on to: all but one in 400 hear of it, and these by the next compact datagrams
	newsLoads    = 8                      // boxes in the news of one tick, in two datagrams
	revisionFan  = 6                      // boxes that are told of a newer revision at once
	readingFan   = 3                      // boxes of the region that are told of a later reading of the catalog at once
	readingStep  = 750 * time.Millisecond // by which it is later than the last that was passed on
	perAnswer    = 4                      // statuses in one datagram, by TestSizesOfStatuses
	newsBeats    = 20                     // heartbeats until which a box has begun of late: 5 s
	tellDeathFor = 25 * time.Second       // after the last sign of life; an age in a compact datagram has room for no more
	deathSlack   = 2 * time.Second        // by which a sign of life that only another region had may be later than those of the own one
	pausedFor    = time.Second            // a box that was paused for so long has missed what others told
	askedFor     = time.Second            // a box is asked for again only after it
	cutFor       = 15 * time.Second       // a region that was silent for longer was cut off, and each of its boxes has to be heard anew
	pingAt       = 70                     // percent of the time for which a box counts as alive; the rest is six ticks of 6 s
	mostPings    = 4                      // in a tick
	percent      = 100
	seedsPace    = 3 // boxes of all that ask a seed in the same round of seeds
)

// compactState is what a table keeps, beside its records, where boxes are many and
// tell each other in compact datagrams within a budget of bytes.
type compactState struct {
	self      ID                    // of this box
	said      wire.BoxStatus        // what this box said of itself last
	byID      map[ID]*record        // nil for an ID that two boxes share
	old       map[ID]time.Duration  // replaced or forgotten incarnations, and when they were
	asked     map[ID]time.Duration  // unknown boxes, and when their status was last asked for
	regions   map[string]regionNews // by name, that of the own region too
	news      []string              // boxes whose news were not passed on yet
	near      []string              // boxes of the own region still to be told in this round
	farRegion []string              // regions still to be told
	rounds    int                   // calls of Round
	budget    float64               // bytes that may be sent now
	answers   int                   // datagrams sent in this tick to boxes that asked for statuses
	newest    int64                 // revision of the catalog that others tell of
	passed    int64                 // revision that others were told of at once
	readAt    time.Duration         // when the catalog was read, as others were told at once
	lastTick  time.Duration         // when Adapt was called last
	lastHeard time.Duration         // when the last compact datagram came
	died      bool                  // a death became known since the last round
	mute      time.Duration         // until then this box tells no deaths
}

// newCompactState returns the state of a box that knows of no other.
func newCompactState() compactState {
	return compactState{
		byID:    make(map[ID]*record),
		old:     make(map[ID]time.Duration),
		asked:   make(map[ID]time.Duration),
		regions: make(map[string]regionNews),
	}
}

// drop forgets the ID of a record, but remembers for a while that it is an old one.
func (l *compactState) drop(r *record, now time.Duration) {
	delete(l.byID, r.id)
	l.old[r.id] = now
}

// asks says whether to ask for a box, and notes that it is asked for.
func (l *compactState) asks(id ID, now time.Duration) bool {
	if at, ok := l.asked[id]; ok && now-at < askedFor {
		return false
	}
	l.asked[id] = now
	return true
}

// sweep forgets what was asked for and replaced long ago.
func (l *compactState) sweep(now time.Duration) {
	for id, at := range l.asked {
		if now-at >= askedFor {
			delete(l.asked, id)
		}
	}
	for id, at := range l.old {
		if now-at >= silentFor {
			delete(l.old, id)
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
	compact *compactState
	own     string
	list    []Packet
}

// send adds a datagram; without an address, or for this box itself, it adds none.
func (o *outbox) send(addr string, buf []byte) {
	if addr == "" || addr == o.own || len(buf) == 0 {
		return
	}
	o.compact.budget -= float64(len(buf) + headerBytes)
	o.list = append(o.list, Packet{
		Addr: addr,
		Buf:  buf,
	})
}

// sendFree adds a datagram that isn't paid for by the pace.
func (o *outbox) sendFree(addr string, buf []byte) {
	paid := o.compact.budget
	o.send(addr, buf)
	o.compact.budget = paid
}

// left says whether bytes are left to send.
func (o *outbox) left() bool { return o.compact.budget > 0 }
