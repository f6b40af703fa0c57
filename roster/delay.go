package roster

import (
	"time"

	"github.com/havenrudder/havenrudder/wire"
)

// SelfID returns the ID of this box's process in compact datagrams.
func (t *Table) SelfID() ID { return t.compact.self }

// SenderOf returns the box of the process that sent a datagram at its uptime up, and the delay
// of the datagram beyond the smallest one observed. It returns false without a record of the
// process.
func (t *Table) SenderOf(id ID, up, now time.Duration) (box string, delay time.Duration, ok bool) {
	r := t.compact.byID[id]
	if r == nil {
		return "", 0, false
	}
	return r.box, t.QueueingDelay(wire.BoxStatus{
		Box:  r.box,
		Inc:  r.Status.Inc,
		UpMs: int(up.Milliseconds()),
	}, now), true
}

// Address returns the gossip address of another box, empty if there is no record of it.
func (t *Table) Address(box string) string {
	r, ok := t.records[box]
	if !ok {
		return ""
	}
	return r.Status.Peers
}

// QueueingDelay returns the transit and queueing delay of a status beyond the smallest delay
// observed for the same process. It must be added to the ages in the status.
func (t *Table) QueueingDelay(s wire.BoxStatus, now time.Duration) time.Duration {
	r, ok := t.records[s.Box]
	if !ok || r.Status.Inc != s.Inc || s.UpMs == 0 {
		return 0
	}
	clockOffset := now - time.Duration(s.UpMs)*time.Millisecond
	if !r.hasClockOffset || clockOffset < r.clockOffset {
		r.hasClockOffset = true
		r.clockOffset = clockOffset
	}
	return clockOffset - r.clockOffset
}
