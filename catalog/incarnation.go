package catalog

import "strconv"

// StartMark separates the id from the start time in the name of an incarnation. Ids don't
// contain it.
const StartMark = '@'

// incarnationBase is the base of start times in names; it keeps them short in datagrams.
const incarnationBase = 36

// MaxBorn bounds Born, in the year 2109. It has nine digits in incarnationBase.
const MaxBorn = 1 << 42

// Start returns the name of the replica's incarnation, which distinguishes it from other
// processes under the same id. It is the id alone if the start time is unknown.
func (r Replica) Start() string {
	if r.Born == 0 {
		return r.ID
	}
	return r.ID + string(StartMark) + strconv.FormatInt(r.Born, incarnationBase)
}

// replaces reports whether an entry replaces the recorded one of the same id. An earlier
// incarnation never does, at whatever revision, as a suspended process may write once more
// after its successor has started. An incarnation that only the replica itself reported yields
// to any later published entry.
func (r Replica) replaces(recorded Replica) bool {
	if recorded.Told && r.Revision > recorded.Revision {
		return true
	}
	if r.Born > 0 && recorded.Born > 0 && r.Born != recorded.Born {
		return r.Born > recorded.Born
	}
	return r.Revision >= recorded.Revision
}

// isSameIncarnation reports whether two start times may belong to the same incarnation; 0 is
// unknown.
func isSameIncarnation(a, b int64) bool { return a == b || a == 0 || b == 0 }
