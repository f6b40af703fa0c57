package roster

import (
	"slices"
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// Received is the result of receiving a compact datagram, beside the updates of the table.
type Received struct {
	Sender   string // empty if there is no record of the box
	Status   wire.BoxStatus
	Loads    []CompactLoad
	AllLoads bool // Loads has all significant loads
	Newer    bool // false for a late or repeated datagram
	Replies  []Packet
}

// ReceiveCompact handles a compact datagram received from an address.
func (t *Table) ReceiveCompact(b Compact, from string, now time.Duration) Received {
	t.compact.lastReceived = now
	t.recordContact(now)
	out := &outbox{
		compact:  &t.compact,
		selfAddr: t.self.Peers,
	}
	var h Received
	r, newer, known := t.recordLiveness(b.From, now)
	switch {
	case r != nil:
		h = t.recordSender(r, b, newer)
	case !known && t.compact.startRequest(b.From.ID, from, now):
		out.send(from, t.encodeStatuses(t.previousProcess(from, now), true))
	}
	t.recordOthers(out, b, r, from, now)
	t.recordCapacity(b, now)
	t.recordDemands(b.Demand, now)
	t.compact.newestRevision = max(t.compact.newestRevision, b.NewestCatalog, b.Catalog)
	if b.Probe {
		t.answerProbe(out, r, b.UpMs, from, now)
	}
	t.sendStatuses(out, b.Requested, from, now)
	if r != nil {
		t.recordAnswer(b, r, now)
	}
	if r != nil && b.Check != 0 {
		t.answerCheck(out, b, r, from, now)
	}
	h.Replies = out.packets
	return h
}

func (t *Table) recordSender(r *record, b Compact, newer bool) Received {
	if newer {
		s := r.Status
		s.State = b.State
		if b.NoCallers {
			s.Callers = ""
		}
		s.Catalog = int(b.Catalog)
		s.Policy = b.Policy
		s.ReadMs = b.CatalogReadMs
		s.UpMs = b.UpMs
		s.Lapses = b.UnconfirmedRemovals
		if r.State() == wire.ServingStateLeaving {
			s.State = wire.ServingStateLeaving
		}
		if stateOf(s) != r.State() && len(t.compact.changed) < maxChanged {
			t.compact.changed = append(t.compact.changed, s.Box)
		}
		r.Status = s
		if s.Region != t.self.Region {
			r.fresh = true
		}
	}
	return Received{
		Sender:   r.Status.Box,
		Status:   r.Status,
		Loads:    b.Loads,
		AllLoads: b.AllLoads,
		Newer:    newer,
	}
}

// recordOthers records the liveness, deaths and departures of other boxes, and requests the
// status of unknown ones.
func (t *Table) recordOthers(out *outbox, b Compact, sender *record, from string, now time.Duration) {
	var unknown []ID
	for _, v := range b.Liveness {
		r, newer, known := t.recordLiveness(v, now)
		if !known && len(unknown) < maxUnknown && t.compact.startRequest(v.ID, from, now) {
			unknown = append(unknown, v.ID)
		}
		if newer && sender != nil && r.Status.Region != t.self.Region && r.Status.Region == sender.Status.Region {
			r.fresh = true
		}
	}
	for _, v := range b.Dead {
		if v.ID == t.compact.self && t.monitoring.enabled {
			t.refute(out, from)
			continue
		}
		t.recordDeath(v, now)
	}
	for _, id := range b.Leaving {
		if r := t.compact.byID[id]; r != nil {
			r.Status.State = wire.ServingStateLeaving
		}
	}
	if len(unknown) == 0 {
		return
	}
	q := t.header()
	q.Requested = unknown
	out.send(from, q.encode())
}

func (t *Table) recordCapacity(b Compact, now time.Duration) {
	for _, capacity := range b.Capacity {
		r := t.compact.byID[capacity.From.ID]
		if r == nil || now-capacity.From.Age <= r.CapacityAt {
			continue
		}
		r.Status.Rooms = slices.Clone(capacity.Services)
		r.capacitySeq = max(r.capacitySeq, expandSeq(r.Status.Seq, capacity.From.Seq))
		r.CapacityAt = now - capacity.From.Age
	}
}

func (t *Table) sendStatuses(out *outbox, ids []ID, from string, now time.Duration) {
	var list []wire.BoxStatus
	for _, id := range ids {
		if r := t.compact.byID[id]; r != nil && t.alive(r, now) {
			list = append(list, r.staticStatus())
		}
	}
	for chunk := range slices.Chunk(list, statusesPerReply) {
		if t.compact.statusReplies >= maxStatusReplies {
			return
		}
		t.compact.statusReplies++
		out.send(from, t.encodeStatuses(chunk, false))
	}
}
