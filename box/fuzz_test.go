package box_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "github.com/havenrudder/havenrudder/internal/fixed"
)

// act is one thing that happens to a failure domain.
type act struct {
	what string
	box  int
	with int
	wait time.Duration
}

const fuzzedBoxes = 4

func drawActs(t *rapid.T) []act {
	what := rapid.SampledFrom([]string{"publish", "publish", "flap", "down", "up", "freeze", "relapse", "thaw", "crash", "start", "start", "cut", "blind", "sleep", "sleep", "wake", "heal", "wait", "wait"})
	box := rapid.IntRange(0, fuzzedBoxes-1)
	wait := rapid.SampledFrom([]time.Duration{0, 10 * time.Millisecond, time.Second, 5 * time.Second, 20 * time.Second, time.Minute})
	n := rapid.IntRange(1, 25).Draw(t, "acts")
	var out []act
	for range n {
		out = append(out, act{
			what: what.Draw(t, "what"),
			box:  box.Draw(t, "box"),
			with: box.Draw(t, "with"),
			wait: wait.Draw(t, "wait"),
		})
	}
	return out
}

// fuzzed is a failure domain under acts, and what its boxes have shown so far.
type fuzzed struct {
	*domain
	highest int            // version published so far
	seen    map[string]int // by box, of its present process
	owed    map[string]int // by box that starts: what a peer it can reach had in force
	cuts    int            // since the last heal
	faults  []string
}

func (f *fuzzed) do(a act) {
	name := string(rune('a' + a.box))
	switch a.what {
	case "publish":
		f.highest++
		f.publish(f.highest)
	case "flap":
		f.publish(max(1, f.highest-1-a.with))
	case "down":
		f.platform.SetDown(true)
	case "up":
		f.platform.SetDown(false)
	case "freeze":
		f.platform.Freeze()
	case "relapse":
		f.platform.Relapse()
	case "thaw":
		f.platform.Thaw()
	case "crash":
		f.stop(name)
	case "start":
		f.stop(name)
		f.restart(name)
	case "cut":
		f.cuts++
		clear(f.owed) // who starts now may not reach whom it would have asked
		f.net.Cut(name, string(rune('a'+a.with)))
	case "blind":
		f.net.Cut(name, "platform")
	case "sleep":
		f.cuts++
		clear(f.owed)
		f.net.Freeze(name)
	case "wake":
		f.net.Thaw(name)
	case "heal":
		f.mend()
	}
	f.wait(a.wait)
	f.look()
}

func (f *fuzzed) stop(name string) {
	if _, ok := f.boxes[name]; ok {
		f.crash(name)
		delete(f.boxes, name)
		delete(f.seen, name)
		delete(f.owed, name)
	}
}

// restart starts a box of that name; the list has its new address.
func (f *fuzzed) restart(name string) {
	list := f.fleets["d"]
	kept := list.Boxes[:0]
	for _, b := range list.Boxes {
		if b.Name != name {
			kept = append(kept, b)
		}
	}
	list.Boxes = kept
	if f.cuts == 0 && len(f.boxes) > 0 {
		f.owed[name] = f.lowest()
	}
	f.start(name)
	f.publishFleet()
}

// lowest returns the lowest version in force: whichever box answers one that
// starts, it has at least this.
func (f *fuzzed) lowest() int {
	low := f.highest
	for _, r := range f.boxes {
		low = min(low, r.box.InForce())
	}
	return low
}

// look holds what the boxes have in force against what they had.
func (f *fuzzed) look() {
	for name, r := range f.boxes {
		now := r.box.InForce()
		if now < f.seen[name] {
			f.faults = append(f.faults, fmt.Sprintf("box %s went from version %d back to %d", name, f.seen[name], now))
		}
		if now > f.highest {
			f.faults = append(f.faults, fmt.Sprintf("box %s has version %d, %d was published", name, now, f.highest))
		}
		if now > 0 && now < f.owed[name] {
			f.faults = append(f.faults, fmt.Sprintf("box %s serves version %d, its peers had %d when it started", name, now, f.owed[name]))
		}
		if now > 0 {
			delete(f.owed, name)
		}
		f.seen[name] = now
	}
}

// mend ends cuts and pauses.
func (f *fuzzed) mend() {
	f.cuts = 0
	f.net.Heal()
	for i := range fuzzedBoxes {
		f.net.Thaw(string(rune('a' + i)))
	}
}

// settle ends every fault and lets the boxes agree.
func (f *fuzzed) settle() {
	f.mend()
	f.platform.SetDown(false)
	f.platform.Thaw()
	f.publish(f.highest)
	for i := range fuzzedBoxes {
		name := string(rune('a' + i))
		if _, ok := f.boxes[name]; !ok {
			f.restart(name)
		}
	}
	f.publishFleet()
	f.wait(2 * time.Minute)
	f.look()
	for name, r := range f.boxes {
		if got := r.box.InForce(); got != f.highest {
			f.faults = append(f.faults, fmt.Sprintf("box %s has version %d, not %d", name, got, f.highest))
		}
		for _, p := range r.box.Dump().Peers {
			if !p.Alive {
				f.faults = append(f.faults, fmt.Sprintf("box %s takes %s for dead", name, p.Name))
			}
		}
	}
}

// TestVersionsNeverGoDownAndBoxesAgreeWhenFaultsEnd runs whole boxes in virtual
// time through crashes, pauses, cuts, and a platform that is down, behind or flapping.
func TestVersionsNeverGoDownAndBoxesAgreeWhenFaultsEnd(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		acts := drawActs(rt)
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			f := &fuzzed{
				domain:  emptyDomain(t),
				highest: 1,
				seen:    make(map[string]int),
				owed:    make(map[string]int),
			}
			defer f.end()
			f.open("a", "b", "c", "d")
			for _, a := range acts {
				f.do(a)
			}
			f.settle()
			faults = f.faults
		})
		if len(faults) > 0 {
			rt.Fatalf("%v", faults)
		}
	})
}
