package node

import (
	"context"
	"encoding/base64"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/quota"
)

// sendCall delivers a call from a machine to the process on another one and returns that process with the
// one-way delay. If the process is unreachable it returns an error when ctx ends.
func (f *simulation) sendCall(ctx context.Context, from *simBox, addr, what string) (n *Node, way time.Duration, err error) {
	to := f.byAddr[addr]
	way = nearDelay
	if to.settings.Region != from.settings.Region {
		way = farDelay
	}
	if err := f.connect(ctx, from, to, way); err != nil {
		return nil, way, err
	}
	sleep.For(ctx, way+f.jitter(maxJitter, "asked", what, from.settings.Box, addr))
	n = to.node.Load()
	if n == nil || f.partitioned(from, to) {
		<-ctx.Done()
		return nil, way, errors.Wrap(ctx.Err(), "box gone")
	}
	return n, way, ctx.Err()
}

type connection struct{ from, to *Node }

// connect opens a connection between two processes unless one exists. It takes a round trip, and is not
// established if ctx ends earlier.
func (f *simulation) connect(ctx context.Context, from, to *simBox, way time.Duration) error {
	c := connection{
		from: from.node.Load(),
		to:   to.node.Load(),
	}
	if _, there := f.connections.Load(c); there {
		return nil
	}
	sleep.For(ctx, 2*way)
	if ctx.Err() == nil {
		f.connections.Store(c, true)
	}
	return ctx.Err()
}

func (f *simulation) requestCredit(ctx context.Context, from *simBox, addr string, r allocationRequest) ([]quota.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, allocatorTimeout)
	defer cancel()
	self := from.node.Load()
	if self == nil {
		return nil, errors.New("asking box gone")
	}
	r.From = self.asker()
	n, way, err := f.sendCall(ctx, from, addr, "bank")
	if err != nil {
		return nil, err
	}
	out := n.answer(r)
	sleep.For(ctx, way+f.jitter(maxJitter, "granted", from.settings.Box, addr))
	return out, ctx.Err()
}

func (f *simulation) fetchDemand(ctx context.Context, from *simBox, addr string, r demandRequest) (map[string]quota.Usage, error) {
	n, way, err := f.sendCall(ctx, from, addr, "demand")
	if err != nil {
		return nil, err
	}
	out := n.demand(r)
	sleep.For(ctx, way+f.jitter(maxJitter, "demand", from.settings.Box, addr))
	return out, ctx.Err()
}

func (f *simulation) fetchProof(ctx context.Context, from *simBox, addr string) (proofResponse, error) {
	n, way, err := f.sendCall(ctx, from, addr, "proof")
	if err != nil {
		return proofResponse{}, err
	}
	out := n.serveProof()
	sleep.For(ctx, way+f.jitter(maxJitter, "proof", from.settings.Box, addr))
	return out, ctx.Err()
}

// reach returns the process at an address after a delay, or an error when ctx ends if there is none.
func (f *simulation) reach(ctx context.Context, addr string, way time.Duration) (*simBox, *Node, error) {
	b := f.byAddr[addr]
	sleep.For(ctx, way)
	if b != nil {
		if n := b.node.Load(); n != nil {
			return b, n, nil
		}
	}
	<-ctx.Done() // a killed process sends no reset
	return nil, nil, errors.Wrap(ctx.Err(), "box gone")
}

func (f *simulation) fetchChanges(ctx context.Context, addr string, after int64) (changes catalog.ChangeSet, err error) {
	b, n, err := f.reach(ctx, addr, nearDelay+f.jitter(maxJitter, "asked", addr, after))
	if err != nil {
		return changes, err
	}
	encoded, err := n.serveCatalog(after)
	if err == nil {
		changes, err = f.decode(ctx, encoded)
	}
	f.links.Load().answer(ctx, b, sizeOfEncoded(encoded))
	f.addToTrace("told", addr, after, changes.Revision, len(changes.Changes), changes.UnconfirmedRemovals)
	return changes, errors.CombineErrors(err, ctx.Err())
}

const applyCost = 50 * time.Microsecond // per replica of a snapshot, to decode and apply it on a fifth of a core

// decode decodes catalog changes as the receiving box does.
func (f *simulation) decode(ctx context.Context, encoded catalog.EncodedChangeSet) (changes catalog.ChangeSet, err error) {
	if len(encoded.Compressed) == 0 {
		return encoded.Decode()
	}
	if known, ok := f.decoded.Load(&encoded.Compressed[0]); ok {
		changes = known.(catalog.ChangeSet)
	} else {
		if changes, err = encoded.Decode(); err != nil {
			return changes, err
		}
		f.decoded.Store(&encoded.Compressed[0], changes)
	}
	if changes.Snapshot != nil {
		sleep.For(ctx, time.Duration(len(changes.Snapshot.Replicas))*applyCost)
	}
	return changes, nil
}

// sizeOfEncoded returns the size of encoded changes on the wire.
func sizeOfEncoded(encoded catalog.EncodedChangeSet) int {
	if encoded.ChangeSet != nil {
		return sizeOf(*encoded.ChangeSet)
	}
	return base64.StdEncoding.EncodedLen(len(encoded.Compressed))
}
