package roster

import (
	"math"
	"time"
)

// Limits of the bytes that gossip takes, with UDP and IPv4 headers.
const (
	fleetBytesPerSecond = 468_000 // sent by all boxes together; up to it boxes send full statuses; 1,200 for each of 390 boxes
	minBytesPerSecond   = 1_200   // sent by one box, however many there are; with as many received, 2,400 of the 3,000 for control
	budgetExponent      = 1.5     // power of the number of boxes by which the budget of one falls; with 1, loads of 86 boxes were known too late
	packetHeaderBytes   = 28
	nearStatusBytes     = 450              // typical full status with loads
	farStatusBytes      = 900              // the same with statuses of other boxes
	maxDebtTicks        = 1                // of the budget that changes and replies may overdraw; any excess is dropped
	maxSavedTicks       = 2                // of unused budget
	loadsDivisor        = 4                // of a tick's bytes; the quotient limits the loads in one datagram
	minLoadsBytes       = 60               // some five loads
	maxLoadsBytes       = 600              // the rest of a datagram is for statuses
	emptyCompactBytes   = 40               // a compact datagram without lists; packet headers come on top
	farLivenessEvery    = 4                // rounds, in one of which the liveness datagram goes to another region
	suspicionSpreads    = 2                // a box counts as dead after this multiple of the time that gossip takes to spread
	maxAliveTimeout     = 6 * time.Second  // limit of nearTimeout, and regionTimeout of many boxes
	farAliveTimeout     = 40 * time.Second // without a heartbeat of a box of another region, which declares its deaths
	maxCapacityAge      = 10 * time.Second
	maxLoadsAge         = 5 * time.Second
)

// params holds the rates and timeouts that follow from the number of boxes.
type params struct {
	loads          int           // bytes of loads in one datagram; 0 if boxes don't send them
	demand         int           // bytes of demand in one datagram for the own region, beside this box's
	demandPerTick  float64       // bytes of demand in all of them
	fullStatus     bool          // boxes send full statuses to all of the region at each tick
	bytesPerSecond float64       // unlimited for few boxes
	nearTimeout    time.Duration // since the last heartbeat of a box of the own region
	regionTimeout  time.Duration // since the last heartbeat of another region
	farTimeout     time.Duration // since the last heartbeat of a box of a reachable region
	nearInterval   time.Duration // in which each box of the region is sent to once
	farInterval    time.Duration // in which each other region sends to a box once
}

func fullStatusParams() params {
	return params{
		fullStatus:     true,
		bytesPerSecond: math.Inf(1),
		nearTimeout:    aliveTimeout,
		regionTimeout:  aliveTimeout,
		farTimeout:     aliveTimeout,
		nearInterval:   Tick,
		farInterval:    farEvery * Tick,
	}
}

// paramsFor returns the parameters for near other boxes in the own region, a number of other
// regions, and the number of all boxes.
func paramsFor(near, regions, all int) params {
	cost := min(near, maxNearTargets)*nearStatusBytes*int(time.Second/Tick) + regions*targetsPerRegion*farStatusBytes
	if float64(cost) <= fairShare(all) {
		return fullStatusParams()
	}
	return compactParams(near, regions, all)
}

// fairShare returns the bytes per second of one of so many boxes.
func fairShare(all int) float64 { return float64(fleetBytesPerSecond) / float64(max(all, 1)) }

// compactParams returns the parameters of a box that sends compact datagrams.
func compactParams(near, regions, all int) params {
	budget := minBytesPerSecond * max(1, math.Pow(fairShare(all)/minBytesPerSecond, budgetExponent))
	tick := budget * Tick.Seconds()
	loads := loadsBudget(budget, near)
	// bytes of a liveness datagram and one of loads, with half of the bytes for loads used
	livenessCost := float64(packetHeaderBytes + emptyCompactBytes + livenessBytes*(min(near+1, maxNearEntries)+regions+maxFarEntries) + loads/2)
	loadsCost := float64(packetHeaderBytes + emptyCompactBytes + loads/2)
	// datagrams of each kind per tick
	livenessRate := min(1, tick/livenessCost)
	loadsRate := min(max(0, (tick-livenessCost)/loadsCost), float64(near))
	nearRate := livenessRate*(farLivenessEvery-1)/farLivenessEvery + loadsRate
	spread := 2 * math.Log(float64(near+2)) / (livenessRate * (farLivenessEvery - 1) / farLivenessEvery)
	nearInterval := time.Duration(float64(max(near, 1)) / nearRate * float64(Tick))
	return params{
		loads:          loads,
		demand:         demandBudget(tick, loads, nearRate),
		demandPerTick:  demandPerTick(tick),
		bytesPerSecond: budget,
		nearTimeout:    min(max(aliveTimeout, suspicionSpreads*time.Duration(spread*float64(Tick))), maxAliveTimeout),
		regionTimeout:  maxAliveTimeout,
		farTimeout:     farAliveTimeout,
		nearInterval:   max(Tick, nearInterval),
		farInterval:    time.Duration(float64(max(regions, 1)) * farLivenessEvery / livenessRate * float64(Tick)),
	}
}

// loadsBudget returns the bytes for loads in one datagram: 0 if loads would expire before all
// boxes of the region receive them.
func loadsBudget(budget float64, near int) int {
	round := float64(near*(packetHeaderBytes+emptyCompactBytes+minLoadsBytes)) / budget
	if round > maxLoadsAge.Seconds()/2 {
		return 0
	}
	return int(min(max(budget*Tick.Seconds()/loadsDivisor, minLoadsBytes), maxLoadsBytes))
}

// demandBudget returns the bytes for demand in one datagram. nearRate is the number of datagrams
// to the own region in a tick; where boxes send no loads, they send load reports in addition.
func demandBudget(tick float64, loads int, nearRate float64) int {
	if loads == 0 {
		nearRate += reportFanout
	}
	return int(min(max(demandPerTick(tick)/nearRate, minDemandBytes), maxDemandBytes))
}

// demandPerTick returns the bytes for demand in all datagrams of a tick.
func demandPerTick(tick float64) float64 { return max(tick/demandDivisor, minDemandPerTick) }

// updateParams adapts the parameters to the recorded boxes. The largest region determines whether
// boxes send full statuses: those of a smaller one would otherwise expect heartbeats as often as they
// send them, and lose live boxes of regions that send compact datagrams.
func (t *Table) updateParams(now time.Duration) {
	all := 1
	sizes := map[string]int{
		t.self.Region: 1,
	}
	for _, r := range t.records {
		if now-r.LastAlive >= partitionWindow {
			continue
		}
		all++
		sizes[r.Status.Region]++
	}
	largest := 0
	for _, size := range sizes {
		largest = max(largest, size)
	}
	regions := len(sizes) - 1
	t.params = paramsFor(largest-1, regions, all)
	if !t.params.fullStatus {
		t.params = compactParams(sizes[t.self.Region]-1, regions, all)
	}
}

// LoadsTTL returns how long loads received from another box are valid.
func (t *Table) LoadsTTL() time.Duration {
	if t.params.fullStatus {
		return 0
	}
	return min(2*t.params.nearInterval+2*Tick, maxLoadsAge)
}

// CapacityTTL returns how long capacity received from another region is valid.
func (t *Table) CapacityTTL() time.Duration {
	if t.params.fullStatus {
		return 0
	}
	return min(3*t.params.farInterval, maxCapacityAge)
}

// FullStatusMode reports whether there are so few boxes that they send full statuses.
func (t *Table) FullStatusMode() bool { return t.params.fullStatus }
