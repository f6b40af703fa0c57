package roster

import (
	"math"
	"time"
)

// Bytes that heartbeats may take, with the headers of UDP and IPv4.
const (
	fleetBytesPerSecond = 468_000          // a second sent by all boxes together: 1,200 for each of the 390 to design for; up to it whole statuses are told, in JSON
	minBytesPerSecond   = 1_200            // a second sent by one box however many there are; with as many received 2,400 of the 3,000 for control
	budgetExponent      = 1.5              // power of the number of boxes by which the budget of one falls; 12 KB/s at 86, where with 1 loads were known too late
	packetHeaderBytes   = 28               // of UDP and IPv4 in front of each datagram
	nearStatusBytes     = 450              // of a whole status with the loads of a usual day, docs/measured/capacity.md
	farStatusBytes      = 900              // the same with others' statuses
	maxDebtTicks        = 1                // of the budget that news and answers may take in advance; what they take beyond it is not saved up again, for heartbeats must go on
	maxSavedTicks       = 2                // of the budget that are kept when less was sent
	loadsDivisor        = 4                // part of a tick's bytes that loads in one datagram may take, as a divisor
	minLoadsBytes       = 60               // bytes; some five loads
	maxLoadsBytes       = 600              // bytes; the rest of a datagram is for statuses
	emptyCompactBytes   = 40               // of a compact datagram without lists, with its headers 68
	farLivenessEvery    = 4                // every so many-th full datagram goes to another region
	suspicionSpreads    = 2                // spreads of a rumour until a box is taken for dead
	maxAliveTimeout     = 6 * time.Second  // since its last sign of life; bound of pace.own, and pace.region of many boxes
	farAliveTimeout     = 40 * time.Second // without word of a single box of another region, whose death its region tells
	maxCapacityAge      = 10 * time.Second // for which what another region told of its room counts
	maxLoadsAge         = 5 * time.Second  // for which what another box told of loads counts
)

// protocolParams is how much a box tells and how long what it hears counts. It follows from
// the number of boxes.
type protocolParams struct {
	loadsBytes     int           // bytes for loads in one datagram; 0 where they are not told
	fullStatus     bool          // whole statuses go to the whole region at each tick
	bytesPerSecond float64       // that may be sent in a second; no bound for few boxes
	nearTimeout    time.Duration // since its last sign of life for which a box of the own region counts as alive
	regionTimeout  time.Duration // since its last sign of life for which another region counts as reached
	farTimeout     time.Duration // since its last sign of life for which a box of a region that is reached counts as alive
	nearInterval   time.Duration // until each box of the region was told
	farInterval    time.Duration // until a box was told by each other region
}

// fullStatusParams is the pace of few boxes.
func fullStatusParams() protocolParams {
	return protocolParams{
		fullStatus:     true,
		bytesPerSecond: math.Inf(1),
		nearTimeout:    aliveTimeout,
		regionTimeout:  aliveTimeout,
		farTimeout:     aliveTimeout,
		nearInterval:   Tick,
		farInterval:    farEvery * Tick,
	}
}

// paramsFor returns the pace of a box: near is the number of other boxes of its region,
// regions that of other regions with boxes, all that of all boxes.
func paramsFor(near, regions, all int) protocolParams {
	fleet := float64(fleetBytesPerSecond) / float64(max(all, 1))
	cost := min(near, maxNearTargets)*nearStatusBytes*int(time.Second/Tick) + regions*targetsPerRegion*farStatusBytes
	if float64(cost) <= fleet {
		return fullStatusParams()
	}
	budget := minBytesPerSecond * max(1, math.Pow(fleet/minBytesPerSecond, budgetExponent))
	tick := budget * Tick.Seconds()
	loads := loadsBudget(budget, near)
	// bytes of a full and of a light datagram with half of the room for loads used
	livenessCost := float64(packetHeaderBytes + emptyCompactBytes + livenessBytes*(min(near+1, maxNearEntries)+regions+maxFarEntries) + loads/2)
	loadsCost := float64(packetHeaderBytes + emptyCompactBytes + loads/2)
	// how many of each are sent in a tick
	livenessRate := min(1, tick/livenessCost)
	loadsRate := min(max(0, (tick-livenessCost)/loadsCost), float64(near))
	nearRate := livenessRate*(farLivenessEvery-1)/farLivenessEvery + loadsRate
	spread := 2 * math.Log(float64(near+2)) / (livenessRate * (farLivenessEvery - 1) / farLivenessEvery)
	nearRound := time.Duration(float64(max(near, 1)) / nearRate * float64(Tick))
	return protocolParams{
		loadsBytes:     loads,
		bytesPerSecond: budget,
		nearTimeout:    min(max(aliveTimeout, suspicionSpreads*time.Duration(spread*float64(Tick))), maxAliveTimeout),
		regionTimeout:  maxAliveTimeout,
		farTimeout:     farAliveTimeout,
		nearInterval:   max(Tick, nearRound),
		farInterval:    time.Duration(float64(max(regions, 1)) * farLivenessEvery / livenessRate * float64(Tick)),
	}
}

// loadsBudget returns the bytes for loads in one datagram: none where the region's
// boxes can't be told before what they were told counts no more.
func loadsBudget(budget float64, near int) int {
	round := float64(near*(packetHeaderBytes+emptyCompactBytes+minLoadsBytes)) / budget
	if round > maxLoadsAge.Seconds()/2 {
		return 0
	}
	return int(min(max(budget*Tick.Seconds()/loadsDivisor, minLoadsBytes), maxLoadsBytes))
}

// updateParams works the pace out anew from the boxes that were alive of late.
func (t *Table) updateParams(now time.Duration) {
	near, all := 0, 1
	regions := make(map[string]bool)
	for _, r := range t.records {
		if now-r.Seen >= partitionWindow {
			continue
		}
		all++
		if r.Status.Region == t.self.Region {
			near++
			continue
		}
		regions[r.Status.Region] = true
	}
	t.params = paramsFor(near, len(regions), all)
}

// LoadsAge returns how long a load that another box told counts: over two of its
// messages, and 5 s at most.
func (t *Table) LoadsAge() time.Duration {
	if t.params.fullStatus {
		return 0
	}
	return min(2*t.params.nearInterval+2*Tick, maxLoadsAge)
}

// RoomsAge returns how long what another region told of its room counts.
func (t *Table) RoomsAge() time.Duration {
	if t.params.fullStatus {
		return 0
	}
	return min(3*t.params.farInterval, maxCapacityAge)
}

// Plain says whether the boxes are so few that whole statuses are told.
func (t *Table) Plain() bool { return t.params.fullStatus }
