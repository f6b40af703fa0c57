package placement

// LookAgain makes the next Take read all entries.
func (v *View) LookAgain() { v.index.stale = true }

// Doubtful reports whether the removal of the replica is unconfirmed.
func (r *Replica) Doubtful() bool { return r.unconfirmed }
