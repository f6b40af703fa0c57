package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"
)

func find(t *testing.T, name string) Case {
	t.Helper()
	for _, c := range Cases() {
		if c.Name == name {
			return c
		}
	}
	t.Fatal(name)
	return Case{}
}

func TestTheSameSeedGivesTheSameRow(t *testing.T) {
	is := is.New(t)
	c := find(t, "lavallee_today")
	c.Length = 60 * time.Second
	for _, p := range Policies() {
		a, err := Measure(c, p, 3)
		is.NoErr(err)
		b, err := Measure(c, p, 3)
		is.NoErr(err)
		is.Equal(a, b)
	}
}

func TestAHotPrefixAtTheTargetSizeDoesNotDrownItsReplicas(t *testing.T) {
	is := is.New(t)
	c := find(t, "region_at_target_size")
	c.Regions = []place{{"one", 120, 12}}
	c.Rate = func(string, time.Duration) float64 { return 3.25 * 120 }
	c.Length = 40 * time.Second
	row, err := Measure(c, Policies()[0], 1)
	is.NoErr(err)
	is.True(row.P99 < 500) // virtual time: it was 2,781 ms when only eight replicas were looked at
	is.Equal(row.Residency, 0)
}

// TestWhateverHappensNothingIsLeftInFlightAndDataStays draws losses, returns and
// departures of replicas, and holds the boxes' books against what the engines did.
func TestWhateverHappensNothingIsLeftInFlightAndDataStays(t *testing.T) {
	base := find(t, "kallioniemi_today")
	base.Length = 20 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		c := base
		c.Lag = time.Duration(rapid.IntRange(0, 3000).Draw(t, "lag ms")) * time.Millisecond
		c.Bound = rapid.Float64Range(0, 1).Draw(t, "bound")
		c.Patience = time.Duration(rapid.IntRange(0, 2).Draw(t, "patience s")) * time.Second
		events := rapid.SliceOfN(rapid.IntRange(0, 1<<16), 0, 12).Draw(t, "events")
		c.Events = func(w *world) {
			for _, e := range events {
				at := time.Duration(e%20) * time.Second
				engine := w.engines[e/20%len(w.engines)]
				w.clock.After(at, func() { upset(w, engine, e/1000%4) })
			}
		}
		w := newWorld(&c, uint64(len(events)), newOurs)
		w.run()
		w.clock.RunUntil(w.clock.Now() + 10*time.Minute)
		for _, r := range w.all {
			if r.foul {
				t.Fatalf("request %d of %s ran where its data may not be", r.id, r.org.Name)
			}
			if !r.served && !r.refused && r.first == 0 {
				t.Fatalf("request %d has no end", r.id)
			}
		}
		for _, b := range w.router.(*ours).boxes {
			for s, n := range b.view.InFlight() {
				if n != 0 {
					t.Fatalf("box %s: %d of %s in flight", b.name, n, s)
				}
			}
		}
	})
}

func upset(w *world, e *engine, how int) {
	switch how {
	case 0:
		e.leaving = true
		e.kill()
	case 1:
		e.revive()
	case 2:
		e.leaving = true
		e.note()
	case 3:
		e.slow = slowFactor
	}
	w.clock.After(listLag, w.router.listed)
}
