package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	announcers      = 2 // owners that send a record to all boxes; the first may be gone unnoticed
	sendsToOwners   = 3 // per crash; tolerates loss
	resendInterval  = 200 * time.Millisecond
	compareInterval = time.Second // bounds how long a box that joins lacks records
	maxReplies      = 2           // datagrams per comparison
)

// Box is the name and address of a box that receives datagrams.
type Box struct {
	Name string
	Addr string
}

// Packet is an encoded datagram with its destination.
type Packet struct {
	Addr string
	Buf  []byte
}

type pendingUpdate struct {
	sendsLeft int // remaining sends to the owners
	nextSend  time.Duration
	toAll     bool // send once to all boxes, if this box is an announcer
}

// Gossip sends the records of a ledger to the other boxes. A crash interrupts many requests, most of them only
// once. To limit the traffic, the first crash of a request goes to its owners, a few boxes
// selected by its digest; from the second on the record goes to all boxes.
type Gossip struct {
	self        string
	parts       bool // the ledger is of parts of prompts
	ledger      *Ledger
	pending     map[Digest]*pendingUpdate
	nextCompare time.Duration
}

// NewGossip returns a Gossip for the ledger of a box.
func NewGossip(self string, ledger *Ledger) *Gossip {
	return &Gossip{
		self:    self,
		ledger:  ledger,
		pending: make(map[Digest]*pendingUpdate),
	}
}

// Updated schedules an update after this box has changed a record itself.
func (s *Gossip) Updated(d Digest, now time.Duration) {
	s.pending[d] = &pendingUpdate{
		sendsLeft: sendsToOwners,
		nextSend:  now,
		toAll:     true,
	}
}

// Due returns the datagrams to send at now; others are the boxes alive, and rnd returns a
// random number from 0 to n-1.
func (s *Gossip) Due(others []Box, now time.Duration, rnd func(n int) int) []Packet {
	out := make(map[string][]Record)
	group := newGroup(s.self, others)
	for d, t := range s.pending {
		s.enqueueDue(d, t, group, now, out)
		if t.sendsLeft == 0 && !t.toAll {
			delete(s.pending, d)
		}
	}
	list := s.packets(out, now)
	if now >= s.nextCompare && len(others) > 0 {
		s.nextCompare = now + compareInterval
		list = append(list, s.compareRequest(others[rnd(len(others))], now))
	}
	return list
}

// enqueueDue adds a record to the output of each box to which it is due.
func (s *Gossip) enqueueDue(d Digest, t *pendingUpdate, g *group, now time.Duration, out map[string][]Record) {
	r := s.ledger.Get(d)
	if r == nil {
		t.sendsLeft = 0
		t.toAll = false
		return
	}
	rank, owners := g.ownersOf(d)
	sentToAll := false
	if t.toAll {
		t.toAll = false
		if sentToAll = r.published && rank < announcers; sentToAll {
			enqueue(out, r, g.others)
		}
	}
	if t.sendsLeft > 0 && now >= t.nextSend {
		t.sendsLeft--
		t.nextSend = now + resendInterval
		if !sentToAll {
			enqueue(out, r, owners)
		}
	}
}

func enqueue(out map[string][]Record, r *Record, boxes []Box) {
	for _, b := range boxes {
		out[b.Addr] = append(out[b.Addr], *r)
	}
}

func (s *Gossip) packets(records map[string][]Record, now time.Duration) []Packet {
	var out []Packet
	for addr, list := range records {
		slices.SortFunc(list, func(a, b Record) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
		for _, part := range pack(list) {
			d := Datagram{
				Parts:   s.parts,
				Records: part,
			}
			out = append(out, Packet{
				Addr: addr,
				Buf:  d.Encode(now),
			})
		}
	}
	slices.SortFunc(out, func(a, b Packet) int { return cmp.Or(cmp.Compare(a.Addr, b.Addr), slices.Compare(a.Buf, b.Buf)) })
	return out
}

func (s *Gossip) compareRequest(b Box, now time.Duration) Packet {
	d := Datagram{
		Parts:     s.parts,
		Compare:   true,
		Checksums: s.ledger.Checksums(),
	}
	return Packet{
		Addr: b.Addr,
		Buf:  d.Encode(now),
	}
}

// Receive processes a datagram from an address, and reports whether the ledger changed. The
// replies include own records that clear the received crashes.
func (s *Gossip) Receive(d Datagram, from string, now time.Duration) (replies []Packet, changed bool) {
	var corrections []Record
	for _, r := range d.Records {
		if own := s.ledger.Get(r.Digest); own != nil && own.clearsAny(r.Crashes) {
			corrections = append(corrections, *own)
		}
		if !s.ledger.Merge(r, now) {
			continue
		}
		changed = true
		s.forward(r.Digest, d)
	}
	if own := s.ledger.Checksums(); (d.Compare || d.Reply) && d.Checksums != own {
		replies = s.reply(from, d, own, now)
	}
	return append(replies, s.packets(map[string][]Record{from: corrections}, now)...), changed
}

// forward schedules a published record for all boxes. The records in a reply to a comparison
// were published before, and are not forwarded.
func (s *Gossip) forward(d Digest, in Datagram) {
	if in.Reply || !s.ledger.Get(d).published {
		return
	}
	t := s.pending[d]
	if t == nil {
		t = &pendingUpdate{}
		s.pending[d] = t
	}
	t.toAll = true
}

// reply returns the records of the partitions whose checksums differ, limited to the latest,
// as these are the most likely to be missing.
func (s *Gossip) reply(to string, in Datagram, own Checksums, now time.Duration) []Packet {
	var list []Record
	for _, r := range s.ledger.Published() {
		if part := partitionOf(r.Digest); in.Checksums[part] != own[part] {
			list = append(list, *r)
		}
	}
	slices.SortFunc(list, func(a, b Record) int {
		return cmp.Or(cmp.Compare(b.latest(), a.latest()), slices.Compare(a.Digest[:], b.Digest[:]))
	})
	packed := pack(list)
	if len(packed) == 0 && in.Compare {
		packed = append(packed, nil) // prompts the sender for its records
	}
	var out []Packet
	for _, records := range packed[:min(len(packed), maxReplies)] {
		d := Datagram{
			Parts:     s.parts,
			Reply:     in.Compare,
			Checksums: own,
			Records:   records,
		}
		out = append(out, Packet{
			Addr: to,
			Buf:  d.Encode(now),
		})
	}
	return out
}
