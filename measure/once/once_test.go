package once

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"

	"github.com/havenrudder/havenrudder/wire"
)

// drawn steers a world by draws.
func drawn(t *rapid.T) Choices {
	delays := rapid.SampledFrom([]time.Duration{time.Millisecond, time.Millisecond, 300 * time.Millisecond, 3 * time.Second, 25 * time.Second})
	percent := rapid.IntRange(0, 99)
	return Choices{
		Fate: func() Fate {
			n := percent.Draw(t, "fate")
			return Fate{
				Lost:  n < 10,
				Twice: n >= 90,
				Delay: delays.Draw(t, "delay"),
			}
		},
		Serve: func() Fate {
			return Fate{
				Lost:  percent.Draw(t, "service") < 20,
				Delay: 5 * time.Millisecond,
			}
		},
		Pick:   func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") },
		Think:  func() time.Duration { return delays.Draw(t, "think") },
		Answer: func() bool { return rapid.Bool().Draw(t, "answer lost") },
	}
}

// check holds what callers were told against what the service ran.
func check(t *rapid.T, w *World) {
	for _, op := range w.Ops() {
		switch {
		case op.Ran() > 1:
			t.Fatalf("op %d ran %d times", op.id, op.Ran())
		case op.Told() == wire.RanNotRun && op.Done() && op.Ran() > 0:
			t.Fatalf("op %d ran but was told not run", op.id)
		case op.Told() == wire.RanRan && op.Ran() != 1:
			t.Fatalf("op %d was told ran, but ran %d times", op.id, op.Ran())
		case op.Crossed():
			t.Fatalf("op %d got another's answer", op.id)
		}
	}
}

func TestNoCallRunsTwiceAndNotRunIsTrue(t *testing.T) {
	for _, v := range []Variant{Witnessed, OwnerAlone} {
		t.Run(string(v), func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { fuzz(t, v) }) })
	}
}

func fuzz(t *rapid.T, v Variant) {
	w := New(v, 4, drawn(t))
	w.RunUntil(3 * heartbeatEvery)
	box := rapid.IntRange(0, 3)
	t.Repeat(map[string]func(*rapid.T){
		"":        func(t *rapid.T) { check(t, w) },
		"begin":   func(*rapid.T) { w.Begin() },
		"restart": func(t *rapid.T) { w.Restart(box.Draw(t, "box")) },
		"pause": func(t *rapid.T) {
			w.Pause(box.Draw(t, "box"), time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds"))*time.Second)
		},
		"cut":  func(t *rapid.T) { w.Cut(box.Draw(t, "from"), box.Draw(t, "to")) },
		"heal": func(*rapid.T) { w.Heal() },
		"wait": func(t *rapid.T) {
			w.RunUntil(w.Now() + rapid.SampledFrom([]time.Duration{time.Millisecond, 400 * time.Millisecond, 5 * time.Second, 30 * time.Second}).Draw(t, "time"))
		},
	})
	w.Heal()
	w.RunUntil(w.Now() + 10*time.Minute)
	check(t, w)
}

func TestACallerThatFollowsTheLoopUnderHealedFaultsEndsWithAnAnswerUnlessToldUnknown(t *testing.T) {
	is := is.New(t)
	for _, mix := range Mixes() {
		d := newDriver(Witnessed, mix, 1)
		d.run()
		for _, op := range d.world.Ops() {
			is.True(op.Done())
			is.True(op.Told() == wire.RanRan || op.Told() == wire.RanUnknown)
		}
	}
}

func TestSimplerWaysAreWrongUnderTheSameFaults(t *testing.T) {
	is := is.New(t)
	mix := Mixes()[len(Mixes())-1]
	for _, v := range []Variant{KeyHashed, BlindRetry} {
		row, err := Measure(v, mix, 2*worldOps, 1)
		is.NoErr(err)
		is.True(row.RanTwice > 0) // else the faults are too mild to prove anything
	}
	row, err := Measure(Witnessed, mix, 2*worldOps, 1)
	is.NoErr(err)
	is.Equal(row.RanTwice+row.NotRunButRan+row.Crossed, 0)
}

func TestTheSameSeedGivesTheSameRow(t *testing.T) {
	is := is.New(t)
	mix := Mixes()[len(Mixes())-1]
	a, err := Measure(Witnessed, mix, worldOps, 7)
	is.NoErr(err)
	b, err := Measure(Witnessed, mix, worldOps, 7)
	is.NoErr(err)
	is.Equal(a, b)
}
