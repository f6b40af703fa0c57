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
	compactMagic  = 3  // first byte, which changes with the format; JSON starts with a brace
	longMagic     = 8  // first byte of a datagram with demand by earlier builds
	demandMagic   = 10 // first byte of a datagram with demand, which earlier builds drop; 4 to 7 and 9 are datagrams of other packages
	livenessBytes = 7
	ageUnit       = 100 * time.Millisecond
	reportAgeUnit = 20 * time.Millisecond
	tokenUnit     = 16
)

// ErrCompact means that a compact datagram is malformed.
var ErrCompact = errors.New("malformed compact datagram")

// ID identifies one incarnation of a box in compact datagrams. If two boxes share an ID,
// only full statuses refer to them.
type ID uint32

// IDOf returns the ID of an incarnation.
func IDOf(box string, inc int) ID {
	h := fnv.New32a()
	_, _ = h.Write([]byte(box)) // never fails
	_, _ = h.Write(strconv.AppendInt([]byte{0}, int64(inc), 10))
	return ID(h.Sum32())
}

// ReplicaID identifies one incarnation of a replica in compact datagrams.
type ReplicaID uint32

// ReplicaIDOf returns the ID of a replica's incarnation.
func ReplicaIDOf(start string) ReplicaID { return ReplicaID(short.Of(start)) }

// LivenessEntry is the last heartbeat received of a box, and its age.
type LivenessEntry struct {
	ID  ID
	Seq uint16        // low bits of the sequence number
	Age time.Duration // rounded up to 100 ms, at most 25.5 s
}

// CompactLoad is the load that the sender has at a replica.
type CompactLoad struct {
	Replica ReplicaID
	Load    wire.ReplicaLoad // without the ID
}

// CompactCapacity is the capacity of a box's region, as that box reported it.
type CompactCapacity struct {
	From     LivenessEntry
	Services []wire.ServiceRoom
}

// CompactLoadReport is the load report of a replica to a box.
type CompactLoadReport struct {
	Replica     ReplicaID
	Age         time.Duration // rounded up to 20 ms, at most 5.1 s
	Requests    int
	Waiting     int  // of Requests
	Tokens      int  // of memory that the requests hold, rounded up to 16; 0 if not reported
	Unreachable bool // the replica didn't answer
}

// Compact is a compact datagram, which boxes send where they are many. It refers to boxes
// by ID; the fields of a box that never change are sent once, in a full status.
type Compact struct {
	From                LivenessEntry
	State               wire.ServingState
	NoCallers           bool // the sender accepts no requests of callers
	Probe               bool // the sender requests a heartbeat at once
	AllLoads            bool // Loads has all significant loads of the sender
	Catalog             int64
	NewestCatalog       int64 // newest catalog revision of which the sender has a record
	Policy              int
	CatalogReadMs       int // milliseconds since the publisher was read with nothing newer than Catalog
	UpMs                int
	UnconfirmedRemovals int // replicas whose removal the sender considered unconfirmed
	Liveness            []LivenessEntry
	Dead                []LivenessEntry // boxes that the sender records as dead, with their last heartbeat
	Leaving             []ID
	Requested           []ID
	Loads               []CompactLoad
	Capacity            []CompactCapacity
	LoadReports         []CompactLoadReport // latest load reports of the region's replicas
	Demand              []CompactDemand     // of the sender and other boxes of its region
	Check               ID                  // token of the check whether Names are all boxes of the sender's region; 0 for none
	Names               []ID                // boxes regardless of incarnation; empty where Digest suffices
	Digest              ID                  // digest of the names, also where Names is empty
	AgreedCheck         ID                  // token of the check to which the sender agrees; 0 for none
	Gone                []GoneBox           // dead boxes that the check lacked
}

// states in the order of their numbers in a compact datagram.
var states = []wire.ServingState{wire.ServingStateServing, wire.ServingStateStarting, wire.ServingStateLeaving}

// Bits of the flags byte.
const (
	bitNoCallers   = 1 << 7
	bitAllLoads    = 1 << 6
	bitProbe       = 1 << 5
	bitCheck       = 1 << 4
	bitAgreed      = 1 << 3
	bitAbsent      = 1 << 2
	maskState      = 0x03
	bitUnreachable = 1 // lowest bit of the number of requests in a load report
)

func (b Compact) encode() []byte {
	out := make([]byte, 0, datagramBytes)
	if len(b.Demand) > 0 {
		out = append(out, demandMagic)
	} else {
		out = append(out, compactMagic)
	}
	out = appendLiveness(out, b.From)
	out = append(out, b.flags())
	out = binary.AppendUvarint(out, uint64(b.Catalog))
	out = binary.AppendUvarint(out, uint64(b.NewestCatalog))
	out = binary.AppendUvarint(out, uint64(b.Policy))
	out = binary.AppendUvarint(out, uint64(b.CatalogReadMs))
	out = binary.AppendUvarint(out, uint64(b.UpMs))
	out = binary.AppendUvarint(out, uint64(b.UnconfirmedRemovals))
	out = appendLivenessList(out, b.Liveness)
	out = appendLivenessList(out, b.Dead)
	out = appendIDs(out, b.Leaving)
	out = appendIDs(out, b.Requested)
	out = binary.AppendUvarint(out, uint64(len(b.Loads)))
	for _, l := range b.Loads {
		out = appendLoad(out, l)
	}
	out = binary.AppendUvarint(out, uint64(len(b.Capacity)))
	for _, r := range b.Capacity {
		out = appendCapacity(out, r)
	}
	out = binary.AppendUvarint(out, uint64(len(b.LoadReports)))
	for _, w := range b.LoadReports {
		out = appendLoadReport(out, w)
	}
	if len(b.Demand) > 0 {
		out = appendDemands(out, b.Demand)
	}
	return b.appendAgreement(out)
}

// appendAgreement appends the check and the answer, if any.
func (b Compact) appendAgreement(out []byte) []byte {
	if b.Check != 0 {
		out = binary.BigEndian.AppendUint32(out, uint32(b.Check))
		out = binary.BigEndian.AppendUint32(out, uint32(b.Digest))
		out = appendIDs(out, b.Names)
	}
	if b.AgreedCheck != 0 {
		out = binary.BigEndian.AppendUint32(out, uint32(b.AgreedCheck))
	}
	if len(b.Gone) == 0 {
		return out
	}
	out = binary.AppendUvarint(out, uint64(len(b.Gone)))
	for _, gone := range b.Gone {
		out = appendText(out, gone.Box)
		out = binary.AppendUvarint(out, uint64(max(0, (gone.Age+ageUnit-1)/ageUnit)))
	}
	return out
}

func appendText(out []byte, text string) []byte {
	out = binary.AppendUvarint(out, uint64(len(text)))
	return append(out, text...)
}

func (b Compact) flags() byte {
	out := byte(0)
	for i, s := range states {
		if s == b.State {
			out = byte(i)
		}
	}
	if b.NoCallers {
		out |= bitNoCallers
	}
	if b.AllLoads {
		out |= bitAllLoads
	}
	if b.Probe {
		out |= bitProbe
	}
	if b.Check != 0 {
		out |= bitCheck
	}
	if b.AgreedCheck != 0 {
		out |= bitAgreed
	}
	if len(b.Gone) > 0 {
		out |= bitAbsent
	}
	return out
}

func appendIDs(out []byte, list []ID) []byte {
	out = binary.AppendUvarint(out, uint64(len(list)))
	for _, id := range list {
		out = binary.BigEndian.AppendUint32(out, uint32(id))
	}
	return out
}

func appendLivenessList(out []byte, list []LivenessEntry) []byte {
	out = binary.AppendUvarint(out, uint64(len(list)))
	for _, v := range list {
		out = appendLiveness(out, v)
	}
	return out
}

// appendLiveness appends a liveness entry, its age rounded up to ageUnit.
func appendLiveness(out []byte, v LivenessEntry) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(v.ID))
	out = binary.BigEndian.AppendUint16(out, v.Seq)
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

func appendLoadReport(out []byte, w CompactLoadReport) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(w.Replica))
	out = append(out, byte(min(max(0, (w.Age+reportAgeUnit-1)/reportAgeUnit), math.MaxUint8)))
	requests := uint64(max(0, w.Requests)) << 1
	if w.Unreachable {
		requests |= bitUnreachable
	}
	out = binary.AppendUvarint(out, requests)
	out = binary.AppendUvarint(out, uint64(max(0, w.Waiting)))
	return binary.AppendUvarint(out, uint64(max(0, w.Tokens+tokenUnit-1)/tokenUnit))
}

func appendCapacity(out []byte, r CompactCapacity) []byte {
	out = appendLiveness(out, r.From)
	out = binary.AppendUvarint(out, uint64(len(r.Services)))
	for _, s := range r.Services {
		out = appendText(out, s.Service)
		for _, n := range []int{s.Usable, s.WaitMs, s.Busy, s.Fewest} {
			out = binary.AppendUvarint(out, uint64(max(0, n)))
		}
	}
	return out
}
