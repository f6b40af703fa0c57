package node

import (
	"encoding/base64"
	"sync"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

const (
	snapshotRate  = 1_000_000              // bytes of encoded snapshots that a box sends per second: half of a link of 20 Mbit/s
	snapshotBurst = 400_000                // bytes at once: three catalogs of 6,000 replicas
	snapshotTTL   = 500 * time.Millisecond // for which an encoded snapshot is reused; receivers request later changes next
)

// snapshotCache is the last encoded catalog snapshot, shared by boxes that request one.
type snapshotCache struct {
	mu                sync.Mutex
	encoded           catalog.EncodedChangeSet
	confirmedRemovals int           // at the time of encoding
	read              int64         // time of the last catalog read, in nanoseconds since the start
	at                time.Duration // of encoding; 0 for never
	bucket            *byteBucket
}

func newSnapshotCache() *snapshotCache {
	return &snapshotCache{
		bucket: newByteBucket(snapshotRate, snapshotBurst),
	}
}

func (n *Node) serveCatalog(after int64) (catalog.EncodedChangeSet, error) {
	var changes catalog.ChangeSet
	all := false
	read := n.lastRead.Load() // before the changes are collected, so that they are at least as new
	err := n.state.Do(func(s *state) {
		if all = s.content.NeedsSnapshot(after); !all {
			changes = s.content.ChangesSince(after)
		}
	})
	switch {
	case err != nil:
		return catalog.EncodedChangeSet{}, err
	case all:
		return n.serveSnapshot(after)
	}
	out, err := changes.Encode()
	out.ReadAge = n.sharedReadAge(read)
	return out, err
}

// sharedReadAge returns the age of a catalog read as sent to other boxes; 0 if it is too old for them.
func (n *Node) sharedReadAge(read int64) catalog.Millis {
	age := n.now() - time.Duration(read)
	if age > maxSharedReadAge {
		return 0
	}
	return max(catalog.Millis(age.Milliseconds()), 1)
}

// serveSnapshot returns a catalog snapshot, or the time to wait while it is rate-limited. Concurrent
// requests share one encoding.
func (n *Node) serveSnapshot(after int64) (out catalog.EncodedChangeSet, err error) {
	w := n.snapshotCache
	w.mu.Lock()
	defer w.mu.Unlock()
	if wait := w.bucket.take(0, n.now()); wait > 0 {
		out.RetryAfter = catalog.Millis(wait.Milliseconds() + 1)
		return out, nil
	}
	if err := n.encodeSnapshot(w, after); err != nil {
		return catalog.EncodedChangeSet{}, err
	}
	w.bucket.take(base64.StdEncoding.EncodedLen(len(w.encoded.Compressed)), n.now())
	out = w.encoded
	out.ReadAge = n.sharedReadAge(w.read)
	return out, nil
}

// encodeSnapshot encodes a catalog snapshot, unless the cached one is fresh and no removal has been
// unconfirmed, or confirmed, since.
func (n *Node) encodeSnapshot(w *snapshotCache, after int64) error {
	var changes catalog.ChangeSet
	again := false
	err := n.state.Do(func(s *state) {
		again = w.at > 0 && n.now()-w.at < snapshotTTL && w.confirmedRemovals == s.content.ConfirmedRemovals() && !s.content.HasUnconfirmedRemovals()
		if !again {
			w.read = n.lastRead.Load()
			changes = s.content.ChangesSince(after)
			w.confirmedRemovals = s.content.ConfirmedRemovals()
		}
	})
	if err != nil || again {
		return err
	}
	w.at = 0
	if w.encoded, err = changes.Encode(); err == nil && len(changes.UnconfirmedRemovals) == 0 {
		w.at = n.now()
	}
	return err
}
