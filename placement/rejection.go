package placement

import "time"

// rejectionTTL is the time for which a replica gets no more requests at once than when it last
// rejected one. After it a longer queue is tried again, which costs one rejection at most each time.
const rejectionTTL = 2 * time.Second

// rejection is the last request that a replica with all slots taken rejected.
type rejection struct {
	requests int // at the replica before it
	at       time.Duration
}

// recordRejection records a rejected request. It returns false where the replica had free slots: it
// fails then, rather than being full.
func (r *Replica) recordRejection(l Load, now time.Duration) bool {
	if r.isEngine() || l.Requests < r.slots() {
		return false
	}
	r.rejected = rejection{
		requests: l.Requests,
		at:       now,
	}
	return true
}

// rejects reports whether the replica recently rejected a request at no more load. Queues of plain
// services differ, and some have none. Where a service's requests compete, admitted bounds them instead.
func (r *Replica) rejects(l Load, now time.Duration) bool {
	return r.rejected.requests > 0 && l.Requests >= r.rejected.requests && now-r.rejected.at < rejectionTTL
}
