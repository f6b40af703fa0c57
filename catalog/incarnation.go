package catalog

import "strconv"

// IncarnationSeparator separates the id from the start time in the name of an incarnation. Ids
// don't contain it.
const IncarnationSeparator = '@'

// incarnationBase is the base of start times in names; it keeps them short in datagrams.
const incarnationBase = 36

// MaxStartedAt bounds StartedAt, in the year 2109. It has nine digits in incarnationBase.
const MaxStartedAt = 1 << 42

// Incarnation returns the name of the replica's incarnation, which distinguishes it from other
// processes under the same id. It is the id alone if the start time is unknown.
func (r Replica) Incarnation() string {
	if r.StartedAt == 0 {
		return r.ID
	}
	return r.ID + string(IncarnationSeparator) + strconv.FormatInt(r.StartedAt, incarnationBase)
}

// replaces reports whether an entry replaces the recorded one of the same id. An earlier
// incarnation never does, at whatever revision, as a suspended process may write once more
// after its successor has started. An incarnation that only the replica itself reported yields
// to any later published entry.
func (r Replica) replaces(recorded Replica) bool {
	if recorded.SelfReported && r.Revision > recorded.Revision {
		return true
	}
	if r.StartedAt > 0 && recorded.StartedAt > 0 && r.StartedAt != recorded.StartedAt {
		return r.StartedAt > recorded.StartedAt
	}
	return r.Revision >= recorded.Revision
}

// isSameIncarnation reports whether two start times may belong to the same incarnation; 0 is
// unknown.
func isSameIncarnation(a, b int64) bool { return a == b || a == 0 || b == 0 }
