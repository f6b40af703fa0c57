package node

import (
	"maps"
	"time"

	"github.com/havenrudder/havenrudder/pacing"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/signal"
)

const (
	allTicks     = 16                     // ticks, in one of which a box sends another one all observations
	recentTicks  = 2                      // ticks, in one of which it sends another one the recent changes
	burstTicks   = 4                      // ticks between two changes that are sent at once
	signalFanout = 3                      // boxes that receive a change at once
	maxRecent    = 8                      // observations of recent changes in one datagram, which are sent more often
	newBoxTime   = 500 * time.Millisecond // for which a box that has started receives all observations
	recentChange = 5 * time.Second        // for which a change is sent to further boxes
	minTransit   = 10 * time.Millisecond  // bound on the smallest delay of a datagram within a region
)

// signalState is the state of relaying what replicas report.
type signalState struct {
	changed map[string]time.Duration // incarnations with a recent change, and its time
	fresh   bool                     // a change is not relayed yet
	burst   int                      // the tick at which one was last told at once
	ticks   int
	cursor  int // of the next observation where they don't fit one datagram
}

// recordSignals records what the replica of a choice reports in an answer.
func (s *state) recordSignals(c *placement.Choice, reported placement.Signals, made placement.Span) []placement.Change {
	return s.markChanged(s.view.RecordSignals(c, reported, made), made.To)
}

// recordSignalsOf records what an incarnation reports, in an answer or by an observation of another box.
func (s *state) recordSignalsOf(incarnation string, reported placement.Signals, made placement.Span) []placement.Change {
	return s.markChanged(s.view.RecordSignalsOf(incarnation, reported, made), made.To)
}

func (s *state) markChanged(changes []placement.Change, at time.Duration) []placement.Change {
	for _, c := range changes {
		if c.Signal != "" {
			s.signals.changed[c.Subject] = at
			s.signals.fresh = true
		}
	}
	return changes
}

// signalPackets returns the datagrams of a tick: changes for some boxes of the region, at
// times all for one of them, and reports on loans for their lenders.
func (s *state) signalPackets(now time.Duration, draw func(n int) int) []roster.Packet {
	out := s.loanReports(now)
	s.signals.ticks++
	all := s.view.Observations(now)
	if len(all) == 0 {
		return out
	}
	out = append(out, s.observationPackets(all, signal.MaxObservations, s.newBoxes(now, draw), now)...)
	switch t := &s.signals; {
	case t.fresh && t.ticks-t.burst >= burstTicks:
		t.fresh = false
		t.burst = t.ticks
		return append(out, s.observationPackets(s.recentObservations(all, now), maxRecent, s.randomPeers(signalFanout, now, draw), now)...)
	case t.ticks%allTicks == 0:
		return append(out, s.observationPackets(all, signal.MaxObservations, s.randomPeers(1, now, draw), now)...)
	case t.ticks%recentTicks == 0:
		return append(out, s.observationPackets(s.recentObservations(all, now), maxRecent, s.randomPeers(1, now, draw), now)...)
	}
	return out
}

// observationPackets returns the datagrams with up to limit observations for boxes, others each time.
func (s *state) observationPackets(observations []placement.Observation, limit int, addrs []string, now time.Duration) []roster.Packet {
	if len(observations) == 0 || len(addrs) == 0 {
		return nil
	}
	d := s.signalDatagram(now)
	d.Observations = s.wireObservations(observations, limit, now)
	return packetsTo(addrs, d.Encode())
}

// newBoxes returns the addresses of boxes of the region that have just started and that this
// box is one of some to send observations to.
func (s *state) newBoxes(now time.Duration, draw func(n int) int) (out []string) {
	n := s.roster.MaxAliveIn(s.settings.Region, now)
	for m := range s.roster.All() {
		if m.Status.Region == s.settings.Region && m.Status.Peers != "" && now-m.FirstSeen < newBoxTime && draw(n) < signalFanout {
			out = append(out, m.Status.Peers)
		}
	}
	return out
}

// recentObservations returns the observations that changed recently.
func (s *state) recentObservations(observations []placement.Observation, now time.Duration) (out []placement.Observation) {
	maps.DeleteFunc(s.signals.changed, func(_ string, at time.Duration) bool { return now-at >= recentChange })
	for _, w := range observations {
		if _, ok := s.signals.changed[w.Incarnation]; ok {
			out = append(out, w)
		}
	}
	return out
}

func (s *state) signalDatagram(now time.Duration) signal.Datagram {
	return signal.Datagram{
		Sender: uint32(s.roster.SelfID()),
		Up:     now,
	}
}

// wireObservations returns up to limit observations, others each time.
func (s *state) wireObservations(observations []placement.Observation, limit int, now time.Duration) (out []signal.Observation) {
	n := min(len(observations), limit)
	for i := range n {
		w := observations[(s.signals.cursor+i)%len(observations)]
		out = append(out, signal.Observation{
			Replica:   uint32(roster.ReplicaIDOf(w.Incarnation)),
			Limited:   w.Signals.Limit.Named,
			PerSecond: w.Signals.Limit.PerSecond,
			Leaving:   w.Signals.Leaving,
			FromAge:   now - w.Made.From,
			ToAge:     now - w.Made.To,
		})
	}
	s.signals.cursor = (s.signals.cursor + n) % len(observations)
	return out
}

// randomPeers returns the addresses of up to n live boxes of the region.
func (s *state) randomPeers(n int, now time.Duration, draw func(n int) int) []string {
	var all []string
	for m := range s.roster.All() {
		if m.Status.Region == s.settings.Region && m.Status.Peers != "" && s.roster.Alive(m.Status.Box, now) {
			all = append(all, m.Status.Peers)
		}
	}
	n = min(n, len(all))
	for i := range n {
		j := i + draw(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:n]
}

// loanReports returns the datagrams that report used and expired loans to their lenders.
func (s *state) loanReports(now time.Duration) []roster.Packet {
	reports := make(map[string][]signal.Loan)
	add := func(list []pacing.Loan, op signal.Operation) {
		for _, l := range list {
			reports[l.Lender] = append(reports[l.Lender], wireLoan(l, op))
		}
	}
	add(s.view.TakeUsedLoans(), signal.Used)
	add(s.view.Limiter().TakeExpired(now), signal.Unused)
	return s.loanPackets(reports, now)
}

// askLoans returns the datagrams that ask other boxes for a send to a limited replica.
func (s *state) askLoans(incarnation string, now time.Duration) []roster.Packet {
	asks := make(map[string][]signal.Loan)
	for _, l := range s.view.Limiter().Ask(incarnation, s.possibleLenders(now), now) {
		asks[l.Lender] = append(asks[l.Lender], wireLoan(l, signal.Ask))
	}
	return s.loanPackets(asks, now)
}

// possibleLenders returns the boxes of the region that may have a share of a limit.
func (s *state) possibleLenders(now time.Duration) []string {
	out := []string{s.settings.Box}
	for m := range s.roster.AllServing(s.settings.Region, now) {
		out = append(out, m.Status.Box)
	}
	return out
}

func wireLoan(l pacing.Loan, op signal.Operation) signal.Loan {
	return signal.Loan{
		Operation: op,
		Replica:   uint32(roster.ReplicaIDOf(l.Replica)),
		Nonce:     l.Nonce,
	}
}

func (s *state) loanPackets(byBox map[string][]signal.Loan, now time.Duration) (out []roster.Packet) {
	for box, list := range byBox {
		addr := s.roster.Address(box)
		for len(list) > 0 && addr != "" {
			n := min(len(list), signal.MaxLoans)
			out = append(out, s.loanPacket(addr, list[:n], now))
			list = list[n:]
		}
	}
	return out
}

func (s *state) loanPacket(addr string, list []signal.Loan, now time.Duration) roster.Packet {
	d := s.signalDatagram(now)
	d.Loans = list
	return roster.Packet{
		Addr: addr,
		Buf:  d.Encode(),
	}
}

// receiveSignals applies a datagram of another box of the region.
func (s *state) receiveSignals(d signal.Datagram, from string, now time.Duration) (replies []roster.Packet, changes []placement.Change) {
	box, delay, ok := s.roster.SenderOf(roster.ID(d.Sender), d.Up, now)
	if !ok {
		return nil, nil // its heartbeat comes before the next one
	}
	for _, w := range d.Observations {
		incarnation, ok := s.replicaIDs.start(roster.ReplicaID(w.Replica))
		if !ok {
			continue
		}
		changes = append(changes, s.recordSignalsOf(incarnation, receivedSignals(w), placement.Span{
			From: now - delay - minTransit - w.FromAge,
			To:   now - w.ToAge,
		})...)
	}
	var grants []signal.Loan
	for _, l := range d.Loans {
		if reply, ok := s.receiveLoan(l, box, now); ok {
			grants = append(grants, reply)
		}
	}
	if len(grants) > 0 {
		replies = append(replies, s.loanPacket(from, grants, now))
	}
	return replies, changes
}

func receivedSignals(w signal.Observation) placement.Signals {
	return placement.Signals{
		Limit: placement.RateLimit{
			Named:     w.Limited,
			PerSecond: w.PerSecond,
		},
		Leaving: w.Leaving,
	}
}

// receiveLoan applies the message of a box on a loan, and returns the answer, if any.
func (s *state) receiveLoan(l signal.Loan, box string, now time.Duration) (reply signal.Loan, ok bool) {
	incarnation, known := s.replicaIDs.start(roster.ReplicaID(l.Replica))
	if !known {
		return reply, false
	}
	limiter := s.view.Limiter()
	id := pacing.LoanID{
		Borrower: box,
		Nonce:    l.Nonce,
	}
	reply = l
	switch l.Operation {
	case signal.Ask:
		reply.Operation = signal.Grant
		return reply, limiter.Lend(incarnation, id, s.sharers(now), now)
	case signal.Grant:
		reply.Operation = signal.Unused
		return reply, !limiter.Granted(incarnation, box, l.Nonce, now)
	default:
		limiter.Report(incarnation, id, l.Operation == signal.Used, now)
		return reply, false
	}
}

// gossipSignals sends the datagrams of a tick.
func (n *Node) gossipSignals() {
	var out []roster.Packet
	_ = n.state.Do(func(s *state) { out = s.signalPackets(n.now(), n.draw) }) // it fails only when the box has ended
	n.sendPackets(out)
}

func (n *Node) receiveSignals(buf []byte, from string) {
	d, err := signal.Decode(buf)
	if err != nil {
		n.recordMalformedDatagram(from, err)
		return
	}
	var replies []roster.Packet
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		var changes []placement.Change
		replies, changes = s.receiveSignals(d, from, n.now())
		n.recordStateChanges(changes)
		n.dispatch(s) // a loan that is granted expires soon
	})
	n.sendPackets(replies)
}
