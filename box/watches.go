package box

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/havenrudder/havenrudder/configstore"
	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/wire"
)

// blindAfter is how long the platform may be silent until a box that watches
// leaves its watches to others.
const blindAfter = 10 * time.Second

// othersAfter is how long a box that starts leaves the lists of other failure
// domains alone. It takes itself for the only one until it has heard of others;
// when many start at once, each would watch every list.
const othersAfter = 4 * time.Second

// listWatchers is how many boxes of a failure domain watch each list.
const listWatchers = 2

// watches are the keys of the platform that this box reads for its failure
// domain. Few boxes read each key; the others hear from them.
type watches struct {
	ctx     context.Context // of the whole run; a watch may outlive the one that began it
	box     *Box
	mu      sync.Mutex
	cancels map[string]context.CancelFunc
	heard   atomic.Int64 // our clock when the platform last answered
}

func newWatches(ctx context.Context, b *Box) *watches {
	return &watches{
		ctx:     ctx,
		box:     b,
		cancels: make(map[string]context.CancelFunc),
	}
}

// blind says whether the platform has been silent for long.
func (w *watches) blind() bool {
	longest := time.Duration(w.box.settings.Platform.WaitMs)*time.Millisecond + blindAfter
	return w.box.now()-time.Duration(w.heard.Load()) > longest
}

// adjust starts the watches that this box should hold and ends the others.
func (w *watches) adjust() {
	wanted := w.wanted()
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, cancel := range w.cancels {
		if !slices.Contains(wanted, key) {
			cancel()
			delete(w.cancels, key)
		}
	}
	for _, key := range wanted {
		if _, ok := w.cancels[key]; !ok {
			w.start(key)
		}
	}
}

func (w *watches) start(key string) {
	ctx, cancel := context.WithCancel(w.ctx)
	w.cancels[key] = cancel
	w.box.tasks.Go(func() {
		w.box.platform.Watch(ctx, key, func(v configstore.Value) { w.take(ctx, key, v) })
	})
}

// wanted returns the keys this box should watch.
func (w *watches) wanted() (out []string) {
	b := w.box
	_ = b.fleet.Do(func(f *fleet.Fleet) {
		for _, key := range w.keys() {
			n := listWatchers
			if key == configstore.KeyHead {
				n = b.settings.Platform.Watchers
			}
			if f.Reads(key, n, b.now()) {
				out = append(out, key)
			}
		}
	})
	return out
}

// keys returns the keys the failure domain reads: the head, its own list, and
// the lists of the domains the bundle names.
func (w *watches) keys() []string {
	own := w.box.settings.FailureDomain
	out := []string{configstore.KeyHead, configstore.KeyFleet + own}
	domains := w.box.domains.Load()
	if domains == nil || w.box.now() < othersAfter {
		return out
	}
	for _, domain := range *domains {
		if domain != own {
			out = append(out, configstore.KeyFleet+domain)
		}
	}
	return out
}

// names returns the keys that are watched now.
func (w *watches) names() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Sorted(maps.Keys(w.cancels))
}

func (w *watches) take(ctx context.Context, key string, v configstore.Value) {
	w.heard.Store(int64(w.box.now()))
	if key == configstore.KeyHead {
		w.box.onHead(ctx, v)
		return
	}
	w.takeList(ctx, v)
}

// takeList takes a list in and passes it on in the failure domain.
func (w *watches) takeList(ctx context.Context, v configstore.Value) {
	b := w.box
	b.metrics.countControl(fleetKind, len(v.Data)+readOverhead)
	u := wire.FleetUpdate{
		Index: int(v.Index),
	}
	if err := json.Unmarshal(v.Data, &u.Fleet); err != nil {
		b.log.WithError(err).Warn("list refused")
		return
	}
	if !b.takeFleet(u) {
		return
	}
	for _, addr := range b.peerAddrs() {
		b.tasks.Go(func() {
			short, cancel := context.WithTimeout(ctx, notifyBound)
			defer cancel()
			_ = b.peers.Notify(short, addr, peer.Fleet, u)
		})
	}
}
