package decision

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// start is the time at which the logs of these tests begin.
var start = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

func ExampleLog() {
	clock := func() time.Time { return start }
	l := New("box-1", os.Stdout, WithNow(clock))
	l.Record(Event{
		Kind:     Try,
		Request:  "r-17",
		Upstream: "10.0.0.7:9000",
		Outcome:  NotRun,
		Reason:   "connection refused",
		AgeMs:    120,
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // Run writes what is queued, also at the end
	if err := l.Run(ctx); err != nil {
		panic(err)
	}
	// Output:
	// {"age_ms":120,"box":"box-1","kind":"try","level":"warning","outcome":"not_run","reason":"connection refused","request":"r-17","time":"2026-12-02T09:00:00Z","upstream":"10.0.0.7:9000"}
}

// finish writes what is queued in l. Its clock is synthetic, so that a busy
// machine doesn't run into the limit of the end.
func finish(t *testing.T, l *Log) error {
	t.Helper()
	var err error
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		err = l.Run(ctx)
	})
	return err
}

// decode returns the events of the lines in r.
func decode(is *is.I, r io.Reader) []Event {
	is.Helper()
	var out []Event
	scan := bufio.NewScanner(r)
	for scan.Scan() {
		var e Event
		is.NoErr(json.Unmarshal(scan.Bytes(), &e))
		out = append(out, e)
	}
	is.NoErr(scan.Err())
	return out
}

// full returns an event with all fields set but Counts.
func full() Event {
	return Event{
		At:       start,
		Kind:     End,
		Request:  "r-1",
		Box:      "box-1",
		Service:  "chat",
		Route:    "chat-eu",
		Upstream: "u-1",
		Build:    "v1.2",
		Resumes:  "r-0",
		Outcome:  Broken,
		Reason:   "reset",
		Status:   502,
		Version:  7,
		Revision: 8,
		AgeMs:    9,
		TookMs:   10,
		Prompt:   47,
		InFlight: 53,
		Memory:   59,
		Unread:   61,
		Sharers:  67,
		SentMs:   71,
		HeadMs:   79,
		FirstMs:  41,
		PauseMs:  43,
		Framing:  "chunked",
		Rest:     37,
		Tokens:   11,
		CopyFrom: "192.0.2.1:80",
		Tries:    2,
		ForMs:    73,
		Limit:    1.5,
		Speed:    1.25,
		Signal:   Limit,
		Parts:    "5c1e07a2,91bd3f06",
		Digest:   "50fd6db2",
		Region:   "eu",
		Channel:  "watch",

		LastEvent: "12",
		Send:      2,
		Conn:      27,
		Discarded: 1,

		SpeedAgeMs:   83,
		SpeedSource:  "requests",
		Organisation: "bakers",

		WaitedMs:   83,
		Ahead:      89,
		ExpectedMs: 97,
		Urgency:    1,
		Flow:       "bakers",

		LossHere:    1000,
		LossThere:   120,
		LinkCost:    30,
		CallersCost: 14,
		AwayShare:   0.25,
		LinkBytes:   70_000,

		Detail: "a <b> & c",
	}
}

func TestALineHoldsEachFieldUnderItsTag(t *testing.T) {
	is := is.New(t)
	e := full()
	e.Counts = []Count{{Kind: Try, Lines: 3}}
	var buf bytes.Buffer
	is.NoErr(newLines(&buf).write(&e))
	var got map[string]any
	is.NoErr(json.Unmarshal(buf.Bytes(), &got))
	is.Equal(got["level"], "warning")
	delete(got, "level") // the one field that an event doesn't have
	kind := reflect.TypeFor[Event]()
	for n := range kind.NumField() {
		name, _, _ := strings.Cut(kind.Field(n).Tag.Get("json"), ",")
		is.True(!reflect.ValueOf(e).Field(n).IsZero()) // full sets it
		_, ok := got[name]
		is.True(ok) // the line has it
		delete(got, name)
	}
	is.Equal(len(got), 0) // and nothing else
	is.Equal(decode(is, &buf), []Event{e})
}

func TestEmptyFieldsAreLeftOut(t *testing.T) {
	is := is.New(t)
	var buf bytes.Buffer
	l := New("b", &buf, WithNow(func() time.Time { return start }))
	l.Record(Event{
		Kind: Start,
	})
	is.NoErr(finish(t, l))
	is.Equal(buf.String(), `{"box":"b","kind":"start","level":"info","time":"2026-12-02T09:00:00Z"}`+"\n")
}

func TestAnEventOfUnknownKindIsRefused(t *testing.T) {
	is := is.New(t)
	var e Event
	for _, line := range []string{`{}`, `{"kind":""}`, `{"kind":"other"}`, `{"kind":1}`, `[]`} {
		is.True(json.Unmarshal([]byte(line), &e) != nil) // refused
	}
	for _, k := range kinds {
		is.NoErr(json.Unmarshal([]byte(`{"kind":"`+string(k)+`"}`), &e))
		is.Equal(e.Kind, k)
	}
}

func TestLongTextsAreCutBetweenCharacters(t *testing.T) {
	is := is.New(t)
	is.Equal(cut("short"), "short")
	is.Equal(len(cut(strings.Repeat("a", 10*maxText))), maxText)
	is.Equal(cut("a"+strings.Repeat("é", maxText)), "a"+strings.Repeat("é", maxText/2-1))
}

// stuck is a writer that takes nothing until it is released.
type stuck struct {
	release chan struct{}
}

func (w *stuck) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestAStuckWriterBlocksNeitherRecordNorTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &stuck{
			release: make(chan struct{}),
		}
		const events, queue = 10_000, 100
		l := New("b", w, WithRing(queue), WithBudget(events, 2*events))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- l.Run(ctx) }()
		l.Record(Event{Kind: Start})
		synctest.Wait() // the writer is stuck on it
		began := time.Now()
		for range events {
			l.Record(Event{Kind: End, Outcome: Served})
		}
		is.Equal(time.Since(began), time.Duration(0)) // the synthetic clock stands while nothing waits
		is.Equal(l.Dropped(), []Count{{Kind: End, Lines: events - queue}})
		is.Equal(l.DroppedLines(), int64(events-queue))
		began = time.Now()
		cancel()
		is.True(errors.Is(<-done, ErrNotFlushed))
		is.Equal(time.Since(began), flushTime)
		close(w.release)
		synctest.Wait() // the writing goroutine ends, too, or the test fails
	})
}

// shared is a buffer that may be read while another goroutine writes.
type shared struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (w *shared) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// reader returns what has been written so far.
func (w *shared) reader() io.Reader {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.NewReader(w.buf.String())
}

func TestDroppedLinesAreToldOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &shared{}
		l := New("b", w, WithBudget(2, 4))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- l.Run(ctx) }()
		for range 5 {
			l.Record(Event{Kind: Place})
		}
		time.Sleep(droppedEvery / 2)
		synctest.Wait()
		is.Equal(len(decode(is, w.reader())), 2) // half of the burst
		time.Sleep(3 * droppedEvery)
		synctest.Wait()
		events := decode(is, w.reader())
		is.Equal(len(events), 3) // nothing more was dropped since, so there is one line
		is.Equal(events[2].Kind, Dropped)
		is.Equal(events[2].Counts, []Count{{Kind: Place, Lines: 3}})
		for range 5 {
			l.Record(Event{Kind: Try})
		}
		cancel()
		is.NoErr(<-done)
		events = decode(is, w.reader())
		is.Equal(len(events), 6) // two more lines, and the last count at the end
		is.Equal(events[5].Counts, []Count{{Kind: Try, Lines: 3}})
	})
}

// failing is a writer that always fails.
type failing struct{}

func (failing) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

func TestALineThatTheWriterFailsOnIsCounted(t *testing.T) {
	is := is.New(t)
	l := New("b", failing{})
	l.Record(Event{Kind: Lost, Upstream: "store"})
	is.NoErr(finish(t, l))
	is.Equal(l.Dropped(), []Count{{Kind: Lost, Lines: 1}})
}

// flaky is a writer whose first fail writes fail.
type flaky struct {
	fail int
	w    io.Writer
}

func (w *flaky) Write(p []byte) (int, error) {
	if w.fail > 0 {
		w.fail--
		return 0, io.ErrClosedPipe
	}
	return w.w.Write(p)
}

func TestCountsThatWereNotWrittenAreInTheNextLine(t *testing.T) {
	is := is.New(t)
	var buf bytes.Buffer
	w := &flaky{
		fail: 2,
		w:    &buf,
	}
	l := New("b", w)
	l.Record(Event{Kind: Lost, Upstream: "store"})
	is.True(l.writeNext())
	told := l.writeDropped(tally{})
	is.Equal(told, tally{})
	told = l.writeDropped(told)
	events := decode(is, &buf)
	is.Equal(len(events), 1)
	is.Equal(events[0].Counts, []Count{{Kind: Lost, Lines: 1}})
	is.Equal(l.writeDropped(told), told) // nothing new to tell
}

func TestAnUnknownKindIsCountedApart(t *testing.T) {
	is := is.New(t)
	l := New("b", io.Discard, WithBudget(0, 0))
	l.Record(Event{Kind: "new"})
	is.Equal(l.Dropped(), []Count{{Kind: "", Lines: 1}})
}
