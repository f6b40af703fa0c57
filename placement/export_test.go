package placement

// InvalidateIndex makes the next Apply read all entries.
func (v *View) InvalidateIndex() { v.index.stale = true }

// Unconfirmed reports whether the removal of the replica is unconfirmed.
func (r *Replica) Unconfirmed() bool { return r.unconfirmed }
