// Package signal encodes the datagrams by which the boxes of a region relay what replicas
// report of themselves in their answers, and lend each other sends to limited replicas.
package signal

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cockroachdb/errors"
)

// DatagramType is the first byte of each datagram of this package.
const DatagramType = 5

// Limits of one datagram, which keep it below the common path MTU (RFC 9000, section 14).
const (
	MaxObservations = 40
	MaxLoans        = 24
)

const (
	datagramBytes = 1200
	maxAge        = time.Hour // older ages are sent as this
	maxRate       = 1000      // requests per second
)

// ErrDatagram reports a malformed datagram.
var ErrDatagram = errors.New("malformed datagram of replicas' signals")

// Datagram is a message to other boxes of the region.
type Datagram struct {
	Sender       uint32        // short ID of the sender's process
	Up           time.Duration // uptime of the sender, in milliseconds
	Observations []Observation
	Loans        []Loan
}

// Observation is what one incarnation of a replica last reported, as the sender records it.
type Observation struct {
	Replica   uint32  // short ID of the incarnation
	Limited   bool    // it names a limit
	PerSecond float64 // the limit, in requests per second
	Leaving   bool    // it leaves
	FromAge   time.Duration
	ToAge     time.Duration // the answer was made between these ages
}

// Operation is what a box says of a loan.
type Operation byte

// Operations on loans.
const (
	Ask    Operation = iota // the sender asks for a loan
	Grant                   // the sender lends
	Used                    // the request of the loan has arrived
	Unused                  // there was no request, and there will be none
	operations
)

// Loan is a message on one send to a limited replica. The borrower chooses the nonce.
type Loan struct {
	Operation Operation
	Replica   uint32
	Nonce     uint32
}

// Bits of the flags of an observation.
const (
	bitLimited = 1 << iota
	bitLeaving
)

// IsDatagram reports whether a datagram belongs to this package.
func IsDatagram(buf []byte) bool { return len(buf) > 0 && buf[0] == DatagramType }

// Encode returns the encoded datagram.
func (d *Datagram) Encode() []byte {
	out := append(make([]byte, 0, datagramBytes), DatagramType)
	out = binary.BigEndian.AppendUint32(out, d.Sender)
	out = binary.AppendUvarint(out, uint64(max(0, d.Up.Milliseconds())))
	out = append(out, byte(min(len(d.Observations), MaxObservations)))
	for _, w := range d.Observations[:min(len(d.Observations), MaxObservations)] {
		out = w.append(out)
	}
	out = append(out, byte(min(len(d.Loans), MaxLoans)))
	for _, l := range d.Loans[:min(len(d.Loans), MaxLoans)] {
		out = append(out, byte(l.Operation))
		out = binary.BigEndian.AppendUint32(out, l.Replica)
		out = binary.BigEndian.AppendUint32(out, l.Nonce)
	}
	return out
}

func (w Observation) append(out []byte) []byte {
	out = binary.BigEndian.AppendUint32(out, w.Replica)
	var flags byte
	if w.Limited {
		flags |= bitLimited
	}
	if w.Leaving {
		flags |= bitLeaving
	}
	out = append(out, flags)
	if w.Limited {
		out = binary.BigEndian.AppendUint64(out, math.Float64bits(w.PerSecond))
	}
	out = appendAge(out, w.FromAge+time.Millisecond-1) // rounded up, so that the answer is not taken for a later one
	return appendAge(out, w.ToAge)
}

func appendAge(out []byte, age time.Duration) []byte {
	return binary.AppendUvarint(out, uint64(min(max(0, age), maxAge).Milliseconds()))
}

// Decode decodes a datagram and checks it.
func Decode(buf []byte) (Datagram, error) {
	if !IsDatagram(buf) || len(buf) > datagramBytes {
		return Datagram{}, ErrDatagram
	}
	in := reader{
		rest: buf[1:],
	}
	d := Datagram{
		Sender: in.uint32(),
		Up:     in.millis(math.MaxInt32 * time.Millisecond),
	}
	for range in.count(MaxObservations) {
		d.Observations = append(d.Observations, in.observation())
	}
	for range in.count(MaxLoans) {
		d.Loans = append(d.Loans, in.loan())
	}
	if in.failed || len(in.rest) > 0 {
		return Datagram{}, ErrDatagram
	}
	return d, nil
}

// reader reads the parts of a datagram, and zeros once one is malformed.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) take(n int) []byte {
	if r.failed || len(r.rest) < n {
		r.failed = true
		return make([]byte, n)
	}
	out := r.rest[:n]
	r.rest = r.rest[n:]
	return out
}

func (r *reader) byte() byte { return r.take(1)[0] }

func (r *reader) uint32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }

func (r *reader) count(limit int) int {
	n := int(r.byte())
	if n > limit {
		r.failed = true
	}
	if r.failed {
		return 0
	}
	return n
}

// millis reads a time in milliseconds.
func (r *reader) millis(limit time.Duration) time.Duration {
	ms, n := binary.Uvarint(r.rest)
	if r.failed || n <= 0 || ms > uint64(limit.Milliseconds()) {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return time.Duration(ms) * time.Millisecond
}

func (r *reader) observation() Observation {
	w := Observation{
		Replica: r.uint32(),
	}
	flags := r.byte()
	w.Limited = flags&bitLimited != 0
	w.Leaving = flags&bitLeaving != 0
	if w.Limited {
		w.PerSecond = math.Float64frombits(binary.BigEndian.Uint64(r.take(8)))
	}
	w.FromAge = r.millis(maxAge)
	w.ToAge = r.millis(maxAge)
	if flags&^(bitLimited|bitLeaving) != 0 || !(w.PerSecond >= 0 && w.PerSecond <= maxRate) || w.ToAge > w.FromAge {
		r.failed = true
	}
	return w
}

func (r *reader) loan() Loan {
	l := Loan{
		Operation: Operation(r.byte()),
		Replica:   r.uint32(),
		Nonce:     r.uint32(),
	}
	if l.Operation >= operations {
		r.failed = true
	}
	return l
}
