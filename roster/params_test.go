package roster

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/wire"
)

func TestFewBoxesSendFullStatuses(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{1, 2, 8, 9, 12, 18, 24} {
		p := paramsFor((n+2)/3-1, min(2, n-1), n)
		is.True(p.fullStatus)
		is.Equal(p.nearTimeout, aliveTimeout)
		is.Equal(p.regionTimeout, aliveTimeout)
	}
}

func TestManyBoxesKeepTheBudget(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{30, 64, 86} {
		p := paramsFor(n/3, 2, n)
		is.True(!p.fullStatus)
		is.True(p.bytesPerSecond <= minBytesPerSecond*math.Pow(390/float64(n), budgetExponent)+1)
	}
	for _, n := range []int{390, 1000} {
		p := paramsFor(n/11, 10, n)
		is.Equal(p.bytesPerSecond, float64(minBytesPerSecond))
	}
}

func TestTheTimeoutsStayWithinTheirLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 1000).Draw(t, "boxes")
		regions := rapid.IntRange(1, 11).Draw(t, "regions")
		p := paramsFor(n/regions, regions-1, n)
		if p.nearTimeout < aliveTimeout || p.nearTimeout > maxAliveTimeout || p.regionTimeout > maxAliveTimeout {
			t.Fatalf("%+v", p)
		}
		if p.nearInterval < Tick || p.bytesPerSecond < minBytesPerSecond {
			t.Fatalf("%+v", p)
		}
	})
}

func TestATickSpendsNoMoreThanTheBudget(t *testing.T) {
	is := is.New(t)
	tab := New(status("a", "north", 1, 0))
	receiveHeartbeats(tab, "north", 60, 0)
	receiveHeartbeats(tab, "south", 60, 0)
	spent := 0
	const seconds = 20
	for i := range seconds * int(time.Second/Tick) {
		now := time.Duration(i) * Tick
		receiveHeartbeats(tab, "north", 60, now)
		receiveHeartbeats(tab, "south", 60, now)
		for _, p := range tab.Gossip(fullStatus("a", 2, 40), now, pickFirst) {
			spent += len(p.Buf) + packetHeaderBytes
		}
	}
	is.True(!tab.FullStatusMode())
	is.True(spent > 0)
	is.True(float64(spent) <= (seconds+1)*tab.params.bytesPerSecond)
}

// largeTable returns a table of so many boxes that they send compact datagrams.
func largeTable(now time.Duration) *Table {
	tab := New(status("a", "north", 1, 0))
	receiveHeartbeats(tab, "north", 60, now)
	receiveHeartbeats(tab, "south", 60, now)
	tab.BeginTick(now)
	return tab
}

// heartbeat returns a compact datagram without lists.
func heartbeat(box string, beat uint16) Compact {
	return Compact{
		From: LivenessEntry{
			ID:  IDOf(box, 1),
			Seq: beat,
		},
		State: wire.ServingStateServing,
	}
}

func TestADeathDeclaredByItsRegionHoldsUntilALaterHeartbeat(t *testing.T) {
	is := is.New(t)
	tab := largeTable(0)
	const now = 7 * time.Second
	dead := LivenessEntry{
		ID:  IDOf("south-01", 1),
		Seq: 1,
		Age: now,
	}
	report := heartbeat("south-02", 9)
	report.Dead = []LivenessEntry{dead}
	tab.ReceiveCompact(report, "south-02:1", now)
	is.True(!tab.Alive("south-01", now))
	is.True(tab.Alive("south-02", now))
	is.True(tab.Alive("south-03", now)) // its region is reachable and doesn't declare it dead

	late := heartbeat("south-02", 10)
	late.Liveness = []LivenessEntry{{ID: dead.ID, Seq: 2, Age: now - time.Second}} // received by few boxes, just before the death
	tab.ReceiveCompact(late, "south-02:1", now)
	is.True(!tab.Alive("south-01", now))

	tab.ReceiveCompact(heartbeat("south-01", 3), "south-01:1", now)
	is.True(tab.Alive("south-01", now))
	report.From.Seq = 11
	tab.ReceiveCompact(report, "south-02:1", now) // from a box that missed the later heartbeat
	is.True(tab.Alive("south-01", now))
}

func TestASilentRegionIsDeadButStillCountsForQuotas(t *testing.T) {
	is := is.New(t)
	tab := largeTable(0)
	tab.BeginTick(maxAliveTimeout)
	is.True(tab.Alive("south-01", maxAliveTimeout))
	const now = maxAliveTimeout + Tick
	tab.BeginTick(now)
	is.True(!tab.Alive("south-01", now))
	is.Equal(len(tab.Serving("south", now)), 0)
	for _, m := range tab.Members() {
		is.True(now-m.LastAlive < partitionWindow)
	}
}

func TestTheStatusOfAnUnknownBoxIsRequestedAndRecorded(t *testing.T) {
	is := is.New(t)
	asker, informed := largeTable(0), largeTable(0)
	informed.setSelf(status("b", "south", 1, 1))
	informed.Receive(status("new", "south", 1, 1), true, 0)
	asker.Receive(status("b", "south", 1, 1), true, 0)
	b := heartbeat("b", 2)
	b.Liveness = []LivenessEntry{{ID: IDOf("new", 1), Seq: 1}}
	h := asker.ReceiveCompact(b, "b:1", 0)
	is.Equal(len(h.Replies), 1)
	is.Equal(h.Replies[0].Addr, "b:1")
	q, err := DecodeCompact(h.Replies[0].Buf)
	is.NoErr(err)
	answers := informed.ReceiveCompact(q, "c:1", 0).Replies
	found := false
	for _, p := range answers {
		if IsCompact(p.Buf) {
			continue
		}
		g, err := Decode(p.Buf)
		is.NoErr(err)
		for _, s := range g.Others {
			asker.Receive(s, false, 0)
			found = found || s.Box == "new"
		}
	}
	is.True(found)
	is.True(asker.Alive("new", 0))
	is.Equal(len(asker.ReceiveCompact(b, "b:1", 0).Replies), 0) // nothing is left to request
}

func TestAProbeIsAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	tab := largeTable(0)
	tab.setSelf(status("a", "north", 1, 5))
	b := heartbeat("north-01", 2)
	b.Probe = true
	h := tab.ReceiveCompact(b, "north-01:1", Tick)
	is.Equal(len(h.Replies), 1)
	got, err := DecodeCompact(h.Replies[0].Buf)
	is.NoErr(err)
	is.Equal(got.From.ID, IDOf("a", 1))
}

// Guards against boxes that receive no loads, as one of a region of two is counted as sent to.
func TestTheOtherBoxOfARegionOfTwoReceivesTheLoads(t *testing.T) {
	is := is.New(t)
	self := withLoad(status("a", "north", 1, 1), "r1")
	tab := New(self)
	receiveHeartbeats(tab, "north", 1, 0)
	for n := range 10 {
		receiveHeartbeats(tab, fmt.Sprint("south-", n), 4, 0)
	}
	tab.BeginTick(0)
	is.True(!tab.FullStatusMode())
	tab.CompactRound(self, 0, pickFirst) // grants the budget of a tick
	packets := tab.CompactLoads(self, 0, pickFirst)
	is.Equal(len(packets), 1)
	is.Equal(packets[0].Addr, "north-00:1")
	b, err := DecodeCompact(packets[0].Buf)
	is.NoErr(err)
	is.Equal(len(b.Loads), 1)
}

// Guards against liveness datagrams that exceed their size while boxes get to know each other.
func TestLivenessDatagramsFitAtTheStart(t *testing.T) {
	for _, near := range []int{1, 40, 95, 96, 120} {
		is := is.New(t)
		tab := New(status("a", "north", 1, 0))
		receiveHeartbeats(tab, "north", near, 0)
		for n := range 10 {
			receiveHeartbeats(tab, fmt.Sprint("south-", n), 40, 0)
		}
		now := 5 * time.Second
		receiveHeartbeats(tab, "north", near, now)
		for n := range 10 {
			receiveHeartbeats(tab, fmt.Sprint("south-", n), 20, now)
		}
		for n := range 30 {
			tab.records[fmt.Sprintf("south-0-%02d", n)].declaredDead = true
		}
		tab.BeginTick(now)
		is.True(!tab.FullStatusMode())
		b := tab.livenessDatagram(tab.recipients(now), now, false)
		is.True(len(b.Dead) > 0)
		is.True(len(b.encode()) <= datagramBytes)
	}
}

// Guards against boxes of one fleet of which some send full statuses and expect them of the others.
func TestBoxesOfRegionsOfAllSizesSendInTheSameForm(t *testing.T) {
	is := is.New(t)
	sizes := map[string]int{"large": 25, "small": 2, "smallest": 1}
	for region := range sizes {
		tab := New(status("a", region, 1, 0))
		for of, size := range sizes {
			if of == region {
				size-- // the box itself
			}
			receiveHeartbeats(tab, of, size, 0)
		}
		tab.BeginTick(0)
		is.True(!tab.FullStatusMode())
	}
}
