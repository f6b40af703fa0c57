package placement

import "github.com/havenrudder/havenrudder/catalog"

// Each incarnation of a replica has its own Replica. Only the pacer counts by id: boxes
// learn of a new incarnation at different times, and with separate limits they would send a
// cold replica twice its rate.

// otherIncarnation returns another incarnation of a replica, preferably a listed one, nil
// for none.
func (v *View) otherIncarnation(r *Replica) *Replica {
	var out *Replica
	for _, o := range v.index.byID[r.info.ID] {
		if o != r && (out == nil || o.listed) {
			out = o
		}
	}
	return out
}

// isReplaced reports whether another incarnation is listed instead of this one. The results
// of requests to this one don't apply to it.
func (v *View) isReplaced(r *Replica) bool {
	if r.listed {
		return false
	}
	o := v.otherIncarnation(r)
	return o != nil && o.listed
}

// describeRemoval returns why a replica is no longer listed; newest holds the latest entry of
// each address.
func (v *View) describeRemoval(r *Replica, newest map[string]catalog.Replica) string {
	switch {
	case v.isReplaced(r):
		return "replica replaced by a later start"
	case isSuperseded(r.info, newest[r.info.Addr]):
		return "replica's address has another"
	}
	return "replica no longer listed"
}

// evict deletes the record of an incarnation and, with the last one, the rate limit of its
// id.
func (v *View) evict(r *Replica) {
	v.remove(r)
	v.limiter.Remove(r.incarnation)
	if v.otherIncarnation(r) == nil {
		v.pacer.Remove(r.info.ID)
	}
}
