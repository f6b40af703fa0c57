package budget

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"
)

// steps is the number of actions per run, which last several windows.
const steps = 150

// event is one send as the platform receives it.
type event struct {
	at    time.Duration
	retry bool
}

// oracle records the sends of all boxes with their exact times.
type oracle struct {
	events []event
}

// maxExcess returns the maximum excess of retries over ratio x requests in any window;
// it checks only windows that begin and end with a retry, where the maximum is.
func (o *oracle) maxExcess(terms Limit) float64 {
	maxExcess := 0.0
	for i, first := range o.events {
		if !first.retry {
			continue
		}
		excess := 0.0
		for _, e := range o.events[i:] {
			if e.at-first.at > terms.Window {
				break
			}
			if !e.retry {
				excess -= terms.Ratio
				continue
			}
			excess++
			maxExcess = max(maxExcess, excess)
		}
	}
	return maxExcess
}

// process is one run of a box, from start to restart.
type process struct {
	budget       *Budget
	startedAt    time.Duration
	clockStopped time.Duration
	frozenUntil  time.Duration
}

func (p *process) now(now time.Duration) time.Duration {
	return now - p.startedAt - p.clockStopped
}

type fleet struct {
	t     *rapid.T
	terms Limit
	now   time.Duration
	boxes []*process
	sends oracle
}

func newFleet(t *rapid.T, n int) *fleet {
	f := &fleet{
		t:     t,
		terms: testTerms,
	}
	for range n {
		f.boxes = append(f.boxes, f.startProcess())
	}
	return f
}

func (f *fleet) startProcess() *process {
	return &process{
		budget:    New(f.terms),
		startedAt: f.now,
	}
}

// boxCount returns the number of boxes that one box assumes.
func (f *fleet) boxCount() int {
	n := len(f.boxes)
	if n <= 2 {
		return n
	}
	return rapid.IntRange(n-1, n+1).Draw(f.t, "count")
}

// pickBoxes returns one box or all of them, except frozen ones.
func (f *fleet) pickBoxes() []int {
	from, to := 0, len(f.boxes)
	if rapid.Bool().Draw(f.t, "one") {
		from = rapid.IntRange(0, len(f.boxes)-1).Draw(f.t, "box")
		to = from + 1
	}
	var picked []int
	for i := from; i < to; i++ {
		if f.now >= f.boxes[i].frozenUntil {
			picked = append(picked, i)
		}
	}
	return picked
}

func (f *fleet) request() {
	n := rapid.SampledFrom([]int{1, 5, 40}).Draw(f.t, "requests")
	for _, i := range f.pickBoxes() {
		p := f.boxes[i]
		for range n {
			p.budget.Request(service, p.now(f.now))
			f.sends.events = append(f.sends.events, event{
				at: f.now,
			})
		}
	}
}

func (f *fleet) take() {
	most := rapid.SampledFrom([]int{1, 3, 100}).Draw(f.t, "most")
	for _, i := range f.pickBoxes() {
		f.takeUpTo(most, f.boxes[i])
	}
}

func (f *fleet) takeUpTo(most int, p *process) {
	boxes := f.boxCount()
	for range most {
		if !p.budget.Take(service, boxes, p.now(f.now)) {
			return
		}
		f.sends.events = append(f.sends.events, event{
			at:    f.now,
			retry: true,
		})
	}
}

// drainAndRestart is the worst case for the bound: a process takes all its retries and
// the next one has no record of them.
func (f *fleet) drainAndRestart() {
	for _, i := range f.pickBoxes() {
		f.takeUpTo(math.MaxInt, f.boxes[i])
		f.boxes[i] = f.startProcess()
	}
}

func (f *fleet) restart() {
	for _, i := range f.pickBoxes() {
		f.boxes[i] = f.startProcess()
	}
}

// freeze stops boxes for a while, with or without their clocks.
func (f *fleet) freeze() {
	length := time.Duration(rapid.IntRange(1, 12000).Draw(f.t, "frozen")) * time.Millisecond
	still := rapid.Bool().Draw(f.t, "still")
	for _, i := range f.pickBoxes() {
		f.boxes[i].frozenUntil = f.now + length
		if still {
			f.boxes[i].clockStopped += length
		}
	}
}

func (f *fleet) wait() {
	longest := rapid.SampledFrom([]int{50, 1000, 5000, 12000}).Draw(f.t, "longest")
	f.now += time.Duration(rapid.IntRange(longest/2, longest).Draw(f.t, "wait")) * time.Millisecond
}

func (f *fleet) run() {
	actions := []func(){
		f.request,
		f.take,
		f.drainAndRestart,
		f.restart,
		f.freeze,
		f.wait,
		f.wait,
	}
	for range steps {
		rapid.SampledFrom(actions).Draw(f.t, "action")()
	}
}

func TestNoWindowOfAllBoxesExceedsTheBound(t *testing.T) {
	for n := 1; n <= 12; n++ {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			seen := 0.0
			rapid.Check(t, func(t *rapid.T) {
				f := newFleet(t, n)
				f.now += time.Minute
				f.run()
				maxExcess := f.sends.maxExcess(f.terms)
				seen = max(seen, maxExcess)
				if maxExcess > float64(f.terms.Allowance)+1e-9 {
					t.Fatalf("%.2f retries beyond the ratio", maxExcess)
				}
			})
			t.Logf("maximum of retries beyond the ratio: %.2f of %d", seen, testTerms.Allowance)
			is.New(t).True(seen >= float64(testTerms.Allowance)/4) // otherwise the runs don't test the bound
		})
	}
}

// Guards against restarts that exceed the bound: all boxes use their full shares, crash
// and restart within one window, each with a list that lacks one box.
func TestAllBoxesMaySpendDieAndSpendAgainWithinOneWindow(t *testing.T) {
	for n := 1; n <= 27; n++ {
		for _, lives := range []int{1, 2, 5} {
			is := is.New(t)
			view := n
			if n > 2 {
				view = n - 1
			}
			spent := 0
			for range n {
				spent += drain(New(testTerms), view, time.Minute)
				for range lives {
					spent += drain(New(testTerms), view, testTerms.Window/time.Duration(lives))
				}
			}
			is.True(spent <= testTerms.Allowance)
		}
	}
}

func TestTheOracleCountsRetriesWhoseRequestsHaveLeftTheWindow(t *testing.T) {
	is := is.New(t)
	o := oracle{
		events: []event{
			{at: 0},
			{at: 1 * time.Second, retry: true},
			{at: 11 * time.Second},
			{at: 11 * time.Second, retry: true},
			{at: 11*time.Second + 1, retry: true},
		},
	}
	is.True(almostEqual(o.maxExcess(testTerms), 2)) // the span from second 1 on: 2 - 0.2; the last two: 2
}
