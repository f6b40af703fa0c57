// Package segment encodes and relays the datagrams by which the boxes of a region tell each other
// at which engines they have used shared segments of prompts.
package segment

import (
	"encoding/binary"
	"time"

	"github.com/cockroachdb/errors"
)

// DatagramType is the first byte of each datagram of this package.
const DatagramType = 9

// MaxUses is the number of uses in one datagram. With one datagram in each of four ticks a second
// a box sends at most 588 bytes a second, with headers.
const MaxUses = 13

const (
	headBytes = 2
	useBytes  = 9
	ageUnit   = 100 * time.Millisecond
	maxAge    = 255 * ageUnit // older ages are sent as this
)

// ErrDatagram reports a malformed datagram.
var ErrDatagram = errors.New("malformed datagram of segment uses")

// Use is a use of a segment at an engine.
type Use struct {
	Replica uint32        // short ID of the incarnation
	Key     uint32        // of the segment
	Age     time.Duration // rounded up to 100 ms
}

// Encode returns the datagram with the first MaxUses uses.
func Encode(uses []Use) []byte {
	uses = uses[:min(len(uses), MaxUses)]
	out := append(make([]byte, 0, headBytes+useBytes*len(uses)), DatagramType, byte(len(uses)))
	for _, u := range uses {
		out = binary.BigEndian.AppendUint32(out, u.Replica)
		out = binary.BigEndian.AppendUint32(out, u.Key)
		out = append(out, byte((min(max(u.Age, 0), maxAge)+ageUnit-1)/ageUnit))
	}
	return out
}

// Decode decodes a datagram and checks it.
func Decode(buf []byte) ([]Use, error) {
	if len(buf) < headBytes || buf[0] != DatagramType || buf[1] > MaxUses || len(buf) != headBytes+useBytes*int(buf[1]) {
		return nil, ErrDatagram
	}
	out := make([]Use, 0, MaxUses)
	for rest := buf[headBytes:]; len(rest) > 0; rest = rest[useBytes:] {
		out = append(out, Use{
			Replica: binary.BigEndian.Uint32(rest),
			Key:     binary.BigEndian.Uint32(rest[4:]),
			Age:     time.Duration(rest[8]) * ageUnit,
		})
	}
	return out, nil
}
