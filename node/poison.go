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

const crashDialTimeout = 250 * time.Millisecond // a connection within a region takes some 5 ms, a lost packet a second

// poison connects the ingress to the records of poison requests.
func (n *Node) poison(ctx context.Context) ingress.PoisonHooks {
	return ingress.PoisonHooks{
		Quarantined: n.quarantined,
		PartVerdict: n.partVerdict,
		Interrupted: func(c *placement.Choice, content *poison.Content, took time.Duration, closed bool) {
			n.cut(ctx, c, content, took, closed)
		},
		Survived:  n.survived,
		OnTrial:   n.onTrial,
		TakeTrial: n.takeTrial,
		EndTrial:  n.endTrial,
	}
}

// onTrial reports whether a request may run only once at a time over all boxes. This includes a quarantined
// request that had no trial yet and was served here before; one that was served here recently is cleared.
func (n *Node) onTrial(content *poison.Content) (onTrial bool) {
	if n.suspects.Load() == 0 {
		return false
	}
	d := content.Digest()
	now := n.now()
	_ = n.state.Do(func(s *state) { // it fails only after the box has stopped
		_, quarantined := s.poison.Quarantined(d, now)
		onTrial = s.poison.OnTrial(d, now) || (quarantined && s.poison.Untried(d) && n.served.WasServed(content))
	})
	if onTrial && n.served.ServedRecently(content, now) {
		n.clear(d, now)
		return false
	}
	return onTrial
}

func (n *Node) takeTrial(content *poison.Content) (taken bool) {
	d := content.Digest()
	var asks []poison.Packet
	_ = n.state.Do(func(s *state) { // it fails only after the box has stopped
		now := n.now()
		taken, asks = s.poison.RequestTrial(d, func() []poison.Box { return s.poisonBoxes(now) }, now)
	})
	n.sendPackets(rosterPackets(asks))
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

func (n *Node) endTrial(c *placement.Choice, content *poison.Content) {
	d := content.Digest()
	n.state.Post(func(s *state) { s.poison.EndTrial(c.Incarnation, d) })
}

// quarantined reports whether a request is rejected, and for how long. One that was served here recently is
// cleared, and one that was served earlier may be retried.
func (n *Node) quarantined(content *poison.Content) (left time.Duration, quarantined bool) {
	if n.suspects.Load() == 0 {
		return 0, false
	}
	d := content.Digest()
	now := n.now()
	_ = n.state.Do(func(s *state) { left, quarantined = s.poison.Quarantined(d, now) }) // it fails only after the box has stopped
	switch {
	case !quarantined:
		return 0, false
	case n.served.ServedRecently(content, now):
		n.clear(d, now)
		return 0, false
	case n.served.WasServed(content) && (n.isUntried(d) || n.retriesQuarantined(d, now)):
		return 0, false
	}
	return left, true
}

// partVerdict reports whether a request is rejected for the parts of its prompt.
func (n *Node) partVerdict(content *poison.Content) (v poison.PartVerdict) {
	if n.suspects.Load() == 0 || len(content.Parts) == 0 {
		return v
	}
	list := content.PartDigests()
	now := n.now()
	_ = n.state.Do(func(s *state) { // it fails only after the box has stopped
		v = s.poison.PartVerdict(list, func() []poison.Box { return s.poisonBoxes(now) }, now)
	})
	if v.Retried {
		n.record(decision.Event{
			Kind:   decision.Belief,
			Digest: v.Part.String(),
			Reason: "quarantined part of a prompt tried again",
		})
	}
	return v
}

// isUntried reports whether a quarantined request had no trial yet.
func (n *Node) isUntried(d poison.Digest) (untried bool) {
	_ = n.state.Do(func(s *state) { untried = s.poison.Untried(d) }) // it fails only after the box has stopped
	return untried
}

// retriesQuarantined reports whether this box retries a quarantined request.
func (n *Node) retriesQuarantined(d poison.Digest, now time.Duration) (tries bool) {
	_ = n.state.Do(func(s *state) { tries = s.poison.ShouldRetry(d, s.poisonBoxes(now), now) }) // it fails only after the box has stopped
	if tries {
		n.record(decision.Event{
			Kind:   decision.Belief,
			Digest: d.String(),
			Reason: "quarantined request tried again, it was answered before",
		})
	}
	return tries
}

// survived records that a replica completed a request, or has been running one for long.
func (n *Node) survived(c *placement.Choice, content *poison.Content, took time.Duration) {
	now := n.now()
	n.served.Add(content, now)
	n.servedParts.AddParts(content.PartDigests(), now)
	n.state.Post(func(s *state) { s.poison.Survived(c.Incarnation, now-took) })
	if n.suspects.Load() > 0 || content.Digested() {
		n.clear(content.Digest(), now)
	}
	if n.suspects.Load() > 0 || n.heldParts.Load() > 0 {
		n.clearParts(content.PartDigests(), now)
	}
}

// clearParts records that a replica survived the parts of a prompt.
func (n *Node) clearParts(list []poison.Digest, now time.Duration) {
	if len(list) == 0 {
		return
	}
	changed := false
	_ = n.state.Do(func(s *state) { changed = s.poison.ClearParts(list, now) }) // it fails only after the box has stopped
	if changed {
		n.gossipPoison()
	}
}

// clear records that a request was completed.
func (n *Node) clear(d poison.Digest, now time.Duration) {
	changed := false
	_ = n.state.Do(func(s *state) { changed = s.poison.Clear(d, now) }) // it fails only after the box has stopped
	if changed {
		n.meter.Cleared()
		n.gossipPoison()
	}
}

// cut records that a replica received a request and gave no complete response within took. If it closed
// the connection, a new connection shows whether it crashed; otherwise the catalog does.
func (n *Node) cut(ctx context.Context, c *placement.Choice, content *poison.Content, took time.Duration, closed bool) {
	now := n.now()
	if n.served.ServedRecently(content, now) {
		return
	}
	d := content.Digest()
	counted, dials, suspect := false, false, false
	_ = n.state.Do(func(s *state) { // it fails only after the box has stopped
		if s.isLeaving(c.Incarnation) {
			return // a planned stop
		}
		counted = s.poison.Interrupted(c.Incarnation, d, now-took, now)
		s.poison.InterruptedParts(c.Incarnation, content.PartDigests(), now-took, now)
		n.heldParts.Store(int32(s.poison.HeldParts()))
		dials = closed && !counted && s.poison.ShouldProbe(c.Incarnation, now)
		suspect = s.poison.IsPublished(d)
	})
	if counted {
		n.gossipPoison()
	}
	start, addr := c.Incarnation, c.Addr
	switch {
	case !dials, ctx.Err() != nil:
	case suspect:
		n.probeCrash(ctx, start, addr) // otherwise the request may crash another replica first
	default:
		n.tasks.Go(func() { n.probeCrash(ctx, start, addr) })
	}
}

// probeLiveness reports what a new connection shows of a replica that has closed one in an answer. One
// that leaves may refuse connections before it has completed its answers.
func (n *Node) probeLiveness(ctx context.Context, c *placement.Choice) ingress.Liveness {
	serving := false
	_ = n.state.Do(func(s *state) { // it fails only after the box has stopped
		r := s.view.Get(c.Incarnation)
		serving = r != nil && r.Listed() && !r.Info().Leaving && !r.SaysLeaving()
	})
	if !serving {
		return ingress.LivenessUnknown
	}
	err := n.replicaPool.Probe(ctx, c.Addr, crashDialTimeout)
	switch {
	case err == nil:
		return ingress.Alive
	case errors.Is(err, syscall.ECONNREFUSED):
		return ingress.Crashed
	}
	return ingress.LivenessUnknown
}

func (s *state) isLeaving(start string) bool {
	r := s.view.Get(start)
	return r != nil && r.Info().Leaving
}

// probeCrash checks whether a replica that cut a request has crashed: its address then refuses connections
// for some seconds. An established connection is kept for the next request.
func (n *Node) probeCrash(ctx context.Context, start, addr string) {
	err := n.replicaPool.Probe(ctx, addr, crashDialTimeout)
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	sleep.For(ctx, poison.JointCrashDelay)
	var e replicaCrash
	_ = n.state.Do(func(s *state) { e = s.countCrash(start, n.now()) }) // it fails only after the box has stopped
	n.recordCrash(e)
	n.gossipPoison()
}

// replicaCrash is the crash of a replica while it ran requests.
type replicaCrash struct {
	start    string
	counted  int             // requests that it counts against
	requests []poison.Digest // some of them
}

// countCrash counts the crash of a replica against the requests that it ran.
func (s *state) countCrash(start string, now time.Duration) replicaCrash {
	return replicaCrash{
		start:    start,
		counted:  s.poison.Crashed(start, now),
		requests: s.poison.InterruptedBy(start),
	}
}

// recordCrash logs that a replica crashed under requests. The incarnation and the digests match those in
// the log of a quarantined request.
func (n *Node) recordCrash(e replicaCrash) {
	if e.counted == 0 {
		return
	}
	n.record(decision.Event{
		Kind:     decision.Belief,
		Upstream: e.start,
		Reason:   "replica ended under requests",
		InFlight: e.counted,
		Detail:   fmt.Sprintf("start %v, requests %v", poison.IncarnationOf(e.start), e.requests),
	})
}

// recordUnlistedCrashes counts replicas that cut requests and are no longer listed, without having drained,
// as crashed.
func (n *Node) recordUnlistedCrashes() {
	var ends []replicaCrash
	_ = n.state.Do(func(s *state) { // it fails only after the box has stopped
		for _, start := range s.poison.Unconfirmed() {
			r := s.view.Get(start)
			if r == nil || (!r.Listed() && !r.Info().Leaving) {
				ends = append(ends, s.countCrash(start, n.now()))
			}
		}
	})
	for _, e := range ends {
		n.recordCrash(e)
	}
}
