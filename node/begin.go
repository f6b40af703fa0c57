package node

// This file says how a box that begins gets what is published, where that is too much for
// each box to read: from another box that has it, or, where none has, by few readings of
// which all others then get it.

import (
	"context"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/wire"
)

const (
	helloWait = 150 * time.Millisecond  // in which a box that begins hears of others
	aloneWait = 600 * time.Millisecond  // the same while it has heard of none: seeds may begin 0.3 s later
	rankWait  = 250 * time.Millisecond  // that a box leaves to each one that reads before it
	farShare  = 4                       // times what a box has read so far took that it leaves to those nearer to the publisher
	mostTurn  = 2500 * time.Millisecond // until a box reads in any case
	turnLook  = 25 * time.Millisecond   // between two looks whether another box told all
	busyPause = 100 * time.Millisecond  // until a box that begins asks another one than that which had no room to answer
)

// awaitTurn waits until it is this box's turn to read all that is published, or another box
// told it. What it has read so far took a time, which tells how far away the publisher is.
func (n *Node) awaitTurn(ctx context.Context, took time.Duration, first bool) error {
	began := n.now()
	for ctx.Err() == nil {
		var known, others, ahead int
		_ = n.state.Do(func(s *state) { // it fails only when the box has ended
			known = s.content.Len()
			others, ahead = s.readersAhead(n.now())
		})
		if known > 0 {
			return catalog.ErrTold
		}
		if !first || n.now()-began >= turnAfter(others, ahead, took) {
			return nil
		}
		sleep.For(ctx, turnLook)
	}
	return ctx.Err()
}

// turnAfter returns how long a box waits for its turn that has heard of some others, of whom
// some read before it, and whose first calls to the publisher took a time.
func turnAfter(others, ahead int, took time.Duration) time.Duration {
	wait := helloWait
	if others == 0 {
		wait = aloneWait
	}
	return min(wait+farShare*took+time.Duration(ahead)*rankWait, mostTurn)
}

// readersAhead returns how many other boxes are known to be alive, and how many of them come
// before this one where all of them begin together.
func (s *state) readersAhead(now time.Duration) (others, ahead int) {
	own := rendezvous.Score(firstReaders, s.settings.Box)
	for m := range s.roster.All() {
		if !s.roster.Alive(m.Status.Box, now) {
			continue
		}
		others++
		if rendezvous.Score(firstReaders, m.Status.Box) > own {
			ahead++
		}
	}
	return others, ahead
}

// firstReaders is the key by which boxes that begin together rank each other.
const firstReaders = "first readers"

// seekCatalog asks another box for all that is published while this one knows nothing.
func (n *Node) seekCatalog(ctx context.Context) {
	if n.pulling.Load() {
		return
	}
	var from wire.BoxStatus
	var has copyState
	_ = n.state.Do(func(s *state) { // it fails only when the box has ended
		if s.content.Len() > 0 {
			return
		}
		from = s.teller(n.now(), n.draw)
		has = s.holds(from)
	})
	if from.Peers != "" {
		n.startPull(ctx, from, has)
	}
}

// teller returns a box that can tell all that is published: of the own region where there is
// one, none where it is not known of any.
func (s *state) teller(now time.Duration, draw func(n int) int) wire.BoxStatus {
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
