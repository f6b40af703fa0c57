package poison

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	_ "github.com/havenrudder/havenrudder/internal/fixed"
)

const (
	start      = time.Hour           // of the tests' clock
	sentBefore = start - time.Minute // when requests were sent that are cut later
)

// deadly is a request that ends its replicas.
var deadly = Content{
	Target: "/deadly",
}

// digestOf returns a digest by a number.
func digestOf(n int) Digest {
	c := Content{
		Target: fmt.Sprint(n),
	}
	return c.Digest()
}

// endsUnder returns a record of ends, a second apart, the last at now.
func endsUnder(d Digest, n int, now time.Duration) Record {
	r := Record{
		Digest:   d,
		Answered: never,
	}
	for i := range n {
		r.Ends = append(r.Ends, End{
			Start: Start(i + 1),
			At:    now - time.Duration(n-1-i)*time.Second,
		})
	}
	return r
}

// boxes are watches that hear each other at once, but for what is lost.
type boxes struct {
	t       *testing.T
	now     time.Duration
	watches map[string]*Watch // by address, which is the name
	rnd     *rand.Rand
	lose    func(from, to string) bool
}

func newBoxes(t *testing.T, n int) *boxes {
	b := &boxes{
		t:       t,
		now:     start,
		watches: make(map[string]*Watch),
		rnd:     rand.New(rand.NewPCG(1, 1)),
		lose:    func(string, string) bool { return false },
	}
	for i := range n {
		b.join(fmt.Sprint("box-", i))
	}
	return b
}

// join has a box start.
func (b *boxes) join(name string) *Watch {
	w := NewWatch(name)
	b.watches[name] = w
	return w
}

// tell has a box send what is due.
func (b *boxes) tell(name string) {
	b.post(name, b.watches[name].Due(b.others(name), b.now, b.rnd.IntN))
}

// names returns the boxes that run, in order, so that one seed is one run.
func (b *boxes) names() []string { return slices.Sorted(maps.Keys(b.watches)) }

// others returns all boxes but one.
func (b *boxes) others(name string) []Box {
	var out []Box
	for _, other := range b.names() {
		if other != name {
			out = append(out, Box{
				Name: other,
				Addr: other,
			})
		}
	}
	return out
}

func (b *boxes) post(from string, list []Packet) {
	for _, p := range list {
		to := b.watches[p.Addr]
		if to == nil || b.lose(from, p.Addr) {
			continue
		}
		answers, news := to.Hear(p.Buf, from, b.now)
		b.post(p.Addr, answers)
		if news {
			b.tell(p.Addr)
		}
	}
}

// run has all boxes tell each other for a time.
func (b *boxes) run(d time.Duration) {
	for until := b.now + d; b.now < until; b.now += 250 * time.Millisecond {
		for _, name := range b.names() {
			b.tell(name)
		}
	}
}

// end has a replica end under a request at a box.
func (b *boxes) end(name, replica string, d Digest) {
	b.now += 2 * together // replicas that end together say nothing of a request
	w := b.watches[name]
	w.Cut(replica, d, sentBefore, b.now)
	w.Ended(replica, b.now)
	b.tell(name)
}

// quarantine returns at how many boxes a request is quarantined.
func (b *boxes) quarantine(d Digest) (n int) {
	for _, w := range b.watches {
		if _, quarantined := w.Quarantined(d, b.now); quarantined {
			n++
		}
	}
	return n
}
