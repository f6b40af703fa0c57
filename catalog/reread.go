package catalog

import (
	"context"
	"time"

	"github.com/havenrudder/havenrudder/common/sleep"
)

const (
	staleTimeout        = 2200 * time.Millisecond // maximum age of a follower's copy, well below the shortest bound of 4 s on changes
	followReadInterval  = 20 * time.Second        // maximum time between reads of a follower with a small catalog
	followRetryInterval = 2 * time.Second         // long, as all followers fail at the same time
	largeThreshold      = 64                      // replicas up to which each reread is a full read
	replicaReadInterval = time.Second             // per replica, between full reads of a large catalog
	selfReadThreshold   = 256                     // replicas up to which each box makes its own full reads
	keepAliveInterval   = 6 * time.Second         // two of these fit into the history of a source, 20 s
	maxKeepAlive        = 512                     // replicas; with more, full reads are too rare to be worth the calls
	behindDelay         = 300 * time.Millisecond  // for a lagging watch to catch up with another box
	refreshPercent      = 60                      // percent of staleTimeout from which a follower requests changes from peers
	percent             = 100
	batchInterval       = 200 * time.Millisecond // between calls of a watch with frequent changes
	maxBurst            = 8                      // calls of a watch without that delay
	catchUpTimeout      = time.Millisecond       // for changes that exist already
	peerTimeout         = 600 * time.Millisecond // in which a follower whose request to a box failed asks another one
	sharedRereadFactor  = 3                      // the interval is longer by this factor if other boxes reread too
)

// waitAfterFailure waits after a failed call. A follower may receive changes meanwhile from a
// box that can read.
func (d *Feed) waitAfterFailure(ctx context.Context, backOff time.Duration) {
	if !d.isFollower() {
		sleep.For(ctx, d.jittered(backOff))
		return
	}
	sleep.For(ctx, d.jittered(followRetryInterval))
	d.waitFollowing(ctx, func() int { return 0 })
}

// waitFollowing waits until a follower has to make a full read: it no longer follows, can't
// catch up with another box, its copy is stale, or the maximum time is over. That time depends
// on the number of replicas, which may grow meanwhile, and ends early while expired entries
// may reappear.
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
		if tryReceive(d.behind) && !d.waitCaughtUp(ctx, replicas) { // before the select, which picks at random
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

// waitCaughtUp reports whether a follower has the revision of a box that it could not ask. With
// many replicas it first gives other boxes time to send the changes.
func (d *Feed) waitCaughtUp(ctx context.Context, replicas int) bool {
	if d.delivered.Load() < d.wanted.Load() && replicas > selfReadThreshold {
		sleep.For(ctx, peerTimeout)
		if d.delivered.Load() < d.wanted.Load() {
			return d.isCurrent(ctx)
		}
	}
	return d.delivered.Load() >= d.wanted.Load()
}

// maxFollowInterval returns the maximum time between a follower's full reads.
func (d *Feed) maxFollowInterval(replicas int) time.Duration {
	out := followReadInterval
	if d.isLarge(replicas) {
		out = max(out, time.Duration(replicas)*replicaReadInterval)
	}
	return d.untilSettled(out)
}

// keepAlive calls KeepAlive at intervals while this box reads too rarely for the source's
// history. The next read reports failures.
func (d *Feed) keepAlive(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, d.jittered(keepAliveInterval))
		replicas := d.replicaCount()
		if ctx.Err() == nil && replicas <= maxKeepAlive && (d.isFollower() || d.isLarge(replicas)) {
			_ = d.source.KeepAlive(ctx)
		}
	}
}

// untilSettled shortens a wait to just after the time at which missing entries are known to be
// removed, if that is pending.
func (d *Feed) untilSettled(wait time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if left := d.settled.Sub(d.now()); left > 0 {
		wait = min(wait, left+firstBackOff)
	}
	return wait
}

// isLarge reports whether asking for the newest revision is cheaper than reading so many
// replicas.
func (d *Feed) isLarge(replicas int) bool { return d.source.Newest != nil && replicas > largeThreshold }

// isCurrent asks for the newest revision and reports whether the copy has it.
func (d *Feed) isCurrent(ctx context.Context) bool {
	rev, at, ok := d.recentlyConfirmed()
	if !ok && d.source.Newest == nil {
		return false
	}
	if !ok {
		at = d.now()
		var err error
		if rev, err = d.source.Newest(ctx); err != nil {
			return false // the full read fails too and reports it
		}
		d.health(nil)
	}
	if rev > d.delivered.Load() {
		sleep.For(ctx, behindDelay) // the watch, or another box, may be about to deliver it
	}
	if rev > d.delivered.Load() {
		d.catchUp(ctx)
	}
	if rev > d.delivered.Load() {
		return false
	}
	d.confirmed(at)
	return true
}

// catchUp delivers the changes after the recorded revision in one call. It records only the
// last change's revision, as a source that is about to lose its history may omit later
// changes.
func (d *Feed) catchUp(ctx context.Context) {
	changes, _, err := d.source.Wait(ctx, d.delivered.Load(), catchUpTimeout)
	if err != nil || len(changes) == 0 {
		return // the full read that follows reports any error
	}
	last := int64(0)
	for _, ch := range changes {
		last = max(last, ch.Revision)
	}
	d.deliver(Update{
		Channel:  ByCheck,
		Changes:  changes,
		Revision: last,
	})
}

// waitUntilDue waits until a full read is due. A box that stops watching a large catalog
// follows without a read, as its watch has kept it up to date.
func (d *Feed) waitUntilDue(ctx context.Context, settled bool) {
	ceased := d.isFollower()
	if !ceased {
		ceased = d.waitUntilStale(ctx, d.replicaCount(), settled)
	}
	if ceased {
		d.waitFollowing(ctx, d.replicaCount)
	}
}

// waitUntilStale waits until a full read is due on a box that watches. With many replicas it
// checks the newest revision instead, unless missing entries were unsettled at the last read.
// It returns whether this box became a follower that needs no read.
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
			d.resumeWatch(d.delivered.Load()) // the watch that ended resumes
		}
	}
	return false
}

// waitForReread waits for the next reread, which is earlier while expired entries may
// reappear. It returns whether the timer alone caused it.
func (d *Feed) waitForReread(ctx context.Context) bool {
	interval := d.interval
	if !d.isReader() {
		interval *= sharedRereadFactor
	}
	t := time.NewTimer(d.untilSettled(d.jittered(interval)))
	defer t.Stop()
	for {
		if tryReceive(d.rereadNow) { // checked first, as select picks at random
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
			sleep.For(ctx, behindDelay) // the watch may be about to deliver it
			if d.delivered.Load() < d.wanted.Load() {
				return false
			}
		}
	}
}

// tryReceive reports whether a channel has a value, and takes it. It gives a channel
// precedence over others in a select.
func tryReceive[T any](c <-chan T) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// jittered returns a time between 3/4 and 5/4 of t, to spread the calls of boxes.
func (d *Feed) jittered(t time.Duration) time.Duration {
	return t*3/4 + time.Duration(d.jitter()*float64(t)/2)
}
