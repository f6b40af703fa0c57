package roster

import "time"

const (
	maxReports   = 90 // replicas' words in one datagram: some 12 bytes each at most
	reportFanout = 2  // boxes that they are told at a beat
)

// TellsLoads says whether boxes tell each other what each has at the replicas. Among
// many that takes too many bytes, and they tell the replicas' own words.
func (t *Table) TellsLoads() bool { return t.params.fullStatus || t.params.loadsBytes > 0 }

// HeardWithin says whether a datagram of another box came within a time.
func (t *Table) HeardWithin(d, now time.Duration) bool { return now-t.agreement.lastContact <= d }

// TellWords returns what tells two boxes of those at some addresses, whose order it
// changes, the replicas' words. It isn't paid for by the pace: its bytes don't grow with
// the number of boxes.
func (t *Table) TellWords(reports []CompactWord, addrs []string, rnd func(n int) int) []Packet {
	if len(reports) == 0 {
		return nil
	}
	b := t.header()
	for _, report := range reports[:min(len(reports), maxReports)] {
		report.Age += reportAgeUnit // so that it gets no younger on its way, however often it is passed on
		b.Words = append(b.Words, report)
	}
	buf := b.encode()
	out := make([]Packet, 0, reportFanout)
	for _, addr := range pickRandom(addrs, reportFanout, rnd) {
		out = append(out, Packet{
			Addr: addr,
			Buf:  buf,
		})
	}
	return out
}
