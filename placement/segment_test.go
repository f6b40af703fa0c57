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
func sentSegments(b *box, now time.Duration) map[string][]placement.PartKey {
	out := make(map[string][]placement.PartKey)
	for _, l := range b.Tell(now) {
		if len(l.Kept) > 0 {
			out[l.Replica] = l.Kept
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
	small.Parts[0].Tokens = 100
	b.Pick(small, alone, start+time.Second) // too short to report
	is.Equal(sentSegments(b, start+time.Second), map[string][]placement.PartKey{
		"engine-0": {placement.KeyOf("manual")},
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
	is.Equal(got[31], placement.KeyOf("manual-39"))
}

func TestAPromptGoesOrIsCopiedFromWhereAnotherBoxSentIt(t *testing.T) {
	is := is.New(t)
	all := replicas("engine", 3)
	b := newBox("a", "hall", all...)
	b.SetTable(catalog.NewTable(copyPolicy(fastLink)))
	first := b.Pick(newSharedRequest("manual", "r-1"), alone, start)
	other := (int(first.Replica[len("engine-")]-'0') + 1) % len(all)
	b = newBox("a", "hall", all...)
	b.SetTable(catalog.NewTable(copyPolicy(fastLink)))
	b.Told("b", []placement.OwnLoad{{
		Replica: all[other].ID,
		Kept:    []placement.PartKey{placement.KeyOf("manual")},
	}}, start)
	at := start + time.Second
	is.Equal(b.pickAndEnd(newSharedRequest("manual", "r-2"), at).Replica, all[other].ID) // not the preferred one
	b.addPeerLoad(all[other].ID, at)
	spilled := b.pickAndEnd(newSharedRequest("manual", "r-3"), at)
	is.True(spilled.Replica != all[other].ID)
	is.Equal(spilled.CopyFrom, all[other].Addr)
}

func TestPeerSegmentsExpire(t *testing.T) {
	is := is.New(t)
	all := replicas("engine", 1)
	b := newBox("a", "hall", all...)
	b.Told("b", []placement.OwnLoad{{
		Replica: all[0].ID,
		Kept:    []placement.PartKey{placement.KeyOf("manual")},
	}}, start)
	is.Equal(b.Outlook(newSharedRequest("manual", "r-1"), alone, start).Unsent, 0)
	is.Equal(b.Outlook(newSharedRequest("other", "r-1"), alone, start).Unsent, shared)
	is.Equal(b.Outlook(newSharedRequest("manual", "r-1"), alone, start+20*time.Second).Unsent, shared)
	all[0].ColdLeft = 1000
	all[0].Revision = 2
	b.publish(start, nil, all...)
	is.Equal(b.Outlook(newSharedRequest("manual", "r-1"), alone, start).Unsent, shared) // a cold replica has none cached
}
