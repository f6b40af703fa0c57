package roster

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// probed returns the regions whose boxes the packets probe.
func probed(is *is.I, list []Packet) (regions []string) {
	is.Helper()
	for _, p := range list {
		if !IsCompact(p.Buf) {
			continue
		}
		b, err := DecodeCompact(p.Buf)
		is.NoErr(err)
		if region := strings.SplitN(p.Addr, "-", 2)[0]; b.Probe && !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	return regions
}

// probeOf returns a probe of a box that has been up for long.
func probeOf(box string) Compact {
	b := heartbeat(box, 2)
	b.Probe = true
	b.UpMs = int(time.Minute.Milliseconds())
	return b
}

// Guards against boxes of other regions that a box learns of late, when all have started at once.
func TestABoxThatHasJustStartedProbesAllRegions(t *testing.T) {
	is := is.New(t)
	now := startupProbeTime - Tick
	tab := largeTable(now)
	tab.compact.budget = -1e6 // spent on the statuses of others
	is.Equal(probed(is, tab.Gossip(fullStatus("a", 2, 40), now, pickFirst)), []string{"north", "south"})
}

func TestABoxThatHasBeenUpForLongProbesNoRegionThatIsReachable(t *testing.T) {
	is := is.New(t)
	now := startupProbeTime
	tab := largeTable(now)
	is.Equal(len(probed(is, tab.Gossip(fullStatus("a", 2, 40), now, pickFirst))), 0)
}

func TestAProbeOfAnotherRegionIsAnsweredWithAllBoxesOfTheOwn(t *testing.T) {
	is := is.New(t)
	tab := largeTable(0)
	entries := 0
	for _, p := range tab.ReceiveCompact(probeOf("south-00"), "south-00:1", 0).Replies {
		b, err := DecodeCompact(p.Buf)
		is.NoErr(err)
		entries += len(b.Liveness)
	}
	is.Equal(entries, 60)
}

func TestAProbeOfTheOwnRegionIsAnsweredBriefly(t *testing.T) {
	is := is.New(t)
	tab := largeTable(0)
	replies := tab.ReceiveCompact(probeOf("north-00"), "north-00:1", 0).Replies
	is.Equal(len(replies), 1)
	b, err := DecodeCompact(replies[0].Buf)
	is.NoErr(err)
	is.Equal(len(b.Liveness), 0)
}

// Guards against boxes that are listed late, as a lost status is requested once and the request or its answer is
// lost too.
func TestAStatusThatDidNotComeIsRequestedOfTwoBoxes(t *testing.T) {
	is := is.New(t)
	tab := largeTable(0)
	requests := func(from string, beat uint16, at time.Duration) (n int) {
		b := heartbeat(from, beat)
		b.Liveness = []LivenessEntry{{ID: IDOf("south-99", 1), Seq: 1}}
		for _, p := range tab.ReceiveCompact(b, from+":1", at).Replies {
			q, err := DecodeCompact(p.Buf)
			is.NoErr(err)
			n += len(q.Requested)
		}
		return n
	}
	is.Equal(requests("south-00", 2, 0), 1)
	is.Equal(requests("south-01", 2, time.Millisecond), 0)
	again := statusRequestInterval
	is.Equal(requests("south-00", 3, again), 1)
	is.Equal(requests("south-00", 4, again+time.Millisecond), 0) // the same box
	is.Equal(requests("south-01", 3, again+2*time.Millisecond), 1)
	is.Equal(requests("south-02", 2, again+3*time.Millisecond), 0)
}

// Guards against statuses that each box sends to several others when all boxes start at once, although these have them
// or request them.
func TestChangesOfManyBoxesAreRelayedToFew(t *testing.T) {
	is := is.New(t)
	for _, changed := range []int{maxChangesPerTick, 3 * maxChangesPerTick} {
		tab := largeTable(time.Second)
		tab.compact.changed = nil
		for n := range changed {
			tab.compact.changed = append(tab.compact.changed, fmt.Sprintf("south-%02d", n))
		}
		copies := 0
		for _, p := range tab.CompactRound(fullStatus("a", 2, 40), time.Second, pickFirst) {
			if IsCompact(p.Buf) {
				continue
			}
			g, err := Decode(p.Buf)
			is.NoErr(err)
			copies += len(g.Others)
		}
		if changed > maxChangesPerTick {
			is.True(copies <= bulkChangeFanout*maxChangesPerTick)
			continue
		}
		is.Equal(copies, changeFanout*maxChangesPerTick)
	}
}
