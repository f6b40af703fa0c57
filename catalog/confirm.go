package catalog

import (
	"context"
	"time"

	"github.com/havenrudder/havenrudder/common/sleep"
)

const (
	confirmInterval      = time.Second            // a few reads may fail before the last freshness proof expires
	confirmRetryInterval = 400 * time.Millisecond // after an error, or an answer without a revision
	confirmTimeout       = 1200 * time.Millisecond
	confirmationTTL      = 1500 * time.Millisecond // for which the revision of a confirming read counts as the newest
)

// confirmation is the last confirming read of the policy.
type confirmation struct {
	version  int // of the policy; owned by the confirming goroutine
	revision int64
	at       time.Time
}

// WithConfirming sets a function that reports whether this box needs to confirm that its
// policy is the newest, and one that receives the time at which a version is known to be the
// newest.
func WithConfirming(mustConfirm func() bool, onConfirmed func(version int, at time.Time)) FeedOption {
	return func(d *Feed) {
		d.mustConfirm = mustConfirm
		d.onConfirmed = onConfirmed
	}
}

// confirm confirms the policy at intervals while this box needs to.
func (d *Feed) confirm(ctx context.Context) {
	wait := confirmInterval
	for ctx.Err() == nil {
		sleep.For(ctx, d.jittered(wait))
		wait = confirmInterval
		if d.isFollower() {
			wait = confirmRetryInterval // peers may have lost their connection to the source
		}
		if ctx.Err() == nil && d.mustConfirm() {
			wait = d.confirmOnce(ctx)
		}
	}
}

// confirmOnce reads the policy and returns the wait until the next read.
func (d *Feed) confirmOnce(ctx context.Context) (wait time.Duration) {
	began := d.now()
	limit, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	s, err := d.source.Confirm(limit)
	switch {
	case ctx.Err() != nil:
		return confirmInterval
	case err != nil:
		d.health(err)
		return confirmRetryInterval
	}
	if s.Policy != nil && s.Policy.Version > d.confirmation.version {
		d.confirmation.version = s.Policy.Version
		d.update(PolicyUpdate(s.Policy, ByCheck))
	}
	d.reportFreshness(s)
	if s.Revision == 0 {
		return confirmRetryInterval // the source answered for the policy alone
	}
	d.mu.Lock()
	d.confirmation.revision = s.Revision
	d.confirmation.at = began
	d.mu.Unlock()
	if s.Revision <= d.delivered.Load() {
		d.health(nil)
		d.confirmed(began)
	}
	return confirmInterval
}

// reportFreshness passes on the freshness proof of a snapshot's policy.
func (d *Feed) reportFreshness(s Snapshot) {
	if s.Policy != nil && !s.PolicyConfirmedAt.IsZero() {
		d.onConfirmed(s.Policy.Version, s.PolicyConfirmedAt)
	}
}

// recentlyConfirmed returns the newest revision as of the last confirming read, and when that began; false
// if that is too long ago.
func (d *Feed) recentlyConfirmed() (revision int64, at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmation.revision, d.confirmation.at, !d.confirmation.at.IsZero() && d.now().Sub(d.confirmation.at) < confirmationTTL
}
