package roster

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/wire"
)

// Sizes of datagrams and their parts.
const (
	datagramBytes = 1200 // below the usual path MTU, as QUIC assumes it (RFC 9000, section 14)
	othersBytes   = 700  // for the statuses of other boxes
	statusBytes   = 400  // for one status without loads; capacity beyond it is left out
)

// Errors of Encode and Decode.
var (
	ErrTooLarge = errors.New("gossip exceeds the size of a datagram")
	ErrNoSender = errors.New("gossip has no sender")
)

// Encode returns g as one datagram. If it would be too large, Encode leaves out the
// demand and the capacity from the end, then the loads with the fewest tokens, then other boxes from the
// end. The statuses of other boxes never have loads. ErrTooLarge means that the bare status
// of the sender doesn't fit.
func Encode(g wire.Gossip) ([]byte, error) {
	buf, err := json.Marshal(fitDatagram(g))
	if err != nil {
		return nil, errors.Wrap(err, "encode gossip")
	}
	if len(buf) > datagramBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(buf))
	}
	return buf, nil
}

// Decode decodes and validates one datagram.
func Decode(buf []byte) (wire.Gossip, error) {
	var g wire.Gossip
	if err := json.Unmarshal(buf, &g); err != nil {
		return wire.Gossip{}, errors.Wrap(err, "decode gossip")
	}
	if g.From.Box == "" {
		return wire.Gossip{}, ErrNoSender // the schema requires a name in a status
	}
	return g, nil
}

// fitDatagram returns g with as much of its lists as one datagram holds.
func fitDatagram(g wire.Gossip) wire.Gossip {
	loads, others, demand := g.From.Loads, g.Others, g.From.Demand
	g.From.Loads = nil
	g.From.Demand = nil
	g.From = trim(g.From, statusBytes)
	g.From.Demand = fitDemand(demand)
	g.Others = nil
	const keys = len(`,"l":[],"o":[]`)
	room := datagramBytes - jsonSize(g) - keys
	share := min(othersBytes, room)
	left := share
	g.Others, others = appendFitting(nil, withoutLoads(others), &left)
	room -= share - left
	g.From.Loads, _ = appendFitting(nil, byTokens(loads), &room)
	g.Others, _ = appendFitting(g.Others, others, &room)
	return g
}

// appendFitting appends the elements at the head of list that fit into room, subtracts
// their bytes from room, and returns the rest of list.
func appendFitting[T any](out, list []T, room *int) (filled, rest []T) {
	for i, v := range list {
		n := jsonSize(v) + 1 // comma
		if n > *room {
			return out, list[i:]
		}
		*room -= n
		out = append(out, v)
	}
	return out, nil
}

// byTokens returns the loads in order of falling tokens.
func byTokens(loads []wire.ReplicaLoad) []wire.ReplicaLoad {
	loads = slices.Clone(loads)
	slices.SortStableFunc(loads, func(a, b wire.ReplicaLoad) int {
		return cmp.Or(
			cmp.Compare(b.Tokens, a.Tokens),
			cmp.Compare(b.InFlight, a.InFlight),
		)
	})
	return loads
}

func withoutLoads(list []wire.BoxStatus) []wire.BoxStatus {
	list = slices.Clone(list)
	for i := range list {
		list[i].Loads = nil
		list[i].Demand = nil
		list[i] = trim(list[i], statusBytes)
	}
	return list
}

// trim returns s without the default state, and with no more capacity than fits limit.
func trim(s wire.BoxStatus, limit int) wire.BoxStatus {
	if s.State == wire.ServingStateServing {
		s.State = ""
	}
	for len(s.Rooms) > 0 && jsonSize(s) > limit {
		s.Rooms = s.Rooms[:len(s.Rooms)-1]
	}
	return s
}

// jsonSize returns the size of v in JSON, 0 if v can't be encoded; Encode reports the error.
func jsonSize(v any) int {
	buf, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(buf)
}
