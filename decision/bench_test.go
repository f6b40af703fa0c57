package decision

import (
	"io"
	"testing"
	"time"
)

// BenchmarkRecord measures Record with a ring that has room.
func BenchmarkRecord(b *testing.B) {
	l := New("box-1", io.Discard, WithBudget(1<<40, 1<<40))
	e := full()
	var taken Event
	b.ReportAllocs()
	for b.Loop() {
		l.Record(e)
		l.ring.take(&taken)
	}
}

// BenchmarkRecordOverBudget measures Record of an event that is dropped.
func BenchmarkRecordOverBudget(b *testing.B) {
	l := New("box-1", io.Discard, WithBudget(0, 0))
	e := full()
	b.ReportAllocs()
	for b.Loop() {
		l.Record(e)
	}
}

// BenchmarkRecordBesideOthers measures Record by all processors at once, with a
// budget that drops most.
func BenchmarkRecordBesideOthers(b *testing.B) {
	l := New("box-1", io.Discard)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		e := full()
		for pb.Next() {
			l.Record(e)
		}
	})
}

// BenchmarkADrainedLine measures the line of an event with the usual fields.
func BenchmarkADrainedLine(b *testing.B) {
	l := newLines(io.Discard)
	e := Event{
		At:       time.Now(),
		Kind:     Try,
		Request:  "01HF7YAT00000000000000",
		Box:      "box-1",
		Service:  "chat",
		Upstream: "10.0.0.7:9000",
		Outcome:  Served,
		Status:   200,
		AgeMs:    120,
		TookMs:   840,
		Tokens:   212,
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := l.write(&e); err != nil {
			b.Fatal(err)
		}
	}
}
