package placement

import "github.com/havenrudder/havenrudder/catalog"

// A replica that starts again under its id is another Replica here: what was believed of
// the earlier start, and the requests that went to it, stay with that one. Only the pacer
// keeps sends by id, since boxes that know of the new start and boxes that don't yet send
// to the same process: by start each of them would take its share of a cold replica twice
// within a second.

// otherIncarnation returns another start of a replica, one that is listed before one that isn't,
// nil for none.
func (v *View) otherIncarnation(r *Replica) *Replica {
	var out *Replica
	for _, o := range v.index.byID[r.info.ID] {
		if o != r && (out == nil || o.listed) {
			out = o
		}
	}
	return out
}

// isReplaced says whether another start of a replica is listed in its place. What becomes
// of requests to the earlier one says nothing of it.
func (v *View) isReplaced(r *Replica) bool {
	if r.listed {
		return false
	}
	o := v.otherIncarnation(r)
	return o != nil && o.listed
}

// describeRemoval says why a replica is no longer listed; newest has the newest entry at each
// address.
func (v *View) describeRemoval(r *Replica, newest map[string]catalog.Replica) string {
	switch {
	case v.isReplaced(r):
		return "replica replaced by a later start"
	case isSuperseded(r.info, newest[r.info.Addr]):
		return "replica's address has another"
	}
	return "replica no longer listed"
}

// evict drops what is known of a start that is gone and, with the last one, what was
// sent to its id.
func (v *View) evict(r *Replica) {
	v.remove(r)
	if v.otherIncarnation(r) == nil {
		v.pacer.Forget(r.info.ID)
	}
}
