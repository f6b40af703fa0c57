package clock

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/internal/boot"
)

const suspension = 8 * time.Second

func ExampleSince() {
	start := Now()
	boot.Skip(suspension.Nanoseconds()) // the machine is suspended
	Check()
	fmt.Println(Since(start).Round(time.Second))
	// Output: 8s
}

func TestTheClockRunsOnWhileTheMachineIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		before := Suspended()
		start := Now()
		end := start.Add(10 * time.Second)
		time.Sleep(time.Second)
		is.Equal(Since(start), time.Second)
		boot.Skip(suspension.Nanoseconds())
		is.Equal(Check().Round(least), suspension)
		is.Equal(Check(), time.Duration(0)) // it is found once
		is.Equal(Since(start).Round(least), suspension+time.Second)
		is.Equal(Until(end).Round(least), time.Second)
		is.Equal((Suspended() - before).Round(least), suspension)
	})
}

func TestReadingsOfTwoClocksThatDifferLittleAreNoSuspension(t *testing.T) {
	is := is.New(t)
	for range 1000 {
		is.Equal(Check(), time.Duration(0))
	}
	boot.Skip(int64(least) / 2)
	is.Equal(Check(), time.Duration(0))
}

// BenchmarkNow measures a reading of this clock.
func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}

// BenchmarkCheck measures a look for a suspension.
func BenchmarkCheck(b *testing.B) {
	for b.Loop() {
		Check()
	}
}

// BenchmarkGoNow measures a reading of Go's clock, beside it.
func BenchmarkGoNow(b *testing.B) {
	for b.Loop() {
		_ = time.Now()
	}
}
