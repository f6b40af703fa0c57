package poison

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestAQuarantineLastsTwiceAsLongAfterEachFurtherEnd(t *testing.T) {
	is := is.New(t)
	for n, want := range map[int]time.Duration{
		endsToQuarantine - 1: 0,
		endsToQuarantine:     quarantinedFor,
		endsToQuarantine + 1: 2 * quarantinedFor,
		maxEnds:              quarantinedFor << (maxEnds - endsToQuarantine),
	} {
		r := endsUnder(deadly.Digest(), n, start)
		left, quarantined := r.Quarantined(start)
		is.Equal(left, want)
		is.Equal(quarantined, want > 0)
		_, quarantined = r.Quarantined(start + want)
		is.True(!quarantined)
	}
}

func TestAfterAQuarantineASingleEndIsEnoughForAnother(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Take(endsUnder(deadly.Digest(), endsToQuarantine, start), start)
	now := start + quarantinedFor + time.Second
	l.Forget(now)
	_, quarantined := l.Get(deadly.Digest()).Quarantined(now)
	is.True(!quarantined)
	is.True(l.AddEnd(deadly.Digest(), 99, now))
	left, _ := l.Get(deadly.Digest()).Quarantined(now)
	is.Equal(left, 2*quarantinedFor)
}

func TestSuspectsAndQuarantinesAreForgotten(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Take(endsUnder(digestOf(1), 1, start), start)
	l.Take(endsUnder(digestOf(2), endsToQuarantine, start), start)
	l.Forget(start + suspectFor)
	is.Equal(l.Len(), 2)
	l.Forget(start + suspectFor + 1)
	is.Equal(l.Len(), 1)
	l.Forget(start + 2*quarantinedFor + 1)
	is.Equal(l.Len(), 0)
	is.True(!l.Take(endsUnder(digestOf(1), 1, start), start+suspectFor+1)) // nor taken from others
	is.Equal(l.Len(), 0)
}

func TestEndsBeforeAnAnswerAndJustAfterItDoNotCount(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	d := deadly.Digest()
	l.Take(endsUnder(d, endsToQuarantine, start), start)
	is.True(l.Clear(d, start+1))
	is.True(!l.AddEnd(d, 7, start))
	is.True(!l.AddEnd(d, 8, start+1+clearsFor))
	is.True(l.AddEnd(d, 9, start+2+clearsFor))
	is.Equal(len(l.Get(d).Ends), 1)
}

func TestAnAnswerIsNotToldYoungerFromBoxToBox(t *testing.T) {
	is := is.New(t)
	a, b := NewLedger(), NewLedger()
	d := deadly.Digest()
	a.Take(endsUnder(d, endsToTell, start), start)
	a.Clear(d, start+time.Second)
	now := start + time.Second
	for range 1000 { // each way takes 80 ms, by which the answer seems later
		pass := func(from, to *Ledger) {
			sent := Datagram{
				Records: []Record{*from.Get(d)},
			}
			buf := sent.Encode(now)
			now += 80 * time.Millisecond
			got, err := Decode(buf, now)
			is.NoErr(err)
			to.Take(got.Records[0], now)
		}
		pass(a, b)
		pass(b, a)
	}
	is.True(a.Get(d).Answered <= start+time.Second+skew)
}

// drawRecord draws a record with whole milliseconds, as they are told.
func drawRecord(t *rapid.T) Record {
	age := rapid.Custom(func(t *rapid.T) time.Duration {
		return start - time.Duration(rapid.IntRange(0, 600_000).Draw(t, "age"))*time.Millisecond
	})
	r := Record{
		Digest:   digestOf(rapid.IntRange(0, 5).Draw(t, "request")),
		Answered: never,
		open:     rapid.Bool().Draw(t, "open"),
	}
	if rapid.Bool().Draw(t, "answered") {
		r.Answered = age.Draw(t, "answer")
	}
	for range rapid.IntRange(0, maxEnds).Draw(t, "ends") {
		r.Ends = append(r.Ends, End{
			Start: Start(rapid.Uint64Range(0, 12).Draw(t, "start")),
			At:    age.Draw(t, "end"),
		})
	}
	return r
}

func TestADatagramIsReadAsItWasWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		d := Datagram{
			Compare: rapid.Bool().Draw(t, "compare"),
			Answer:  rapid.Bool().Draw(t, "answers"),
			Records: rapid.SliceOfN(rapid.Custom(drawRecord), 0, 8).Draw(t, "records"),
		}
		if d.Compare || d.Answer {
			d.Sums[rapid.IntRange(0, parts-1).Draw(t, "part")] = rapid.Uint32().Draw(t, "sum")
		}
		got, err := Decode(d.Encode(start), start)
		is.NoErr(err)
		if len(d.Records) == 0 {
			d.Records = nil
		}
		is.Equal(got, d)
	})
}

func TestNoDatagramBreaksTheReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		buf := append([]byte{Mark}, rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "bytes")...)
		d, err := Decode(buf, start)
		if err != nil {
			return
		}
		w := NewWatch("box")
		w.spread.Hear(d, "other", start)
		w.Forget(start)
	})
}

func TestALedgerIsTheSameInWhateverOrderItHears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		list := rapid.SliceOfN(rapid.Custom(drawRecord), 0, 8).Draw(t, "records")
		for i := range list {
			list[i].Answered = never // of two answers that are told at nearly the same time the first stays
			for k := range list[i].Ends {
				list[i].Ends[k].At = start - time.Duration(list[i].Ends[k].Start)*time.Second // one start ends once
			}
		}
		a, b := NewLedger(), NewLedger()
		for _, r := range list {
			a.Take(r, start)
		}
		for _, r := range rapid.Permutation(list).Draw(t, "other order") {
			b.Take(r, start)
		}
		is.Equal(a.Sums(), b.Sums())
		for _, r := range a.All() {
			is.Equal(b.Get(r.Digest).Ends, r.Ends)
		}
	})
}

func TestPackedRecordsFitTheirDatagrams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		list := rapid.SliceOfN(rapid.Custom(drawRecord), 0, 60).Draw(t, "records")
		n := 0
		for _, part := range pack(list) {
			n += len(part)
			d := Datagram{
				Compare: true,
				Records: part,
			}
			for i := range d.Sums {
				d.Sums[i] = 1
			}
			is.True(len(d.Encode(start)) <= datagramBytes)
		}
		is.Equal(n, len(list))
	})
}
