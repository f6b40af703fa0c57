package pacing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/havenrudder/havenrudder/measure/virtual"
)

const limitedID = "replica@1"

// lenders are boxes that send to one limited replica and lend each other sends, over a
// network that loses, repeats and delays messages.
type lenders struct {
	clock    virtual.Clock
	rnd      *rand.Rand
	names    []string
	boxes    map[string]*Limiter
	lossRate float64
	maxDelay time.Duration
	lateRate float64 // share of sends that arrive late
	arrivals []time.Duration
	lent     int
}

func newLenders(seed uint64, n int, rate float64) *lenders {
	s := &lenders{
		rnd:   rand.New(rand.NewPCG(seed, 3)),
		boxes: make(map[string]*Limiter),
	}
	for i := range n {
		name := fmt.Sprint("box-", i)
		s.names = append(s.names, name)
		s.boxes[name] = NewLimiter(name)
		s.boxes[name].SetStart(-time.Minute)
		s.boxes[name].SetLimit(limitedID, rate)
	}
	return s
}

func (s *lenders) upTo(d time.Duration) time.Duration {
	return time.Duration(s.rnd.Int64N(int64(d) + 1))
}

// post delivers a message, sometimes twice or never.
func (s *lenders) post(deliver func()) {
	if s.rnd.Float64() < s.lossRate {
		return
	}
	s.clock.After(s.upTo(s.maxDelay), deliver)
	if s.rnd.Float64() < s.lossRate {
		s.clock.After(s.upTo(s.maxDelay), deliver)
	}
}

// request has a box send a request, and ask for a loan if it can't.
func (s *lenders) request(name string) {
	box, now := s.boxes[name], s.clock.Now()
	loan, ok := box.Take(limitedID, s.names, now)
	if ok {
		s.send(name, loan, now)
		return
	}
	for _, l := range box.Ask(limitedID, s.names, now) {
		s.post(func() { s.lend(name, l) })
	}
}

func (s *lenders) lend(borrower string, l Loan) {
	id := LoanID{Borrower: borrower, Nonce: l.Nonce}
	if !s.boxes[l.Lender].Lend(limitedID, id, s.names, s.clock.Now()) {
		return
	}
	s.lent++
	s.post(func() {
		if !s.boxes[borrower].Granted(limitedID, l.Lender, l.Nonce, s.clock.Now()) {
			s.report(borrower, l, false)
		}
	})
}

func (s *lenders) report(borrower string, l Loan, used bool) {
	id := LoanID{Borrower: borrower, Nonce: l.Nonce}
	s.post(func() { s.boxes[l.Lender].Report(limitedID, id, used, s.clock.Now()) })
}

func (s *lenders) send(name string, loan Loan, taken time.Duration) {
	transit := s.upTo(20 * time.Millisecond)
	if s.rnd.Float64() < s.lateRate {
		transit = s.upTo(2 * time.Second)
	}
	s.clock.After(transit, func() {
		s.arrivals = append(s.arrivals, s.clock.Now())
		s.clock.After(s.upTo(200*time.Millisecond), func() {
			if loan.IsZero() {
				s.boxes[name].MarkArrived(limitedID, taken, s.clock.Now())
				return
			}
			s.report(name, loan, true)
		})
	})
}

// run has boxes send requests at random times, with gap between two of a box on average.
func (s *lenders) run(d time.Duration, gap func(name string) time.Duration) {
	for _, name := range s.names {
		var next func()
		next = func() {
			s.request(name)
			s.clock.After(s.upTo(2*gap(name)), next)
		}
		if gap(name) > 0 {
			s.clock.After(s.upTo(gap(name)), next)
		}
	}
	var sweep func()
	sweep = func() {
		for _, name := range s.names {
			for _, l := range s.boxes[name].TakeExpired(s.clock.Now()) {
				s.report(name, l, false)
			}
		}
		s.clock.After(250*time.Millisecond, sweep)
	}
	sweep()
	s.clock.RunUntil(s.clock.Now() + d)
}

// maxWithin returns the most arrivals in any window.
func (s *lenders) maxWithin(window time.Duration) int {
	slices.Sort(s.arrivals)
	most, first := 0, 0
	for i, at := range s.arrivals {
		for s.arrivals[first] <= at-window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against loans that let all boxes together send more than the limit allows.
func TestNoLostOrLateMessageLetsBoxesExceedALimit(t *testing.T) {
	lent := 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "boxes")
		rate := rapid.SampledFrom([]float64{0, 0.2, 1, 1.2, 7, 50}).Draw(t, "rate")
		s := newLenders(rapid.Uint64().Draw(t, "seed"), n, rate)
		s.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss")
		s.maxDelay = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 100 * time.Millisecond, time.Second}).Draw(t, "delay")
		s.lateRate = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "late")
		busy := rapid.IntRange(1, n).Draw(t, "busy boxes")
		s.run(20*time.Second, func(name string) time.Duration {
			if slices.Index(s.names, name) >= busy {
				return 0
			}
			return 25 * time.Millisecond
		})
		lent += s.lent
		bound, window := (&limited{rate: rate}).terms()
		if got := s.maxWithin(window - slack); got > bound {
			t.Fatalf("%d sends in %v, %d are allowed", got, window-slack, bound)
		}
		if len(s.arrivals) == 0 && s.maxDelay < loanTTL/4 && s.lossRate == 0 { // else loans may be lost or expire on their way
			t.Fatal("nothing was sent")
		}
	})
	t.Logf("%d loans", lent)
	if lent == 0 {
		t.Fatal("no box lent anything")
	}
}

func TestAReplicaWithoutALimitIsNotLimited(t *testing.T) {
	is := is.New(t)
	l := NewLimiter("a")
	for range 100 {
		_, ok := l.Take(limitedID, nil, 0)
		is.True(ok)
	}
	l.SetLimit(limitedID, 0)
	is.True(!l.Allow(limitedID, nil, time.Minute)) // its boxes are not all listed
	is.True(l.Allow(limitedID, []string{"a"}, time.Minute))
	l.ClearLimit(limitedID, time.Minute)
	is.True(l.Allow(limitedID, nil, time.Minute))
}

// Guards against a box that lends while it has requests of its own.
func TestABoxWithUnservedRequestsLendsNothing(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b"}
	l := NewLimiter("a")
	l.SetLimit(limitedID, 5)
	now := time.Minute
	is.True(l.Lend(limitedID, LoanID{Borrower: "b", Nonce: 1}, names, now))
	l.Ask(limitedID, names, now)
	now += demandTTL / 2
	is.True(!l.Lend(limitedID, LoanID{Borrower: "b", Nonce: 2}, names, now))
	now += demandTTL
	is.True(l.Lend(limitedID, LoanID{Borrower: "b", Nonce: 2}, names, now))
}

// Guards against a box that asks again and again where nobody lends.
func TestABoxThatGetsNoLoanWaitsBeforeItAsksAgain(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b"}
	l := NewLimiter("a")
	l.SetLimit(limitedID, 5)
	now := time.Minute
	is.Equal(len(l.Ask(limitedID, names, now)), 1)
	now += 2 * loanWait
	is.Equal(len(l.Ask(limitedID, names, now)), 0) // nobody has answered
	is.Equal(len(l.Ask(limitedID, names, now+minAskPause/2)), 0)
	is.True(len(l.Ask(limitedID, names, now+loanTTL)) > 0)
}

// Guards against a box that exceeds the limit that it knows by loans of boxes that go by an earlier, higher one.
func TestABoxBorrowsNoMoreThanTheLimitThatItKnows(t *testing.T) {
	const (
		lowered = 0.2
		span    = 4 * time.Second
	)
	is := is.New(t)
	s := newLenders(1, 3, 50)
	s.boxes["box-0"].SetLimit(limitedID, lowered) // the others have not heard of it
	from := s.clock.Now()
	for at := time.Duration(0); at < span; at += 5 * time.Millisecond {
		s.clock.After(at, func() { s.request("box-0") })
	}
	s.clock.RunUntil(from + span)
	is.True(len(s.arrivals) > 0)
	is.True(len(s.arrivals) <= 2) // one of its own, one by a loan
}
