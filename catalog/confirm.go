package catalog

// This file says how a Feed finds out again and again that the policy in force is the newest:
// by reading it, for a watch that hears nothing looks like one with no news.

import (
	"context"
	"time"

	"github.com/havenrudder/havenrudder/common/sleep"
)

const (
	confirmInterval      = time.Second             // some readings may fail before what was proved last is too old
	confirmRetryInterval = 400 * time.Millisecond  // where the answer is only a promise, which the next ones have to bear out
	confirmTimeout       = 1200 * time.Millisecond // for a reading: another one may be answered sooner
	confirmationTTL      = 1500 * time.Millisecond // for which a reading of the policy tells the newest revision too
)

// confirmed is the last answer about the policy.
type confirmation struct {
	version  int // of the policy; the task that confirms owns it
	revision int64
	at       time.Time
}

// WithConfirming sets what says whether this box has to know that the policy in force is the
// newest, and what is told of a moment at which a version surely was.
func WithConfirming(mustConfirm func() bool, onConfirmed func(version int, at time.Time)) FeedOption {
	return func(d *Feed) {
		d.mustConfirm = mustConfirm
		d.onConfirmed = onConfirmed
	}
}

// confirm reads the policy again and again while this box has to know that it is the newest.
func (d *Feed) confirm(ctx context.Context) {
	wait := confirmInterval
	for ctx.Err() == nil {
		sleep.For(ctx, d.jittered(wait))
		wait = confirmInterval
		if d.isFollower() {
			wait = confirmRetryInterval // others may have lost their way to the source
		}
		if ctx.Err() == nil && d.mustConfirm() {
			wait = d.confirmOnce(ctx)
		}
	}
}

// confirmOnce reads the policy, and returns how long to wait until the next time.
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
		d.update(PolicyUpdate(s.Policy))
	}
	d.reportFreshness(s)
	if s.Revision == 0 {
		return confirmRetryInterval // it was a question for the policy alone
	}
	d.mu.Lock()
	d.confirmation.revision = s.Revision
	d.confirmation.at = began
	d.mu.Unlock()
	if s.Revision <= d.delivered.Load() {
		d.health(nil)
	}
	return confirmInterval
}

// prove tells at which moment the policy of a snapshot surely was the newest.
func (d *Feed) reportFreshness(s Snapshot) {
	if s.Policy != nil && !s.PolicyAt.IsZero() {
		d.onConfirmed(s.Policy.Version, s.PolicyAt)
	}
}

// confirmedOfLate returns the newest revision as of the last reading of the policy; false where
// there was none of late.
func (d *Feed) recentlyConfirmed() (int64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmation.revision, !d.confirmation.at.IsZero() && d.now().Sub(d.confirmation.at) < confirmationTTL
}
