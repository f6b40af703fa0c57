package poison

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
)

// First bytes of the datagrams of this package.
const (
	DatagramType      = 4 // on requests
	PartsDatagramType = 7 // on parts of prompts
)

const (
	datagramBytes  = 1200 // below the common path MTU (RFC 9000, section 14)
	headerBytes    = 1 + 1
	checksumsBytes = 2 + partitions*checksumBytes
	checksumBytes  = 4
	crashBytes     = 8 + binary.MaxVarintLen32
	recordBytes    = digestBytes + 2 + binary.MaxVarintLen32 // without its crashes
	maxAge         = 24 * time.Hour                          // older ages are sent as this
)

// Bits of the flags byte that follows the mark.
const (
	bitCompare = 1 << iota // the sender requests the records whose checksums differ
	bitReply
)

// The three bits above hold the trial message.
const (
	shiftTrial = 2
	maskTrial  = 1<<3 - 1
)

// Bits of the head byte of a record; the lowest hold its number of crashes.
const (
	bitSurvived  = 1 << 7
	bitPublished = 1 << 6
	bitTrials    = 1 << 5 // a byte after the crashes marks those on trial, the first in its lowest bit
	maskCrashes  = 1<<4 - 1
)

// ErrDatagram reports a malformed datagram.
var ErrDatagram = errors.New("datagram of poison requests can't be read")

// Datagram is a gossip message on requests, or parts of prompts, under which replicas crashed.
type Datagram struct {
	Parts        bool // the records are of parts
	Compare      bool // requests the published records whose checksums differ
	Reply        bool
	Checksums    Checksums    // of the sender's records, with Compare or Reply
	TrialMessage trialMessage // on a run on trial
	Trial        Digest
	Records      []Record
}

// IsDatagram reports whether a datagram belongs to this package.
func IsDatagram(buf []byte) bool {
	return len(buf) > 0 && (buf[0] == DatagramType || buf[0] == PartsDatagramType)
}

// Encode returns the encoded datagram, with ages relative to now.
func (d *Datagram) Encode(now time.Duration) []byte {
	var flags byte
	if d.Compare {
		flags |= bitCompare
	}
	if d.Reply {
		flags |= bitReply
	}
	flags |= byte(d.TrialMessage) << shiftTrial
	kind := byte(DatagramType)
	if d.Parts {
		kind = PartsDatagramType
	}
	out := append(make([]byte, 0, datagramBytes), kind, flags)
	if d.Compare || d.Reply {
		out = d.Checksums.append(out)
	}
	if d.TrialMessage != noTrialMessage {
		out = append(out, d.Trial[:]...)
	}
	for i := range d.Records {
		out = d.Records[i].append(out, now)
	}
	return out
}

// append encodes the checksums that aren't zero, after a mask of their partitions.
func (s *Checksums) append(out []byte) []byte {
	var mask uint16
	for i, n := range s {
		if n != 0 {
			mask |= 1 << i
		}
	}
	out = binary.LittleEndian.AppendUint16(out, mask)
	for _, n := range s {
		if n != 0 {
			out = binary.LittleEndian.AppendUint32(out, n)
		}
	}
	return out
}

func (r *Record) append(out []byte, now time.Duration) []byte {
	out = append(out, r.Digest[:]...)
	head := byte(len(r.Crashes))
	if r.LastSurvived != never {
		head |= bitSurvived
	}
	if r.published {
		head |= bitPublished
	}
	trialBits := r.trialBits()
	if trialBits != 0 {
		head |= bitTrials
	}
	out = append(out, head)
	if r.LastSurvived != never {
		out = appendAge(out, now-r.LastSurvived)
	}
	for _, e := range r.Crashes {
		out = binary.LittleEndian.AppendUint64(out, uint64(e.Incarnation))
		out = appendAge(out, now-e.At)
	}
	if trialBits != 0 {
		out = append(out, trialBits)
	}
	return out
}

func (r *Record) trialBits() (bits byte) {
	for i, e := range r.Crashes {
		if e.OnTrial {
			bits |= 1 << i
		}
	}
	return bits
}

// appendAge appends an age in milliseconds, limited to maxAge.
func appendAge(out []byte, age time.Duration) []byte {
	age = min(max(age, 0), maxAge)
	return binary.AppendUvarint(out, uint64(age.Milliseconds()))
}

// Decode decodes a datagram received at now.
func Decode(buf []byte, now time.Duration) (Datagram, error) {
	var d Datagram
	if !IsDatagram(buf) || len(buf) < headerBytes || len(buf) > datagramBytes {
		return d, ErrDatagram
	}
	d.Parts = buf[0] == PartsDatagramType
	d.Compare = buf[1]&bitCompare != 0
	d.Reply = buf[1]&bitReply != 0
	in := reader{
		rest: buf[headerBytes:],
		now:  now,
	}
	if d.Compare || d.Reply {
		d.Checksums = in.checksums()
	}
	if d.TrialMessage = trialMessage(buf[1] >> shiftTrial & maskTrial); d.TrialMessage != noTrialMessage {
		copy(d.Trial[:], in.bytes(digestBytes))
	}
	for len(in.rest) > 0 && !in.failed {
		d.Records = append(d.Records, in.record())
	}
	if in.failed {
		return Datagram{}, ErrDatagram
	}
	return d, nil
}

// reader decodes the parts of a datagram; failed is set on the first error.
type reader struct {
	rest   []byte
	now    time.Duration
	failed bool
}

func (in *reader) checksums() Checksums {
	var out Checksums
	mask := binary.LittleEndian.Uint16(in.bytes(2))
	for i := range out {
		if mask&(1<<i) != 0 {
			out[i] = binary.LittleEndian.Uint32(in.bytes(checksumBytes))
		}
	}
	return out
}

func (in *reader) record() Record {
	r := Record{
		LastSurvived: never,
	}
	copy(r.Digest[:], in.bytes(digestBytes))
	head := in.bytes(1)[0]
	r.published = head&bitPublished != 0
	n := int(head & maskCrashes)
	if n > maxCrashes {
		in.failed = true
		return r
	}
	if head&bitSurvived != 0 {
		r.LastSurvived = in.now - in.age()
	}
	for range n {
		start := Incarnation(binary.LittleEndian.Uint64(in.bytes(8)))
		r.Crashes = append(r.Crashes, Crash{
			Incarnation: start,
			At:          in.now - in.age(),
		})
	}
	if head&bitTrials != 0 {
		r.setTrialBits(in.bytes(1)[0])
	}
	return r
}

func (r *Record) setTrialBits(bits byte) {
	for i := range r.Crashes {
		r.Crashes[i].OnTrial = bits&(1<<i) != 0
	}
}

// bytes reads n bytes, and returns zeros if fewer are left.
func (in *reader) bytes(n int) []byte {
	if len(in.rest) < n {
		in.failed = true
		in.rest = nil
		return make([]byte, n)
	}
	out := in.rest[:n]
	in.rest = in.rest[n:]
	return out
}

func (in *reader) age() time.Duration {
	ms, n := binary.Uvarint(in.rest)
	if n <= 0 || ms > uint64(maxAge.Milliseconds()) {
		in.failed = true
		return 0
	}
	in.rest = in.rest[n:]
	return time.Duration(ms) * time.Millisecond
}

// size returns the maximum encoded size of the record.
func (r *Record) size() int { return recordBytes + len(r.Crashes)*crashBytes }

// pack splits records into the contents of single datagrams.
func pack(records []Record) [][]Record {
	var out [][]Record
	left := 0
	for _, r := range records {
		if r.size() > left {
			out = append(out, nil)
			left = datagramBytes - headerBytes - checksumsBytes
		}
		left -= r.size()
		out[len(out)-1] = append(out[len(out)-1], r)
	}
	return out
}
