package quota

import (
	"math"
	"sync"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/decay"
)

// Bank grants credit to boxes. It may be used by several goroutines.
type Bank struct {
	mu       sync.Mutex
	asked    time.Duration    // when it was asked last
	boxes    map[string]asker // that ask it
	accounts map[string]*account
}

// asker is a box as a bank knows it.
type asker struct {
	at time.Duration // of its last question
	up time.Duration // since its start, by then
}

// report is what a box said it used.
type report struct {
	at    time.Duration
	units float64
}

// account is what a bank granted to an organisation.
type account struct {
	granted window
	reports map[string]report // of boxes
	demand  decay.Count       // units that callers asked for
	told    float64           // what other regions were told of that, a second; below 0 for nothing
	round   int               // of words between regions
	left    float64           // units that may still be granted in that round
}

// NewBank returns a bank that nobody asked yet.
func NewBank() *Bank {
	return &Bank{
		boxes:    make(map[string]asker),
		accounts: make(map[string]*account),
	}
}

// Round is what a bank knows when it is asked.
type Round struct {
	Terms  func(organisation string) (Terms, bool) // false for one without a quota
	Shares *Shares
	Known  int            // boxes of the region that may ask some bank
	Draw   func() float64 // a random number from 0 up to 1
}

// Grant answers a box.
func (b *Bank) Grant(from Asker, asks []Ask, r Round, now time.Duration) []Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hear(from, now)
	part := min(1, float64(len(b.boxes))/float64(max(r.Known, 1)))
	out := make([]Grant, 0, len(asks))
	for _, a := range asks {
		terms, ok := r.Terms(a.Organisation)
		if !ok {
			continue
		}
		acc := b.account(a.Organisation, terms)
		acc.demand.Add(a.Asked, now, demandHalf)
		share := r.Shares.Of(a.Organisation, terms.PerSecond(), acc.known(now), now)
		acc.report(from.Box, a.Used, terms, now)
		acc.begin(terms, share, r.Shares, now)
		free := min(acc.left, terms.Units*part*share.Of*b.known(terms)-acc.used(now))
		out = append(out, acc.grant(a, free, terms.PerSecond()*part*share.Of, len(b.boxes), r.Draw(), now))
	}
	return out
}

// known returns of how much of a window the boxes that ask know what they used, 1 for all of it.
func (b *Bank) known(t Terms) float64 {
	sum := time.Duration(0)
	for _, box := range b.boxes {
		sum += min(box.up, t.Window)
	}
	return float64(sum) / float64(t.Window) / float64(len(b.boxes))
}

// hear takes in that a box asks. Where none did for a while, others were banks meanwhile.
func (b *Bank) hear(from Asker, now time.Duration) {
	if now-b.asked > heardFor {
		clear(b.accounts)
	}
	b.asked = now
	b.boxes[from.Box] = asker{
		at: now,
		up: from.Up,
	}
	for name, box := range b.boxes {
		if now-box.at > heardFor {
			delete(b.boxes, name)
		}
	}
}

// account returns the account of an organisation.
func (b *Bank) account(organisation string, t Terms) *account {
	acc, ok := b.accounts[organisation]
	if !ok {
		acc = &account{
			granted: newWindow(t.Window),
			reports: make(map[string]report),
			told:    -1,
			round:   -1,
		}
		b.accounts[organisation] = acc
	}
	return acc
}

// Uses returns what callers of the region use of each organisation's quota, to be told to other
// regions.
func (b *Bank) Uses(now time.Duration) map[string]Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]Use, len(b.accounts))
	for name, acc := range b.accounts {
		acc.told = math.Round(acc.perSecond(now))
		u := Use{
			Demand:  acc.told,
			Granted: math.Round(acc.used(now)),
		}
		if u != (Use{}) {
			out[name] = u
		}
	}
	return out
}

// perSecond returns what callers ask for a second.
func (a *account) perSecond(now time.Duration) float64 {
	return perSecond(&a.demand, now)
}

// known returns the demand by which the region's share is worked out: what others were told, for
// they go by that.
func (a *account) known(now time.Duration) float64 {
	if a.told < 0 {
		return a.perSecond(now)
	}
	return a.told
}

// report takes in what a box used. A report counts for a window, also of a box that isn't heard any
// more.
func (a *account) report(box string, units float64, t Terms, now time.Duration) {
	a.reports[box] = report{
		at:    now,
		units: units,
	}
	for name, r := range a.reports {
		if now-r.at > t.Window || r.units == 0 {
			delete(a.reports, name)
		}
	}
}

// reported returns what boxes said they used.
func (a *account) reported() (sum float64) {
	for _, r := range a.reports {
		sum += r.units
	}
	return sum
}

// used returns what was granted in the last window: here, or by the bank before, or by boxes that
// were cut off and their own banks.
func (a *account) used(now time.Duration) float64 {
	return max(a.granted.used(now), a.reported())
}

// begin works out, once in each round of words between regions, what this bank may grant in it: its
// share of what all regions that are heard have left.
func (a *account) begin(t Terms, share Share, shares *Shares, now time.Duration) {
	if round := shares.Round(); a.round != round {
		a.round = round
		a.left = math.Inf(1)
		if share.Heard > 0 {
			a.left = share.InRest * max(0, t.Units*share.Rest-a.used(now)-share.Granted)
		}
	}
}

// grant answers an ask, as so many boxes make; free is what may be granted, perSecond what comes in.
// A request that takes more than there is gets it while nothing is owed, for a part of a quota may
// be less than a long request takes.
func (a *account) grant(ask Ask, free, perSecond float64, boxes int, draw float64, now time.Duration) Grant {
	out := Grant{
		Organisation: ask.Organisation,
	}
	if free < 0 {
		if ask.Need > 0 {
			out.Wait = millis(a.wait(perSecond, draw, now))
			out.Again = millis(again)
		}
		return out
	}
	out.Units = ask.Need
	fair := aheadTimes * perSecond * aheadFor.Seconds() / float64(boxes)
	if ahead := min(ask.Ahead, aheadPart*(free-ask.Need), fair); ahead > 0 {
		out.Units += ahead
	}
	a.granted.add(out.Units, now)
	a.left -= out.Units
	return out
}

// wait returns when a caller that is turned away should come back: in turn with all others, at the
// pace that comes in.
func (a *account) wait(perSecond, draw float64, now time.Duration) time.Duration {
	if perSecond <= 0 {
		return longWait
	}
	turn := draw * a.perSecond(now) / perSecond
	return within(shortWait, time.Duration(turn*float64(time.Second)), longWait)
}

// within returns a time, or the bound that it is beyond.
func within(least, d, most time.Duration) time.Duration { return min(max(d, least), most) }

// millis returns a time as it stands in JSON.
func millis(d time.Duration) catalog.Millis { return catalog.Millis(d.Milliseconds()) }
