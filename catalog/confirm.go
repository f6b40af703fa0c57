package catalog

// This file says how a Feed finds out again and again that the policy in force is the newest:
// by reading it, for a watch that hears nothing looks like one with no news.

import (
	"context"
	"time"

	"github.com/havenrudder/havenrudder/common/sleep"
)

const (
	confirmEvery = time.Second             // some readings may fail before what was proved last is too old
	confirmSoon  = 400 * time.Millisecond  // where the answer is only a promise, which the next ones have to bear out
	confirmLimit = 1200 * time.Millisecond // for a reading: another one may be answered sooner
	confirmedFor = 1500 * time.Millisecond // for which a reading of the policy tells the newest revision too
)

// confirmed is the last answer about the policy.
type confirmed struct {
	version  int // of the policy; the task that confirms owns it
	revision int64
	at       time.Time
}

// WithConfirming sets what says whether this box has to know that the policy in force is the
// newest, and what is told of a moment at which a version surely was.
func WithConfirming(confirms func() bool, proved func(version int, at time.Time)) FeedOption {
	return func(d *Feed) {
		d.confirms = confirms
		d.proved = proved
	}
}

// confirm reads the policy again and again while this box has to know that it is the newest.
func (d *Feed) confirm(ctx context.Context) {
	wait := confirmEvery
	for ctx.Err() == nil {
		sleep.For(ctx, d.spread(wait))
		wait = confirmEvery
		if d.follow() {
			wait = confirmSoon // others may have lost their way to the source
		}
		if ctx.Err() == nil && d.confirms() {
			wait = d.confirmOnce(ctx)
		}
	}
}

// confirmOnce reads the policy, and returns how long to wait until the next time.
func (d *Feed) confirmOnce(ctx context.Context) (wait time.Duration) {
	began := d.now()
	limit, cancel := context.WithTimeout(ctx, confirmLimit)
	defer cancel()
	s, err := d.source.Confirm(limit)
	switch {
	case ctx.Err() != nil:
		return confirmEvery
	case err != nil:
		d.health(err)
		return confirmSoon
	}
	if s.Policy != nil && s.Policy.Version > d.confirmed.version {
		d.confirmed.version = s.Policy.Version
		d.update(PolicyUpdate(s.Policy))
	}
	d.prove(s)
	if s.Revision == 0 {
		return confirmSoon // it was a question for the policy alone
	}
	d.mu.Lock()
	d.confirmed.revision = s.Revision
	d.confirmed.at = began
	d.mu.Unlock()
	if s.Revision <= d.known.Load() {
		d.health(nil)
	}
	return confirmEvery
}

// prove tells at which moment the policy of a snapshot surely was the newest.
func (d *Feed) prove(s Snapshot) {
	if s.Policy != nil && !s.PolicyAt.IsZero() {
		d.proved(s.Policy.Version, s.PolicyAt)
	}
}

// confirmedOfLate returns the newest revision as of the last reading of the policy; false where
// there was none of late.
func (d *Feed) confirmedOfLate() (int64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.confirmed.revision, !d.confirmed.at.IsZero() && d.now().Sub(d.confirmed.at) < confirmedFor
}
