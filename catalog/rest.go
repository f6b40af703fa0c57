package catalog

// This file says how long a Feed waits before it reads all again: as a box that
// watches for itself, and as a follower, for which other boxes watch.

import (
	"context"
	"time"

	"github.com/havenrudder/havenrudder/common/sleep"
)

const (
	staleAfter   = 2200 * time.Millisecond // that a follower's knowledge may be old, 1.65 to 2.75 s: the shortest bound on what is published is 4 s, and looking, reading and a slow box take some of that; with 2.7 to 4.5 s a request reached a leaving replica 5 s after its word
	followRead   = 20 * time.Second        // between two readings of a follower whatever it hears, for what others' word may lack
	followRetry  = 2 * time.Second         // after a failed call of a follower: all followers fail at the same time, and calls have a price
	wholeUpTo    = 64                      // replicas up to which all is read again each time: some 20 KB, and no call more
	replicaEvery = time.Second             // between two readings of all for each replica beyond that: they take some 350 bytes a second then, whatever the size
	readEach     = 256                     // replicas up to which each box reads all for itself, as when it ceases to watch: a call or two, as a rule
	keepEvery    = 6 * time.Second         // between two questions that keep a source's answers; two of these are within the 20 s for which it knows what changed
	keepUpTo     = 512                     // replicas up to which they are asked: with more, all is read so rarely that a configuration of 1 MiB takes less than 3 KB a second
	behindWait   = 300 * time.Millisecond  // that a watch may lag behind what another box knows
	refreshAt    = 60                      // percent of the age at which a follower reads, from which it asks others
	percent      = 100
	gatherFor    = 200 * time.Millisecond // between two calls of a watch that brings changes one after the other
	mostQuick    = 8                      // calls of it that follow each other at once, before that
	catchUpWait  = time.Millisecond       // for changes that have been made already
	othersWait   = 600 * time.Millisecond // in which a follower that failed to ask one box asks another one
	rereadOthers = 3                      // times as long where other boxes read again too, and say when they know more
)

// restAfter waits after a failed call. A follower may hear meanwhile from a box that
// can read.
func (d *Feed) restAfter(ctx context.Context, backOff time.Duration) {
	if !d.follow() {
		sleep.For(ctx, d.spread(backOff))
		return
	}
	sleep.For(ctx, d.spread(followRetry))
	d.restFollowing(ctx, func() int { return 0 })
}

// restFollowing waits until a follower has to read all: it no longer follows, it can't get
// what another box knows, what it knows is too old, or a time is over. How many replicas it
// would read is counted anew, for others tell it of more meanwhile. While entries may still come back it waits for no longer than that.
func (d *Feed) restFollowing(ctx context.Context, count func() int) {
	limit := d.spread(staleAfter)
	replicas := count()
	end := d.now().Add(d.longest(replicas))
	look := time.NewTicker(followLook)
	defer look.Stop()
	for ctx.Err() == nil {
		now := count()
		if d.large(now) && !d.large(replicas) {
			end = d.now().Add(d.longest(now))
		}
		replicas = max(replicas, now)
		if asked(d.behind) && !d.catchesUp(ctx, replicas) { // while it called, beside the next look
			return
		}
		select {
		case <-ctx.Done():
		case <-d.behind:
			if !d.catchesUp(ctx, replicas) {
				return
			}
		case <-d.again:
			d.whole.Store(false)
			return
		case <-look.C:
			d.witness()
		}
		if !d.follow() || !d.now().Before(end) {
			return
		}
		age := d.age()
		if replicas > readEach && age >= limit*refreshAt/percent {
			d.refresh(ctx)
		}
		if age < limit {
			continue
		}
		if !d.large(replicas) || !d.isCurrent(ctx) {
			return
		}
		limit = d.spread(staleAfter)
	}
}

// catchesUp says whether a follower knows what another box that it could not ask knew. Where
// there is much to read it gives others a while to tell it.
func (d *Feed) catchesUp(ctx context.Context, replicas int) bool {
	if d.known.Load() < d.wanted.Load() && replicas > readEach {
		sleep.For(ctx, othersWait)
		if d.known.Load() < d.wanted.Load() {
			return d.isCurrent(ctx)
		}
	}
	return d.known.Load() >= d.wanted.Load()
}

// longest returns how long a follower of so many replicas goes without reading.
func (d *Feed) longest(replicas int) time.Duration {
	out := followRead
	if d.large(replicas) {
		out = max(out, time.Duration(replicas)*replicaEvery)
	}
	return d.untilSettled(out)
}

// keep asks the source again and again for what it would forget, while this box reads too
// rarely for that. A call that fails is told of by the next reading.
func (d *Feed) keep(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, d.spread(keepEvery))
		replicas := d.listed()
		if ctx.Err() == nil && replicas <= keepUpTo && (d.follow() || d.large(replicas)) {
			_ = d.source.Keep(ctx)
		}
	}
}

// untilSettled shortens a wait to the time at which entries that are missing are
// gone, and a little more, while that is still to come.
func (d *Feed) untilSettled(wait time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if left := d.settled.Sub(d.now()); left > 0 {
		wait = min(wait, left+firstBackOff)
	}
	return wait
}

// large says whether it is worth a call to find out that nothing has changed, in
// place of reading so many replicas.
func (d *Feed) large(replicas int) bool { return d.source.Newest != nil && replicas > wholeUpTo }

// isCurrent asks for the newest revision and says whether it is known here.
func (d *Feed) isCurrent(ctx context.Context) bool {
	rev, ok := d.confirmedOfLate()
	if !ok && d.source.Newest == nil {
		return false
	}
	if !ok {
		var err error
		if rev, err = d.source.Newest(ctx); err != nil {
			return false // reading all fails as well, and is what tells of it
		}
	}
	if rev > d.known.Load() {
		sleep.For(ctx, behindWait) // the watch, or another box, may be about to bring it
	}
	if rev > d.known.Load() {
		d.catchUp(ctx)
	}
	if rev > d.known.Load() {
		return false
	}
	d.health(nil)
	return true
}

// catchUp hands on what changed after what is known, in one call and however much there is
// beside it. It counts as known up to the last change alone: a source that is about to lose
// its history may leave out what came after it.
func (d *Feed) catchUp(ctx context.Context) {
	changes, _, err := d.source.Wait(ctx, d.known.Load(), catchUpWait)
	if err != nil || len(changes) == 0 {
		return // all is read then, which tells of what is wrong
	}
	last := int64(0)
	for _, ch := range changes {
		last = max(last, ch.Revision)
	}
	d.hand(Update{
		Changes:  changes,
		Revision: last,
	})
}

// restUntilDue waits until all is to be read again, as a box that watches for itself or one
// that follows. Who ceases to watch many replicas knows what its watch brought, and follows
// without a reading.
func (d *Feed) restUntilDue(ctx context.Context, settled bool) {
	ceased := d.follow()
	if !ceased {
		ceased = d.restLong(ctx, d.listed(), settled)
	}
	if ceased {
		d.restFollowing(ctx, d.listed)
	}
}

// restLong waits until all of so many replicas is to be read again. Where they are
// many, it asks for the newest revision in place of reading, and waits on while the
// watch has brought it. What was read before all had settled is read again in any
// case. It returns whether this box ceased to watch so many that it reads them not again.
func (d *Feed) restLong(ctx context.Context, replicas int, settled bool) (ceased bool) {
	end := d.now().Add(time.Duration(replicas) * replicaEvery)
	for ctx.Err() == nil {
		timed := d.rest(ctx)
		if !timed && (replicas <= readEach || d.whole.Swap(false)) {
			return false
		}
		if !d.large(replicas) || !settled || !d.now().Before(end) {
			return false
		}
		if d.follow() {
			return replicas > readEach
		}
		if !d.isCurrent(ctx) {
			return false
		}
		if !timed {
			d.offer(d.known.Load()) // the watch that ended goes on
		}
	}
	return false
}

// rest waits until all is to be read again: sooner while entries may still come
// back. It returns whether that is for the time alone.
func (d *Feed) rest(ctx context.Context) bool {
	every := d.every
	if !d.reader() {
		every *= rereadOthers
	}
	t := time.NewTimer(d.untilSettled(d.spread(every)))
	defer t.Stop()
	for {
		if asked(d.again) { // while it waited for the watch, beside the others
			return false
		}
		if asked(t.C) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
			return true
		case <-d.again:
			return false
		case <-d.behind:
			sleep.For(ctx, behindWait) // the watch may be about to bring it
			if d.known.Load() < d.wanted.Load() {
				return false
			}
		}
	}
}

// asked says whether a channel has something, and takes it. Of several that do, chance
// would decide otherwise.
func asked[T any](c <-chan T) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// spread returns a time between three and five quarters of t, so that boxes
// don't call as one.
func (d *Feed) spread(t time.Duration) time.Duration {
	return t*3/4 + time.Duration(d.jitter()*float64(t)/2)
}
