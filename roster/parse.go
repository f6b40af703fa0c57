package roster

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// maxNumber limits the numbers of a compact datagram, so that their sums don't overflow.
const maxNumber = math.MaxInt32

// maxNameBytes is the limit of the schema for names of services and boxes.
const maxNameBytes = 64

// IsCompact reports whether a datagram is a compact one.
func IsCompact(buf []byte) bool {
	return len(buf) > 0 && (buf[0] == compactMagic || buf[0] == demandMagic || buf[0] == longMagic)
}

// DecodeCompact decodes and validates a compact datagram.
func DecodeCompact(buf []byte) (Compact, error) {
	if !IsCompact(buf) {
		return Compact{}, ErrCompact
	}
	p := parser{
		rest: buf[1:],
	}
	b := Compact{
		From: p.liveness(),
	}
	flags := p.byte()
	b.NoCallers = flags&bitNoCallers != 0
	b.AllLoads = flags&bitAllLoads != 0
	b.Probe = flags&bitProbe != 0
	state := int(flags & maskState)
	if state >= len(states) {
		return Compact{}, ErrCompact
	}
	b.State = states[state]
	b.Catalog = p.uvarint()
	b.NewestCatalog = p.uvarint()
	b.Policy = int(p.uvarint())
	b.CatalogReadMs = p.number()
	b.UpMs = p.number()
	b.UnconfirmedRemovals = p.number()
	b.Liveness = parseList(&p, livenessBytes, p.liveness)
	b.Dead = parseList(&p, livenessBytes, p.liveness)
	id := func() ID { return ID(p.fixed32()) }
	b.Leaving = parseList(&p, 4, id)
	b.Requested = parseList(&p, 4, id)
	b.Loads = parseList(&p, 8, p.load)
	b.Capacity = parseList(&p, livenessBytes+1, p.regionCapacity)
	b.LoadReports = parseList(&p, 8, p.loadReport)
	switch buf[0] {
	case demandMagic:
		b.Demand = p.demands()
	case longMagic:
		b.Demand = parseList(&p, 6, p.longDemand)
	}
	if flags&bitCheck != 0 {
		b.Check = p.token()
		b.Digest = id()
		b.Names = parseList(&p, 4, id)
	}
	if flags&bitAgreed != 0 {
		b.AgreedCheck = p.token()
	}
	if flags&bitAbsent != 0 {
		b.Gone = parseList(&p, 2, p.absent)
	}
	if p.failed || len(p.rest) > 0 {
		return Compact{}, ErrCompact
	}
	return b, nil
}

// parser decodes the parts of a compact datagram. After the first error it returns zeros.
type parser struct {
	rest   []byte
	failed bool
}

func (p *parser) next(n int) []byte {
	if p.failed || n > len(p.rest) {
		p.failed = true
		return make([]byte, min(n, maxNameBytes))
	}
	out := p.rest[:n]
	p.rest = p.rest[n:]
	return out
}

func (p *parser) byte() byte { return p.next(1)[0] }

func (p *parser) fixed32() uint32 { return binary.BigEndian.Uint32(p.next(4)) }

// uvarint decodes a number of up to 63 bits.
func (p *parser) uvarint() int64 {
	n, used := binary.Uvarint(p.rest)
	if used <= 0 || n > math.MaxInt64 {
		p.failed = true
		return 0
	}
	p.rest = p.rest[used:]
	return int64(n)
}

// number decodes a number of up to maxNumber.
func (p *parser) number() int {
	n := p.uvarint()
	if n > maxNumber {
		p.failed = true
		return 0
	}
	return int(n)
}

func (p *parser) liveness() LivenessEntry {
	return LivenessEntry{
		ID:  ID(p.fixed32()),
		Seq: binary.BigEndian.Uint16(p.next(2)),
		Age: time.Duration(p.byte()) * ageUnit,
	}
}

func (p *parser) load() CompactLoad {
	out := CompactLoad{
		Replica: ReplicaID(p.fixed32()),
	}
	out.Load = wire.ReplicaLoad{
		InFlight: p.number(),
		Tokens:   p.number() * tokenUnit,
		Prompt:   p.number() * tokenUnit,
		Reads:    p.number() * tokenUnit,
	}
	if segments := parseList(p, 4, func() int { return int(p.fixed32()) }); len(segments) > 0 {
		out.Load.Kept = segments
	}
	return out
}

func (p *parser) loadReport() CompactLoadReport {
	out := CompactLoadReport{
		Replica: ReplicaID(p.fixed32()),
		Age:     time.Duration(p.byte()) * reportAgeUnit,
	}
	requests := p.number()
	out.Unreachable = requests&bitUnreachable != 0
	out.Requests = requests >> 1
	out.Waiting = p.number()
	out.Tokens = p.number() * tokenUnit
	return out
}

func (p *parser) regionCapacity() CompactCapacity {
	return CompactCapacity{
		From:     p.liveness(),
		Services: parseList(p, 5, p.serviceCapacity),
	}
}

func (p *parser) serviceCapacity() wire.ServiceRoom {
	return wire.ServiceRoom{
		Service: p.text(),
		Usable:  p.number(),
		WaitMs:  p.number(),
		Busy:    p.number(),
		Fewest:  p.number(),
	}
}

func (p *parser) text() string {
	n := p.number()
	if n == 0 || n > maxNameBytes {
		p.failed = true
	}
	return string(p.next(min(n, maxNameBytes)))
}

// token decodes the token of a check, which is never 0.
func (p *parser) token() ID {
	id := ID(p.fixed32())
	p.failed = p.failed || id == 0
	return id
}

func (p *parser) absent() GoneBox {
	return GoneBox{
		Box: p.text(),
		Age: time.Duration(p.number()) * ageUnit,
	}
}

// parseList decodes a list whose elements take at least some number of bytes each.
func parseList[T any](p *parser, least int, one func() T) []T {
	n := p.number()
	if p.failed || n > len(p.rest)/least {
		p.failed = true
		return nil
	}
	var out []T
	for range n {
		out = append(out, one())
	}
	return out
}
