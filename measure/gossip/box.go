package gossip

import (
	"fmt"
	"time"

	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/wire"
)

// Box is one box of a world.
type Box struct {
	world *World
	index int
	inc   int
	up    bool
	self  wire.BoxStatus
	table *roster.Table
	loads []wire.ReplicaLoad
	told  map[string]time.Duration // when the loads of each box were told last
}

// Table returns what the box believes.
func (b *Box) Table() *roster.Table { return b.table }

// Up says whether it runs.
func (b *Box) Up() bool { return b.up }

// Name returns its name.
func (b *Box) Name() string { return b.self.Box }

// Catalog returns the revision that it has.
func (b *Box) Catalog() int { return b.self.Catalog }

// status returns what the box says of itself at a tick.
func (b *Box) status() wire.BoxStatus {
	b.self.Seq++
	s := b.self
	rnd := b.world.rnd
	s.Loads = b.loads
	for _, name := range []string{"havenrudder-epicerie", "commandes-app"} {
		s.Rooms = append(s.Rooms, wire.ServiceRoom{
			Service: name,
			Usable:  b.world.size.Replicas,
			WaitMs:  rnd.IntN(400),
			Busy:    rnd.IntN(100),
			Fewest:  rnd.IntN(4),
		})
	}
	return s
}

// begin draws the loads of the box, which stay as they are.
func (b *Box) begin() {
	rnd := b.world.rnd
	for _, n := range rnd.Perm(b.world.size.Replicas)[:b.world.size.Busy] {
		b.loads = append(b.loads, wire.ReplicaLoad{
			Replica:  fmt.Sprintf("replica-%s-%03d", b.self.Region, n),
			InFlight: 1 + rnd.IntN(3),
			Tokens:   1000 + rnd.IntN(9000),
			Prompt:   rnd.IntN(4000),
			Reads:    rnd.IntN(4000),
		})
	}
}

// post sends datagrams into the network.
func (b *Box) post(list []roster.Packet) {
	w := b.world
	for _, p := range list {
		w.sent += int64(len(p.Buf) + headerBytes)
		w.count++
		to, ok := w.byAddr[p.Addr]
		if !ok || w.cut(b.index, to.index) || w.rnd.Float64() < w.size.Loss {
			continue
		}
		took := withinRegion
		if to.self.Region != b.self.Region {
			took = betweenRegion
		}
		w.after(took, func() {
			if to.up {
				to.take(p.Buf, b.self.Peers)
			}
		})
	}
}

// take takes a datagram in.
func (b *Box) take(buf []byte, from string) {
	now := b.world.now
	if roster.IsCompact(buf) {
		c, err := roster.DecodeCompact(buf)
		if err != nil {
			panic(err) // the world sends what package roster encodes
		}
		h := b.table.ReceiveCompact(c, from, now)
		if h.Newer && h.Status.Region == b.self.Region && (h.AllLoads || len(h.Loads) > 0) {
			b.told[h.Sender] = now
		}
		b.post(h.Replies)
		b.learn(int(max(c.Catalog, c.NewestCatalog)))
		return
	}
	g, err := roster.Decode(buf)
	if err != nil {
		panic(err)
	}
	if b.table.Receive(g.From, true, now) && g.From.Region == b.self.Region {
		b.told[g.From.Box] = now
	}
	for _, s := range g.Others {
		b.table.Receive(s, false, now)
	}
	if g.Ask {
		b.post(b.table.Reply(b.status(), g.From, now))
	}
	b.learn(g.From.Catalog)
}

// learn reads a newer revision at once, as if the publisher took no time.
func (b *Box) learn(revision int) { b.self.Catalog = max(b.self.Catalog, revision) }
