package node

// This file has the boxes of a follows ask each other, over connections that take their time.

import (
	"context"
	"encoding/base64"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/sleep"
	"github.com/havenrudder/havenrudder/quota"
)

// visit brings a question of a machine to the process on another one, and returns it once the way
// there is over, or an error when ctx has ended because nothing was to be heard.
func (f *follows) visit(ctx context.Context, from *followBox, addr, what string) (n *Node, way time.Duration, err error) {
	to := f.byAddr[addr]
	way = nearDelay
	if to.settings.Region != from.settings.Region {
		way = farDelay
	}
	if err := f.connect(ctx, from, to, way); err != nil {
		return nil, way, err
	}
	sleep.For(ctx, way+f.jitter(mostJitter, "asked", what, from.settings.Box, addr))
	n = to.node.Load()
	if n == nil || f.severed(from, to) {
		<-ctx.Done()
		return nil, way, errors.Wrap(ctx.Err(), "box gone")
	}
	return n, way, ctx.Err()
}

// connection is one from a process to another.
type connection struct{ from, to *Node }

// connect makes a connection between two processes, unless there is one. It takes a way there and
// back, and one that ctx ends before isn't there.
func (f *follows) connect(ctx context.Context, from, to *followBox, way time.Duration) error {
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

// askBank asks a box as a bank.
func (f *follows) askBank(ctx context.Context, from *followBox, addr string, asks []quota.Ask) ([]quota.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, allocatorTimeout)
	defer cancel()
	self := from.node.Load()
	if self == nil {
		return nil, errors.New("asking box gone")
	}
	asker := self.asker()
	n, way, err := f.visit(ctx, from, addr, "bank")
	if err != nil {
		return nil, err
	}
	out := n.grant(asker, asks)
	sleep.For(ctx, way+f.jitter(mostJitter, "granted", from.settings.Box, addr))
	return out, ctx.Err()
}

// askDemand asks a bank of another region.
func (f *follows) askDemand(ctx context.Context, from *followBox, addr string) (map[string]quota.Use, error) {
	n, way, err := f.visit(ctx, from, addr, "demand")
	if err != nil {
		return nil, err
	}
	out := n.demand()
	sleep.For(ctx, way+f.jitter(mostJitter, "demand", from.settings.Box, addr))
	return out, ctx.Err()
}

// askProof asks a box how long ago its policy surely was the newest.
func (f *follows) askProof(ctx context.Context, from *followBox, addr string) (proofResponse, error) {
	n, way, err := f.visit(ctx, from, addr, "proof")
	if err != nil {
		return proofResponse{}, err
	}
	out := n.serveProof()
	sleep.For(ctx, way+f.jitter(mostJitter, "proof", from.settings.Box, addr))
	return out, ctx.Err()
}

// reach returns the process at an address after a way, or an error when ctx has ended because
// there is none.
func (f *follows) reach(ctx context.Context, addr string, way time.Duration) (*followBox, *Node, error) {
	b := f.byAddr[addr]
	sleep.For(ctx, way)
	if b != nil {
		if n := b.node.Load(); n != nil {
			return b, n, nil
		}
	}
	<-ctx.Done() // it was killed, and nothing says so
	return nil, nil, errors.Wrap(ctx.Err(), "box gone")
}

// askBox asks a box for what changed, as over a connection.
func (f *follows) askBox(ctx context.Context, addr string, after int64) (news catalog.News, err error) {
	b, n, err := f.reach(ctx, addr, nearDelay+f.jitter(mostJitter, "asked", addr, after))
	if err != nil {
		return news, err
	}
	encoded, err := n.serveCatalog(after)
	if err == nil {
		news, err = f.decode(ctx, encoded)
	}
	f.links.Load().answer(ctx, b, sizeOfEncoded(encoded))
	f.note("told", addr, after, news.Revision, len(news.Changes), news.Doubts)
	return news, errors.CombineErrors(err, ctx.Err())
}

const takeIn = 50 * time.Microsecond // of a replica of a whole catalog, to decode it and take it in on a fifth of a core

// decode returns news as they come from another box.
func (f *follows) decode(ctx context.Context, encoded catalog.EncodedNews) (news catalog.News, err error) {
	if len(encoded.Compressed) == 0 {
		return encoded.Decode()
	}
	if known, ok := f.decoded.Load(&encoded.Compressed[0]); ok {
		news = known.(catalog.News)
	} else {
		if news, err = encoded.Decode(); err != nil {
			return news, err
		}
		f.decoded.Store(&encoded.Compressed[0], news)
	}
	if news.Snapshot != nil {
		sleep.For(ctx, time.Duration(len(news.Snapshot.Replicas))*takeIn)
	}
	return news, nil
}

// sizeOfEncoded returns the bytes of news as they go to another box.
func sizeOfEncoded(encoded catalog.EncodedNews) int {
	if encoded.News != nil {
		return sizeOf(*encoded.News)
	}
	return base64.StdEncoding.EncodedLen(len(encoded.Compressed))
}
