package roster

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// maxNumber bounds the numbers of a compact datagram, so that sums of them don't
// overflow.
const maxNumber = math.MaxInt32

// maxName is the length of the longest name of a service or box, as in the schema.
const maxName = 64

// IsCompact says whether a datagram is a compact datagram.
func IsCompact(buf []byte) bool { return len(buf) > 0 && buf[0] == compactMark }

// DecodeCompact reads a compact datagram and checks it.
func DecodeCompact(buf []byte) (Compact, error) {
	if !IsCompact(buf) {
		return Compact{}, ErrCompact
	}
	p := parser{
		rest: buf[1:],
	}
	b := Compact{
		From: p.vital(),
	}
	flags := p.byte()
	b.Closed = flags&bitClosed != 0
	b.Loaded = flags&bitLoaded != 0
	b.Ping = flags&bitPing != 0
	state := int(flags & maskState)
	if state >= len(states) {
		return Compact{}, ErrCompact
	}
	b.State = states[state]
	b.Catalog = p.long()
	b.Newest = p.long()
	b.Policy = int(p.long())
	b.ReadMs = p.number()
	b.UpMs = p.number()
	b.Lapses = p.number()
	b.Vitals = parseList(&p, vitalBytes, p.vital)
	b.Silent = parseList(&p, vitalBytes, p.vital)
	id := func() ID { return ID(p.four()) }
	b.Leaving = parseList(&p, 4, id)
	b.Unknown = parseList(&p, 4, id)
	b.Loads = parseList(&p, 8, p.load)
	b.Rooms = parseList(&p, vitalBytes+1, p.rooms)
	b.Words = parseList(&p, 8, p.word)
	if flags&bitCheck != 0 {
		b.Check = p.mark()
		b.Sum = id()
		b.Names = parseList(&p, 4, id)
	}
	if flags&bitAgreed != 0 {
		b.Agreed = p.mark()
	}
	if flags&bitAbsent != 0 {
		b.Absent = parseList(&p, 2, p.absence)
	}
	if p.bad || len(p.rest) > 0 {
		return Compact{}, ErrCompact
	}
	return b, nil
}

// parser reads the parts of a compact datagram. After the first mistake it gives zeros.
type parser struct {
	rest []byte
	bad  bool
}

// take returns the next n bytes.
func (p *parser) take(n int) []byte {
	if p.bad || n > len(p.rest) {
		p.bad = true
		return make([]byte, min(n, maxName))
	}
	out := p.rest[:n]
	p.rest = p.rest[n:]
	return out
}

// byte reads one byte.
func (p *parser) byte() byte { return p.take(1)[0] }

// four reads the four bytes of an ID.
func (p *parser) four() uint32 { return binary.BigEndian.Uint32(p.take(4)) }

// long reads a revision, or any number of up to 63 bits.
func (p *parser) long() int64 {
	n, used := binary.Uvarint(p.rest)
	if used <= 0 || n > math.MaxInt64 {
		p.bad = true
		return 0
	}
	p.rest = p.rest[used:]
	return int64(n)
}

// number reads a number of up to maxNumber.
func (p *parser) number() int {
	n := p.long()
	if n > maxNumber {
		p.bad = true
		return 0
	}
	return int(n)
}

// vital reads what appendVital writes.
func (p *parser) vital() Vital {
	return Vital{
		ID:   ID(p.four()),
		Beat: binary.BigEndian.Uint16(p.take(2)),
		Age:  time.Duration(p.byte()) * ageUnit,
	}
}

// load reads what appendLoad writes.
func (p *parser) load() CompactLoad {
	out := CompactLoad{
		Replica: ReplicaID(p.four()),
	}
	out.Load = wire.ReplicaLoad{
		InFlight: p.number(),
		Tokens:   p.number() * tokenUnit,
		Prompt:   p.number() * tokenUnit,
		Reads:    p.number() * tokenUnit,
	}
	if kept := parseList(p, 4, func() int { return int(p.four()) }); len(kept) > 0 {
		out.Load.Kept = kept
	}
	return out
}

// word reads what appendWord writes.
func (p *parser) word() CompactWord {
	out := CompactWord{
		Replica: ReplicaID(p.four()),
		Age:     time.Duration(p.byte()) * wordUnit,
	}
	requests := p.number()
	out.Silent = requests&bitSilent != 0
	out.Requests = requests >> 1
	out.Waiting = p.number()
	out.Tokens = p.number() * tokenUnit
	return out
}

// rooms reads what appendRooms writes.
func (p *parser) rooms() CompactRooms {
	return CompactRooms{
		From:  p.vital(),
		Rooms: parseList(p, 5, p.room),
	}
}

// room reads what one service of a region can take.
func (p *parser) room() wire.ServiceRoom {
	return wire.ServiceRoom{
		Service: p.text(),
		Usable:  p.number(),
		WaitMs:  p.number(),
		Busy:    p.number(),
		Fewest:  p.number(),
	}
}

// text reads what appendText writes.
func (p *parser) text() string {
	n := p.number()
	if n == 0 || n > maxName {
		p.bad = true
	}
	return string(p.take(min(n, maxName)))
}

// mark reads what marks a question, which is never 0.
func (p *parser) mark() ID {
	id := ID(p.four())
	p.bad = p.bad || id == 0
	return id
}

// absence reads a box that is gone.
func (p *parser) absence() Absence {
	return Absence{
		Box: p.text(),
		Age: time.Duration(p.number()) * ageUnit,
	}
}

// parseList reads a list whose entries take some bytes at least.
func parseList[T any](p *parser, least int, one func() T) []T {
	n := p.number()
	if p.bad || n > len(p.rest)/least {
		p.bad = true
		return nil
	}
	var out []T
	for range n {
		out = append(out, one())
	}
	return out
}
