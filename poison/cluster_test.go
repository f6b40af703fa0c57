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
	testStart  = time.Hour               // on the clock of the tests
	sentBefore = testStart - time.Minute // when requests were sent that are interrupted later
)

// poisonous is a request that crashes its replicas.
var poisonous = Content{
	Target: "/deadly",
}

func digestOf(n int) Digest {
	c := Content{
		Target: fmt.Sprint(n),
	}
	return c.Digest()
}

// recordOfCrashes returns a record with n crashes a second apart, the last at now.
func recordOfCrashes(d Digest, n int, now time.Duration) Record {
	r := Record{
		Digest:       d,
		LastSurvived: never,
	}
	for i := range n {
		r.Crashes = append(r.Crashes, Crash{
			Incarnation: Incarnation(i + 1),
			At:          now - time.Duration(n-1-i)*time.Second,
		})
	}
	return r
}

// cluster connects watches; datagrams arrive at once unless drop discards them.
type cluster struct {
	t       *testing.T
	now     time.Duration
	watches map[string]*Detector // by address, which equals the name
	rnd     *rand.Rand
	drop    func(from, to string) bool
}

func newCluster(t *testing.T, n int) *cluster {
	b := &cluster{
		t:       t,
		now:     testStart,
		watches: make(map[string]*Detector),
		rnd:     rand.New(rand.NewPCG(1, 1)),
		drop:    func(string, string) bool { return false },
	}
	for i := range n {
		b.join(fmt.Sprint("box-", i))
	}
	return b
}

func (b *cluster) join(name string) *Detector {
	w := NewDetector(name)
	b.watches[name] = w
	return w
}

func (b *cluster) sendDue(name string) {
	b.deliver(name, b.watches[name].Due(b.others(name), b.now, b.rnd.IntN))
}

// names returns the running boxes in order, so that a seed determines the run.
func (b *cluster) names() []string { return slices.Sorted(maps.Keys(b.watches)) }

func (b *cluster) others(name string) []Box {
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

func (b *cluster) deliver(from string, list []Packet) {
	for _, p := range list {
		to := b.watches[p.Addr]
		if to == nil || b.drop(from, p.Addr) {
			continue
		}
		answers, news := to.Receive(p.Buf, from, b.now)
		b.deliver(p.Addr, answers)
		if news {
			b.sendDue(p.Addr)
		}
	}
}

func (b *cluster) run(d time.Duration) {
	for until := b.now + d; b.now < until; b.now += 250 * time.Millisecond {
		for _, name := range b.names() {
			b.sendDue(name)
		}
	}
}

func (b *cluster) crash(name, replica string, d Digest) {
	b.now += 2 * jointCrashWindow // keeps the crashes from being joint ones
	w := b.watches[name]
	w.Interrupted(replica, d, sentBefore, b.now)
	w.Crashed(replica, b.now)
	b.sendDue(name)
}

func (b *cluster) countQuarantined(d Digest) (n int) {
	for _, w := range b.watches {
		if _, quarantined := w.Quarantined(d, b.now); quarantined {
			n++
		}
	}
	return n
}
