package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"

	"github.com/havenrudder/havenrudder/wire"
)

var priorities = []wire.Priority{
	{Name: "line", ReservedShare: 0.2},
	{Name: "app", Rank: 1},
}

func org(name, priority string, share float64) wire.Organisation {
	return wire.Organisation{
		Name:     name,
		Priority: priority,
		Share:    share,
	}
}

func ExampleLimiter() {
	l := NewLimiter()
	full := Capacity{
		Limit:    10,
		Slots:    10,
		InFlight: 8,
		Boxes:    1,
	}
	fmt.Println(l.Admit(org("shop", "app", 1), priorities, full))
	fmt.Println(l.Admit(org("drivers", "line", 1), priorities, full) == None)
	// Output:
	// reserved
	// true
}

func TestAnOrganisationIsHeldToItsShareOnlyWhileOthersWait(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	o := org("greedy", "app", 0.3)
	for range 3 {
		l.Begin(o)
	}
	is.Equal(l.Admit(o, nil, Capacity{
		Limit:    10,
		Slots:    10,
		InFlight: 3,
		Boxes:    1,
	}), None)
	is.Equal(l.Admit(o, nil, Capacity{
		Limit:    10,
		Slots:    10,
		InFlight: 7,
		Boxes:    1,
	}), ShareReached)
}

func TestRequestsOfOtherRegionsAreAdmittedOnlyWithSpareCapacity(t *testing.T) {
	is := is.New(t)
	c := Capacity{
		Limit:    15,
		Slots:    10,
		InFlight: 8,
		Boxes:    1,
	}
	l := NewLimiter()
	is.Equal(l.Admit(org("o", "app", 1), nil, c), None)
	c.Foreign = true
	is.Equal(l.Admit(org("o", "app", 1), nil, c), ForeignLimitReached)
}

// Guards against requests of other priorities that use up the reserved share of one.
func TestTheReservedShareStaysFreeForItsPriority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLimiter()
		limit := rapid.IntRange(5, 60).Draw(t, "limit")
		used := 0
		var open []wire.Organisation
		capacity := func() Capacity {
			return Capacity{
				Limit:    limit,
				Slots:    limit,
				InFlight: used,
				Boxes:    1,
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				o := org(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "org"), rapid.SampledFrom([]string{"line", "app"}).Draw(t, "priority"), 1)
				if l.Admit(o, priorities, capacity()) == None {
					l.Begin(o)
					used++
					open = append(open, o)
				}
			},
			"end": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("nothing open")
				}
				l.End(open[0])
				open = open[1:]
				used--
			},
			"": func(t *rapid.T) {
				inLine := 0
				for _, o := range open {
					if o.Priority == "line" {
						inLine++
					}
				}
				if used > limit || l.InFlight() != used {
					t.Fatalf("%d used, %d in flight, limit %d", used, l.InFlight(), limit)
				}
				line := org("drivers", "line", 1)
				if inLine < int(0.2*float64(limit)) && l.Admit(line, priorities, capacity()) != None {
					t.Fatalf("the line was refused with %d of its own among %d of %d", inLine, used, limit)
				}
			},
		})
	})
}

func TestRetriesAreAShareOfFirstAttempts(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	o := org("o", "app", 1)
	for range 1000 {
		l.Begin(o)
		l.End(o)
	}
	n := 0
	for l.Retry() {
		n++
	}
	is.Equal(n, retryBurst)
	for range 50 {
		l.Begin(o)
	}
	n = 0
	for l.Retry() {
		n++
	}
	is.Equal(n, 5)
}

func TestARefusedCallerComesBackWithinBounds(t *testing.T) {
	is := is.New(t)
	is.Equal(RetryAfter(0, 0), minRetryAfter)
	is.Equal(RetryAfter(time.Hour, 0), maxRetryAfter)
	is.Equal(RetryAfter(time.Second, 0.5), 1500*time.Millisecond)
}
