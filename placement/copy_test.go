package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/placement"
)

const fastLink = 400_000 // Mbit/s; a copy is much faster than prefill

// copyPolicy returns a policy with engines that copy cached segments over a link.
func copyPolicy(mbps float64) catalog.Policy {
	p := policy()
	p.Version = 2
	p.Services[0].Engine.CopiesCache = true
	p.Services[0].Engine.TokenBytes = 20_000
	p.Services[0].Engine.LinkMbps = mbps
	return p
}

// addPeerLoad records enough load of another box that the next request is sent to another
// replica.
func (b *box) addPeerLoad(replica string, now time.Duration) {
	b.RecordPeerLoads("b", []placement.OwnLoad{{
		Incarnation: replica,
		Load: placement.Load{
			Requests:       7,
			PendingPrefill: 40_000,
		},
	}}, now)
}

// pickAndEnd sends a request that is answered at once and returns the choice.
func (b *box) pickAndEnd(req placement.Request, now time.Duration) placement.Choice {
	c := b.Pick(req, alone, now)
	b.End(&c, placement.Answered, time.Millisecond, now)
	return c
}

func TestSharedPartsAreCopiedFromTheReplicaThatKeepsThem(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 3)...)
	b.SetTable(catalog.NewTable(copyPolicy(fastLink)))
	first := b.pickAndEnd(newSharedRequest("manual", "r-1"), start)
	is.Equal(first.CopyFrom, "") // none has them cached
	b.addPeerLoad(first.Incarnation, start)
	second := b.pickAndEnd(newSharedRequest("manual", "r-2"), start)
	is.True(second.Incarnation != first.Incarnation)
	is.Equal(second.CopyFrom, first.Addr)
	is.Equal(second.PrefillTokens, prompt-shared) // its shared segment is copied
	third := b.pickAndEnd(newSharedRequest("manual", "r-3"), start)
	is.Equal(third.CopyFrom, "") // the replica has them cached
}

func TestSharedPartsAreReadWhereACopyIsSlowerOrNotToBeHad(t *testing.T) {
	cases := map[string]func(p *catalog.Policy){
		"slow link":         func(p *catalog.Policy) { p.Services[0].Engine.LinkMbps = 10_000 },
		"no link":           func(p *catalog.Policy) { p.Services[0].Engine.LinkMbps = 0 },
		"no size of tokens": func(p *catalog.Policy) { p.Services[0].Engine.TokenBytes = 0 },
		"no copies":         func(p *catalog.Policy) { p.Services[0].Engine.CopiesCache = false },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := copyPolicy(fastLink)
			change(&p)
			b := newBox("a", "hall", replicas("engine", 3)...)
			b.SetTable(catalog.NewTable(p))
			first := b.pickAndEnd(newSharedRequest("manual", "r-1"), start)
			b.addPeerLoad(first.Incarnation, start)
			second := b.pickAndEnd(newSharedRequest("manual", "r-2"), start)
			is.True(second.Incarnation != first.Incarnation)
			is.Equal(second.CopyFrom, "")
			is.Equal(second.PrefillTokens, prompt)
		})
	}
}

func TestNothingIsCopiedFromAReplicaThatMayHaveCrashed(t *testing.T) {
	is := is.New(t)
	b := newBox("a", "hall", replicas("engine", 3)...)
	b.SetTable(catalog.NewTable(copyPolicy(fastLink)))
	first := b.pickAndEnd(newSharedRequest("manual", "r-1"), start)
	c := b.Pick(newSharedRequest("manual", "r-2"), alone, start)
	is.Equal(c.Incarnation, first.Incarnation)
	b.End(&c, placement.NoResponse, time.Millisecond, start)
	b.addPeerLoad(first.Incarnation, start)
	other := b.pickAndEnd(newSharedRequest("manual", "r-3"), start)
	is.True(other.Incarnation != first.Incarnation)
	is.True(other.CopyFrom != first.Addr)
}
