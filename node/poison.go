package node

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/decision"
	"github.com/havenrudder/havenrudder/ingress"
	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/poison"
)

const cutDial = 250 * time.Millisecond // within a region a connection takes some 5 ms, a lost packet a second

// poison returns the seams of the path of requests to what is known of requests that end
// their replicas.
func (n *Node) poison(ctx context.Context) ingress.Poison {
	return ingress.Poison{
		Quarantined: n.quarantined,
		Cut: func(c *placement.Choice, content *poison.Content, took time.Duration, closed bool) {
			n.cut(ctx, c, content, took, closed)
		},
		Survived:  n.survived,
		OnTrial:   n.onTrial,
		TakeTrial: n.takeTrial,
		EndTrial:  n.endTrial,
	}
}

// onTrial says whether one run of a request at a time may be under way, over all boxes: also one
// that is quarantined untried, and was served here before. One that was served here of late is
// cleared instead.
func (n *Node) onTrial(content *poison.Content) (onTrial bool) {
	if n.suspects.Load() == 0 {
		return false
	}
	d := content.Digest()
	now := n.now()
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		_, quarantined := s.poison.Quarantined(d, now)
		onTrial = s.poison.OnTrial(d, now) || (quarantined && s.poison.Untried(d) && n.served.Before(content))
	})
	if onTrial && n.served.Lately(content, now) {
		n.clear(d, now)
		return false
	}
	return onTrial
}

// takeTrial asks to run a request on trial now.
func (n *Node) takeTrial(content *poison.Content) (taken bool) {
	d := content.Digest()
	var asks []poison.Packet
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		now := n.now()
		taken, asks = s.poison.Try(d, func() []poison.Box { return s.poisonBoxes(now) }, now)
	})
	n.sendPackets(packets(asks))
	if taken {
		n.meter.Trial()
		n.record(decision.Event{
			Kind:   decision.Belief,
			Digest: d.String(),
			Reason: "request runs on trial, apart from others",
		})
	}
	return taken
}

// endTrial takes in that the run of a request on trial is over.
func (n *Node) endTrial(c *placement.Choice, content *poison.Content) {
	d := content.Digest()
	n.state.Post(func(s *state) { s.poison.EndTrial(c.Replica, d) })
}

// quarantined says whether a request is turned away, and for how long. One that was served
// here of late is cleared instead, and one that was so before may be tried.
func (n *Node) quarantined(content *poison.Content) (left time.Duration, quarantined bool) {
	if n.suspects.Load() == 0 {
		return 0, false
	}
	d := content.Digest()
	now := n.now()
	_ = n.state.Do(func(s *state) { left, quarantined = s.poison.Quarantined(d, now) }) // it fails only when the box has ended
	switch {
	case !quarantined:
		return 0, false
	case n.served.Lately(content, now):
		n.clear(d, now)
		return 0, false
	case n.served.Before(content) && (n.isUntried(d) || n.triesQuarantined(d, now)):
		return 0, false
	}
	return left, true
}

// isUntried says whether a quarantined request was not on trial yet.
func (n *Node) isUntried(d poison.Digest) (untried bool) {
	_ = n.state.Do(func(s *state) { untried = s.poison.Untried(d) }) // it fails only when the box has ended
	return untried
}

// triesQuarantined says whether this box tries a quarantined request once more.
func (n *Node) triesQuarantined(d poison.Digest, now time.Duration) (tries bool) {
	_ = n.state.Do(func(s *state) { tries = s.poison.Tries(d, s.poisonBoxes(now), now) }) // it fails only when the box has ended
	if tries {
		n.record(decision.Event{
			Kind:   decision.Belief,
			Digest: d.String(),
			Reason: "quarantined request tried again, it was answered before",
		})
	}
	return tries
}

// survived takes in that a replica gave a request a whole answer, or has gone on with one for
// long.
func (n *Node) survived(c *placement.Choice, content *poison.Content, took time.Duration) {
	now := n.now()
	n.served.Add(content, now)
	n.state.Post(func(s *state) { s.poison.Lives(c.Replica, now-took) })
	if n.suspects.Load() > 0 || content.Digested() {
		n.clear(content.Digest(), now)
	}
}

// clear takes in that a request was answered whole.
func (n *Node) clear(d poison.Digest, now time.Duration) {
	news := false
	_ = n.state.Do(func(s *state) { news = s.poison.Clear(d, now) }) // it fails only when the box has ended
	if news {
		n.meter.Cleared()
		n.tellPoison()
	}
}

// cut takes in that a replica got a request and gave no whole answer in a time; closed says
// that it closed the connection. Whether it has ended is found out with a connection then. Of one
// that fell silent, and of one that the connection doesn't tell of, the catalog does.
func (n *Node) cut(ctx context.Context, c *placement.Choice, content *poison.Content, took time.Duration, closed bool) {
	now := n.now()
	if n.served.Lately(content, now) {
		return
	}
	d := content.Digest()
	counted, dials, suspect := false, false, false
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		if s.isLeaving(c.Replica) {
			return // it was to end
		}
		counted = s.poison.Cut(c.Replica, d, now-took, now)
		dials = closed && !counted && s.poison.Dials(c.Replica, now)
		suspect = s.poison.Suspects(d)
	})
	if counted {
		n.tellPoison()
	}
	start, addr := c.Replica, c.Addr
	switch {
	case !dials, ctx.Err() != nil:
	case suspect:
		n.dialCut(ctx, start, addr) // else the request would end one replica more before it is known
	default:
		n.tasks.Go(func() { n.dialCut(ctx, start, addr) })
	}
}

// isLeaving says whether a start has said that it will end.
func (s *state) isLeaving(start string) bool {
	r := s.view.Get(start)
	return r != nil && r.Info().Leaving
}

// dialCut finds out whether a replica that cut a request has ended: then its address
// refuses connections, for some seconds at least. A connection that is made is kept for the
// next request.
func (n *Node) dialCut(ctx context.Context, start, addr string) {
	err := n.replicaPool.Reach(ctx, addr, cutDial)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	sleep.For(ctx, poison.Settles)
	var e replicaEnd
	_ = n.state.Do(func(s *state) { e = s.replicaEnded(start, n.now()) }) // it fails only when the box has ended
	n.recordEnd(e)
	n.tellPoison()
}

// replicaEnd is the end of a replica under requests.
type replicaEnd struct {
	start    string
	counted  int             // requests that it counts for
	requests []poison.Digest // some of those
}

// replicaEnded counts the end of a replica for the requests that it ran.
func (s *state) replicaEnded(start string, now time.Duration) replicaEnd {
	return replicaEnd{
		start:    start,
		counted:  s.poison.Ended(start, now),
		requests: s.poison.CutBy(start),
	}
}

// recordEnd writes down that a replica ended under requests. By the start and the digests the
// line is found from those of a request that is quarantined.
func (n *Node) recordEnd(e replicaEnd) {
	if e.counted == 0 {
		return
	}
	n.record(decision.Event{
		Kind:     decision.Belief,
		Upstream: e.start,
		Reason:   "replica ended under requests",
		InFlight: e.counted,
		Detail:   fmt.Sprintf("start %v, requests %v", poison.StartOf(e.start), e.requests),
	})
}

// unlistedEnds takes in which replicas that cut requests are no longer listed, though they
// had not said that they leave.
func (n *Node) unlistedEnds() {
	var ends []replicaEnd
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		for _, start := range s.poison.Doubtful() {
			r := s.view.Get(start)
			if r == nil || (!r.Listed() && !r.Info().Leaving) {
				ends = append(ends, s.replicaEnded(start, n.now()))
			}
		}
	})
	for _, e := range ends {
		n.recordEnd(e)
	}
}
