package roster

import "time"

const (
	maxReports   = 90 // load reports in one datagram
	reportFanout = 2  // boxes that receive them in a tick
)

// SharesLoads reports whether boxes send each other their loads at the replicas. Where that
// takes too many bytes they relay the load reports of the replicas.
func (t *Table) SharesLoads() bool { return t.params.fullStatus || t.params.loads > 0 }

// ReceivedWithin reports whether a datagram of another box was received within d.
func (t *Table) ReceivedWithin(d, now time.Duration) bool { return now-t.agreement.lastContact <= d }

// SendLoadReports returns datagrams that send load reports, and demand, to random ones of addrs,
// which it reorders. They don't count against the budget, as their number doesn't grow with the number
// of boxes.
func (t *Table) SendLoadReports(reports []CompactLoadReport, addrs []string, now time.Duration, rnd func(n int) int) []Packet {
	if len(reports) == 0 && (len(t.compact.selfStatus.Demand) == 0 || t.compact.demandBudget <= 0) {
		return nil
	}
	b := t.header()
	for _, report := range reports[:min(len(reports), maxReports)] {
		report.Age += reportAgeUnit // makes up for the transit time, so that relayed reports don't get younger
		b.LoadReports = append(b.LoadReports, report)
	}
	demand := t.addDemand(&b, now)
	buf := b.encode()
	if len(reports) == 0 {
		demand = len(buf) + packetHeaderBytes // the datagram is sent for it alone
	}
	out := make([]Packet, 0, reportFanout)
	for _, addr := range pickRandom(addrs, reportFanout, rnd) {
		if len(reports) == 0 && t.compact.demandBudget <= 0 {
			break
		}
		out = append(out, Packet{
			Addr: addr,
			Buf:  buf,
		})
		t.compact.demandBudget -= float64(demand)
	}
	return out
}
