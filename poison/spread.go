package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/common/rendezvous"
)

const (
	owners       = 3                      // boxes that add the ends of a request up; two of them may be lost
	callers      = 2                      // of the owners that tell all boxes; the first may be gone unnoticed
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
	for d, t := range s.tellings {
		s.tell(d, t, others, now, out)
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
func (s *Spread) tell(d Digest, t *telling, others []Box, now time.Duration, out map[string][]Record) {
	r := s.ledger.Get(d)
	if r == nil {
		t.left = 0
		t.all = false
		return
	}
	list := s.ownersOf(d, others)
	if t.all {
		t.all = false
		at := slices.IndexFunc(list, func(b Box) bool { return b.Name == s.self })
		if r.open && at >= 0 && at < callers {
			put(out, r, others)
		}
	}
	if t.left > 0 && now >= t.next {
		t.left--
		t.next = now + tellAfter
		put(out, r, slices.DeleteFunc(list, func(b Box) bool { return b.Name == s.self }))
	}
}

// put puts a record down for boxes, once for each.
func put(out map[string][]Record, r *Record, boxes []Box) {
	for _, b := range boxes {
		known := func(k Record) bool { return k.Digest == r.Digest }
		if !slices.ContainsFunc(out[b.Addr], known) {
			out[b.Addr] = append(out[b.Addr], *r)
		}
	}
}

// ownersOf returns the boxes that own a request, this one perhaps among them, in the order
// in which they do.
func (s *Spread) ownersOf(d Digest, others []Box) []Box {
	names := []string{s.self}
	byName := map[string]Box{
		s.self: {
			Name: s.self,
		},
	}
	for _, b := range others {
		names = append(names, b.Name)
		byName[b.Name] = b
	}
	var out []Box
	for _, name := range rendezvous.Top(string(d[:]), names, owners) {
		out = append(out, byName[name])
	}
	return out
}

// packets returns the datagrams that hold records, by address.
func (s *Spread) packets(records map[string][]Record, now time.Duration) []Packet {
	var out []Packet
	for addr, list := range records {
		slices.SortFunc(list, func(a, b Record) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
		for _, part := range pack(list) {
			d := Datagram{
				Sum:     s.ledger.Sum(),
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
		Sum:     s.ledger.Sum(),
	}
	return Packet{
		Addr: b.Addr,
		Buf:  d.Encode(now),
	}
}

// Hear takes a datagram from an address in. It returns the requests of which there was
// news in it, and the datagrams that answer it.
func (s *Spread) Hear(d Datagram, from string, now time.Duration, rnd func(n int) int) (news []Digest, answers []Packet) {
	for _, r := range d.Records {
		if !s.ledger.Take(r, now) {
			continue
		}
		news = append(news, r.Digest)
		s.passOn(r.Digest, d)
	}
	if (d.Compare || d.Answer) && d.Sum != s.ledger.Sum() {
		answers = s.answer(from, !d.Answer, now, rnd)
	}
	return news, answers
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

// answer returns some of the records that all boxes are to know. With all of 1,000, a
// difference in one of them would take 80 KB to find.
func (s *Spread) answer(to string, asked bool, now time.Duration, rnd func(n int) int) []Packet {
	all := s.ledger.Open()
	slices.SortFunc(all, func(a, b *Record) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	records := make([]Record, 0, len(all))
	if len(all) > 0 {
		first := rnd(len(all))
		for i := range all {
			records = append(records, *all[(first+i)%len(all)])
		}
	}
	parts := pack(records)
	if len(parts) == 0 && asked {
		parts = append(parts, nil) // the other, which knows some, is to tell them
	}
	var out []Packet
	for _, part := range parts[:min(len(parts), mostAnswers)] {
		d := Datagram{
			Answer:  asked,
			Sum:     s.ledger.Sum(),
			Records: part,
		}
		out = append(out, Packet{
			Addr: to,
			Buf:  d.Encode(now),
		})
	}
	return out
}
