package node

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/havenrudder/havenrudder/placement"
	"github.com/havenrudder/havenrudder/roster"
	"github.com/havenrudder/havenrudder/wire"
)

// Sizes of a large installation, for costs that grow with boxes or replicas.
const (
	largeRegions  = 3
	largeBoxes    = 98 // of a region
	largeReplicas = 72 // of a region
)

// largeBox returns a box with records of all others of a large installation.
func largeBox() *testBox {
	b := newBox("box-0-0", "a", largeReplicas)
	for r := range largeRegions {
		for n := range largeBoxes {
			if r+n > 0 {
				s := status(fmt.Sprintf("box-%d-%d", r, n), regions[r])
				s.Peers = fmt.Sprintf("10.%d.0.%d:7000", r, n)
				b.receiveStatus(s, start, serviceCapacity(largeReplicas, 20*time.Millisecond))
			}
		}
	}
	return b
}

// bytesOf returns the mean number of bytes that a run of f allocates.
func bytesOf(f func()) uint64 {
	const runs = 50
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		f()
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / runs
}

// Guards against allocations that make garbage collection more expensive than the requests.
func TestWhatABoxDoesOftenTakesLittleMemoryAmongManyBoxes(t *testing.T) {
	box := largeBox()
	q := askShared(route(), "part")
	limits := []struct {
		what  string
		limit uint64 // bytes
		f     func()
	}{
		{"a request", 18_000, func() {
			c := box.place(q, start, rand.IntN).Choice
			box.view.End(&c, placement.Answered, 20*time.Millisecond, start)
		}},
		{"a look-up", 7_000, func() { box.directoryAddrs(host, "a", wire.ServingStateServing, start) }},
		{"a beat", 80_000, func() {
			box.role(start)
			box.sharers(start)
			box.roster.Gossip(box.fillStatus(box.self, start), start, rand.IntN)
		}},
	}
	for _, l := range limits {
		if got := bytesOf(l.f); got > l.limit {
			t.Errorf("%s takes %d bytes, at most %d are allowed", l.what, got, l.limit)
		}
	}
}

func BenchmarkPlace(b *testing.B) {
	box := largeBox()
	now := start
	q := askShared(route(), "part")
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		t := box.place(q, now, rand.IntN)
		if t.Reason != placement.None {
			b.Fatal(t.Reason)
		}
		box.view.End(&t.Choice, placement.Answered, 20*time.Millisecond, now)
		if now > start+2*time.Second {
			now = start // keeps the others alive
		}
	}
}

func BenchmarkBeat(b *testing.B) {
	box := largeBox()
	b.ReportAllocs()
	for b.Loop() {
		box.role(start)
		box.sharers(start)
		self := box.fillStatus(box.self, start)
		box.roster.Gossip(self, start, rand.IntN)
	}
}

func BenchmarkDirectory(b *testing.B) {
	box := largeBox()
	b.ReportAllocs()
	for b.Loop() {
		if len(box.directoryAddrs(host, "a", wire.ServingStateServing, start)) == 0 {
			b.Fatal("nothing named")
		}
	}
}

func BenchmarkHearCompact(b *testing.B) {
	box, other := largeBox(), largeBox()
	other.self = status("box-0-1", "a")
	other.self.Peers = "10.0.0.1:7000"
	other.state.roster = roster.New(other.self)
	for n := range largeBoxes {
		if n != 1 {
			s := status(fmt.Sprintf("box-0-%d", n), "a")
			s.Peers = fmt.Sprintf("10.0.0.%d:7000", n)
			other.receiveStatus(s, start)
		}
	}
	var list []roster.Packet
	for len(list) < 64 {
		list = append(list, other.roster.Gossip(other.fillStatus(other.self, start), start, rand.IntN)...)
	}
	var compact []roster.Compact
	for _, p := range list {
		if c, err := roster.DecodeCompact(p.Buf); err == nil {
			compact = append(compact, c)
		}
	}
	if len(compact) == 0 {
		b.Skip("no compact datagrams")
	}
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		box.receiveCompact(compact[n%len(compact)], "10.0.0.1:7000", start)
		n++
	}
}
