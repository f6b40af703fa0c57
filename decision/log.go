package decision

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	defaultRing  = 512                    // events; a burst at the default budget fits
	defaultRate  = 500                    // lines per second; at 13 µs a line (BenchmarkADrainedLine) under 1 % of a core
	defaultBurst = 512                    // lines; as many as the ring holds
	flushTime    = 200 * time.Millisecond // for the rest of the queue at the end; a stop must not wait for a stuck writer
	droppedEvery = time.Second            // between two lines of kind Dropped
)

// ErrNotFlushed is the error of Run when lines were left at its end because the
// writer was too slow or stuck.
var ErrNotFlushed = errors.New("decision: lines left unwritten at the end")

// Log is the log of decisions of one box. All methods may be called at the same
// time from several goroutines.
type Log struct {
	box   string
	lines *lines
	now   func() time.Time
	wake  chan struct{} // holds one signal that the ring isn't empty

	mu      sync.Mutex // held for a few copies at most, never while writing
	ring    ring
	budget  budget
	dropped tally
}

// Option changes a Log at its construction.
type Option func(*Log)

// WithBudget bounds the log to linesPerSecond in the long run and to burst lines
// at once.
func WithBudget(linesPerSecond, burst int) Option {
	return func(l *Log) {
		l.budget.rate = float64(linesPerSecond)
		l.budget.burst = float64(burst)
	}
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(l *Log) { l.now = now } }

// WithRing sets how many events wait for the writer at most.
func WithRing(n int) Option { return func(l *Log) { l.ring.size = max(n, 1) } }

// New returns the log of the box, which Run writes to w.
func New(box string, w io.Writer, opts ...Option) *Log {
	l := &Log{
		box:   box,
		lines: newLines(w),
		now:   time.Now,
		wake:  make(chan struct{}, 1),
		ring: ring{
			size: defaultRing,
		},
		budget: budget{
			rate:  defaultRate,
			burst: defaultBurst,
		},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Record queues e for the writer, or counts it as dropped when the budget is
// spent or the ring is full. It never waits for the writer.
func (l *Log) Record(e Event) {
	e.Box = l.box
	e.At = l.now()
	e.shorten()
	if l.queue(&e) {
		l.signal()
	}
}

// signal tells the writer to look into the ring.
func (l *Log) signal() {
	select {
	case l.wake <- struct{}{}:
	default: // it has a signal already
	}
}

// queue puts e into the ring if the budget allows, and reports whether it did.
// The ring may still lose an event to make room.
func (l *Log) queue(e *Event) bool {
	c := classOf(e)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.budget.take(c, e.At) {
		l.dropped.add(e.Kind)
		return false
	}
	if lost, full := l.ring.put(e, c); full {
		l.dropped.add(lost)
	}
	return true
}

// Dropped returns how many lines were dropped since the start, by kind; kinds
// without any are left out. A count of an empty kind is of unknown kinds.
func (l *Log) Dropped() []Count { return l.droppedNow().since(tally{}) }

// DroppedLines returns how many lines were dropped since the start.
func (l *Log) DroppedLines() int64 {
	var sum int64
	for _, n := range l.droppedNow() {
		sum += n
	}
	return sum
}

func (l *Log) droppedNow() tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Run writes queued events until ctx ends, and then what is left for 200 ms at
// most. It returns ErrNotFlushed if that was not enough. A writer that is stuck
// keeps a goroutine, but not Run. Run is called once.
func (l *Log) Run(ctx context.Context) error {
	limit, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.drain(ctx, limit)
	}()
	<-ctx.Done()
	t := time.NewTimer(flushTime)
	defer t.Stop()
	select {
	case <-done:
		return nil
	case <-t.C:
		return ErrNotFlushed // the deferred stop ends the writing, after its present line
	}
}

// drain writes until ctx ends, and then what is left until limit ends.
func (l *Log) drain(ctx, limit context.Context) {
	tick := time.NewTicker(droppedEvery)
	defer tick.Stop()
	var told tally
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C:
			told = l.writeDropped(told)
		case <-l.wake:
			if l.writeNext() {
				l.signal() // there may be more
			}
		}
	}
	for limit.Err() == nil {
		if !l.writeNext() {
			l.writeDropped(told)
			return
		}
	}
}

// writeNext writes the oldest queued event. It returns false when there is none.
// A line that the writer fails on is counted as dropped: there is no other place
// to report it.
func (l *Log) writeNext() bool {
	var e Event
	l.mu.Lock()
	ok := l.ring.take(&e)
	l.mu.Unlock()
	if !ok {
		return false
	}
	if err := l.lines.write(&e); err != nil {
		l.mu.Lock()
		l.dropped.add(e.Kind)
		l.mu.Unlock()
	}
	return true
}

// writeDropped writes one line with the counts that have grown since told, if
// any, and returns the counts told by then. After an error of the writer those
// are the old ones, so that the next line repeats what this one said.
func (l *Log) writeDropped(told tally) tally {
	now := l.droppedNow()
	grown := now.since(told)
	if len(grown) == 0 {
		return told
	}
	err := l.lines.write(&Event{
		At:     l.now(),
		Kind:   Dropped,
		Box:    l.box,
		Counts: grown,
	})
	if err != nil {
		return told
	}
	return now
}
