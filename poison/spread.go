package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	announcers   = 2                      // of the owners that tell all boxes; the first may be gone unnoticed
	tellings     = 3                      // of an end to the owners: one datagram may be lost
	tellAfter    = 200 * time.Millisecond // between two of them
	compareEvery = time.Second            // between two comparisons with another box: one that joins, or comes back, knows the same within about that time
	mostAnswers  = 2                      // datagrams that answer a comparison: 2.4 KB
)

// Box is a box to which datagrams go.
type Box struct {
	Name string
	Addr string
}

// Packet is a datagram for an address.
type Packet struct {
	Addr string
	Buf  []byte
}

// telling is a record that is on its way to others.
type telling struct {
	left int           // times that it goes to the owners
	next time.Duration // when
	all  bool          // it goes to all boxes, once, from some of the owners
}

// Spread tells other boxes what the ledger of a box learns. Ends are added up by owners, a
// few boxes that the digest chooses among those alive, for an end has some 60 requests and
// most come once: told to all of 390 boxes they would take 390 times as many bytes. All
// boxes are told of a request from its second end on.
type Spread struct {
	self     string
	ledger   *Ledger
	tellings map[Digest]*telling
	compare  time.Duration // when this box compares next
}

// NewSpread returns what spreads the ledger of a box.
func NewSpread(self string, ledger *Ledger) *Spread {
	return &Spread{
		self:     self,
		ledger:   ledger,
		tellings: make(map[Digest]*telling),
	}
}

// Learned notes that this box itself has found something out of a request.
func (s *Spread) Learned(d Digest, now time.Duration) {
	s.tellings[d] = &telling{
		left: tellings,
		next: now,
		all:  true,
	}
}

// Due returns the datagrams to be sent at now, where the other boxes are those that are
// alive; rnd draws a number from 0 to n-1.
func (s *Spread) Due(others []Box, now time.Duration, rnd func(n int) int) []Packet {
	out := make(map[string][]Record)
	group := newGroup(s.self, others)
	for d, t := range s.tellings {
		s.tell(d, t, group, now, out)
		if t.left == 0 && !t.all {
			delete(s.tellings, d)
		}
	}
	list := s.packets(out, now)
	if now >= s.compare && len(others) > 0 {
		s.compare = now + compareEvery
		list = append(list, s.ask(others[rnd(len(others))], now))
	}
	return list
}

// tell puts a record down for the boxes that are due to hear of it.
func (s *Spread) tell(d Digest, t *telling, g *group, now time.Duration, out map[string][]Record) {
	r := s.ledger.Get(d)
	if r == nil {
		t.left = 0
		t.all = false
		return
	}
	rank, near := g.ownersOf(d)
	told := false
	if t.all {
		t.all = false
		if told = r.open && rank < announcers; told {
			put(out, r, g.others)
		}
	}
	if t.left > 0 && now >= t.next {
		t.left--
		t.next = now + tellAfter
		if !told {
			put(out, r, near)
		}
	}
}

// put puts a record down for boxes.
func put(out map[string][]Record, r *Record, boxes []Box) {
	for _, b := range boxes {
		out[b.Addr] = append(out[b.Addr], *r)
	}
}

// packets returns the datagrams that hold records, by address.
func (s *Spread) packets(records map[string][]Record, now time.Duration) []Packet {
	var out []Packet
	for addr, list := range records {
		slices.SortFunc(list, func(a, b Record) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
		for _, part := range pack(list) {
			d := Datagram{
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

// ask asks a box for what it knows, if that differs.
func (s *Spread) ask(b Box, now time.Duration) Packet {
	d := Datagram{
		Compare: true,
		Sums:    s.ledger.Sums(),
	}
	return Packet{
		Addr: b.Addr,
		Buf:  d.Encode(now),
	}
}

// Hear takes a datagram from an address in. It returns the datagrams that answer it, and
// whether there was news in it.
func (s *Spread) Hear(d Datagram, from string, now time.Duration) (answers []Packet, news bool) {
	var better []Record
	for _, r := range d.Records {
		if own := s.ledger.Get(r.Digest); own != nil && own.clearsAny(r.Ends) {
			better = append(better, *own)
		}
		if !s.ledger.Take(r, now) {
			continue
		}
		news = true
		s.passOn(r.Digest, d)
	}
	if own := s.ledger.Sums(); (d.Compare || d.Answer) && d.Sums != own {
		answers = s.answer(from, d, own, now)
	}
	return append(answers, s.packets(map[string][]Record{from: better}, now)...), news
}

// passOn has the owners of a request tell all boxes of it, unless all were told: what
// answers a comparison, they have known before.
func (s *Spread) passOn(d Digest, in Datagram) {
	if in.Answer || !s.ledger.Get(d).open {
		return
	}
	t := s.tellings[d]
	if t == nil {
		t = &telling{}
		s.tellings[d] = t
	}
	t.all = true
}

// answer returns the records of the parts in which another box knows other than this one:
// the latest, for of these one is missing most likely.
func (s *Spread) answer(to string, in Datagram, own Sums, now time.Duration) []Packet {
	var list []Record
	for _, r := range s.ledger.Open() {
		if part := partOf(r.Digest); in.Sums[part] != own[part] {
			list = append(list, *r)
		}
	}
	slices.SortFunc(list, func(a, b Record) int {
		return cmp.Or(cmp.Compare(b.last(), a.last()), slices.Compare(a.Digest[:], b.Digest[:]))
	})
	packed := pack(list)
	if len(packed) == 0 && in.Compare {
		packed = append(packed, nil) // the other is to tell what it knows
	}
	var out []Packet
	for _, records := range packed[:min(len(packed), mostAnswers)] {
		d := Datagram{
			Answer:  in.Compare,
			Sums:    own,
			Records: records,
		}
		out = append(out, Packet{
			Addr: to,
			Buf:  d.Encode(now),
		})
	}
	return out
}
