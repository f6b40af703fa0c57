package roster

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/share"
	"github.com/havenrudder/havenrudder/wire"
)

// Limits of the demand in datagrams.
const (
	demandDivisor     = 5  // of the budget; the quotient is for demand, beside the budget
	minDemandPerTick  = 50 // bytes; with 75, boxes of the design size send and receive 3.1 KB per second, where 3 are allowed
	minDemandBytes    = 72 // in one datagram: this box's and two others, for two services; relayed reports take fewer bytes than one in each datagram
	maxDemandBytes    = 240
	maxOwnDemandBytes = 120 // of one box; services beyond it are left out
	statusDemandBytes = 300 // of one box in a full status
)

// Fields that share a number: the levels of a service with its index, the urgency of a level with its flows.
const (
	levelsBits  = 4
	urgencyBits = 3 // share.MaxLevels is 8
)

// CompactDemand is the demand of a box of the sender's region, as that box reported it.
type CompactDemand struct {
	From     ID
	Age      time.Duration // rounded up to 20 ms, at most 5.1 s
	Services []wire.ServiceDemand
}

// appendDemands appends a list of demands, after the services that these name by their index.
func appendDemands(out []byte, list []CompactDemand) []byte {
	var services []int
	index := func(service int) int {
		at := slices.Index(services, service)
		if at < 0 {
			at = len(services)
			services = append(services, service)
		}
		return at
	}
	for _, d := range list {
		for _, s := range d.Services {
			index(s.Service)
		}
	}
	out = binary.AppendUvarint(out, uint64(len(services)))
	for _, s := range services {
		out = binary.BigEndian.AppendUint32(out, uint32(s))
	}
	out = binary.AppendUvarint(out, uint64(len(list)))
	for _, d := range list {
		out = binary.BigEndian.AppendUint32(out, uint32(d.From))
		out = append(out, byte(min(max(0, (d.Age+reportAgeUnit-1)/reportAgeUnit), math.MaxUint8)))
		out = binary.AppendUvarint(out, uint64(len(d.Services)))
		for _, s := range d.Services {
			out = binary.AppendUvarint(out, uint64(index(s.Service)<<levelsBits|len(s.Levels)))
			for _, l := range s.Levels {
				out = binary.AppendUvarint(out, uint64(max(0, l.Flows)<<urgencyBits|l.Urgency))
				out = binary.AppendUvarint(out, uint64(max(0, l.Running)))
				out = binary.AppendUvarint(out, uint64(max(0, l.Waiting)))
			}
		}
	}
	return out
}

// demands is the inverse of appendDemands.
func (p *parser) demands() []CompactDemand {
	services := parseList(p, 4, func() int { return int(p.fixed32()) })
	return parseList(p, 6, func() CompactDemand {
		return CompactDemand{
			From: ID(p.fixed32()),
			Age:  time.Duration(p.byte()) * reportAgeUnit,
			Services: parseList(p, 1, func() wire.ServiceDemand {
				head := p.number()
				at, levels := head>>levelsBits, head&(1<<levelsBits-1)
				if p.failed || at >= len(services) || levels > share.MaxLevels {
					p.failed = true
					return wire.ServiceDemand{}
				}
				out := wire.ServiceDemand{
					Service: services[at],
				}
				for range levels {
					out.Levels = append(out.Levels, p.shortLevelDemand())
				}
				return out
			}),
		}
	})
}

func (p *parser) shortLevelDemand() wire.LevelDemand {
	head := p.number()
	return wire.LevelDemand{
		Urgency: head & (1<<urgencyBits - 1),
		Flows:   head >> urgencyBits,
		Running: p.number(),
		Waiting: p.number(),
	}
}

// longDemand reads the demand of one box as earlier builds write it.
func (p *parser) longDemand() CompactDemand {
	return CompactDemand{
		From:     ID(p.fixed32()),
		Age:      time.Duration(p.byte()) * reportAgeUnit,
		Services: parseList(p, 5, p.serviceDemand),
	}
}

func (p *parser) serviceDemand() wire.ServiceDemand {
	out := wire.ServiceDemand{
		Service: int(p.fixed32()),
		Levels:  parseList(p, 4, p.levelDemand),
	}
	p.failed = p.failed || len(out.Levels) > share.MaxLevels
	return out
}

func (p *parser) levelDemand() wire.LevelDemand {
	out := wire.LevelDemand{
		Urgency: p.number(),
		Running: p.number(),
		Waiting: p.number(),
		Flows:   p.number(),
	}
	p.failed = p.failed || out.Urgency >= share.MaxLevels
	return out
}

// addDemand adds demand to a datagram for the own region: that of this box, then that of others as
// far as its bytes allow, the least relayed and the latest first. It returns the bytes added.
func (t *Table) addDemand(b *Compact, now time.Duration) int {
	relayed := t.demandToRelay(now)
	if t.compact.demandBudget <= 0 || (len(t.compact.selfStatus.Demand) == 0 && len(relayed) == 0) {
		return 0
	}
	before := len(b.encode())
	size := func(list ...CompactDemand) int { return len(appendDemands(nil, list)) }
	own := CompactDemand{
		From:     t.compact.self,
		Services: t.compact.selfStatus.Demand,
	}
	for len(own.Services) > 0 && size(own) > min(maxOwnDemandBytes, datagramBytes-before) {
		own.Services = own.Services[:len(own.Services)-1]
	}
	if len(own.Services) > 0 {
		b.Demand = append(b.Demand, own)
	}
	for _, r := range relayed {
		d := CompactDemand{
			From:     r.id,
			Age:      now - r.DemandAt + reportAgeUnit, // makes up for the transit time, so that relayed demand doesn't get younger
			Services: r.Demand,
		}
		if size(append(b.Demand, d)...) > min(t.params.demand, datagramBytes-before) {
			break
		}
		r.demandRelays++
		b.Demand = append(b.Demand, d)
	}
	return len(b.encode()) - before
}

// demandToRelay returns the boxes of the own region with recent demand, in the order in which it
// is relayed.
func (t *Table) demandToRelay(now time.Duration) []*record {
	var out []*record
	for _, r := range t.order {
		if len(r.Demand) > 0 && now-r.DemandAt < share.MaxAge && t.compact.byID[r.id] == r {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.demandRelays, b.demandRelays), cmp.Compare(b.DemandAt, a.DemandAt))
	})
	return out
}

// recordDemand records the demand of a box as of a time, unless it has a later record.
func (r *record) recordDemand(list []wire.ServiceDemand, at time.Duration) {
	if len(list) == 0 || (len(r.Demand) > 0 && at <= r.DemandAt) {
		return
	}
	r.Demand = list
	r.DemandAt = at
	r.demandRelays = 0
}

// recordDemands records the demand in a compact datagram.
func (t *Table) recordDemands(list []CompactDemand, now time.Duration) {
	for _, d := range list {
		if r := t.compact.byID[d.From]; r != nil && r.Status.Region == t.self.Region {
			r.recordDemand(d.Services, now-d.Age)
		}
	}
}

// fitDemand returns the first services of a demand that fit a full status.
func fitDemand(list []wire.ServiceDemand) []wire.ServiceDemand {
	room := statusDemandBytes
	out, _ := appendFitting(nil, list, &room)
	return out
}
