package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"
)

func needOf(units float64) []CreditRequest {
	return []CreditRequest{{
		Organisation: "org",
		Need:         units,
		Demand:       units,
	}}
}

// grantedBy returns the units that an allocator grants to a box that asks for one unit at a time.
func grantedBy(b *Allocator, from Requester, r GrantParams, most int, now time.Duration) (sum float64) {
	for range most {
		units := b.Grant(from, needOf(1), r, now)[0].Units
		if units == 0 {
			break
		}
		sum += units
	}
	return sum
}

// Guards against refusals of what has left the window, of which other regions hear a round of reports later.
func TestUnitsThatLeaveAWindowAreGrantedBeforeTheNextRound(t *testing.T) {
	is := is.New(t)
	const units = 800
	regions := []string{"a", "b"}
	allocators := make(map[string]*Allocator)
	rounds := make(map[string]GrantParams)
	for _, region := range regions {
		allocators[region] = NewAllocator()
		r := testRound(units, 1)
		r.Shares = NewRegionShares(region, regions)
		rounds[region] = r
	}
	at := time.Minute
	for ; at < time.Minute+testWindow-expiryPeriod; at += 100 * time.Millisecond {
		if at%(500*time.Millisecond) == 0 {
			exchangeUsage(allocators, rounds, regions, at)
		}
		for _, region := range regions {
			grantedBy(allocators[region], longRunningBox("box"), rounds[region], units, at)
		}
	}
	exchangeUsage(allocators, rounds, regions, at)
	full := grantedBy(allocators["a"], longRunningBox("box"), rounds["a"], units, at)
	later := grantedBy(allocators["a"], longRunningBox("box"), rounds["a"], units, at+2*expiryPeriod)
	is.True(full < 10)
	is.True(later > 0.3*units) // half of what was granted at first
}

// Guards against an allocator that takes over without the usage and the demand of its region.
func TestAnAllocatorThatTakesOverAppliesTheHandover(t *testing.T) {
	is := is.New(t)
	const units = 800
	now := time.Minute
	first, second := NewAllocator(), NewAllocator()
	r := testRound(units, 2)
	granted := 0.0
	for _, box := range []string{"one", "two"} {
		granted += grantedBy(first, longRunningBox(box), r, units, now)
	}
	is.True(granted >= units)
	r.Shares = NewRegionShares("a", []string{"a"})
	r.Shares.RecordReport("a", first.Handover(now), now, now)
	is.Equal(grantedBy(second, longRunningBox("two"), r, units, now+time.Second), 0.0)
	is.True(second.Usage(now + time.Second)["org"].Demand > 100)
	left := now + testWindow + 100*time.Millisecond
	for at := now + time.Second; at < left; at += time.Second {
		second.Grant(longRunningBox("two"), nil, r, at)
	}
	is.True(grantedBy(second, longRunningBox("two"), r, units, left) >= units/2)
}

// Guards against boxes without records that take each other's reports for complete ones.
func TestAllocatorsWithoutRecordsGainNoneFromEachOther(t *testing.T) {
	is := is.New(t)
	const units = 800
	started := time.Minute
	allocators := []*Allocator{NewAllocator(), NewAllocator()}
	rounds := []GrantParams{testRound(units, 1), testRound(units, 1)}
	for at := started; at <= started+testWindow/4; at += 100 * time.Millisecond {
		sum := 0.0
		for i, a := range allocators {
			from := Requester{
				Box:    fmt.Sprint(i),
				Uptime: at - started,
			}
			grantedBy(a, from, rounds[i], units, at)
			u := a.Handover(at)
			rounds[1-i].Shares.RecordReport("a", u, at, at)
			sum = max(sum, u["org"].Granted)
		}
		is.True(sum <= units*(at-started).Seconds()/testWindow.Seconds()+2)
	}
}

// Guards against grants that shrink for a window after the restart of a box whose usage is recorded.
func TestAnAllocatorGrantsAsMuchAfterARestartOfABox(t *testing.T) {
	is := is.New(t)
	const units = 800
	r := testRound(units, 2)
	b := NewAllocator()
	at := time.Minute
	for range 20 {
		for _, box := range []string{"one", "two"} {
			b.Grant(longRunningBox(box), nil, r, at)
		}
		at += 500 * time.Millisecond
	}
	restarted := Requester{
		Box:    "two",
		Uptime: 200 * time.Millisecond,
	}
	b.Grant(restarted, nil, r, at)
	got := grantedBy(b, longRunningBox("one"), r, units, at)
	is.True(got >= 0.95*units) // less what it may have used in the 300 ms before its start
	is.True(got < units)
}

// Guards against reports that count units for longer or shorter than they are in the window.
func TestAReportIsAsExactAsTheWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWindow(testWindow)
		now := time.Minute
		for range rapid.IntRange(1, 50).Draw(t, "grants") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause"))
			w.add(rapid.Float64Range(0, 100).Draw(t, "units"), now)
		}
		now = now.Truncate(windowStep)
		u := Usage{
			Granted:  w.used(now),
			Expiring: w.expiring(now, expiryPeriod, expiryPeriods),
		}
		for i := range expiryPeriods + 1 {
			age := time.Duration(i) * expiryPeriod
			if got, want := u.grantedAfter(age, expiryPeriod), w.used(now+age); math.Abs(got-want) > 1e-6 {
				t.Fatalf("%f units after %v, want %f", got, age, want)
			}
		}
	})
}
