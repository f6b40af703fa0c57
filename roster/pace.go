package roster

import (
	"math"
	"time"
)

// Bytes that heartbeats may take, with the headers of UDP and IPv4.
const (
	fleetBytes   = 468_000          // a second sent by all boxes together: 1,200 for each of the 390 to design for; up to it whole statuses are told, in JSON
	leastBytes   = 1_200            // a second sent by one box however many there are; with as many received 2,400 of the 3,000 for control
	steepness    = 1.5              // power of the number of boxes by which the budget of one falls; 12 KB/s at 86, where with 1 loads were known too late
	headerBytes  = 28               // of UDP and IPv4 in front of each datagram
	plainNear    = 450              // of a whole status with the loads of a usual day, docs/measured/capacity.md
	plainFar     = 900              // the same with others' statuses
	debtTicks    = 1                // of the budget that news and answers may take in advance; what they take beyond it is not saved up again, for heartbeats must go on
	savedTicks   = 2                // of the budget that are kept when less was sent
	loadsShare   = 4                // part of a tick's bytes that loads in one datagram may take, as a divisor
	fewestLoads  = 60               // bytes; some five loads
	mostLoads    = 600              // bytes; the rest of a datagram is for statuses
	compactBytes = 40               // of a compact datagram without lists, with its headers 68
	farFullEvery = 4                // every so many-th full datagram goes to another region
	slackRounds  = 2                // spreads of a rumour until a box is taken for dead
	longestAlive = 6 * time.Second  // since its last sign of life; bound of pace.own, and pace.region of many boxes
	longestFar   = 40 * time.Second // without word of a single box of another region, whose death its region tells
	longestRooms = 10 * time.Second // for which what another region told of its room counts
	longestLoads = 5 * time.Second  // for which what another box told of loads counts
)

// pace is how much a box tells and how long what it hears counts. It follows from
// the number of boxes.
type pace struct {
	loads     int           // bytes for loads in one datagram; 0 where they are not told
	plain     bool          // whole statuses go to the whole region at each tick
	bytes     float64       // that may be sent in a second; no bound for few boxes
	own       time.Duration // since its last sign of life for which a box of the own region counts as alive
	region    time.Duration // since its last sign of life for which another region counts as reached
	far       time.Duration // since its last sign of life for which a box of a region that is reached counts as alive
	nearRound time.Duration // until each box of the region was told
	farRound  time.Duration // until a box was told by each other region
}

// plainPace is the pace of few boxes.
func plainPace() pace {
	return pace{
		plain:     true,
		bytes:     math.Inf(1),
		own:       aliveFor,
		region:    aliveFor,
		far:       aliveFor,
		nearRound: Tick,
		farRound:  farEvery * Tick,
	}
}

// paceOf returns the pace of a box: near is the number of other boxes of its region,
// regions that of other regions with boxes, all that of all boxes.
func paceOf(near, regions, all int) pace {
	fleet := float64(fleetBytes) / float64(max(all, 1))
	cost := min(near, ownTargets)*plainNear*int(time.Second/Tick) + regions*farTargets*plainFar
	if float64(cost) <= fleet {
		return plainPace()
	}
	budget := leastBytes * max(1, math.Pow(fleet/leastBytes, steepness))
	tick := budget * Tick.Seconds()
	loads := loadsRoom(budget, near)
	// bytes of a full and of a light datagram with half of the room for loads used
	fullCost := float64(headerBytes + compactBytes + vitalBytes*(min(near+1, mostVitals)+regions+farVitals) + loads/2)
	lightCost := float64(headerBytes + compactBytes + loads/2)
	// how many of each are sent in a tick
	fullRate := min(1, tick/fullCost)
	lightRate := min(max(0, (tick-fullCost)/lightCost), float64(near))
	told := fullRate*(farFullEvery-1)/farFullEvery + lightRate
	spread := 2 * math.Log(float64(near+2)) / (fullRate * (farFullEvery - 1) / farFullEvery)
	nearRound := time.Duration(float64(max(near, 1)) / told * float64(Tick))
	return pace{
		loads:     loads,
		bytes:     budget,
		own:       min(max(aliveFor, slackRounds*time.Duration(spread*float64(Tick))), longestAlive),
		region:    longestAlive,
		far:       longestFar,
		nearRound: max(Tick, nearRound),
		farRound:  time.Duration(float64(max(regions, 1)) * farFullEvery / fullRate * float64(Tick)),
	}
}

// loadsRoom returns the bytes for loads in one datagram: none where the region's
// boxes can't be told before what they were told counts no more.
func loadsRoom(budget float64, near int) int {
	round := float64(near*(headerBytes+compactBytes+fewestLoads)) / budget
	if round > longestLoads.Seconds()/2 {
		return 0
	}
	return int(min(max(budget*Tick.Seconds()/loadsShare, fewestLoads), mostLoads))
}

// adapt works the pace out anew from the boxes that were alive of late.
func (t *Table) adapt(now time.Duration) {
	near, all := 0, 1
	regions := make(map[string]bool)
	for _, r := range t.records {
		if now-r.Seen >= silentFor {
			continue
		}
		all++
		if r.Status.Region == t.self.Region {
			near++
			continue
		}
		regions[r.Status.Region] = true
	}
	t.pace = paceOf(near, len(regions), all)
}

// LoadsAge returns how long a load that another box told counts: over two of its
// messages, and 5 s at most.
func (t *Table) LoadsAge() time.Duration {
	if t.pace.plain {
		return 0
	}
	return min(2*t.pace.nearRound+2*Tick, longestLoads)
}

// RoomsAge returns how long what another region told of its room counts.
func (t *Table) RoomsAge() time.Duration {
	if t.pace.plain {
		return 0
	}
	return min(3*t.pace.farRound, longestRooms)
}

// Plain says whether the boxes are so few that whole statuses are told.
func (t *Table) Plain() bool { return t.pace.plain }
