// Package share divides the capacity of a service's replicas among the boxes of a region. Every
// box computes its own share from the demand that all boxes report, so equal reports give shares
// that add up to the capacity. It does no I/O, and time is an argument.
package share

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxAge is the age above which a report of another box is ignored.
	MaxAge = 3 * time.Second

	// Part is the part of the replicas' capacity that boxes divide. Shares by reports of different ages
	// overlap for a moment: with all of the capacity, 4 to 7 in 100 requests of 32 or 60 boxes that
	// ask for 1.2 to 4 times of it are rejected, with this part 0.3 to 5, and the value served is at
	// most 0.006 lower (BenchmarkDivisions, before Bound took account of rejections).
	Part = 5.0 / 6

	// MaxLevels is the number of levels of urgency; less urgent requests count as the last.
	MaxLevels = 8
)

// Level is the demand of one box at one level of urgency, in requests.
type Level struct {
	Urgency int // 0 is the most urgent
	Running int // in flight at replicas
	Waiting int // at the box
	Flows   int // organisations, or routes of callers without one, with requests that wait
}

// Demand is the demand of one box for a service.
type Demand struct {
	Levels []Level       // one for each urgency; none of a box without work
	Age    time.Duration // of the report
}

// isKnown reports whether the report is recent enough to be used.
func (d Demand) isKnown() bool { return d.Age <= MaxAge }

// claim is what one box may use at one level.
type claim struct {
	requests float64
	weight   float64
}

// claims are those of one box, by level.
type claims [MaxLevels]claim

func (d Demand) claims() (out claims) {
	for _, l := range d.Levels {
		c := &out[min(max(l.Urgency, 0), MaxLevels-1)]
		c.requests += float64(max(l.Running, 0) + max(l.Waiting, 0))
		c.weight += float64(max(l.Flows, 1))
	}
	return out
}

// Allocate returns how many requests of a service a box may have in flight at the replicas of its
// region. room is the capacity of these, in requests; others are the demands of the other boxes of
// the region that have work or may get some.
//
// Level by level, each box gets what it runs and has waiting. Where that exceeds what is left, it
// is divided by max-min fairness, weighted by the number of flows. What no level asks for is
// divided equally, as headroom for arrivals. A box without a recent report is assumed to use an
// equal share of the capacity.
//
// Shares from equal reports add up to the capacity, but for the boxes with a share below one: the
// result is at least one, so that a box is never without a request of its own to learn from, and
// the first request of an idle box goes at once.
func Allocate(room float64, self Demand, others []Demand) float64 {
	out, _ := Divide(room, self, others)
	return out
}

// Divide is Allocate. It also reports whether the region is contended: its boxes ask for more than all
// that the replicas take, of which room is Part. What exceeds room but not that needs no division.
func Divide(room float64, self Demand, others []Demand) (inFlight float64, contended bool) {
	out, contended := divide(room, self, others)
	return max(out, 1), contended
}

func divide(room float64, self Demand, others []Demand) (out float64, contended bool) {
	known := make([]claims, 1, len(others)+1)
	known[0] = self.claims()
	for _, d := range others {
		if d.isKnown() {
			known = append(known, d.claims())
		}
	}
	left := max(room, 0) * float64(len(known)) / float64(len(others)+1)
	demand := 0.0
	for i := range known {
		for _, c := range known[i] {
			demand += c.requests
		}
	}
	contended = demand > left/Part
	asking := make([]claim, 0, len(known))
	for level := range MaxLevels {
		sum := 0.0
		asking = asking[:0]
		for i := range known {
			if c := known[i][level]; c.requests > 0 {
				asking = append(asking, c)
				sum += c.requests
			}
		}
		own := known[0][level]
		if sum > left && own.requests > 0 {
			out += min(own.requests, own.weight*fairRate(asking, left))
		}
		if sum > left {
			return out, contended
		}
		out += own.requests
		left -= sum
	}
	return out + left/float64(len(known)), contended
}

// fairRate returns the requests per weight that each claim gets at most where room is divided by
// max-min fairness. The claims exceed room; it reorders them.
func fairRate(list []claim, room float64) float64 {
	weight := 0.0
	for _, c := range list {
		weight += c.weight
	}
	slices.SortFunc(list, func(a, b claim) int { return cmp.Compare(a.requests*b.weight, b.requests*a.weight) })
	for _, c := range list {
		if c.requests*weight > room*c.weight {
			break
		}
		room -= c.requests
		weight -= c.weight
	}
	if weight <= 0 {
		return math.Inf(1) // rounding: all claims are met
	}
	return max(room, 0) / weight
}
