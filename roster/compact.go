package roster

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/short"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	compactMagic  = 3                      // first byte of a compact datagram of this form, which boxes of another one drop; gossip begins with a brace
	livenessBytes = 7                      // of one box in a compact datagram
	ageUnit       = 100 * time.Millisecond // of an age in a compact datagram; with one byte 25.5 s
	reportAgeUnit = 20 * time.Millisecond  // of the age of a replica's word; with one byte 5.1 s
	tokenUnit     = 16                     // tokens in which loads are told; a step of an engine reads more
)

// ErrCompact is the reason to refuse a compact datagram that no box sends.
var ErrCompact = errors.New("malformed compact datagram")

// ID stands for one incarnation of a box in compact datagrams. Two boxes of 390 share one
// with a chance of 2 in 100,000; a box whose ID is taken is told in whole statuses.
type ID uint32

// IDOf returns the ID of an incarnation.
func IDOf(box string, inc int) ID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(box)) // a hash takes everything
	_, _ = h.Write(strconv.AppendInt([]byte{0}, int64(inc), 10))
	return ID(h.Sum32())
}

// ReplicaID stands for a start of a replica in compact datagrams.
type ReplicaID uint32

// ReplicaIDOf returns the short form of a replica's start.
func ReplicaIDOf(start string) ReplicaID { return ReplicaID(short.Of(start)) }

// Vital says that a box was alive: which heartbeat of it was heard, and how long
// ago by the sender's clock.
type Vital struct {
	ID   ID
	Beat uint16        // low bits of the number of the heartbeat
	Age  time.Duration // rounded up to 100 ms, 25.5 s at most
}

// CompactLoad is what the sender has in flight at a replica.
type CompactLoad struct {
	Replica ReplicaID
	Load    wire.ReplicaLoad // without the id
}

// CompactRooms is what the region of a box can take, as that box told.
type CompactRooms struct {
	From  Vital
	Rooms []wire.ServiceRoom
}

// CompactWord is what a replica said of its load to some box.
type CompactWord struct {
	Replica  ReplicaID
	Age      time.Duration // rounded up to 20 ms, 5.1 s at most
	Requests int
	Waiting  int  // of the requests
	Tokens   int  // of memory that they hold, rounded up to 16; 0 where it didn't say
	Silent   bool // it didn't answer
}

// Compact is a compact datagram, which boxes send where they are many: it names them
// by ID, and what never changes of a box is told once, in a whole status.
type Compact struct {
	From    Vital
	State   wire.ServingState
	Closed  bool  // it takes no requests of callers
	Ping    bool  // the sender asks for a sign of life at once
	Loaded  bool  // Loads are all that matter of the sender's; false where they were left out
	Catalog int64 // revision of the catalog that the sender has
	Newest  int64 // newest revision of the catalog that the sender has heard of
	Policy  int   // version of the policy that the sender decides by
	ReadMs  int   // milliseconds; how long ago the publisher was read with nothing newer than Catalog, as in a whole status
	UpMs    int   // milliseconds; how long ago the sender started when it said this
	Lapses  int   // replicas whose removal the sender had in doubt, as in a whole status
	Vitals  []Vital
	Silent  []Vital // boxes of whose death the sender knows; their last heartbeat
	Leaving []ID    // boxes that live and have said that they leave
	Unknown []ID    // boxes whose status the sender asks for
	Loads   []CompactLoad
	Rooms   []CompactRooms
	Words   []CompactWord // the latest of the region's replicas that the sender knows
	Check   ID            // marks the question whether Names are all boxes of the sender's region; 0 for none
	Names   []ID          // boxes in whatever incarnation, of a question; none where Sum says enough
	Sum     ID            // of Names, also where they are left out
	Agreed  ID            // the mark of the question that the sender agrees to; 0 for none
	Absent  []Absence     // boxes that are gone and that the question lacked
}

// states in the order of their numbers in a compact datagram.
var states = []wire.ServingState{wire.ServingStateServing, wire.ServingStateStarting, wire.ServingStateLeaving}

// bits of the byte after the state.
const (
	bitNoCallers   = 1 << 7
	bitAllLoads    = 1 << 6
	bitProbe       = 1 << 5
	bitCheck       = 1 << 4
	bitAgreed      = 1 << 3
	bitAbsent      = 1 << 2
	maskState      = 0x03
	bitUnreachable = 1 // of the number of a word's requests, which begins above it
)

// encode returns b as a datagram.
func (b Compact) encode() []byte {
	out := make([]byte, 0, datagramBytes)
	out = append(out, compactMagic)
	out = appendLiveness(out, b.From)
	out = append(out, b.flags())
	out = binary.AppendUvarint(out, uint64(b.Catalog))
	out = binary.AppendUvarint(out, uint64(b.Newest))
	out = binary.AppendUvarint(out, uint64(b.Policy))
	out = binary.AppendUvarint(out, uint64(b.ReadMs))
	out = binary.AppendUvarint(out, uint64(b.UpMs))
	out = binary.AppendUvarint(out, uint64(b.Lapses))
	out = appendLivenessList(out, b.Vitals)
	out = appendLivenessList(out, b.Silent)
	out = appendIDs(out, b.Leaving)
	out = appendIDs(out, b.Unknown)
	out = binary.AppendUvarint(out, uint64(len(b.Loads)))
	for _, l := range b.Loads {
		out = appendLoad(out, l)
	}
	out = binary.AppendUvarint(out, uint64(len(b.Rooms)))
	for _, r := range b.Rooms {
		out = appendCapacity(out, r)
	}
	out = binary.AppendUvarint(out, uint64(len(b.Words)))
	for _, w := range b.Words {
		out = appendLoadReport(out, w)
	}
	return b.appendAgreement(out)
}

// appendAgreement appends a question or an answer about the boxes of a region, of
// which only those that are there take bytes.
func (b Compact) appendAgreement(out []byte) []byte {
	if b.Check != 0 {
		out = binary.BigEndian.AppendUint32(out, uint32(b.Check))
		out = binary.BigEndian.AppendUint32(out, uint32(b.Sum))
		out = appendIDs(out, b.Names)
	}
	if b.Agreed != 0 {
		out = binary.BigEndian.AppendUint32(out, uint32(b.Agreed))
	}
	if len(b.Absent) == 0 {
		return out
	}
	out = binary.AppendUvarint(out, uint64(len(b.Absent)))
	for _, gone := range b.Absent {
		out = appendText(out, gone.Box)
		out = binary.AppendUvarint(out, uint64(max(0, (gone.Age+ageUnit-1)/ageUnit)))
	}
	return out
}

// appendText appends the length of a text and the text.
func appendText(out []byte, text string) []byte {
	out = binary.AppendUvarint(out, uint64(len(text)))
	return append(out, text...)
}

// flags returns the state and what is said by single bits.
func (b Compact) flags() byte {
	out := byte(0)
	for i, s := range states {
		if s == b.State {
			out = byte(i)
		}
	}
	if b.Closed {
		out |= bitNoCallers
	}
	if b.Loaded {
		out |= bitAllLoads
	}
	if b.Ping {
		out |= bitProbe
	}
	if b.Check != 0 {
		out |= bitCheck
	}
	if b.Agreed != 0 {
		out |= bitAgreed
	}
	if len(b.Absent) > 0 {
		out |= bitAbsent
	}
	return out
}

// appendIDs appends the number of IDs and then four bytes of each.
func appendIDs(out []byte, list []ID) []byte {
	out = binary.AppendUvarint(out, uint64(len(list)))
	for _, id := range list {
		out = binary.BigEndian.AppendUint32(out, uint32(id))
	}
	return out
}

// appendLivenessList appends the number of signs of life and then each.
func appendLivenessList(out []byte, list []Vital) []byte {
	out = binary.AppendUvarint(out, uint64(len(list)))
	for _, v := range list {
		out = appendLiveness(out, v)
	}
	return out
}

// appendLiveness appends a sign of life in vitalBytes, its age rounded up to ageUnit.
func appendLiveness(out []byte, v Vital) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(v.ID))
	out = binary.BigEndian.AppendUint16(out, v.Beat)
	return append(out, byte(min(max(0, (v.Age+ageUnit-1)/ageUnit), math.MaxUint8)))
}

// appendLoad appends a load, its tokens rounded up to tokenUnit.
func appendLoad(out []byte, l CompactLoad) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(l.Replica))
	out = binary.AppendUvarint(out, uint64(l.Load.InFlight))
	for _, tokens := range []int{l.Load.Tokens, l.Load.Prompt, l.Load.Reads} {
		out = binary.AppendUvarint(out, uint64(max(0, tokens+tokenUnit-1)/tokenUnit))
	}
	out = binary.AppendUvarint(out, uint64(len(l.Load.Kept)))
	for _, key := range l.Load.Kept {
		out = binary.BigEndian.AppendUint32(out, uint32(key))
	}
	return out
}

// appendLoadReport appends a replica's word.
func appendLoadReport(out []byte, w CompactWord) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(w.Replica))
	out = append(out, byte(min(max(0, (w.Age+reportAgeUnit-1)/reportAgeUnit), math.MaxUint8)))
	requests := uint64(max(0, w.Requests)) << 1
	if w.Silent {
		requests |= bitUnreachable
	}
	out = binary.AppendUvarint(out, requests)
	out = binary.AppendUvarint(out, uint64(max(0, w.Waiting)))
	return binary.AppendUvarint(out, uint64(max(0, w.Tokens+tokenUnit-1)/tokenUnit))
}

// appendCapacity appends what a region can take, its services by name.
func appendCapacity(out []byte, r CompactRooms) []byte {
	out = appendLiveness(out, r.From)
	out = binary.AppendUvarint(out, uint64(len(r.Rooms)))
	for _, s := range r.Rooms {
		out = appendText(out, s.Service)
		for _, n := range []int{s.Usable, s.WaitMs, s.Busy, s.Fewest} {
			out = binary.AppendUvarint(out, uint64(max(0, n)))
		}
	}
	return out
}
