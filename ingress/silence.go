package ingress

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
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
)

// errQuiet ends a try whose replica has fallen silent.
var errQuiet = errors.New("ingress: replica silent")

// watchSilence ends the try when its replica or box has fallen silent towards this box, the
// next target answers and the budget of retries gives a try there. Without that the
// replica is waited for: it may only be busy, or this box's own link may be full.
func (a *attempt) watchSilence(ctx context.Context) (stop func()) {
	c := a.call
	if !c.route.Repeatable() || c.sent+1 >= c.route.Attempts {
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
		limit:   a.quietLimit(),
	}
	ctx, stop = context.WithCancel(ctx)
	go watch.run(ctx)
	return stop
}

// silence is the watch over one try.
type silence struct {
	attempt *attempt
	next    Ask // for where the request would go
	asked   Ask // the same without what the watch itself did not reach
	limit   time.Duration
	reached time.Time // when another target answered
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
	if int(c.told.Load()) >= c.route.Attempts {
		return 0, true // the box has used the tries up
	}
	quiet := s.quiet()
	if quiet <= s.limit {
		return max(s.limit-quiet, quietCheck), false
	}
	other, found := c.server.core.Other(s.next)
	switch {
	case !found: // there is no other: soon there may be
		s.next = s.asked
		return quietCheck, false
	case time.Since(s.reached) > reachedFor:
		s.reach(ctx, other)
		return quietCheck, false // what had waited with the connection may come now
	case !c.server.core.Repeat(c.service):
		return budgetCheck, false
	}
	c.paid.Store(true)
	s.attempt.cancel(errQuiet)
	return 0, true
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
	return time.Since(a.sent) - time.Duration(heard)
}

// reach notes whether the next target takes a connection. While this box's own link is
// full or its processor is short, all replicas seem silent, and none is reached: an
// answer that was cut then could not go on anywhere.
func (s *silence) reach(ctx context.Context, other Target) {
	server := s.attempt.call.server
	var err error
	if other.Box != "" {
		err = server.boxes.Reach(ctx, other.BoxAddr, boxDial)
	} else {
		err = server.replicas.Reach(ctx, other.Choice.Addr, replicaDial)
	}
	if err != nil {
		s.next.Request.Tried = append(slices.Clone(s.next.Request.Tried), other.Choice.Replica) // it may be dark itself
		s.next.TriedBoxes = append(slices.Clone(s.next.TriedBoxes), other.Box)
		return
	}
	s.reached = time.Now()
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
