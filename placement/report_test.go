package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/placement"
)

func (b *box) recordReport(replica string, requests, waiting int, at time.Duration) bool {
	return b.RecordReport(replica, placement.LoadReport{
		Requests: requests,
		Waiting:  waiting,
		Tokens:   1000 * requests,
		At:       at,
	})
}

// loadOf returns the load that Pick reads for a replica.
func (b *box) loadOf(replica string, now time.Duration) placement.Load {
	req := newSharedRequest("part", "request")
	for n := range 1000 {
		req.Key = fmt.Sprint(replica, n)
		c := b.Pick(req, alone, now)
		b.End(&c, placement.Abandoned, 0, now)
		if c.Incarnation == replica {
			return c.Load
		}
	}
	return placement.Load{}
}

func TestALoadIsTheLastReportAndTheRequestsSentSince(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 1)...)
	b.UseReports(true, 32)
	is.True(b.recordReport("engine-0", 3, 1, start))
	is.Equal(b.loadOf("engine-0", start+time.Millisecond).Requests, 3)
	c := b.Pick(newSharedRequest("part", "k"), alone, start+2*time.Millisecond)
	is.True(b.loadOf("engine-0", start+3*time.Millisecond).Requests >= 4) // not in the report yet
	is.True(!b.recordReport("engine-0", 9, 0, start))                     // not newer
	is.True(!b.recordReport("other", 9, 0, start+time.Second))
	is.True(b.recordReport("engine-0", 2, 0, start+100*time.Millisecond))
	is.Equal(b.loadOf("engine-0", start+101*time.Millisecond).Requests, 2) // included in the report
	b.End(&c, placement.Answered, time.Millisecond, start+102*time.Millisecond)
	is.Equal(b.loadOf("engine-0", start+10*time.Second).Requests, 0) // expired
}

func TestFreshReportsAreSortedLatestFirst(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 3)...)
	b.recordReport("engine-0", 1, 0, start)
	b.recordReport("engine-1", 2, 0, start+2*time.Second)
	b.recordReport("engine-2", 3, 0, start+time.Second)
	list := b.BusyReports(start + 4500*time.Millisecond)
	is.Equal(len(list), 2)
	is.Equal(list[0].Replica, "engine-1")
	is.Equal(list[1].Requests, 3)
}

// Guards against boxes that all choose the engine with the lowest report until the next one
// arrives.
func TestAnIdleEngineIsNoBetterThanTheMean(t *testing.T) {
	is := is.New(t)
	all := replicas("engine", 40)
	b := newBox("a", "hall", all...)
	b.UseReports(true, 32)
	for n, r := range all {
		load := 6
		switch n {
		case 0:
			load = 0
		case 1:
			load = 8
		}
		b.recordReport(r.ID, load, 0, start)
	}
	got := make(map[string]int)
	for n := range 400 {
		c := b.Pick(newRequest("engine", fmt.Sprint("key-", n)), alone, start+time.Millisecond)
		got[c.Incarnation]++
		b.End(&c, placement.Answered, time.Millisecond, start+time.Millisecond)
		b.recordReport(c.Incarnation, 6, 0, start+time.Millisecond+time.Duration(n))
	}
	is.True(got["engine-0"] <= 40) // four times its share, not all
	is.True(got["engine-1"] <= 10) // above the mean
}

func TestARegionWhoseSlotsAreTakenIsBusy(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 4)...)
	b.UseReports(true, 32)
	for n := range 4 {
		b.recordReport(fmt.Sprint("engine-", n), 6, 0, start)
	}
	is.Equal(b.Estimate(newRequest("engine", "k"), alone, start+time.Millisecond).Utilization, 0.75) // of eight slots
	is.Equal(b.Estimate(newRequest("plain", "k"), alone, start+time.Millisecond).Utilization, 0.0)
}

func TestAnEngineUnresponsiveToAnotherBoxIsEjectedUnlessItRespondsHere(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 2)...)
	b.UseReports(true, 32)
	silent := placement.LoadReport{
		Unresponsive: true,
		At:           start,
	}
	is.True(b.RecordReport("engine-0", silent))
	is.Equal(b.TakeChanges(), []placement.Change{{Subject: "engine-0", Reason: "doesn't answer a box"}})
	for n := range 20 {
		c := b.Pick(newRequest("engine", fmt.Sprint(n)), alone, start+time.Millisecond)
		is.Equal(c.Incarnation, "engine-1")
		b.End(&c, placement.Answered, time.Millisecond, start+time.Millisecond)
	}
	is.Equal(b.Estimate(newRequest("engine", "k"), alone, start+time.Second).Usable, 1)
	is.Equal(b.Estimate(newRequest("engine", "k"), alone, start+3*time.Second).Usable, 2) // the report is too old
	silent.At = start + 4*time.Second
	req := newRequest("engine", "k")
	req.Tried = []string{"engine-1"}
	c := b.Pick(req, alone, silent.At-time.Millisecond)
	is.Equal(c.Incarnation, "engine-0")
	b.RecordReport("engine-0", silent)
	b.RecordFirstByte(&c, time.Millisecond, silent.At+time.Millisecond)
	is.Equal(b.Estimate(newRequest("engine", "k"), alone, silent.At+2*time.Millisecond).Usable, 2) // only the other box gets no response
	is.True(b.recordReport("engine-0", 1, 0, silent.At+time.Second))
	is.Equal(len(b.TakeChanges()), 1)
}
