package signal

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"
)

func ExampleDatagram() {
	d := Datagram{
		Sender: 7,
		Up:     90 * time.Second,
		Observations: []Observation{{
			Replica:   9,
			Limited:   true,
			PerSecond: 1.5,
			FromAge:   1200 * time.Millisecond,
			ToAge:     time.Second,
		}},
	}
	got, err := Decode(d.Encode())
	fmt.Println(got.Observations[0].PerSecond, got.Observations[0].FromAge, err)
	// Output: 1.5 1.2s <nil>
}

func draw(t *rapid.T) Datagram {
	ms := func(label string, limit int) time.Duration {
		return time.Duration(rapid.IntRange(0, limit).Draw(t, label)) * time.Millisecond
	}
	d := Datagram{
		Sender: rapid.Uint32().Draw(t, "sender"),
		Up:     ms("up", 1<<30),
	}
	for range rapid.IntRange(0, MaxObservations).Draw(t, "observations") {
		w := Observation{
			Replica: rapid.Uint32().Draw(t, "replica"),
			Limited: rapid.Bool().Draw(t, "limited"),
			Leaving: rapid.Bool().Draw(t, "leaving"),
			ToAge:   ms("to", 60_000),
		}
		w.FromAge = w.ToAge + ms("from", 60_000)
		if w.Limited {
			w.PerSecond = rapid.Float64Range(0, maxRate).Draw(t, "rate")
		}
		d.Observations = append(d.Observations, w)
	}
	for range rapid.IntRange(0, MaxLoans).Draw(t, "loans") {
		d.Loans = append(d.Loans, Loan{
			Operation: Operation(rapid.IntRange(0, int(operations)-1).Draw(t, "operation")),
			Replica:   rapid.Uint32().Draw(t, "replica"),
			Nonce:     rapid.Uint32().Draw(t, "nonce"),
		})
	}
	return d
}

func TestADatagramIsReadAsItWasWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		d := draw(t)
		buf := d.Encode()
		is.True(len(buf) <= datagramBytes)
		got, err := Decode(buf)
		is.NoErr(err)
		is.Equal(got, d)
	})
}

func TestWhateverArrivesIsReadOrRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := draw(t)
		buf := d.Encode()
		switch at := rapid.IntRange(0, len(buf)-1).Draw(t, "at"); rapid.IntRange(0, 2).Draw(t, "damage") {
		case 0:
			buf = buf[:at]
		case 1:
			buf[at] = rapid.Byte().Draw(t, "byte")
		case 2:
			buf = append(buf, 0)
		}
		got, err := Decode(buf)
		for _, w := range got.Observations {
			if err == nil && !(w.PerSecond >= 0 && w.PerSecond <= maxRate) {
				t.Fatalf("a rate of %g was read", w.PerSecond)
			}
		}
	})
}

func TestTheLargestDatagramFitsAPacket(t *testing.T) {
	is := is.New(t)
	d := Datagram{
		Up:           math31 * time.Millisecond,
		Observations: make([]Observation, MaxObservations),
		Loans:        make([]Loan, MaxLoans),
	}
	for i := range d.Observations {
		d.Observations[i] = Observation{
			Limited: true,
			FromAge: maxAge,
			ToAge:   maxAge,
		}
	}
	is.True(len(d.Encode()) <= datagramBytes)
}

const math31 = 1<<31 - 1
