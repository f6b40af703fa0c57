package box

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/bundle"
	"github.com/havenrudder/havenrudder/configstore"
	"github.com/havenrudder/havenrudder/fleet"
	"github.com/havenrudder/havenrudder/peer"
	"github.com/havenrudder/havenrudder/wire"
)

const peerTimeout = 2 * time.Second

// bundleState is what one actor knows of the bundle.
type bundleState struct {
	store    *bundle.Store
	fetching int           // version being fetched, 0 for none
	asking   int           // version that was asked for last
	askAgain time.Duration // our clock from which it is asked for again
	taken    time.Duration
	asked    bool // the floor was asked for, so the box may serve
	refused  int  // heads or parts that did not hold
	old      int  // heads below what is in force
}

func newBundleState(keys *bundle.Keys) *bundleState {
	return &bundleState{
		store: bundle.NewStore(keys, time.Now),
	}
}

// source is where the parts of a head can be had.
type source struct {
	addr  string                 // of a box; empty for the platform
	given map[bundle.Hash][]byte // nodes that came with the head
}

// offer takes a head from a source and fetches its bundle when it is new.
func (b *Box) offer(ctx context.Context, h wire.Head, from source) {
	var held bundle.Nodes
	fetch := false
	_ = b.bundles.Do(func(s *bundleState) {
		switch s.store.Wants(h) {
		case bundle.Taken:
			fetch = h.Version > s.fetching
		case bundle.Refused:
			s.refused++
		case bundle.Old:
			s.old++
		}
		if fetch {
			s.fetching = h.Version
			held = s.store.Nodes()
		}
	})
	if !fetch {
		return
	}
	if len(held) == 0 && from.addr == "" {
		from.given = b.readWhole(ctx)
	}
	joined, nodes, err := bundle.Join(h.Version, bundle.Hash(h.Root), held, b.fetcher(ctx, from))
	if err != nil {
		b.log.WithError(err).WithField("version", h.Version).Warn("bundle not fetched")
	}
	b.take(h, joined, nodes, err == nil)
	b.watch.adjust()
	if err == nil && from.addr == "" {
		b.sendHeartbeats(ctx) // the boxes that don't watch hear of it at once
	}
}

func (b *Box) take(h wire.Head, joined wire.Bundle, nodes bundle.Nodes, whole bool) {
	_ = b.bundles.Do(func(s *bundleState) {
		if s.fetching == h.Version {
			s.fetching = 0
		}
		if !whole {
			s.refused++
			return
		}
		if s.store.Take(h, joined, nodes) != bundle.Taken {
			return
		}
		s.taken = b.now()
		b.log.WithField("version", h.Version).Info("bundle in force")
		b.nameDomains(joined.Regions)
		b.publish(s)
	})
}

// nameDomains notes which failure domains the bundle names; their lists are
// watched.
func (b *Box) nameDomains(regions []wire.Region) {
	var domains []string
	for _, r := range regions {
		domains = append(domains, r.FailureDomains...)
	}
	b.domains.Store(&domains)
}

// publish lets requests see the policy, once the box knows its upstreams and that
// no higher version was in force before it started.
func (b *Box) publish(s *bundleState) {
	if !s.asked || !b.listed.Load() || s.store.Policy() == nil || s.store.Behind() {
		return
	}
	if b.policy.Swap(s.store.Policy()) == nil {
		b.log.WithField("version", s.store.Head().Version).Info("serving")
		close(b.ready)
	}
}

// wholeAfter is how many nodes are read one by one until all are read at once: a
// change of one organisation needs three.
const wholeAfter = 8

// fetcher returns a fetch that looks at what came with the head, then asks the
// source, then the platform.
func (b *Box) fetcher(ctx context.Context, from source) bundle.Fetch {
	reads := 0
	return func(h bundle.Hash) ([]byte, error) {
		if data, ok := from.given[h]; ok {
			return data, nil
		}
		if from.addr != "" {
			if data, err := b.fetchPart(ctx, from.addr, h); err == nil {
				return data, nil
			}
		}
		reads++
		if reads == wholeAfter {
			from.given = b.readWhole(ctx)
			if data, ok := from.given[h]; ok {
				return data, nil
			}
		}
		v, err := b.platform.Get(ctx, configstore.KeyNode+string(h))
		b.metrics.countControl(bundleKind, len(v.Data)+readOverhead)
		return v.Data, err
	}
}

// readWhole reads all nodes of the newest bundle at once. A box that starts would
// otherwise read each of some 250, and a failure domain that starts 3,600 at once.
// It returns nil when there is no such value; then nodes are read one by one.
func (b *Box) readWhole(ctx context.Context) map[bundle.Hash][]byte {
	v, err := b.platform.Get(ctx, configstore.KeyWhole)
	if err != nil {
		return nil
	}
	b.metrics.countControl(bundleKind, len(v.Data)+readOverhead)
	nodes, err := bundle.Unpack(v.Data)
	if err != nil {
		b.log.WithError(err).Warn("whole bundle not read")
	}
	return nodes
}

// readOverhead is what HTTP adds to a read of the platform, in bytes.
const readOverhead = 250

var errNoPart = errors.New("box: the peer does not hold the part")

func (b *Box) fetchPart(ctx context.Context, addr string, h bundle.Hash) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var part wire.Part
	req := wire.PartRequest{
		Hash: string(h),
	}
	if err := b.peers.Call(ctx, addr, peer.Part, req, &part); err != nil {
		return nil, err
	}
	if !part.Found {
		return nil, errNoPart
	}
	return []byte(part.Data), nil
}

// onHead takes a head in that the platform gave.
func (b *Box) onHead(ctx context.Context, v configstore.Value) {
	b.metrics.countControl(bundleKind, len(v.Data)+readOverhead)
	var h wire.Head
	if err := json.Unmarshal(v.Data, &h); err != nil {
		b.log.WithError(err).Warn("head refused")
		_ = b.bundles.Do(func(s *bundleState) { s.refused++ })
		return
	}
	b.offer(ctx, h, source{})
}

// askFloor asks a box which version it has, and fetches that version when it is
// new. It returns false when the box did not answer.
func (b *Box) askFloor(ctx context.Context, addr string) bool {
	short, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var f wire.Floor
	req := wire.FloorRequest{
		Box:  b.settings.Box,
		Have: b.version(),
	}
	if err := b.peers.Call(short, addr, peer.Floor, req, &f); err != nil {
		return false
	}
	for _, u := range f.Lists {
		b.takeFleet(u)
	}
	if f.Head != nil {
		b.offer(ctx, *f.Head, source{
			addr:  addr,
			given: bundle.ByHash(f.Nodes),
		})
	}
	return true
}

// settleFloor marks the floor as asked for; from now on the box may serve.
func (b *Box) settleFloor() {
	_ = b.bundles.Do(func(s *bundleState) {
		s.asked = true
		b.publish(s)
	})
}

// learnFromUpstream raises the floor to a version that ordered an upstream.
func (b *Box) learnFromUpstream(version int) {
	policy := b.policy.Load()
	if version == 0 || (policy != nil && version <= policy.Version()) {
		return
	}
	b.bundles.Post(func(s *bundleState) { s.store.Raise(version) })
}

// floor answers another box that asks for the version in force, with what is new
// in it to that box.
func (b *Box) floor(r wire.FloorRequest) (out wire.Floor) {
	_ = b.bundles.Do(func(s *bundleState) {
		out.Version = s.store.Floor()
		if h := s.store.Head(); h.Version > 0 {
			out.Head = &h
		}
		for _, n := range s.store.New(r.Have) {
			out.Nodes = append(out.Nodes, string(n.Data()))
		}
	})
	if r.Have == 0 {
		_ = b.fleet.Do(func(f *fleet.Fleet) { out.Lists = f.Export() })
	}
	return out
}

// part answers another box that asks for a node.
func (b *Box) part(r wire.PartRequest) (out wire.Part) {
	_ = b.bundles.Do(func(s *bundleState) {
		data, ok := s.store.Node(bundle.Hash(r.Hash))
		out.Found = ok
		out.Data = string(data)
	})
	return out
}
