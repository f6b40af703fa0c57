package quota

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"

	"github.com/havenrudder/havenrudder/catalog"
)

func ExampleCost() {
	q := catalog.Quota{
		Unit:          catalog.Tokens,
		DefaultTokens: 200,
	}
	requests := catalog.Quota{
		Unit: catalog.Requests,
	}
	fmt.Println(Cost(q, 1540), Cost(q, 0), Cost(requests, 1540))
	// Output: 1540 200 1
}

const testWindow = 8 * time.Second

func testRound(units float64, boxes int) GrantParams {
	return GrantParams{
		Terms: func(string) (Limit, bool) {
			return Limit{
				Units:  units,
				Window: testWindow,
			}, true
		},
		Shares:        NewRegionShares("a", []string{"a"}),
		BoxesInRegion: boxes,
		Random:        func() float64 { return 0 },
	}
}

func longRunningBox(name string) Requester {
	return Requester{
		Box:    name,
		Uptime: testWindow,
	}
}

type timedGrant struct {
	at    time.Duration
	units float64
}

// maxInWindow returns the maximum number of units granted in a window.
func maxInWindow(list []timedGrant) (out float64) {
	for i := range list {
		sum := 0.0
		for _, g := range list[i:] {
			if g.at <= list[i].at+testWindow {
				sum += g.units
			}
		}
		out = max(out, sum)
	}
	return out
}

// Guards against grants in one window that exceed the quota by more than one request.
func TestAnAllocatorGrantsNoMoreThanTheQuotaAndOneRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		units := rapid.Float64Range(1, 1000).Draw(t, "units")
		r := testRound(units, 1)
		b := NewAllocator()
		var list []timedGrant
		now, longest := time.Duration(0), 0.0
		for range rapid.IntRange(1, 200).Draw(t, "asks") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause"))
			a := CreditRequest{
				Organisation: "org",
				Need:         rapid.Float64Range(0, 500).Draw(t, "need"),
				Prefetch:     rapid.Float64Range(0, 500).Draw(t, "ahead"),
			}
			a.Demand = a.Need
			longest = max(longest, a.Need)
			for _, g := range b.Grant(longRunningBox("box"), []CreditRequest{a}, r, now) {
				list = append(list, timedGrant{
					at:    now,
					units: g.Units,
				})
			}
		}
		if got := maxInWindow(list); got > units+longest+0.001 {
			t.Fatalf("%.1f units within a window, want at most %.1f", got, units+longest)
		}
	})
}

// Guards against grants above the quota while boxes disagree on the allocator.
func TestAllocatorsOnWhichBoxesDisagreeGrantTheirAllocations(t *testing.T) {
	is := is.New(t)
	const units, boxes = 800, 10
	r := testRound(units, boxes)
	one := []CreditRequest{{
		Organisation: "org",
		Need:         1,
		Demand:       1,
	}}
	var list []timedGrant
	var allocators [4]*Allocator
	for at := time.Duration(0); at < 3*testWindow; at += 50 * time.Millisecond {
		for n := range allocators { // of 4, 3, 2 and 1 boxes
			if allocators[n] == nil {
				allocators[n] = NewAllocator()
			}
			for box := range len(allocators) - n {
				for _, g := range allocators[n].Grant(longRunningBox(fmt.Sprint(box)), one, r, at) {
					list = append(list, timedGrant{
						at:    at,
						units: g.Units,
					})
				}
			}
		}
	}
	got := maxInWindow(list)
	is.True(got > 0.9*units)
	is.True(got <= units+float64(len(allocators)))
}

func TestANewAllocatorAppliesTheUsageReportsOfBoxes(t *testing.T) {
	is := is.New(t)
	r := testRound(800, 1)
	b := NewAllocator()
	need := []CreditRequest{{
		Organisation: "org",
		Need:         100,
		Used:         790,
	}}
	is.Equal(b.Grant(longRunningBox("box"), need, r, time.Minute)[0].Units, 100.0) // one request
	need[0].Used = 890
	g := b.Grant(longRunningBox("box"), need, r, time.Minute+time.Second)[0]
	is.Equal(g.Units, 0.0)
	is.True(g.CallerRetryAfter > 0)
}

func TestAnAllocatorOfNewBoxesGrantsAsTheirWindowPasses(t *testing.T) {
	is := is.New(t)
	r := testRound(800, 1)
	b := NewAllocator()
	need := []CreditRequest{{
		Organisation: "org",
		Need:         100,
	}}
	grants := 0
	for at := time.Duration(0); at <= testWindow; at += 100 * time.Millisecond {
		fresh := Requester{
			Box:    "box",
			Uptime: at,
		}
		if b.Grant(fresh, need, r, time.Minute+at)[0].Units > 0 {
			grants++
		}
	}
	is.Equal(grants, 9) // one immediately and one per second
}

// Guards against grants above the quota while demand moves between reachable regions.
func TestRegionsTogetherGrantTheQuota(t *testing.T) {
	is := is.New(t)
	const units = 8000
	regions := []string{"a", "b", "c"}
	allocators := make(map[string]*Allocator)
	rounds := make(map[string]GrantParams)
	for _, region := range regions {
		allocators[region] = NewAllocator()
		r := testRound(units, 1)
		r.Shares = NewRegionShares(region, regions)
		rounds[region] = r
	}
	var list []timedGrant
	for at := time.Duration(0); at < 5*testWindow; at += 20 * time.Millisecond {
		if at%(500*time.Millisecond) == 0 {
			exchangeUsage(allocators, rounds, regions, at)
		}
		for i, region := range regions {
			asks := []CreditRequest{{
				Organisation: "org",
			}}
			if int(at/(3*time.Second))%3 == i { // the region of all callers
				asks[0].Need = 80 // four times the quota
				asks[0].Demand = 80
			}
			for _, g := range allocators[region].Grant(longRunningBox("box"), asks, rounds[region], at) {
				list = append(list, timedGrant{
					at:    at,
					units: g.Units,
				})
			}
		}
	}
	got := maxInWindow(list)
	is.True(got > 0.9*units)
	is.True(got < 1.2*units) // reports are one round old
}

// Guards against refusals within a raised quota until the next round of reports between regions.
func TestARaisedQuotaIsGrantedWithinTheRound(t *testing.T) {
	is := is.New(t)
	units := 9.0
	regions := []string{"a", "b", "c"}
	allocators := make(map[string]*Allocator)
	rounds := make(map[string]GrantParams)
	for _, region := range regions {
		allocators[region] = NewAllocator()
		r := testRound(0, 1)
		r.Terms = func(string) (Limit, bool) {
			return Limit{
				Units:  units,
				Window: testWindow,
			}, true
		}
		r.Shares = NewRegionShares(region, regions)
		rounds[region] = r
	}
	ask := func(at time.Duration) float64 {
		return allocators["a"].Grant(longRunningBox("box"), []CreditRequest{{
			Organisation: "org",
			Need:         200,
			Demand:       200,
		}}, rounds["a"], at)[0].Units
	}
	exchangeUsage(allocators, rounds, regions, 0)
	is.Equal(ask(0), 200.0) // a request may need more than the quota
	exchangeUsage(allocators, rounds, regions, time.Second)
	is.Equal(ask(time.Second), 0.0)
	units = 8e6
	for n := range 20 {
		is.Equal(ask(time.Second+time.Duration(n)*time.Millisecond), 200.0)
	}
	units = 9
	is.Equal(ask(time.Second+100*time.Millisecond), 0.0)
}

// Guards against grants above a quota that changes within rounds of reports between regions.
func TestRegionsTogetherGrantAChangingQuota(t *testing.T) {
	regions := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		quotas := rapid.SliceOfN(rapid.Float64Range(800, 8000), 2, 6).Draw(t, "quotas")
		changeAt := rapid.Int64Range(int64(100*time.Millisecond), int64(testWindow)).Draw(t, "between changes")
		units := 0.0
		allocators := make(map[string]*Allocator)
		rounds := make(map[string]GrantParams)
		for _, region := range regions {
			allocators[region] = NewAllocator()
			r := testRound(0, 1)
			r.Terms = func(string) (Limit, bool) {
				return Limit{
					Units:  units,
					Window: testWindow,
				}, true
			}
			r.Shares = NewRegionShares(region, regions)
			rounds[region] = r
		}
		var list []timedGrant
		for at := time.Duration(0); at < 3*testWindow; at += 20 * time.Millisecond {
			units = quotas[int(int64(at)/changeAt)%len(quotas)]
			if at%(500*time.Millisecond) == 0 {
				exchangeUsage(allocators, rounds, regions, at)
			}
			for _, region := range regions {
				for _, g := range allocators[region].Grant(longRunningBox("box"), []CreditRequest{{
					Organisation: "org",
					Need:         20,
					Demand:       20,
				}}, rounds[region], at) {
					if at < time.Second {
						continue // until the regions know each other's demand
					}
					list = append(list, timedGrant{
						at:    at,
						units: g.Units,
					})
				}
			}
		}
		if got, most := maxInWindow(list), slices.Max(quotas); got > 1.2*most+60 { // reports are one round old, and each region grants a whole request
			t.Fatalf("%.0f units within a window, want at most those of %.0f", got, most)
		}
	})
}

func exchangeUsage(banks map[string]*Allocator, rounds map[string]GrantParams, regions []string, at time.Duration) {
	for _, region := range regions {
		for _, other := range regions {
			if other != region {
				rounds[region].Shares.RecordReport(other, banks[other].Usage(at), at, at)
			}
		}
		rounds[region].Shares.EndRound()
	}
}

func TestSharesOfRegionsAddUp(t *testing.T) {
	regions := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 3000).Draw(t, "rate")
		limit := Limit{
			Units:  rate * testWindow.Seconds(),
			Window: testWindow,
		}
		demand := make(map[string]map[string]Usage)
		for _, r := range regions {
			demand[r] = map[string]Usage{
				"org": {
					Demand: rapid.Float64Range(0, 1000).Draw(t, r),
				},
			}
		}
		cut := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "cut off")
		sum := 0.0
		for _, self := range regions {
			s := NewRegionShares(self, regions)
			for _, other := range regions {
				s.RecordReport(other, demand[other], 0, 0)
			}
			s.RecordAgreedShares(demand[self], func(string) float64 { return rate })
			now := 10 * time.Second
			for _, other := range regions {
				if other != self && self != cut && other != cut {
					s.RecordReport(other, demand[other], now, now)
				}
			}
			sum += s.Of("org", limit, demand[self]["org"].Demand, now).Of
		}
		if sum > 1.0001 || sum < 0.999 {
			t.Fatalf("shares add up to %f while %q is cut off", sum, cut)
		}
	})
}

func TestACreditPoolAppliesARefusalToFurtherRequests(t *testing.T) {
	is := is.New(t)
	asked := 0
	now := time.Second
	p := NewCreditPool(testWindow, func(_ context.Context, a CreditRequest) (Grant, bool) {
		asked++
		return Grant{
			Organisation:     a.Organisation,
			CallerRetryAfter: 1000,
			RetryAfter:       100,
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

func TestUnusedCreditExpiresAndUnusedCostsAreRefunded(t *testing.T) {
	is := is.New(t)
	now := time.Second
	granted := 0.0
	p := NewCreditPool(testWindow, func(_ context.Context, a CreditRequest) (Grant, bool) {
		return Grant{
			Organisation:     a.Organisation,
			Units:            granted,
			CallerRetryAfter: 100,
			RetryAfter:       20,
		}, true
	}, func() time.Duration { return now })
	p.AddGrant(Grant{
		Organisation: "org",
		Units:        10,
	})
	_, ok := p.Take(context.Background(), "org", 10)
	is.True(ok)
	p.Refund("org", 10)
	_, ok = p.Take(context.Background(), "org", 10)
	is.True(ok)
	p.Refund("org", 10)
	now += creditTTL + 1
	_, ok = p.Take(context.Background(), "org", 10)
	is.True(!ok)
}

// Guards against demand that allocators never receive, since the request that reported it had no answer.
func TestDemandWithoutAnAnswerIsReportedAgain(t *testing.T) {
	anyOrganisation := func(string) bool { return true }
	newPool := func() *CreditPool {
		return NewCreditPool(testWindow, func(context.Context, CreditRequest) (Grant, bool) {
			return Grant{}, false
		}, func() time.Duration { return time.Second })
	}
	t.Run("of a waiting request", func(t *testing.T) {
		is := is.New(t)
		p := newPool()
		_, ok := p.Take(context.Background(), "org", 5)
		is.True(!ok)
		due := p.DueRequests(anyOrganisation)
		is.Equal(len(due), 1)
		is.Equal(due[0].Demand, 5.0)
	})
	t.Run("of a request in advance", func(t *testing.T) {
		is := is.New(t)
		p := newPool()
		_, _ = p.Take(context.Background(), "org", 5)
		p.AddGrants(p.DueRequests(anyOrganisation), nil)
		due := p.DueRequests(anyOrganisation)
		is.Equal(due[0].Demand, 5.0)
		p.AddGrants(due, []Grant{{
			Organisation: "org",
		}})
		is.Equal(p.DueRequests(anyOrganisation)[0].Demand, 0.0)
	})
}

// Guards against usage that a box does not report, since the refund of an earlier request outlasts what it
// refunds. A new allocator grants that usage again.
func TestARefundReducesNoUsageOfLaterRequests(t *testing.T) {
	is := is.New(t)
	now := time.Second
	p := NewCreditPool(testWindow, func(_ context.Context, a CreditRequest) (Grant, bool) {
		return Grant{
			Organisation: a.Organisation,
		}, true
	}, func() time.Duration { return now })
	p.AddGrant(Grant{
		Organisation: "org",
		Units:        20,
	})
	_, ok := p.Take(t.Context(), "org", 10)
	is.True(ok)
	now += creditTTL / 2
	p.Refund("org", 10)
	_, ok = p.Take(t.Context(), "org", 10)
	is.True(ok)
	now += testWindow - creditTTL/4 // the first request has left the window, the second one has not
	for _, a := range p.DueRequests(func(string) bool { return true }) {
		is.Equal(a.Used, 10.0)
	}
}

// Guards against credit for parts of requests, which expires at boxes that receive few of them.
func TestABoxWithFewRequestsKeepsNoCreditForParts(t *testing.T) {
	is := is.New(t)
	now := time.Second
	asked := 0.0
	p := NewCreditPool(testWindow, func(_ context.Context, a CreditRequest) (Grant, bool) {
		asked += a.Need + a.Prefetch
		return Grant{
			Organisation: a.Organisation,
			Units:        a.Need + a.Prefetch,
		}, true
	}, func() time.Duration { return now })
	for range 5 {
		_, ok := p.Take(context.Background(), "org", 100)
		is.True(ok)
		for _, a := range p.DueRequests(func(string) bool { return true }) {
			asked += a.Prefetch
		}
		now += 2 * time.Second
	}
	is.Equal(asked, 500.0)
}
