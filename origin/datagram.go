package origin

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
)

// DatagramType is the first byte of each datagram of this package.
const DatagramType = 6

// Operation is what a datagram says or asks.
type Operation byte

// Operations.
const (
	Record        Operation = iota // the stream began at the build
	AskStream                      // at which build did the stream begin?
	StreamAnswer                   // it began at the build, 0 if that is not recorded
	AskService                     // is there a build that all replicas of the service have had, and for how long?
	ServiceAnswer                  // it is the build, and has been for the time; 0 if there is none
	operations
)

// ErrDatagram reports a malformed datagram.
var ErrDatagram = errors.New("malformed datagram of streams' software versions")

// Datagram is a message on the software version of one stream, or of a service.
type Datagram struct {
	Operation Operation
	Stream    StreamID
	Service   uint64 // ServiceOf its name; only with AskService
	Build     catalog.BuildID
	For       time.Duration // in whole seconds, up to maxFor; only with ServiceAnswer
}

const maxFor = time.Hour

// Sizes of the fields, in bytes.
const (
	headBytes    = 2
	idBytes      = 8
	secondsBytes = 2
)

// ServiceOf returns the ID of a service in datagrams.
func ServiceOf(name string) uint64 { return xxhash.Sum64String(name) }

// hasBuild reports whether datagrams of an operation hold a software version.
func (o Operation) hasBuild() bool { return o == Record || o == StreamAnswer || o == ServiceAnswer }

// size returns the size of the datagrams of an operation, in bytes.
func (o Operation) size() int {
	switch o {
	case AskStream:
		return headBytes + idBytes
	case ServiceAnswer:
		return headBytes + 2*idBytes + secondsBytes
	default:
		return headBytes + 2*idBytes
	}
}

// Encode returns the encoded datagram.
func (d *Datagram) Encode() []byte {
	out := append(make([]byte, 0, d.Operation.size()), DatagramType, byte(d.Operation))
	out = binary.BigEndian.AppendUint64(out, uint64(d.Stream))
	if d.Operation == AskService {
		out = binary.BigEndian.AppendUint64(out, d.Service)
	}
	if d.Operation.hasBuild() {
		out = binary.BigEndian.AppendUint64(out, uint64(d.Build))
	}
	if d.Operation == ServiceAnswer {
		out = binary.BigEndian.AppendUint16(out, uint16(min(max(d.For, 0), maxFor)/time.Second))
	}
	return out
}

// Decode decodes a datagram and checks it.
func Decode(buf []byte) (d Datagram, err error) {
	if len(buf) < headBytes || buf[0] != DatagramType || buf[1] >= byte(operations) {
		return d, ErrDatagram
	}
	d.Operation = Operation(buf[1])
	if len(buf) != d.Operation.size() {
		return d, ErrDatagram
	}
	rest := buf[headBytes:]
	d.Stream = StreamID(binary.BigEndian.Uint64(rest))
	rest = rest[idBytes:]
	if d.Operation == AskService {
		d.Service = binary.BigEndian.Uint64(rest)
	}
	if d.Operation.hasBuild() {
		d.Build = catalog.BuildID(binary.BigEndian.Uint64(rest))
		rest = rest[idBytes:]
	}
	if d.Operation == ServiceAnswer {
		d.For = time.Duration(binary.BigEndian.Uint16(rest)) * time.Second
	}
	if d.For > maxFor || (d.Operation == Record && d.Build == 0) {
		return Datagram{}, ErrDatagram
	}
	return d, nil
}
