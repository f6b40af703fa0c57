package poison

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
)

// Mark is the first byte of a datagram of this package.
const Mark = 4

const (
	datagramBytes = 1200 // below the usual path MTU (RFC 9000, section 14)
	headBytes     = 1 + 1
	sumsBytes     = 2 + parts*sumBytes
	sumBytes      = 4
	endBytes      = 8 + binary.MaxVarintLen32
	recordBytes   = digestBytes + 2 + binary.MaxVarintLen32 // without its ends
	oldest        = 24 * time.Hour                          // age that is told of what is older
)

// Bits of the byte after the mark.
const (
	bitCompare = 1 << iota // the sender asks for what the other knows, where the sums differ
	bitAnswer              // answers such a question
)

// The word of a run on trial is told by the two bits above them.
const (
	shiftWord = 2
	maskWord  = 1<<2 - 1
)

// Bits of the byte that tells the ends of a record.
const (
	bitAnswered = 1 << 7
	bitOpen     = 1 << 6
	bitAlone    = 1 << 5 // behind the ends a byte tells which were on trial, the first by its lowest bit
	maskEnds    = 1<<4 - 1
)

// ErrDatagram is the reason to drop a datagram that no box sends.
var ErrDatagram = errors.New("datagram of poison requests can't be read")

// Datagram is what a box tells another of requests under which replicas ended.
type Datagram struct {
	Compare bool   // asks for the records that all boxes are to know, where the sums differ
	Answer  bool   // such records, for sums that differed
	Sums    Sums   // of the sender's records, where it asks or answers
	Word    word   // of a run on trial
	Trial   Digest // of the request that the word is of
	Records []Record
}

// IsDatagram says whether a datagram is one of this package.
func IsDatagram(buf []byte) bool { return len(buf) > 0 && buf[0] == Mark }

// Encode returns the datagram as it is sent at now.
func (d *Datagram) Encode(now time.Duration) []byte {
	var flags byte
	if d.Compare {
		flags |= bitCompare
	}
	if d.Answer {
		flags |= bitAnswer
	}
	flags |= byte(d.Word) << shiftWord
	out := append(make([]byte, 0, datagramBytes), Mark, flags)
	if d.Compare || d.Answer {
		out = d.Sums.append(out)
	}
	if d.Word != noWord {
		out = append(out, d.Trial[:]...)
	}
	for i := range d.Records {
		out = d.Records[i].append(out, now)
	}
	return out
}

// append writes the sums behind out: which of them aren't zero, and these.
func (s *Sums) append(out []byte) []byte {
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

// append writes the record behind out.
func (r *Record) append(out []byte, now time.Duration) []byte {
	out = append(out, r.Digest[:]...)
	head := byte(len(r.Ends))
	if r.Answered != never {
		head |= bitAnswered
	}
	if r.open {
		head |= bitOpen
	}
	alone := r.alone()
	if alone != 0 {
		head |= bitAlone
	}
	out = append(out, head)
	if r.Answered != never {
		out = appendAge(out, now-r.Answered)
	}
	for _, e := range r.Ends {
		out = binary.LittleEndian.AppendUint64(out, uint64(e.Start))
		out = appendAge(out, now-e.At)
	}
	if alone != 0 {
		out = append(out, alone)
	}
	return out
}

// alone returns the bits of the ends that were on trial.
func (r *Record) alone() (bits byte) {
	for i, e := range r.Ends {
		if e.Alone {
			bits |= 1 << i
		}
	}
	return bits
}

// appendAge writes an age in milliseconds.
func appendAge(out []byte, age time.Duration) []byte {
	age = min(max(age, 0), oldest)
	return binary.AppendUvarint(out, uint64(age.Milliseconds()))
}

// Decode reads a datagram that came at now.
func Decode(buf []byte, now time.Duration) (Datagram, error) {
	var d Datagram
	if !IsDatagram(buf) || len(buf) < headBytes || len(buf) > datagramBytes {
		return d, ErrDatagram
	}
	d.Compare = buf[1]&bitCompare != 0
	d.Answer = buf[1]&bitAnswer != 0
	in := reader{
		rest: buf[headBytes:],
		now:  now,
	}
	if d.Compare || d.Answer {
		d.Sums = in.sums()
	}
	if d.Word = word(buf[1] >> shiftWord & maskWord); d.Word != noWord {
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

// reader reads records.
type reader struct {
	rest   []byte
	now    time.Duration
	failed bool
}

// sums reads sums.
func (in *reader) sums() Sums {
	var out Sums
	mask := binary.LittleEndian.Uint16(in.bytes(2))
	for i := range out {
		if mask&(1<<i) != 0 {
			out[i] = binary.LittleEndian.Uint32(in.bytes(sumBytes))
		}
	}
	return out
}

// record reads a record.
func (in *reader) record() Record {
	r := Record{
		Answered: never,
	}
	copy(r.Digest[:], in.bytes(digestBytes))
	head := in.bytes(1)[0]
	r.open = head&bitOpen != 0
	n := int(head & maskEnds)
	if n > maxEnds {
		in.failed = true
		return r
	}
	if head&bitAnswered != 0 {
		r.Answered = in.now - in.age()
	}
	for range n {
		start := Start(binary.LittleEndian.Uint64(in.bytes(8)))
		r.Ends = append(r.Ends, End{
			Start: start,
			At:    in.now - in.age(),
		})
	}
	if head&bitAlone != 0 {
		r.takeAlone(in.bytes(1)[0])
	}
	return r
}

// takeAlone takes the bits of the ends that were on trial.
func (r *Record) takeAlone(bits byte) {
	for i := range r.Ends {
		r.Ends[i].Alone = bits&(1<<i) != 0
	}
}

// bytes reads n bytes, zeros where there are too few.
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

// age reads an age.
func (in *reader) age() time.Duration {
	ms, n := binary.Uvarint(in.rest)
	if n <= 0 || ms > uint64(oldest.Milliseconds()) {
		in.failed = true
		return 0
	}
	in.rest = in.rest[n:]
	return time.Duration(ms) * time.Millisecond
}

// size returns the most bytes that the record takes.
func (r *Record) size() int { return recordBytes + len(r.Ends)*endBytes }

// pack puts records into as many datagrams as they need.
func pack(records []Record) [][]Record {
	var out [][]Record
	left := 0
	for _, r := range records {
		if r.size() > left {
			out = append(out, nil)
			left = datagramBytes - headBytes - sumsBytes
		}
		left -= r.size()
		out[len(out)-1] = append(out[len(out)-1], r)
	}
	return out
}
