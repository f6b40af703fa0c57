package ingress

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/clock"
	"github.com/havenrudder/havenrudder/placement"
)

// Times after which a replica from which nothing comes is taken for silent. They
// count only for requests that may be repeated, and only where more tries are
// left.
const (
	quietPlainShare = 0.4                    // of the goal of a call
	quietStream     = 700 * time.Millisecond // an engine's steps take 60 ms, so an event takes 300 ms at most
	quietPerExpect  = 3                      // times the expected time
	quietBox        = 2 * time.Second        // of a box, which resumes streams itself after quietStream
	quietCheck      = 50 * time.Millisecond  // between two looks at least
	budgetCheck     = 250 * time.Millisecond // between two questions whether a retry is left: requests that allow one come several times a second
	reachedFor      = time.Second            // that a box which has just reached another replica counts as having its own way free
	heardFor        = 250 * time.Millisecond // the same of one that was heard; at most half of the silence, for the way may since be full
)

// errQuiet ends a try whose replica has fallen silent.
var errQuiet = errors.New("ingress: replica silent")

// watchSilence ends the try when its replica or box has fallen silent towards this box, the
// next target answers and the budget of retries gives a try there. Without that the
// replica is waited for: it may only be busy, or this box's own link may be full. Where
// another target answers, its silence is told all the same, so that nothing more goes
// there: a request that can't be sent again waits alone.
func (a *attempt) watchSilence(ctx context.Context) (stop func()) {
	c := a.call
	ends := c.route.Repeatable() && c.sent+1 < c.route.Attempts
	if !ends && a.target.Box != "" {
		return func() {}
	}
	next := c.ask()
	if replica := a.target.Choice.Replica; replica != "" {
		next.Request.Tried = append(slices.Clone(next.Request.Tried), replica)
	}
	watch := silence{
		attempt: a,
		next:    next,
		asked:   next,
		ends:    ends,
		limit:   a.quietLimit(),
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		watch.run(ctx)
	}()
	return func() {
		cancel()
		<-done
		watch.tellDark()
	}
}

// silence is the watch over one try.
type silence struct {
	attempt *attempt
	next    Ask  // for where the request would go
	asked   Ask  // the same without what the watch itself did not reach
	ends    bool // the try may be ended
	limit   time.Duration
	reached time.Time // when another target answered
	dark    []Target  // those that did not, before it
	ended   bool      // the watch has ended the try
}

// tellDark has the retry, and those of others, leave out what the watch found dark. While no
// target had answered it may have been this box's own link.
func (s *silence) tellDark() {
	if !s.ended {
		return
	}
	c := s.attempt.call
	c.tried = s.next.Request.Tried
	c.triedBoxes = s.next.TriedBoxes
	for _, t := range s.dark {
		if t.Box != "" {
			c.server.core.BoxLost(t.Box)
			continue
		}
		c.server.core.End(&t.Choice, placement.Unreachable, replicaDial)
	}
}

// run looks again and again until ctx ends or the try was ended.
func (s *silence) run(ctx context.Context) {
	timer := time.NewTimer(s.limit)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		wait, over := s.look(ctx)
		if over {
			return
		}
		timer.Reset(wait)
	}
}

// look returns when to look again, or that the try was ended.
func (s *silence) look(ctx context.Context) (wait time.Duration, over bool) {
	c := s.attempt.call
	if s.ends && (int(c.told.Load()) >= c.route.Attempts || c.unresumable.Load()) {
		return 0, true // the box has used the tries up, or no other run can go on
	}
	quiet := s.quiet()
	if quiet <= s.limit {
		return max(s.limit-quiet, quietCheck), false
	}
	if s.attempt.hasUnread() {
		return quietCheck, false // this box is behind, not the replica
	}
	other, found := c.server.core.Other(s.next)
	switch {
	case !found: // there is no other: soon there may be
		s.next = s.asked
		s.dark = nil
		return quietCheck, false
	case clock.Since(s.reached) > reachedFor:
		s.reach(ctx, other)
		return quietCheck, false // what had waited with the connection may come now
	case ctx.Err() != nil:
		return 0, true // the try has come to its end, and needs no retry
	case !s.ends:
		s.tellSilent()
		return 0, true
	case !c.server.core.Repeat(c.service):
		s.tellSilent()
		return budgetCheck, false
	}
	s.ended = true
	c.retryPaid.Store(true)
	s.attempt.cancel(errQuiet)
	return 0, true
}

// tellSilent says once that the replica is silent, for it is waited for.
func (s *silence) tellSilent() {
	a := s.attempt
	if a.target.Choice.Replica != "" && !a.muted.Swap(true) {
		a.call.server.core.Muted(&a.target.Choice)
	}
}

// quiet returns for how long nothing was heard since the request was written.
func (s *silence) quiet() time.Duration {
	a := s.attempt
	begun := a.begun.Load()
	if begun == 0 {
		return 0 // the way there is slow, not the replica
	}
	if a.target.Box != "" {
		return a.quietBox()
	}
	return a.call.server.core.Quiet(&a.target.Choice, a.sent.Add(time.Duration(begun)))
}

// quietBox returns how long a box has said nothing. Before the head of its answer it
// doesn't count: nobody knows by then how often that box has sent the request.
func (a *attempt) quietBox() time.Duration {
	heard := a.heard.Load()
	if heard == 0 {
		return 0
	}
	return clock.Since(a.sent) - time.Duration(heard)
}

// reach notes whether this box reaches others: one was just heard, or the next target takes
// a connection. While this box's own link is full or its processor is short, all replicas
// seem silent, and none is reached: an answer that was cut then could not go on anywhere.
func (s *silence) reach(ctx context.Context, other Target) {
	server := s.attempt.call.server
	if server.hears(s.attempt.target.addr(), min(heardFor, s.limit/2)) {
		s.reached = clock.Now()
		return
	}
	if !server.reaching.CompareAndSwap(false, true) {
		return // another request finds out
	}
	defer server.reaching.Store(false)
	var err error
	if other.Box != "" {
		err = server.boxes.Reach(ctx, other.BoxAddr, boxDial)
	} else {
		err = server.replicas.Reach(ctx, other.Choice.Addr, replicaDial)
	}
	switch {
	case ctx.Err() != nil:
		return // the try has ended
	case err == nil:
		s.reached = clock.Now()
		return
	case other.Box != "":
		s.next.TriedBoxes = append(slices.Clone(s.next.TriedBoxes), other.Box) // it may be dark itself
	default:
		s.next.Request.Tried = append(slices.Clone(s.next.Request.Tried), other.Choice.Replica)
	}
	s.dark = append(s.dark, other)
}

// hears says whether something came from any other address than one within a time.
func (s *Server) hears(but string, within time.Duration) bool {
	return clock.Since(s.replicas.Heard(but)) < within || clock.Since(s.boxes.Heard(but)) < within
}

// quietLimit returns how long the replica or box may be silent.
func (a *attempt) quietLimit() time.Duration {
	expect := quietPerExpect * a.target.Choice.Expect
	if a.target.Box != "" {
		return max(quietBox, expect)
	}
	if a.call.route.Kind == catalog.Stream {
		return max(quietStream, expect)
	}
	return max(time.Duration(quietPlainShare*float64(a.call.route.Goal.Duration())), expect)
}
