package quota

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"

	"github.com/havenrudder/havenrudder/catalog"
)

func ExampleCost() {
	q := catalog.Quota{
		Unit:  catalog.Tokens,
		Plain: 200,
	}
	fmt.Println(Cost(q, 1540), Cost(q, 0), Cost(catalog.Quota{Unit: catalog.Requests}, 1540))
	// Output: 1540 200 1
}

// round returns what a bank knows that has the whole quota of one box.
func round(t Terms) Round {
	return Round{
		Terms: func(string) (Terms, bool) { return t, true },
		Share: func(string, float64, float64) float64 { return 1 },
		Known: 1,
		Draw:  func() float64 { return 0 },
	}
}

// A bank is asked in any order for anything: what it grants in a window is what comes in, the
// burst, and one request.
func TestABankGrantsNoMoreThanComesInAndOneRequest(t *testing.T) {
	const window = 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{
			PerSecond: rapid.Float64Range(1, 1000).Draw(t, "rate"),
			Burst:     rapid.Float64Range(0, 1000).Draw(t, "burst"),
		}
		b := NewBank()
		type granted struct {
			at    time.Duration
			units float64
		}
		var list []granted
		now, longest := time.Duration(0), 0.0
		for range rapid.IntRange(1, 200).Draw(t, "asks") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause"))
			a := Ask{
				Organisation: "org",
				Need:         rapid.Float64Range(0, 500).Draw(t, "need"),
				Ahead:        rapid.Float64Range(0, 500).Draw(t, "ahead"),
			}
			a.Asked = a.Need
			longest = max(longest, a.Need)
			for _, g := range b.Grant("box", []Ask{a}, round(terms), now) {
				list = append(list, granted{
					at:    now,
					units: g.Units,
				})
			}
		}
		most := max(terms.Burst, terms.PerSecond*aheadFor.Seconds())
		for i := range list {
			sum := 0.0
			for _, g := range list[i:] {
				if g.at <= list[i].at+window {
					sum += g.units
				}
			}
			if bound := terms.PerSecond*window.Seconds() + most + longest; sum > bound+0.001 {
				t.Fatalf("%.1f units within a window, %.1f may be", sum, bound)
			}
		}
	})
}

// Boxes that don't agree on who is the bank, each in its own view, get what one bank would give.
func TestBanksOfWhichBoxesDontAgreeGiveTheirParts(t *testing.T) {
	is := is.New(t)
	terms := Terms{
		PerSecond: 100,
	}
	r := round(terms)
	r.Known = 10
	sum := 0.0
	for bank := range 4 { // of 4, 3, 2 and 1 boxes
		b := NewBank()
		for at := time.Duration(0); at < 10*time.Second; at += 100 * time.Millisecond {
			for box := range 4 - bank {
				for _, g := range b.Grant(fmt.Sprint(box), []Ask{{Organisation: "org", Need: 1, Asked: 1}}, r, at) {
					sum += g.Units
				}
			}
		}
	}
	is.True(sum > 900)
	is.True(sum < 1100)
}

func TestABankThatHasJustBecomeOneDoesNotGiveTheBurstAnew(t *testing.T) {
	is := is.New(t)
	terms := Terms{
		PerSecond: 10,
		Burst:     1000,
	}
	b := NewBank()
	need := []Ask{{
		Organisation: "org",
		Need:         100,
	}}
	is.Equal(b.Grant("box", need, round(terms), time.Minute)[0].Units, 100.0) // one request
	g := b.Grant("box", need, round(terms), time.Minute+time.Second)[0]
	is.Equal(g.Units, 0.0)
	is.True(g.Wait.Duration() >= 8*time.Second || g.Wait.Duration() == longWait)
}

func TestSharesOfRegionsThatHearEachOtherAddUp(t *testing.T) {
	regions := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 3000).Draw(t, "rate")
		demand := make(map[string]map[string]float64)
		for _, r := range regions {
			demand[r] = map[string]float64{"org": rapid.Float64Range(0, 1000).Draw(t, r)}
		}
		cut := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "cut off")
		sum := 0.0
		for _, self := range regions {
			s := NewShares(self, regions)
			for _, other := range regions {
				s.Hear(other, demand[other], 0)
			}
			s.Agree(demand[self], func(string) float64 { return rate })
			now := 10 * time.Second
			for _, other := range regions {
				if other != self && self != cut && other != cut {
					s.Hear(other, demand[other], now)
				}
			}
			sum += s.Of("org", rate, demand[self]["org"], now)
		}
		if sum > 1.0001 || sum < 0.999 {
			t.Fatalf("shares add up to %f while %q is cut off", sum, cut)
		}
	})
}

func TestAPurseAsksOnceForRequestsThatCrowd(t *testing.T) {
	is := is.New(t)
	asked := 0
	now := time.Second
	p := NewPurse(func(_ context.Context, a Ask) (Grant, bool) {
		asked++
		return Grant{
			Organisation: a.Organisation,
			Wait:         1000,
			Again:        100,
		}, true
	}, func() time.Duration { return now })
	for range 10 {
		wait, ok := p.Take(context.Background(), "org", 5)
		is.True(!ok)
		is.Equal(wait, time.Second)
	}
	is.Equal(asked, 1)
	now += 100 * time.Millisecond
	_, ok := p.Take(context.Background(), "org", 5)
	is.True(!ok)
	is.Equal(asked, 2)
}

func TestCreditThatWasNotUsedIsGivenUpAndWhatDidNotRunIsReturned(t *testing.T) {
	is := is.New(t)
	now := time.Second
	granted := 0.0
	p := NewPurse(func(_ context.Context, a Ask) (Grant, bool) {
		return Grant{
			Organisation: a.Organisation,
			Units:        granted,
			Wait:         100,
			Again:        20,
		}, true
	}, func() time.Duration { return now })
	p.Granted(Grant{Organisation: "org", Units: 10})
	_, ok := p.Take(context.Background(), "org", 10)
	is.True(ok)
	p.Return("org", 10)
	_, ok = p.Take(context.Background(), "org", 10)
	is.True(ok)
	p.Return("org", 10)
	now += creditFor + 1
	_, ok = p.Take(context.Background(), "org", 10)
	is.True(!ok)
}
