package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/havenrudder/havenrudder/roster"
)

const (
	contactBound    = 6 * time.Second  // after its death no box lists a box as alive
	membershipTime  = 20 * time.Second // from the start of all boxes until they must list each other
	observationTime = 15 * time.Second
	restartTime     = 12 * time.Second // from the start of a box again until all must list it
)

// unlisted returns the pairs of running boxes of which the first does not list the second as alive.
func (in *installation) unlisted() (out []string) {
	for _, m := range in.machines {
		for _, other := range in.machines {
			if m.state != nil && other.state != nil && !m.state.roster.Alive(other.name, m.age(in)) {
				out = append(out, fmt.Sprintf("%s lacks %s", m.name, other.name))
			}
		}
	}
	return out
}

// listing returns the running boxes that list a box as alive.
func (in *installation) listing(box *machine) (out []string) {
	for _, m := range in.machines {
		if m.state != nil && m.state.roster.Alive(box.name, m.age(in)) {
			out = append(out, m.name)
		}
	}
	return out
}

// Guards against boxes of a region that lose a live box or list a dead one, at the sizes around those from which
// a datagram no longer holds the entries of all boxes and from which boxes have monitors.
func TestRegionsOfAnySizeKnowDeathsAndLoseNoLiveBox(t *testing.T) {
	t.Parallel()
	for _, size := range []int{97, 112, 127} {
		for seed := range uint64(1) {
			t.Run(fmt.Sprint(size, " boxes, seed ", seed), func(t *testing.T) {
				t.Parallel()
				in := newInstallation(seed, 1, size)
				in.idle = true
				in.lossRate = 0.03
				in.startAll(time.Second, 0)
				in.run(membershipTime)
				lost := map[string]bool{}
				observe := func(d time.Duration) {
					for passed := time.Duration(0); passed < d; passed += 500 * time.Millisecond {
						in.run(500 * time.Millisecond)
						for _, pair := range in.unlisted() {
							lost[pair] = true
						}
					}
				}
				observe(observationTime)
				dead := in.machines[1+in.rnd.IntN(size-1)]
				in.kill(dead)
				observe(contactBound)
				if list := in.listing(dead); len(list) > 0 {
					t.Errorf("%d boxes list %s as alive %v after its death, first %v", len(list), dead.name, contactBound, slices.Sorted(slices.Values(list))[0])
				}
				if len(lost) > 0 {
					t.Errorf("%d pairs of live boxes of which one did not list the other", len(lost))
				}
			})
		}
	}
}

// Guards against live boxes that their region loses, and declares dead to others, where the bytes of heartbeats are
// few for the boxes of a region.
func TestLargeRegionsOfALargeFleetLoseNoLiveBox(t *testing.T) {
	t.Parallel()
	for _, perRegion := range []int{60, 100} {
		t.Run(fmt.Sprint(perRegion, " boxes"), func(t *testing.T) {
			t.Parallel()
			in := newInstallation(0, 3, perRegion)
			in.idle = true
			in.startAll(time.Second, 0)
			in.run(membershipTime)
			lost := map[string]bool{}
			for range 10 {
				in.run(time.Second)
				for _, m := range in.machines {
					for _, other := range in.machines {
						if m.region == other.region && !m.state.roster.Alive(other.name, m.age(in)) {
							lost[m.name+" lacks "+other.name] = true
						}
					}
				}
			}
			if len(lost) > 0 {
				t.Errorf("%d pairs of live boxes of a region of which one did not list the other", len(lost))
			}
		})
	}
}

// Guards against boxes of a small region that expect heartbeats of larger ones more often than these send them,
// and list their live boxes only at times.
func TestBoxesOfASmallRegionLoseNoLiveBoxOfLargerOnes(t *testing.T) {
	t.Parallel()
	for _, sizes := range [][]int{{18, 19, 5}, {25, 5, 5, 4, 3}, {8, 8, 8, 8, 8, 2}, {24, 2, 1}} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(sizes, " boxes, seed ", seed), func(t *testing.T) {
				t.Parallel()
				in := newUnevenInstallation(seed, sizes)
				in.idle = true
				in.lossRate = 0.03
				in.startAll(time.Second, 0)
				in.run(membershipTime)
				lost := map[string]bool{}
				looks, bad := 0, 0
				for passed := time.Duration(0); passed < observationTime; passed += roster.Tick {
					in.run(roster.Tick)
					looks++
					pairs := in.unlisted()
					if len(pairs) > 0 {
						bad++
					}
					for _, pair := range pairs {
						lost[pair] = true
					}
				}
				if len(lost) > 0 {
					t.Errorf("%d pairs of live boxes of which one did not list the other, some at %d of %d looks", len(lost), bad, looks)
				}
			})
		}
	}
}

// Guards against boxes that others do not list for minutes, as the time of day by which their process is numbered
// was set back between two starts.
func TestABoxThatStartsAgainWithAnEarlierTimeOfDayIsListed(t *testing.T) {
	t.Parallel()
	for _, perRegion := range []int{3, 14} {
		for _, down := range []time.Duration{500 * time.Millisecond, 8 * time.Second} {
			t.Run(fmt.Sprint(3*perRegion, " boxes, away for ", down), func(t *testing.T) {
				t.Parallel()
				in := newInstallation(0, 3, perRegion)
				in.idle = true
				box := in.machines[1]
				box.skew = time.Hour
				in.startAll(time.Second, 0)
				in.run(membershipTime)
				box.skew = 0
				in.restart(box, down)
				in.run(down + restartTime)
				if list := in.listing(box); len(list) < len(in.machines) {
					t.Errorf("%d of %d boxes list a box %v after its start", len(list), len(in.machines), restartTime)
				}
			})
		}
	}
}
