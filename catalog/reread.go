package catalog

// This file says how long a Feed waits before it reads all again: as a box that
// watches for itself, and as a follower, for which other boxes watch.

import (
	"context"
	"time"

	"github.com/havenrudder/havenrudder/common/sleep"
)

const (
	staleTimeout        = 2200 * time.Millisecond // that a follower's knowledge may be old, 1.65 to 2.75 s: the shortest bound on what is published is 4 s, and looking, reading and a slow box take some of that; with 2.7 to 4.5 s a request reached a leaving replica 5 s after its word
	followReadInterval  = 20 * time.Second        // between two readings of a follower whatever it hears, for what others' word may lack
	followRetryInterval = 2 * time.Second         // after a failed call of a follower: all followers fail at the same time, and calls have a price
	largeThreshold      = 64                      // replicas up to which all is read again each time: some 20 KB, and no call more
	replicaReadInterval = time.Second             // between two readings of all for each replica beyond that: they take some 350 bytes a second then, whatever the size
	selfReadThreshold   = 256                     // replicas up to which each box reads all for itself, as when it ceases to watch: a call or two, as a rule
	keepAliveInterval   = 6 * time.Second         // between two questions that keep a source's answers; two of these are within the 20 s for which it knows what changed
	maxKeepAlive        = 512                     // replicas up to which they are asked: with more, all is read so rarely that a configuration of 1 MiB takes less than 3 KB a second
	behindDelay         = 300 * time.Millisecond  // that a watch may lag behind what another box knows
	refreshPercent      = 60                      // percent of the age at which a follower reads, from which it asks others
	percent             = 100
	batchInterval       = 200 * time.Millisecond // between two calls of a watch that brings changes one after the other
	maxBurst            = 8                      // calls of it that follow each other at once, before that
	catchUpTimeout      = time.Millisecond       // for changes that have been made already
	peerTimeout         = 600 * time.Millisecond // in which a follower that failed to ask one box asks another one
	sharedRereadFactor  = 3                      // times as long where other boxes read again too, and say when they know more
)

// restAfter waits after a failed call. A follower may hear meanwhile from a box that
// can read.
func (d *Feed) waitAfterFailure(ctx context.Context, backOff time.Duration) {
	if !d.isFollower() {
		sleep.For(ctx, d.jittered(backOff))
		return
	}
	sleep.For(ctx, d.jittered(followRetryInterval))
	d.waitFollowing(ctx, func() int { return 0 })
}

// restFollowing waits until a follower has to read all: it no longer follows, it can't get
// what another box knows, what it knows is too old, or a time is over. How many replicas it
// would read is counted anew, for others tell it of more meanwhile. While entries may still come back it waits for no longer than that.
func (d *Feed) waitFollowing(ctx context.Context, count func() int) {
	limit := d.jittered(staleTimeout)
	replicas := count()
	end := d.now().Add(d.maxFollowInterval(replicas))
	look := time.NewTicker(followPollInterval)
	defer look.Stop()
	for ctx.Err() == nil {
		now := count()
		if d.isLarge(now) && !d.isLarge(replicas) {
			end = d.now().Add(d.maxFollowInterval(now))
		}
		replicas = max(replicas, now)
		if tryReceive(d.behind) && !d.waitCaughtUp(ctx, replicas) { // while it called, beside the next look
			return
		}
		select {
		case <-ctx.Done():
		case <-d.behind:
			if !d.waitCaughtUp(ctx, replicas) {
				return
			}
		case <-d.rereadNow:
			d.forceFull.Store(false)
			return
		case <-look.C:
			d.checkRecovery()
		}
		if !d.isFollower() || !d.now().Before(end) {
			return
		}
		age := d.age()
		if replicas > selfReadThreshold && age >= limit*refreshPercent/percent {
			d.refresh(ctx)
		}
		if age < limit {
			continue
		}
		if !d.isLarge(replicas) || !d.isCurrent(ctx) {
			return
		}
		limit = d.jittered(staleTimeout)
	}
}

// catchesUp says whether a follower knows what another box that it could not ask knew. Where
// there is much to read it gives others a while to tell it.
func (d *Feed) waitCaughtUp(ctx context.Context, replicas int) bool {
	if d.delivered.Load() < d.wanted.Load() && replicas > selfReadThreshold {
		sleep.For(ctx, peerTimeout)
		if d.delivered.Load() < d.wanted.Load() {
			return d.isCurrent(ctx)
		}
	}
	return d.delivered.Load() >= d.wanted.Load()
}

// longest returns how long a follower of so many replicas goes without reading.
func (d *Feed) maxFollowInterval(replicas int) time.Duration {
	out := followReadInterval
	if d.isLarge(replicas) {
		out = max(out, time.Duration(replicas)*replicaReadInterval)
	}
	return d.untilSettled(out)
}

// keep asks the source again and again for what it would forget, while this box reads too
// rarely for that. A call that fails is told of by the next reading.
func (d *Feed) keepAlive(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, d.jittered(keepAliveInterval))
		replicas := d.replicaCount()
		if ctx.Err() == nil && replicas <= maxKeepAlive && (d.isFollower() || d.isLarge(replicas)) {
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
func (d *Feed) isLarge(replicas int) bool { return d.source.Newest != nil && replicas > largeThreshold }

// isCurrent asks for the newest revision and says whether it is known here.
func (d *Feed) isCurrent(ctx context.Context) bool {
	rev, ok := d.recentlyConfirmed()
	if !ok && d.source.Newest == nil {
		return false
	}
	if !ok {
		var err error
		if rev, err = d.source.Newest(ctx); err != nil {
			return false // reading all fails as well, and is what tells of it
		}
	}
	if rev > d.delivered.Load() {
		sleep.For(ctx, behindDelay) // the watch, or another box, may be about to bring it
	}
	if rev > d.delivered.Load() {
		d.catchUp(ctx)
	}
	if rev > d.delivered.Load() {
		return false
	}
	d.health(nil)
	return true
}

// catchUp hands on what changed after what is known, in one call and however much there is
// beside it. It counts as known up to the last change alone: a source that is about to lose
// its history may leave out what came after it.
func (d *Feed) catchUp(ctx context.Context) {
	changes, _, err := d.source.Wait(ctx, d.delivered.Load(), catchUpTimeout)
	if err != nil || len(changes) == 0 {
		return // all is read then, which tells of what is wrong
	}
	last := int64(0)
	for _, ch := range changes {
		last = max(last, ch.Revision)
	}
	d.deliver(Update{
		Changes:  changes,
		Revision: last,
	})
}

// restUntilDue waits until all is to be read again, as a box that watches for itself or one
// that follows. Who ceases to watch many replicas knows what its watch brought, and follows
// without a reading.
func (d *Feed) waitUntilDue(ctx context.Context, settled bool) {
	ceased := d.isFollower()
	if !ceased {
		ceased = d.waitUntilStale(ctx, d.replicaCount(), settled)
	}
	if ceased {
		d.waitFollowing(ctx, d.replicaCount)
	}
}

// restLong waits until all of so many replicas is to be read again. Where they are
// many, it asks for the newest revision in place of reading, and waits on while the
// watch has brought it. What was read before all had settled is read again in any
// case. It returns whether this box ceased to watch so many that it reads them not again.
func (d *Feed) waitUntilStale(ctx context.Context, replicas int, settled bool) (ceased bool) {
	end := d.now().Add(time.Duration(replicas) * replicaReadInterval)
	for ctx.Err() == nil {
		timed := d.waitForReread(ctx)
		if !timed && (replicas <= selfReadThreshold || d.forceFull.Swap(false)) {
			return false
		}
		if !d.isLarge(replicas) || !settled || !d.now().Before(end) {
			return false
		}
		if d.isFollower() {
			return replicas > selfReadThreshold
		}
		if !d.isCurrent(ctx) {
			return false
		}
		if !timed {
			d.resumeWatch(d.delivered.Load()) // the watch that ended goes on
		}
	}
	return false
}

// rest waits until all is to be read again: sooner while entries may still come
// back. It returns whether that is for the time alone.
func (d *Feed) waitForReread(ctx context.Context) bool {
	interval := d.interval
	if !d.isReader() {
		interval *= sharedRereadFactor
	}
	t := time.NewTimer(d.untilSettled(d.jittered(interval)))
	defer t.Stop()
	for {
		if tryReceive(d.rereadNow) { // while it waited for the watch, beside the others
			return false
		}
		if tryReceive(t.C) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
			return true
		case <-d.rereadNow:
			return false
		case <-d.behind:
			sleep.For(ctx, behindDelay) // the watch may be about to bring it
			if d.delivered.Load() < d.wanted.Load() {
				return false
			}
		}
	}
}

// asked says whether a channel has something, and takes it. Of several that do, chance
// would decide otherwise.
func tryReceive[T any](c <-chan T) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// spread returns a time between three and five quarters of t, so that boxes
// don't call as one.
func (d *Feed) jittered(t time.Duration) time.Duration {
	return t*3/4 + time.Duration(d.jitter()*float64(t)/2)
}
