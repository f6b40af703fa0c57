package box

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/upstream"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	addressEvery = 8               // every so many heartbeats bear the box's addresses
	startWait    = 2 * time.Second // how long a box asks others for the floor before it serves
	notifyBound  = time.Second
	maxLeaving   = 32 // upstreams named as leaving in one heartbeat
	loadDigits   = 100
)

// handlePeer answers a message of another box.
func (b *Box) handlePeer(ctx context.Context, m peer.Method, params json.RawMessage) (any, error) {
	switch m {
	case peer.Heartbeat:
		var h wire.Heartbeat
		return answer(params, &h, func() any { b.hear(ctx, h); return nil })
	case peer.Fleet:
		var u wire.FleetUpdate
		return answer(params, &u, func() any { return b.takeFleet(u) })
	case peer.Floor:
		var r wire.FloorRequest
		return answer(params, &r, func() any { return b.floor() })
	case peer.Part:
		var r wire.PartRequest
		return answer(params, &r, func() any { return b.part(r) })
	case peer.Announce:
		var r wire.Announce
		return answer(params, &r, func() any {
			return wire.Announced{
				Ok: b.announceHere(r.Ticket),
			}
		})
	case peer.Seal:
		var r wire.Seal
		return answer(params, &r, func() any {
			return wire.Sealed{
				Ran: b.sealHere(r.Ticket),
			}
		})
	}
	return nil, errors.Newf("box: unknown message %q", string(m))
}

// answer decodes params into req and calls f.
func answer(params json.RawMessage, req any, f func() any) (any, error) {
	if err := json.Unmarshal(params, req); err != nil {
		return nil, errors.Wrap(err, "box: message")
	}
	return f(), nil
}

// hear takes a heartbeat in. A box that has a higher version is asked for it.
func (b *Box) hear(ctx context.Context, h wire.Heartbeat) {
	addr := ""
	_ = b.fleet.Do(func(s *fleetState) {
		if !s.table.Hear(h, b.now()) {
			return
		}
		for _, name := range h.Leaving {
			s.inventory.Leave(name)
		}
		if m, ok := s.table.Get(h.Box); ok {
			addr = m.Peers
		}
	})
	if addr != "" && h.Version > b.version() {
		b.askFloor(ctx, addr)
	}
}

// version returns the version this box has taken, in force or not yet.
func (b *Box) version() (v int) {
	_ = b.bundles.Do(func(s *bundleState) { v = s.store.Head().Version })
	return v
}

func (b *Box) takeFleet(u wire.FleetUpdate) bool {
	taken := false
	_ = b.fleet.Do(func(s *fleetState) { taken = s.takeList(u.Index, u.Fleet, b.now()) })
	return taken
}

// runHeartbeats tells the other boxes of the failure domain that this one is
// alive, and keeps the watches where they belong.
func (b *Box) runHeartbeats(ctx context.Context) {
	b.watch.adjust()
	b.askStartFloor(ctx)
	for ctx.Err() == nil {
		var interval time.Duration
		paused := false
		_ = b.fleet.Do(func(s *fleetState) {
			paused = s.table.Tick(b.now())
			interval = s.table.Interval()
		})
		if paused {
			b.log.Warn("this box was paused")
		}
		b.sendHeartbeats(ctx)
		b.watch.adjust()
		b.exchange(ctx)
		_ = b.tickets.Do(func(s *ticketState) {
			s.owner.Sweep(b.now())
			s.witness.Sweep(b.now())
		})
		wait(ctx, interval)
	}
}

// askStartFloor asks the boxes that the settings and the list name for the
// version in force, so that a box that starts does not serve an older one.
func (b *Box) askStartFloor(ctx context.Context) {
	deadline := time.Now().Add(startWait)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		answered := false
		for _, addr := range b.startPeers() {
			answered = b.askFloor(ctx, addr) || answered
		}
		if answered {
			break
		}
		wait(ctx, startWait/8)
	}
	b.settleFloor()
}

func (b *Box) startPeers() []string {
	out := slices.Clone(b.settings.Seeds)
	_ = b.fleet.Do(func(s *fleetState) {
		for _, m := range s.table.Members() {
			out = append(out, m.Peers)
		}
	})
	slices.Sort(out)
	return slices.DeleteFunc(slices.Compact(out), func(addr string) bool { return addr == "" || addr == b.addrs.Peers })
}

// sendHeartbeats sends one heartbeat to each other box of the failure domain.
func (b *Box) sendHeartbeats(ctx context.Context) {
	h, to := b.heartbeat()
	for _, addr := range to {
		b.tasks.Go(func() {
			short, cancel := context.WithTimeout(ctx, notifyBound)
			defer cancel()
			if err := b.peers.Notify(short, addr, peer.Heartbeat, h); err != nil {
				b.log.WithError(err).WithField("peer", addr).Debug("heartbeat not sent")
			}
		})
	}
}

// heartbeat returns the next heartbeat and whom it goes to.
func (b *Box) heartbeat() (h wire.Heartbeat, to []string) {
	h = wire.Heartbeat{
		Box:     b.settings.Box,
		Inc:     b.inc,
		Version: b.version(),
		ClockMs: int(b.now().Milliseconds()),
		Blind:   b.watch.blind(),
	}
	switch {
	case b.leaving.Load():
		h.State = string(wire.ServingStateLeaving)
	case b.policy.Load() == nil:
		h.State = string(wire.ServingStateStarting)
	}
	_ = b.fleet.Do(func(s *fleetState) {
		s.seq++
		h.Seq = s.seq
		if s.seq%addressEvery == 1 {
			h.Callers = b.addrs.Callers
			h.Peers = b.addrs.Peers
		}
		h.Load = s.load()
		h.Leaving = s.inventory.Names(func(r *upstream.Replica) bool { return r.Leaving && r.Domain == s.domain })
		h.Leaving = h.Leaving[:min(len(h.Leaving), maxLeaving)]
		for _, m := range s.table.Members() {
			if m.Peers != "" {
				to = append(to, m.Peers)
			}
		}
	})
	return h, to
}

// load returns the requests of this box in flight over the slots it knows of,
// to two digits.
func (s *fleetState) load() float64 {
	inFlight := 0
	slots := 0
	for _, name := range s.inventory.Names(func(*upstream.Replica) bool { return true }) {
		r := s.inventory.Get(name)
		inFlight += r.InFlight
		slots += r.Slots
	}
	if slots == 0 {
		return 0
	}
	return math.Round(loadDigits*float64(inFlight)/float64(slots)) / loadDigits
}

// exchange compares versions with one box of another failure domain, so that a
// domain which can't read the platform still hears of new bundles. One box of a
// domain does so at a time.
func (b *Box) exchange(ctx context.Context) {
	addr := ""
	_ = b.fleet.Do(func(s *fleetState) {
		if !slices.Contains(s.readers("exchange", b.settings.Box, 1, b.now()), b.settings.Box) {
			return
		}
		others := s.otherPeers()
		if len(others) > 0 {
			addr = others[s.seq%len(others)]
		}
	})
	if addr != "" {
		b.tasks.Go(func() { b.askFloor(ctx, addr) })
	}
}

// otherPeers returns the listed boxes of other failure domains.
func (s *fleetState) otherPeers() []string {
	var out []string
	for domain, l := range s.lists {
		if domain == s.domain {
			continue
		}
		for _, e := range l.fleet.Boxes {
			out = append(out, e.Peers)
		}
	}
	slices.Sort(out)
	return out
}

// readers returns the n boxes of the failure domain that read key for the
// others, among those alive that can read at all.
func (s *fleetState) readers(key, self string, n int, now time.Duration) []string {
	names := s.table.Names(func(name string) bool {
		m, _ := s.table.Get(name)
		return s.table.Alive(name, now) && !m.Blind
	})
	return rendezvous.Top(key, append(names, self), n)
}
