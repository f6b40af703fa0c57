package ticket

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"

	"github.com/havenrudder/havenrudder/wire"
)

func counter() func() string {
	n := 0
	return func() string {
		n++
		return "ticket-" + strconv.Itoa(n)
	}
}

var byW = Witnessed{
	Name:  "w",
	Inc:   1,
	Clock: time.Second,
}

func ExampleOwner() {
	owner := NewOwner("a", 1, counter())
	witness := NewWitness("w", 1, 10)
	t, _ := owner.Issue("slots", "app", byW, time.Minute, 0)
	fmt.Println(owner.Begin(t, 1, 0))
	fmt.Println(owner.Announced(t.ID, witness.Announce(t, time.Second), 0))
	owner.Finish(t.ID, wire.RanRan, Result{
		Status: 200,
	})
	fmt.Println(owner.Begin(t, 1, 0))
	fmt.Println(witness.Seal(t, time.Second))
	// Output:
	// announce
	// dispatch
	// answer
	// unknown
}

func TestATicketServesOneRequestOnly(t *testing.T) {
	is := is.New(t)
	o := NewOwner("a", 1, counter())
	tk, ok := o.Issue("s", "org", Witnessed{}, time.Minute, 0)
	is.True(ok)
	is.Equal(o.Begin(tk, 1, 0), Dispatch)
	is.Equal(o.Begin(tk, 2, 0), Mismatch)
	is.Equal(o.Begin(tk, 1, 0), Join)
	forged := tk
	forged.LifeMs *= 2
	is.Equal(o.Begin(forged, 1, 0), Unknown)
}

func TestAnUnusedTicketIsNotRunOnceItsTimeIsOver(t *testing.T) {
	is := is.New(t)
	o := NewOwner("a", 1, counter())
	tk, _ := o.Issue("s", "org", byW, time.Minute, 0)
	is.Equal(o.Begin(tk, 1, 61*time.Second), NotRun)
	is.Equal(o.Begin(tk, 1, 0), NotRun) // and stays so
	o.Sweep(121 * time.Second)
	is.Equal(o.Begin(tk, 1, 121*time.Second), Unknown)
}

func TestAPlannedStopClosesWhatWasNotDispatched(t *testing.T) {
	is := is.New(t)
	o := NewOwner("a", 1, counter())
	unused, _ := o.Issue("s", "org", byW, time.Minute, 0)
	running, _ := o.Issue("s", "org", Witnessed{}, time.Minute, 0)
	is.Equal(o.Begin(running, 1, 0), Dispatch)
	o.CloseUnused()
	is.Equal(o.Begin(unused, 1, 0), NotRun)
	is.Equal(o.Begin(running, 1, 0), Join)
}

// TestAnOwnerDispatchesOnceAndNeverAfterNotRun drives an owner with calls in any
// order, late and repeated, and counts what it lets run.
func TestAnOwnerDispatchesOnceAndNeverAfterNotRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(1, 4).Draw(t, "bound")
		o := NewOwner("a", 1, counter(), WithBounds(bound, 1<<20))
		var now time.Duration
		var tickets []wire.Ticket
		dispatched := make(map[string]int)
		notRun := make(map[string]bool)
		see := func(id string, s Step) {
			switch s {
			case Dispatch:
				dispatched[id]++
			case NotRun:
				notRun[id] = true
			}
		}
		pick := func(t *rapid.T) wire.Ticket {
			if len(tickets) == 0 {
				t.Skip("no ticket")
			}
			return rapid.SampledFrom(tickets).Draw(t, "ticket")
		}
		ran := rapid.SampledFrom([]wire.Ran{wire.RanRan, wire.RanNotRun, wire.RanUnknown})
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) {
				w := rapid.SampledFrom([]Witnessed{{}, byW}).Draw(t, "witness")
				if tk, ok := o.Issue("s", "org", w, 10*time.Second, now); ok {
					tickets = append(tickets, tk)
				}
			},
			"begin": func(t *rapid.T) {
				tk := pick(t)
				see(tk.ID, o.Begin(tk, 1, now))
			},
			"announced": func(t *rapid.T) {
				tk := pick(t)
				o.Announced(tk.ID, rapid.Bool().Draw(t, "ok"), now)
				if state, _, ok := o.Held(tk.ID); ok && state == Dispatched && dispatched[tk.ID] == 0 {
					dispatched[tk.ID]++
				}
			},
			"finish": func(t *rapid.T) {
				tk := pick(t)
				r := ran.Draw(t, "ran")
				if state, _, ok := o.Held(tk.ID); ok && state == Dispatched && r == wire.RanNotRun {
					dispatched[tk.ID]-- // the caller of Finish proved that nothing left
				}
				o.Finish(tk.ID, r, Result{})
			},
			"wait":  func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 15).Draw(t, "s")) * time.Second },
			"sweep": func(*rapid.T) { o.Sweep(now) },
			"": func(t *rapid.T) {
				for id, n := range dispatched {
					if n > 1 || (n > 0 && notRun[id]) {
						t.Fatalf("%s: dispatched %d times, told not run %t", id, n, notRun[id])
					}
				}
				if n, _ := o.Len(); n > bound {
					t.Fatalf("%d tickets, bound %d", n, bound)
				}
			},
		})
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(wire.Ticket{
		ID:      "ticket-1",
		Owner:   "a",
		Inc:     1,
		Service: "s",
		Org:     "o",
		LifeMs:  1,
	}))
	f.Add("e30")
	f.Fuzz(func(t *testing.T, s string) {
		tk, err := Decode(s)
		if err != nil {
			return
		}
		again, err := Decode(Encode(tk))
		if err != nil || again != tk {
			t.Fatalf("%v, %v, %v", tk, again, err)
		}
	})
}

func BenchmarkOwnerWith100000Tickets(b *testing.B) {
	o := NewOwner("a", 1, counter(), WithBounds(1<<30, 1<<40))
	var now time.Duration
	for range 100_000 {
		_, _ = o.Issue("s", "org", byW, time.Hour, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		t, _ := o.Issue("s", "org", byW, time.Hour, now)
		o.Begin(t, 1, now)
		o.Announced(t.ID, true, now)
		o.Finish(t.ID, wire.RanRan, Result{})
	}
}
