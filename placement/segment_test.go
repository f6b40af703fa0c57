package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/placement"
)

// sentSegments returns the segments by replica that a box reports to others.
func sentSegments(b *box, now time.Duration) map[string][]placement.SegmentKey {
	out := make(map[string][]placement.SegmentKey)
	for _, l := range b.OwnLoads(now) {
		if len(l.RecentSegments) > 0 {
			out[l.Incarnation] = l.RecentSegments
		}
	}
	return out
}

func TestABoxReportsRecentlySentSegments(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 1)...)
	b.Pick(newSharedRequest("manual", "r-1"), alone, start)
	b.Pick(newSharedRequest("manual", "r-2"), alone, start+time.Second)
	small := newSharedRequest("leaflet", "r-3")
	small.Segments[0].Tokens = 100
	b.Pick(small, alone, start+time.Second) // too short to report
	is.Equal(sentSegments(b, start+time.Second), map[string][]placement.SegmentKey{
		"engine-0": {placement.SegmentKeyOf("manual")},
	})
	is.Equal(len(sentSegments(b, start+5*time.Second)), 1)
	is.Equal(len(sentSegments(b, start+6*time.Second)), 0) // no longer gossiped
}

func TestABoxReportsOnlyTheNewestSegments(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 1)...)
	for n := range 40 {
		c := b.Pick(newSharedRequest(fmt.Sprint("manual-", n), "r"), alone, start)
		b.End(&c, placement.Answered, time.Millisecond, start)
	}
	got := sentSegments(b, start)["engine-0"]
	is.Equal(len(got), 32)
	is.Equal(got[31], placement.SegmentKeyOf("manual-39"))
}

func TestAPromptGoesOrIsCopiedFromWhereAnotherBoxSentIt(t *testing.T) {
	is := is.New(t)
	all := replicas("engine", 3)
	b := newBox("a", "hall", all...)
	b.SetTable(catalog.NewTable(copyPolicy(fastLink)))
	first := b.Pick(newSharedRequest("manual", "r-1"), alone, start)
	other := (int(first.Incarnation[len("engine-")]-'0') + 1) % len(all)
	b = newBox("a", "hall", all...)
	b.SetTable(catalog.NewTable(copyPolicy(fastLink)))
	b.RecordPeerLoads("b", []placement.OwnLoad{{
		Incarnation:    all[other].ID,
		RecentSegments: []placement.SegmentKey{placement.SegmentKeyOf("manual")},
	}}, start)
	at := start + time.Second
	is.Equal(b.pickAndEnd(newSharedRequest("manual", "r-2"), at).Incarnation, all[other].ID) // not the preferred one
	b.addPeerLoad(all[other].ID, at)
	spilled := b.pickAndEnd(newSharedRequest("manual", "r-3"), at)
	is.True(spilled.Incarnation != all[other].ID)
	is.Equal(spilled.CopyFrom, all[other].Addr)
}

func TestPeerSegmentsExpire(t *testing.T) {
	is := is.New(t)
	all := replicas("engine", 1)
	b := newBox("a", "hall", all...)
	b.RecordPeerLoads("b", []placement.OwnLoad{{
		Incarnation:    all[0].ID,
		RecentSegments: []placement.SegmentKey{placement.SegmentKeyOf("manual")},
	}}, start)
	is.Equal(b.Estimate(newSharedRequest("manual", "r-1"), alone, start).Uncached, 0)
	is.Equal(b.Estimate(newSharedRequest("other", "r-1"), alone, start).Uncached, shared)
	is.Equal(b.Estimate(newSharedRequest("manual", "r-1"), alone, start+20*time.Second).Uncached, shared)
	all[0].ColdRemaining = 1000
	all[0].Revision = 2
	b.publish(start, nil, all...)
	is.Equal(b.Estimate(newSharedRequest("manual", "r-1"), alone, start).Uncached, shared) // a cold replica has none cached
}
