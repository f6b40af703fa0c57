package box

import (
	"context"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/fleet"
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
		return answer(params, &r, func() any { return b.floor(r) })
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
	_ = b.fleet.Do(func(f *fleet.Fleet) {
		if !f.Table().Hear(h, b.now()) {
			return
		}
		for _, name := range h.Leaving {
			f.Inventory().Leave(name)
		}
		if m, ok := f.Table().Get(h.Box); ok {
			addr = m.Peers
		}
	})
	if addr != "" && b.wants(h.Version) {
		b.askFloor(ctx, addr)
	}
}

// version returns the version this box has taken, in force or not yet.
func (b *Box) version() (v int) {
	_ = b.bundles.Do(func(s *bundleState) { v = s.store.Head().Version })
	return v
}

// wants says whether a version is above the one taken and not on its way, and
// notes that it is asked for now.
func (b *Box) wants(version int) (out bool) {
	_ = b.bundles.Do(func(s *bundleState) {
		out = version > s.store.Head().Version && version > s.fetching && (version > s.asking || b.now() > s.askAgain)
		if out {
			s.asking = version
			s.askAgain = b.now() + peerTimeout
		}
	})
	return out
}

func (b *Box) takeFleet(u wire.FleetUpdate) bool {
	taken := false
	_ = b.fleet.Do(func(f *fleet.Fleet) { taken = f.TakeList(u.Index, u.Fleet, b.now()) })
	if u.Fleet.FailureDomain == b.settings.FailureDomain && !b.listed.Swap(true) {
		_ = b.bundles.Do(b.publish) // it may have waited for this alone
	}
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
		_ = b.fleet.Do(func(f *fleet.Fleet) {
			paused = f.Table().Tick(b.now())
			interval = f.Table().Interval()
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
		sleep.For(ctx, interval)
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
		sleep.For(ctx, startWait/8)
	}
	b.settleFloor()
}

func (b *Box) startPeers() []string {
	out := append(b.peerAddrs(), b.settings.Seeds...)
	slices.Sort(out)
	return slices.DeleteFunc(slices.Compact(out), func(addr string) bool { return addr == "" || addr == b.addrs.Peers })
}

// sendHeartbeats sends one heartbeat to each other box of the failure domain.
func (b *Box) sendHeartbeats(ctx context.Context) {
	h := b.heartbeat()
	for _, addr := range b.peerAddrs() {
		b.tasks.Go(func() {
			short, cancel := context.WithTimeout(ctx, notifyBound)
			defer cancel()
			if err := b.peers.Notify(short, addr, peer.Heartbeat, h); err != nil {
				b.log.WithError(err).WithField("peer", addr).Debug("heartbeat not sent")
			}
		})
	}
}

// heartbeat returns the next heartbeat.
func (b *Box) heartbeat() (h wire.Heartbeat) {
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
	h.Seq = int(b.seq.Add(1))
	if h.Seq%addressEvery == 1 {
		h.Callers = b.addrs.Callers
		h.Peers = b.addrs.Peers
	}
	_ = b.fleet.Do(func(f *fleet.Fleet) {
		h.Load = round(f.Summarize(b.now()).Load)
		h.Leaving = f.Inventory().Names(func(r *upstream.Replica) bool {
			return r.Leaving && r.Domain == b.settings.FailureDomain
		})
		h.Leaving = h.Leaving[:min(len(h.Leaving), maxLeaving)]
	})
	return h
}

// peerAddrs returns the addresses of the other boxes of the failure domain.
func (b *Box) peerAddrs() (out []string) {
	_ = b.fleet.Do(func(f *fleet.Fleet) {
		for _, m := range f.Table().Members() {
			if m.Peers != "" {
				out = append(out, m.Peers)
			}
		}
	})
	return out
}

// round returns a load to two digits.
func round(load float64) float64 { return math.Round(loadDigits*load) / loadDigits }

// exchange compares versions and loads with one box of another failure domain,
// so that a domain which can't read the platform still hears of new bundles, and
// regions know of each other's room. One box of a domain does so at a time.
func (b *Box) exchange(ctx context.Context) {
	addr := ""
	_ = b.fleet.Do(func(f *fleet.Fleet) {
		if !f.Reads("exchange", 1, b.now()) {
			return
		}
		if others := f.OtherPeers(); len(others) > 0 {
			addr = others[int(b.seq.Load())%len(others)]
		}
	})
	if addr != "" {
		b.tasks.Go(func() { b.askFloor(ctx, addr) })
	}
}
