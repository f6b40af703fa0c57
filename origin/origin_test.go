package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/catalog"
	_ "github.com/havenrudder/havenrudder/internal/fixed"
)

func TestTheFirstSoftwareVersionOfAStreamStays(t *testing.T) {
	is := is.New(t)
	r := NewRecords()
	r.Add(1, 7, 0)
	r.Add(1, 8, time.Second)
	build, ok := r.Find(1, 2*time.Second)
	is.True(ok)
	is.Equal(build, catalog.BuildID(7))
	_, ok = r.Find(2, 2*time.Second)
	is.True(!ok)
}

func TestARecordIsKeptForOneMinuteAtLeastAndThreeAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		r := NewRecords()
		began := time.Duration(rapid.IntRange(0, 200).Draw(t, "start")) * time.Second
		r.Add(1, 7, began)
		for at := began; at < began+5*time.Minute; at += time.Duration(rapid.IntRange(1, 70).Draw(t, "step")) * time.Second {
			_, ok := r.Find(1, at)
			is.True(ok || at-began >= generationAge)
			is.True(!ok || at-began <= 3*generationAge)
		}
	})
}

func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	r := NewRecords()
	for n := range 5 * generationSize {
		r.Add(StreamOf(fmt.Sprint(n)), 7, time.Second)
	}
	is.True(r.Len() <= 2*generationSize)
	_, ok := r.Find(StreamOf(fmt.Sprint(5*generationSize-1)), time.Second)
	is.True(ok) // the latest are kept
}

func TestADatagramIsReadAsItWasWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		d := Datagram{
			Operation: Operation(rapid.IntRange(0, int(operations)-1).Draw(t, "operation")),
			Stream:    StreamID(rapid.Uint64().Draw(t, "stream")),
		}
		if d.Operation == AskService {
			d.Service = rapid.Uint64().Draw(t, "service")
		}
		if d.Operation.hasBuild() {
			d.Build = catalog.BuildID(rapid.Uint64Min(1).Draw(t, "build"))
		}
		if d.Operation == ServiceAnswer {
			d.For = time.Duration(rapid.IntRange(0, 3600).Draw(t, "for")) * time.Second
		}
		got, err := Decode(d.Encode())
		is.NoErr(err)
		is.Equal(got, d)
	})
}

func TestAMalformedDatagramIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		buf := rapid.SliceOfN(rapid.Byte(), 0, 30).Draw(t, "bytes")
		if rapid.Bool().Draw(t, "typed") && len(buf) > 0 {
			buf[0] = DatagramType
		}
		d, err := Decode(buf)
		if err == nil && string(d.Encode()) != string(buf) {
			t.Fatalf("%x was read as %+v", buf, d)
		}
	})
}
