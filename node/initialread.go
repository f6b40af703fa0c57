package node

import (
	"context"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	discoveryWait          = 150 * time.Millisecond  // for first datagrams of other boxes
	emptyRosterWait        = 600 * time.Millisecond  // while the roster is empty: seeds may start 0.3 s later
	precedingReaderWait    = 250 * time.Millisecond  // for each box that ranks before this one
	publisherLatencyFactor = 4                       // times the duration of the first calls, so that boxes near the publisher read first
	maxReadDelay           = 2500 * time.Millisecond // after which a box reads regardless of others
	readPollInterval       = 25 * time.Millisecond   // of the check whether another box sent a snapshot
	busyRetryInterval      = 100 * time.Millisecond  // until a starting box asks another one after one that was rate-limited
)

// awaitInitialRead waits until this box may read the full catalog, and returns
// catalog.ErrReceivedFromPeer if another box sends a snapshot first. took is the duration of
// the first calls to the publisher.
func (n *Node) awaitInitialRead(ctx context.Context, took time.Duration, first bool) error {
	began := n.now()
	for ctx.Err() == nil {
		var known, others, ahead int
		_ = n.state.Do(func(s *state) { // it fails only after the box has stopped
			known = s.content.Len()
			others, ahead = s.readersAhead(n.now())
		})
		if known > 0 {
			return catalog.ErrReceivedFromPeer
		}
		if !first || n.now()-began >= initialReadDelay(others, ahead, took) {
			return nil
		}
		sleep.For(ctx, readPollInterval)
	}
	return ctx.Err()
}

// initialReadDelay returns how long a box waits before its initial read. others is the number of live
// boxes in the roster, ahead of those that read before this one, took the duration of its first calls.
func initialReadDelay(others, ahead int, took time.Duration) time.Duration {
	wait := discoveryWait
	if others == 0 {
		wait = emptyRosterWait
	}
	return min(wait+publisherLatencyFactor*took+time.Duration(ahead)*precedingReaderWait, maxReadDelay)
}

// readersAhead returns the number of other live boxes, and of those that rank before this one for
// the initial read.
func (s *state) readersAhead(now time.Duration) (others, ahead int) {
	own := rendezvous.Score(initialReadersKey, s.settings.Box)
	for m := range s.roster.All() {
		if !s.roster.Alive(m.Status.Box, now) {
			continue
		}
		others++
		if rendezvous.Score(initialReadersKey, m.Status.Box) > own {
			ahead++
		}
	}
	return others, ahead
}

// initialReadersKey is the rendezvous key that ranks boxes for the initial read.
const initialReadersKey = "first readers"

// requestSnapshot requests a catalog snapshot from another box while this one has none.
func (n *Node) requestSnapshot(ctx context.Context) {
	if n.pulling.Load() {
		return
	}
	var from wire.BoxStatus
	var has copyState
	_ = n.state.Do(func(s *state) { // it fails only after the box has stopped
		if s.content.Len() > 0 {
			return
		}
		from = s.snapshotSource(n.now(), n.draw)
		has = s.compareCopy(from)
	})
	if from.Peers != "" {
		n.startPull(ctx, from, has)
	}
}

// snapshotSource returns a live box that has a policy and a catalog, in the own region if possible.
// It returns the zero status if there is none.
func (s *state) snapshotSource(now time.Duration, draw func(n int) int) wire.BoxStatus {
	var near, far []wire.BoxStatus
	for m := range s.roster.All() {
		b := m.Status
		switch {
		case b.Policy == 0 || b.Catalog == 0 || b.Peers == "" || !s.roster.Alive(b.Box, now):
		case b.Region == s.settings.Region:
			near = append(near, b)
		default:
			far = append(far, b)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return wire.BoxStatus{}
	}
	return near[draw(len(near))]
}
