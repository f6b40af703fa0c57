package node

import (
	"context"
	"maps"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/poison"
	"github.com/havenrudder/havenrudder/roster"
)

const (
	cutDial    = 250 * time.Millisecond // within a region a connection takes some 5 ms, a lost packet a second
	cutDialGap = time.Second            // between two connections to a replica that cut requests
)

// verdict is what a box holds of a request, as its log says.
type verdict int

const (
	unsuspected verdict = iota
	barred              // it is turned away
)

// suspects is what a box knows of requests that end their replicas. It belongs to the
// state.
type suspects struct {
	ledger *poison.Ledger
	cuts   *poison.Cuts
	spread *poison.Spread
	dialed map[string]time.Duration // when a start that cut requests was last connected to
	said   map[poison.Digest]verdict
}

func newSuspects(box string) suspects {
	ledger := poison.NewLedger()
	return suspects{
		ledger: ledger,
		cuts:   poison.NewCuts(),
		spread: poison.NewSpread(box, ledger),
		dialed: make(map[string]time.Duration),
		said:   make(map[poison.Digest]verdict),
	}
}

// poison returns the seams of the path of requests to what is known of such requests.
func (n *Node) poison(ctx context.Context) ingress.Poison {
	return ingress.Poison{
		Barred: n.barred,
		Cut: func(c *placement.Choice, content *poison.Content, closed bool) {
			n.cut(ctx, c, content, closed)
		},
		Whole: n.whole,
	}
}

// barred says whether a request is turned away, and for how long. One that was answered
// here of late is acquitted instead.
func (n *Node) barred(content *poison.Content) (left time.Duration, barred bool) {
	if n.known.Load() == 0 {
		return 0, false
	}
	d := content.Digest()
	now := n.now()
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		if r := s.poison.ledger.Get(d); r != nil {
			left, barred = r.Barred(now)
		}
	})
	if barred && n.proofs.Has(content, now) {
		n.acquit(d, now)
		return 0, false
	}
	return left, barred
}

// whole takes in that a replica gave a request a whole answer.
func (n *Node) whole(c *placement.Choice, content *poison.Content, took time.Duration) {
	now := n.now()
	n.proofs.Add(content, now)
	n.state.Post(func(s *state) { s.poison.cuts.Lives(c.Replica, now-took) })
	if n.known.Load() > 0 || content.Digested() {
		n.acquit(content.Digest(), now)
	}
}

// acquit takes in that a request was answered whole.
func (n *Node) acquit(d poison.Digest, now time.Duration) {
	news := false
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		if news = s.poison.ledger.Acquit(d, now); news {
			s.poison.spread.Learned(d, now)
		}
	})
	if news {
		n.meter.Acquitted()
		n.tellPoison()
	}
}

// cut takes in that a replica got a request and gave no whole answer. Whether the replica
// has ended is found out with a connection, unless it fell silent; then the catalog tells.
func (n *Node) cut(ctx context.Context, c *placement.Choice, content *poison.Content, closed bool) {
	now := n.now()
	if n.proofs.Has(content, now) {
		return
	}
	d := content.Digest()
	found, dial := false, false
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		found = s.cut(c.Replica, d, now)
		dial = closed && !found && s.dialsCut(c.Replica, now)
	})
	if found {
		n.tellPoison()
	}
	if dial {
		start, addr := c.Replica, c.Addr
		n.tasks.Go(func() { n.dialCut(ctx, start, addr) })
	}
}

// cut notes a request that a replica gave no whole answer, and returns whether that is
// held against the request.
func (s *state) cut(start string, d poison.Digest, now time.Duration) bool {
	if r := s.view.Get(start); r != nil && r.Info().Leaving {
		return false // it was to end
	}
	if !s.poison.cuts.Add(start, d, now) {
		return false
	}
	s.charge(d, start, now)
	return true
}

// dialsCut says whether it is to be found out now whether a start has ended.
func (s *state) dialsCut(start string, now time.Duration) bool {
	if last, ok := s.poison.dialed[start]; ok && now-last < cutDialGap {
		return false
	}
	s.poison.dialed[start] = now
	return true
}

// dialCut finds out whether a replica that cut a request has ended: then its address
// refuses connections, for some seconds at least. A connection that is made is kept for the
// next request.
func (n *Node) dialCut(ctx context.Context, start, addr string) {
	if err := n.replicas.Reach(ctx, addr, cutDial); errors.Is(err, syscall.ECONNREFUSED) {
		n.ended(start)
	}
}

// ended takes in that a start of a replica has ended.
func (n *Node) ended(start string) {
	now := n.now()
	charged := 0
	_ = n.state.Do(func(s *state) { charged = s.ended(start, now) }) // it fails only when the box has ended
	n.noteEnd(start, charged)
	n.tellPoison()
}

// ended holds the end of a start against the requests that it ran, and returns how many.
func (s *state) ended(start string, now time.Duration) int {
	list := s.poison.cuts.Ended(start)
	for _, d := range list {
		s.charge(d, start, now)
	}
	return len(list)
}

// charge holds the end of a start against a request.
func (s *state) charge(d poison.Digest, start string, now time.Duration) {
	if s.poison.ledger.Charge(d, poison.StartOf(start), now) {
		s.poison.spread.Learned(d, now)
	}
}

// noteEnd writes down that a replica ended under requests.
func (n *Node) noteEnd(start string, charged int) {
	if charged == 0 {
		return
	}
	n.record(decision.Event{
		Kind:     decision.Belief,
		Upstream: start,
		Reason:   "replica ended under requests",
		InFlight: charged,
	})
}

// endsListed takes in which of the replicas that cut requests are no longer listed, though
// they had not said that they leave.
func (n *Node) endsListed() {
	now := n.now()
	type end struct {
		start   string
		charged int
	}
	var ends []end
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		for _, start := range s.poison.cuts.Open() {
			if r := s.view.Get(start); r != nil && (r.Listed() || r.Info().Leaving) {
				continue
			}
			ends = append(ends, end{
				start:   start,
				charged: s.ended(start, now),
			})
		}
	})
	for _, e := range ends {
		n.noteEnd(e.start, e.charged)
	}
}

// tellPoison tells other boxes what is due of requests that end their replicas, and writes
// down what is held of them now.
func (n *Node) tellPoison() {
	var out []roster.Packet
	var changed []decision.Event
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		now := n.now()
		out = s.tellPoison(now, n.draw)
		changed = s.verdicts(now)
		n.known.Store(int32(len(s.poison.ledger.Open())))
	})
	n.post(out)
	for _, e := range changed {
		n.record(e)
	}
}

// tellPoison returns what is due to be told of requests that end their replicas.
func (s *state) tellPoison(now time.Duration, rnd func(n int) int) []roster.Packet {
	var others []poison.Box
	for m := range s.roster.All() {
		if s.roster.Alive(m.Status.Box, now) {
			others = append(others, poison.Box{
				Name: m.Status.Box,
				Addr: m.Status.Peers,
			})
		}
	}
	return packets(s.poison.spread.Due(others, now, rnd))
}

// packets returns datagrams as the roster's link sends them.
func packets(list []poison.Packet) []roster.Packet {
	out := make([]roster.Packet, 0, len(list))
	for _, p := range list {
		out = append(out, roster.Packet{
			Addr: p.Addr,
			Buf:  p.Buf,
		})
	}
	return out
}

// hearPoison takes a datagram of another box in.
func (n *Node) hearPoison(buf []byte, from string) {
	news := false
	var out []roster.Packet
	_ = n.state.Do(func(s *state) { out, news = s.hearPoison(buf, from, n.now(), n.draw) }) // it fails only when the box has ended
	n.post(out)
	if news {
		n.tellPoison()
	}
}

// hearPoison takes a datagram of another box in, and returns the answers and whether there
// was news in it. One that can't be read is dropped: what it told is told again.
func (s *state) hearPoison(buf []byte, from string, now time.Duration, rnd func(n int) int) (answers []roster.Packet, news bool) {
	d, err := poison.Decode(buf, now)
	if err != nil {
		return nil, false
	}
	learned, out := s.poison.spread.Hear(d, from, now, rnd)
	return packets(out), len(learned) > 0
}

// barredRequests returns how many requests are turned away; it is read after the box has
// begun to run.
func (n *Node) barredRequests() (count int) {
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		for _, r := range s.poison.ledger.Open() {
			if _, barred := r.Barred(n.now()); barred {
				count++
			}
		}
	})
	return count
}

// forgetPoison drops what says nothing any more.
func (s *state) forgetPoison(now time.Duration) {
	s.poison.ledger.Forget(now)
	s.poison.cuts.Forget(now)
	maps.DeleteFunc(s.poison.dialed, func(_ string, at time.Duration) bool { return now-at > cutDialGap })
	maps.DeleteFunc(s.poison.said, func(d poison.Digest, _ verdict) bool { return s.poison.ledger.Get(d) == nil })
}

// verdicts returns lines for the requests of which something else is held than the log
// says.
func (s *state) verdicts(now time.Duration) []decision.Event {
	var out []decision.Event
	for _, r := range s.poison.ledger.Open() {
		left, isBarred := r.Barred(now)
		was := s.poison.said[r.Digest]
		switch {
		case isBarred && was != barred:
			s.poison.said[r.Digest] = barred
			out = append(out, decision.Event{
				Kind:   decision.Belief,
				Digest: r.Digest.String(),
				Reason: "request barred, for replicas ended under it",
				Tries:  len(r.Ends),
				Detail: "for " + left.Round(time.Second).String(),
			})
		case !isBarred && was == barred:
			delete(s.poison.said, r.Digest)
			reason := "request no longer barred"
			if len(r.Ends) == 0 {
				reason = "request acquitted by a whole answer"
			}
			out = append(out, decision.Event{
				Kind:   decision.Belief,
				Digest: r.Digest.String(),
				Reason: reason,
			})
		}
	}
	return out
}
