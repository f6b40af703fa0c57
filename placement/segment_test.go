package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/placement"
)

// told returns the segments by replica that a box reports to others.
func told(b *box, now time.Duration) map[string][]placement.PartKey {
	out := make(map[string][]placement.PartKey)
	for _, l := range b.Tell(now) {
		if len(l.Kept) > 0 {
			out[l.Replica] = l.Kept
		}
	}
	return out
}

func TestABoxTellsWhichPromptsAReplicaWasGiven(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 1)...)
	b.Pick(askShared("manual", "r-1"), alone, start)
	b.Pick(askShared("manual", "r-2"), alone, start+time.Second)
	small := askShared("leaflet", "r-3")
	small.Parts[0].Tokens = 100
	b.Pick(small, alone, start+time.Second) // too short to report
	is.Equal(told(b, start+time.Second), map[string][]placement.PartKey{
		"engine-0": {placement.KeyOf("manual")},
	})
	is.Equal(len(told(b, start+5*time.Second)), 1)
	is.Equal(len(told(b, start+6*time.Second)), 0) // no longer gossiped
}

func TestABoxTellsTheNewestPromptsOnly(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 1)...)
	for n := range 40 {
		c := b.Pick(askShared(fmt.Sprint("manual-", n), "r"), alone, start)
		b.End(&c, placement.Answered, time.Millisecond, start)
	}
	got := told(b, start)["engine-0"]
	is.Equal(len(got), 32)
	is.Equal(got[31], placement.KeyOf("manual-39"))
}

func TestAPromptGoesOrIsCopiedFromWhereAnotherBoxSentIt(t *testing.T) {
	is := is.New(t)
	all := replicas("engine", 3)
	b := newBox("a", "hall", all...)
	b.SetTable(catalog.NewTable(copying(fastLink)))
	first := b.Pick(askShared("manual", "r-1"), alone, start)
	other := (int(first.Replica[len("engine-")]-'0') + 1) % len(all)
	b = newBox("a", "hall", all...)
	b.SetTable(catalog.NewTable(copying(fastLink)))
	b.Told("b", []placement.OwnLoad{{
		Replica: all[other].ID,
		Kept:    []placement.PartKey{placement.KeyOf("manual")},
	}}, start)
	at := start + time.Second
	is.Equal(b.picked(askShared("manual", "r-2"), at).Replica, all[other].ID) // not the preferred one
	b.crowd(all[other].ID, at)
	spilled := b.picked(askShared("manual", "r-3"), at)
	is.True(spilled.Replica != all[other].ID)
	is.Equal(spilled.CopyFrom, all[other].Addr)
}

func TestWhatWasToldOfAPromptIsForgotten(t *testing.T) {
	is := is.New(t)
	all := replicas("engine", 1)
	b := newBox("a", "hall", all...)
	b.Told("b", []placement.OwnLoad{{
		Replica: all[0].ID,
		Kept:    []placement.PartKey{placement.KeyOf("manual")},
	}}, start)
	is.Equal(b.Outlook(askShared("manual", "r-1"), alone, start).Unsent, 0)
	is.Equal(b.Outlook(askShared("other", "r-1"), alone, start).Unsent, shared)
	is.Equal(b.Outlook(askShared("manual", "r-1"), alone, start+20*time.Second).Unsent, shared)
	all[0].ColdLeft = 1000
	all[0].Revision = 2
	b.publish(start, nil, all...)
	is.Equal(b.Outlook(askShared("manual", "r-1"), alone, start).Unsent, shared) // a cold replica has none cached
}
