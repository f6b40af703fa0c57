package node

import (
	"cmp"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/havenrudder/havenrudder/roster"
)

const backlog = 4 * time.Second // delay of datagrams in a box whose processor or link is overloaded

// Guards against an overloaded follower that handles datagrams late, considers its catalog recent
// and doesn't read it.
func TestABoxThatHandlesDatagramsLateReadsInTime(t *testing.T) {
	first := cmp.Or(*firstSeed, 2)
	for seed := first; seed < first+*seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runWithDatagramBacklog(t, seed) })
		})
	}
}

func runWithDatagramBacklog(t *testing.T, seed uint64) {
	f := newSimulation(t.Context(), seed, 60)
	defer f.end()
	var behind *simBox
	for _, b := range f.boxes {
		n := b.node.Load()
		deliver := n.sendPacket
		n.sendPacket = func(p roster.Packet) {
			if behind == nil || f.byAddr[p.Addr] != behind {
				deliver(p)
				return
			}
			f.later(backlog, func() { deliver(p) })
		}
	}
	f.pass(settleTime)
	for _, b := range f.boxes {
		if b.node.Load().isFollower.Load() {
			behind = b
			break
		}
	}
	f.pass(2 * backlog)
	f.remove(12)
	f.pass(settleTime)
	f.report(t)
}
