package placement

// LookAgain has all that the catalog holds looked at when it is taken next.
func (v *View) LookAgain() { v.index.stale = true }

// Doubtful says whether a replica gets nothing new since it may be gone.
func (r *Replica) Doubtful() bool { return r.unconfirmed }
