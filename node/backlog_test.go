package node

import (
	"cmp"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/havenrudder/havenrudder/roster"
)

const backlog = 4 * time.Second // that datagrams wait in a box whose processor or link is behind

// A box whose processor was full for 4 s ("66: 19, 67: 18, 68: 19, 69: 19" percent, of 19.2)
// takes datagrams from its queue seconds after they came. It reckons the age of what others
// know from the moment at which it handles them, so it thinks its own knowledge young and doesn't
// read for itself, though the listing would answer it and no watcher is lost.
func TestABoxThatHandlesDatagramsLateReadsInTime(t *testing.T) {
	first := cmp.Or(*firstSeed, 2)
	for seed := first; seed < first+*seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { behindWithDatagrams(t, seed) })
		})
	}
}

func behindWithDatagrams(t *testing.T, seed uint64) {
	f := newSimulation(t.Context(), seed, 60)
	defer f.end()
	var behind *simBox
	for _, b := range f.boxes {
		n := b.node.Load()
		deliver := n.deliver
		n.deliver = func(p roster.Packet) {
			if behind == nil || f.byAddr[p.Addr] != behind {
				deliver(p)
				return
			}
			f.later(backlog, func() { deliver(p) })
		}
	}
	f.pass(settleTime)
	for _, b := range f.boxes {
		if b.node.Load().follows.Load() {
			behind = b
			break
		}
	}
	f.pass(2 * backlog)
	f.remove(12)
	f.pass(settleTime)
	f.report(t)
}
