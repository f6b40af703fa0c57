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

// steps is the number of actions in one run: several windows' worth.
const steps = 150

// event is one send as the platform sees it.
type event struct {
	at     time.Duration
	repeat bool
}

// oracle records the sends of all boxes with their exact times.
type oracle struct {
	events []event
}

// worst returns the highest excess of repeats over ratio x requests in any
// window. A window that begins and ends with a repeat is the hardest for its
// repeats, so only those are looked at.
func (o *oracle) worst(terms Terms) float64 {
	worst := 0.0
	for i, first := range o.events {
		if !first.repeat {
			continue
		}
		excess := 0.0
		for _, e := range o.events[i:] {
			if e.at-first.at > terms.Window {
				break
			}
			if !e.repeat {
				excess -= terms.Ratio
				continue
			}
			excess++
			worst = max(worst, excess)
		}
	}
	return worst
}

// process is one life of a box.
type process struct {
	budget *Budget
	born   time.Duration
	paused time.Duration // how long its clock stood still
	frozen time.Duration // it does nothing before this time
}

func (p *process) now(now time.Duration) time.Duration {
	return now - p.born - p.paused
}

// fleet is N boxes in one time line.
type fleet struct {
	t     *rapid.T
	terms Terms
	now   time.Duration
	boxes []*process
	sends oracle
}

func newFleet(t *rapid.T, n int) *fleet {
	f := &fleet{
		t:     t,
		terms: usual,
	}
	for range n {
		f.boxes = append(f.boxes, f.start())
	}
	return f
}

func (f *fleet) start() *process {
	return &process{
		budget: New(f.terms),
		born:   f.now,
	}
}

// count is what one box takes for the number of boxes.
func (f *fleet) count() int {
	n := len(f.boxes)
	if n <= 2 {
		return n
	}
	return rapid.IntRange(n-1, n+1).Draw(f.t, "count")
}

// pick returns one box or all of them, without those that are frozen.
func (f *fleet) pick() []int {
	from, to := 0, len(f.boxes)
	if rapid.Bool().Draw(f.t, "one") {
		from = rapid.IntRange(0, len(f.boxes)-1).Draw(f.t, "box")
		to = from + 1
	}
	var picked []int
	for i := from; i < to; i++ {
		if f.now >= f.boxes[i].frozen {
			picked = append(picked, i)
		}
	}
	return picked
}

func (f *fleet) request() {
	n := rapid.SampledFrom([]int{1, 5, 40}).Draw(f.t, "requests")
	for _, i := range f.pick() {
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
	for _, i := range f.pick() {
		f.takeUpTo(most, f.boxes[i])
	}
}

func (f *fleet) takeUpTo(most int, p *process) {
	boxes := f.count()
	for range most {
		if !p.budget.Take(service, boxes, p.now(f.now)) {
			return
		}
		f.sends.events = append(f.sends.events, event{
			at:     f.now,
			repeat: true,
		})
	}
}

// drainAndRestart is the worst that can happen to the sum: a process spends all
// it has, and the next one knows nothing of it.
func (f *fleet) drainAndRestart() {
	for _, i := range f.pick() {
		f.takeUpTo(math.MaxInt, f.boxes[i])
		f.boxes[i] = f.start()
	}
}

func (f *fleet) restart() {
	for _, i := range f.pick() {
		f.boxes[i] = f.start()
	}
}

// freeze stops boxes for a while; the clock of some stands still meanwhile.
func (f *fleet) freeze() {
	length := time.Duration(rapid.IntRange(1, 12000).Draw(f.t, "frozen")) * time.Millisecond
	still := rapid.Bool().Draw(f.t, "still")
	for _, i := range f.pick() {
		f.boxes[i].frozen = f.now + length
		if still {
			f.boxes[i].paused += length
		}
	}
}

func (f *fleet) wait() {
	longest := rapid.SampledFrom([]int{50, 1000, 5000, 12000}).Draw(f.t, "longest")
	f.now += time.Duration(rapid.IntRange(longest/2, longest).Draw(f.t, "wait")) * time.Millisecond
}

// run takes random actions.
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
				worst := f.sends.worst(f.terms)
				seen = max(seen, worst)
				if worst > float64(f.terms.Extra)+1e-9 {
					t.Fatalf("%.2f repeats beyond the ratio", worst)
				}
			})
			t.Logf("most repeats beyond the ratio: %.2f of %d", seen, usual.Extra)
			is.New(t).True(seen >= float64(usual.Extra)/4) // the runs do spend
		})
	}
}

// TestAllBoxesMaySpendDieAndSpendAgainWithinOneWindow plays the worst case of the
// package's comment: full shares, all killed, and restarts that grow until the
// window's end, each box with one box too few in its view.
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
				spent += drain(New(usual), view, time.Minute)
				for range lives {
					spent += drain(New(usual), view, usual.Window/time.Duration(lives))
				}
			}
			is.True(spent <= usual.Extra)
		}
	}
}

func TestTheOracleSeesRepeatsWhoseRequestsHaveLeftTheWindow(t *testing.T) {
	is := is.New(t)
	o := oracle{
		events: []event{
			{at: 0},
			{at: 1 * time.Second, repeat: true},
			{at: 11 * time.Second},
			{at: 11 * time.Second, repeat: true},
			{at: 11*time.Second + 1, repeat: true},
		},
	}
	is.True(near(o.worst(usual), 2)) // the span from second 1 on: 2 - 0.2; the last two: 2
}
