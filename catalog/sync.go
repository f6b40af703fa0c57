package catalog

import (
	"context"
	"time"

	"github.com/havenrudder/havenrudder/common/sleep"
)

const (
	syncInterval = 100 * time.Millisecond // between reads that callers wait for, from the end of one
	syncTimeout  = 500 * time.Millisecond // for such a read; a round trip to another region takes 160 ms
)

// syncRead is a read that has not begun. All callers that come before it begins share it.
type syncRead struct {
	over     chan struct{} // closed when the read has ended
	revision int64         // newest one; 0 if it is not known
}

// Sync brings the copy up to date by a read that begins after the call, and returns the newest
// revision of the publisher, which an update may be about to apply. It returns 0 if that is not
// known in time, and while entries may be missing after an outage of the publisher.
func (d *Feed) Sync(ctx context.Context) int64 {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	r := d.nextSync()
	select {
	case <-r.over:
		return r.revision
	case <-ctx.Done():
		return 0
	}
}

// nextSync returns the next read, and requests it.
func (d *Feed) nextSync() *syncRead {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pendingSync == nil {
		d.pendingSync = &syncRead{
			over: make(chan struct{}),
		}
		d.syncWanted <- struct{}{} // doesn't block: it is taken before pendingSync
	}
	return d.pendingSync
}

func (d *Feed) takeSync() *syncRead {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.pendingSync
	d.pendingSync = nil
	return r
}

// sync makes the reads that callers of Sync wait for.
func (d *Feed) sync(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.syncWanted:
		}
		r := d.takeSync()
		r.revision = d.syncOnce(ctx)
		close(r.over)
		sleep.For(ctx, syncInterval)
	}
}

// syncOnce asks for the newest revision and reads what the copy lacks of it. Its failures are not
// reported, since calls of the feed itself have longer timeouts.
func (d *Feed) syncOnce(ctx context.Context) (revision int64) {
	if d.source.Newest == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	began := d.now()
	rev, err := d.source.Newest(ctx)
	if err != nil {
		return 0
	}
	if rev > d.delivered.Load() {
		d.catchUp(ctx)
	}
	if settled, _ := d.isSettled(); !settled || rev > d.delivered.Load() {
		return 0
	}
	d.confirmed(began)
	return rev
}
