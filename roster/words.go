package roster

import "time"

// mostWords bounds the replicas' words in one datagram: some 12 bytes each at most.
const mostWords = 90

// TellsLoads says whether boxes tell each other what each has at the replicas. Among
// many that takes too many bytes, and they tell the replicas' own words.
func (t *Table) TellsLoads() bool { return t.pace.plain || t.pace.loads > 0 }

// HeardWithin says whether a datagram of another box came within a time.
func (t *Table) HeardWithin(d, now time.Duration) bool { return now-t.agreement.heard <= d }

// TellWords returns what tells boxes at some addresses the replicas' words. It isn't
// paid for by the pace: its bytes don't grow with the number of boxes.
func (t *Table) TellWords(words []CompactWord, addrs []string) []Packet {
	if len(words) == 0 {
		return nil
	}
	b := t.header()
	for _, w := range words[:min(len(words), mostWords)] {
		w.Age += wordUnit // so that it gets no younger on its way, however often it is passed on
		b.Words = append(b.Words, w)
	}
	buf := b.encode()
	out := make([]Packet, 0, len(addrs))
	for _, addr := range addrs {
		out = append(out, Packet{
			Addr: addr,
			Buf:  buf,
		})
	}
	return out
}
