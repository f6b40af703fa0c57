package roster

import (
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// Heard is what a compact datagram says to a box, beside what its table keeps.
type Heard struct {
	Sender  string // the box that sent it; empty for one that isn't known yet
	Status  wire.BoxStatus
	Loads   []CompactLoad
	All     bool     // the loads are all that matter
	Newer   bool     // it is no late or repeated one
	Replies []Packet // to send at once
}

// HearCompact takes a compact datagram in that came from an address.
func (t *Table) HearCompact(b Compact, from string, now time.Duration) Heard {
	t.compact.lastHeard = now
	t.inContact(now)
	out := &outbox{
		compact: &t.compact,
		own:     t.self.Peers,
	}
	var h Heard
	r, newer, known := t.hearVital(b.From, now)
	switch {
	case r != nil:
		h = t.hearSender(r, b, newer)
	case !known && t.compact.asks(b.From.ID, now):
		out.send(from, t.gossip(nil, true))
	}
	t.hearOthers(out, b, r, from, now)
	t.hearRooms(b, now)
	t.compact.newest = max(t.compact.newest, b.Newest, b.Catalog)
	if b.Ping {
		out.send(from, t.header().encode())
	}
	t.answer(out, b.Unknown, from, now)
	if r != nil {
		t.hearAnswer(b, r, now)
	}
	if r != nil && b.Check != 0 {
		t.answerCheck(out, b, r, from, now)
	}
	h.Replies = out.list
	return h
}

// hearSender takes in what the sender says of itself.
func (t *Table) hearSender(r *record, b Compact, newer bool) Heard {
	if newer {
		s := r.Status
		s.State = b.State
		if b.Closed {
			s.Callers = ""
		}
		s.Catalog = int(b.Catalog)
		s.Policy = b.Policy
		s.ReadMs = b.ReadMs
		s.UpMs = b.UpMs
		s.Lapses = b.Lapses
		if r.State() == wire.ServingStateLeaving {
			s.State = wire.ServingStateLeaving
		}
		if stateOf(s) != r.State() && len(t.compact.news) < mostNews {
			t.compact.news = append(t.compact.news, s.Box)
		}
		r.Status = s
		if s.Region != t.self.Region {
			r.fresh = true
		}
	}
	return Heard{
		Sender: r.Status.Box,
		Status: r.Status,
		Loads:  b.Loads,
		All:    b.Loaded,
		Newer:  newer,
	}
}

// hearOthers takes in which other boxes live and which don't, and asks for those
// not known.
func (t *Table) hearOthers(out *outbox, b Compact, sender *record, from string, now time.Duration) {
	var unknown []ID
	for _, v := range b.Vitals {
		r, newer, known := t.hearVital(v, now)
		if !known && len(unknown) < mostUnknown && t.compact.asks(v.ID, now) {
			unknown = append(unknown, v.ID)
		}
		if newer && sender != nil && r.Status.Region != t.self.Region && r.Status.Region == sender.Status.Region {
			r.fresh = true
		}
	}
	for _, v := range b.Silent {
		if v.ID == t.compact.self && t.monitoring.on {
			t.deny(out, from)
			continue
		}
		t.hearSilent(v, now)
	}
	for _, id := range b.Leaving {
		if r := t.compact.byID[id]; r != nil {
			r.Status.State = wire.ServingStateLeaving
		}
	}
	if len(unknown) == 0 {
		return
	}
	q := t.header()
	q.Unknown = unknown
	out.send(from, q.encode())
}

// hearRooms takes in what other regions can take.
func (t *Table) hearRooms(b Compact, now time.Duration) {
	for _, rooms := range b.Rooms {
		r := t.compact.byID[rooms.From.ID]
		if r == nil || now-rooms.From.Age <= r.Told {
			continue
		}
		r.Status.Rooms = slices.Clone(rooms.Rooms)
		r.roomsSeq = max(r.roomsSeq, widen(r.Status.Seq, rooms.From.Beat))
		r.Told = now - rooms.From.Age
	}
}

// answer sends the statuses that another box asks for.
func (t *Table) answer(out *outbox, ids []ID, from string, now time.Duration) {
	var list []wire.BoxStatus
	for _, id := range ids {
		if r := t.compact.byID[id]; r != nil && t.alive(r, now) {
			list = append(list, r.bare())
		}
	}
	for chunk := range slices.Chunk(list, perAnswer) {
		if t.compact.answers >= mostAnswers {
			return
		}
		t.compact.answers++
		out.send(from, t.gossip(chunk, false))
	}
}
