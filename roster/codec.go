package roster

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/wire"
)

// Sizes of what is sent, in bytes.
const (
	datagramBytes = 1200 // below the usual path MTU, as QUIC assumes it (RFC 9000, section 14)
	othersBytes   = 700  // for the statuses of others; four or so, by TestSizesOfStatuses
	statusBytes   = 400  // for one status without its loads; rooms beyond it are left out
)

// Errors of Encode and Decode.
var (
	ErrTooLarge = errors.New("gossip exceeds the size of a datagram")
	ErrNoSender = errors.New("gossip has no sender")
)

// Encode returns g as one datagram. When it would be too large, these are left
// out: rooms from the end, then loads of few tokens, then others from the end.
// The statuses of others always come without loads. ErrTooLarge tells of a sender
// whose bare status doesn't fit.
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

// Decode reads one datagram and checks it.
func Decode(buf []byte) (wire.Gossip, error) {
	var g wire.Gossip
	if err := json.Unmarshal(buf, &g); err != nil {
		return wire.Gossip{}, errors.Wrap(err, "decode gossip")
	}
	if g.From.Box == "" {
		return wire.Gossip{}, ErrNoSender // a status that is there has a name
	}
	return g, nil
}

// fitDatagram returns g with as much of its lists as a datagram holds.
func fitDatagram(g wire.Gossip) wire.Gossip {
	loads, others := g.From.Loads, g.Others
	g.From.Loads = nil
	g.From = trim(g.From, statusBytes)
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

// appendFitting appends to out from the head of list what fits room, takes its bytes off
// room, and returns the rest with it.
func appendFitting[T any](out, list []T, room *int) (filled, rest []T) {
	for i, v := range list {
		n := jsonSize(v) + 1 // with its comma
		if n > *room {
			return out, list[i:]
		}
		*room -= n
		out = append(out, v)
	}
	return out, nil
}

// byTokens returns the loads with those first that hold most tokens.
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

// withoutLoads returns the statuses without loads.
func withoutLoads(list []wire.BoxStatus) []wire.BoxStatus {
	list = slices.Clone(list)
	for i := range list {
		list[i].Loads = nil
		list[i] = trim(list[i], statusBytes)
	}
	return list
}

// trim returns s in its shortest form: without the default state, and with no
// more rooms than fit limit bytes.
func trim(s wire.BoxStatus, limit int) wire.BoxStatus {
	if s.State == wire.ServingStateServing {
		s.State = ""
	}
	for len(s.Rooms) > 0 && jsonSize(s) > limit {
		s.Rooms = s.Rooms[:len(s.Rooms)-1]
	}
	return s
}

// jsonSize returns the bytes of v in JSON. A value that JSON can't hold counts as
// nothing: Encode reports it with the whole.
func jsonSize(v any) int {
	buf, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(buf)
}
