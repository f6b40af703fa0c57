// Package speed estimates how fast a replica works, apart from its load. It does no I/O, and
// time is an argument.
package speed

import (
	"math"
	"time"

	"github.com/havenrudder/havenrudder/common/decay"
)

// Bounds of a ratio. A ratio is the time that work takes over the time expected of the service
// at the same load: 2 is half as fast as expected.
const (
	MinRatio = 0.25
	MaxRatio = 8.0
)

// Parameters of an Estimator.
const (
	driftHalfLife = 8 * time.Second        // of samples of the machine's own speed
	noiseHalfLife = 300 * time.Millisecond // of samples of what neighbours of the machine take; slowdowns last some 600 ms
	driftPrior    = 3.0                    // samples that the mean of the service counts for
	noisePrior    = 2.0                    // samples that the machine's own speed counts for
	maxSamples    = 128.0                  // that the drift counts, so that a replica with many requests is not slower to adapt
	maxDeviation  = 1.0                    // natural logarithm by which one sample may deviate from the estimate; outliers are clipped to it
	minSamples    = 8.0                    // from which a replica may count as faster than the mean
	reportTTL     = 300 * time.Millisecond // of a reported pace, which changes many times a second
	reportWeight  = 6.0                    // samples that a new report counts for; it has no noise of the work itself
	minPaceChange = -0.35                  // natural logarithm; lowest change of a reported pace, for a replica may make it up
)

// Source is where an estimate comes from.
type Source string

// Sources.
const (
	Mean     Source = "mean"     // of the service: the replica itself is unknown
	Requests Source = "requests" // the box's own requests
	Reports  Source = "reports"  // pace that the replica reports, and the box's own requests
)

// Sample is the observation of one request.
type Sample struct {
	Took     time.Duration
	Expected time.Duration // of a replica with ratio 1 at the same load
	Weight   float64       // from 0 to 1: how much of the time expected is known to be work of the request itself
}

// State is an estimate at a moment.
type State struct {
	Ratio  float64
	Source Source
	Age    time.Duration // of the latest sample or report; 0 with Mean
}

// mean is a weighted mean of observations, which count less with their age.
type mean struct {
	sum    float64
	weight float64
	at     time.Duration
}

func (m mean) left(now, halfLife time.Duration) mean {
	f := decay.Left(now-m.at, halfLife)
	m.sum *= f
	m.weight *= f
	return m
}

func (m *mean) add(x, weight float64, now, halfLife time.Duration) {
	*m = m.left(now, halfLife)
	m.sum += weight * x
	m.weight += weight
	m.at = max(m.at, now)
}

// Estimator estimates the ratio of one incarnation of a replica. The zero value knows nothing.
// Its values are natural logarithms.
type Estimator struct {
	drift    mean // of the machine
	noise    mean // deviations from the drift
	pace     mean // reported
	reported float64
	count    float64 // of samples, by their weights
	sampleAt time.Duration
	reportAt time.Duration
	hasPace  bool
}

// Add records a sample. average is the mean ratio of the service's replicas, 1 if unknown. A sample
// without a time, or without a weight, says nothing.
func (e *Estimator) Add(s Sample, average float64, now time.Duration) {
	if s.Took <= 0 || s.Expected <= 0 || !(s.Weight > 0) {
		return
	}
	w := min(s.Weight, 1)
	x := math.Log(float64(s.Took) / float64(s.Expected))
	old := e.driftAt(average, now)
	x = max(min(x, old+maxDeviation), old-maxDeviation)
	e.drift.add(x, w, now, driftHalfLife)
	if f := maxSamples / e.drift.weight; f < 1 {
		e.drift.sum *= f
		e.drift.weight = maxSamples
	}
	e.noise.add(x-old, w, now, noiseHalfLife)
	e.count += w
	e.sampleAt = max(e.sampleAt, now)
}

// Report records the pace that the replica reports, in percent of its usual time. Only its changes
// count: a replica can't attract requests by a constant pace.
func (e *Estimator) Report(percent int, now time.Duration) {
	if percent <= 0 || now < e.reportAt {
		return
	}
	e.reported = min(max(math.Log(float64(percent)/100), -math.Log(MaxRatio)), math.Log(MaxRatio))
	e.pace.add(e.reported, 1, now, driftHalfLife)
	e.reportAt = now
	e.hasPace = true
}

// driftAt returns the ratio of the machine itself. It goes back to the mean without new samples,
// whatever their number, so that a slow machine is tried again.
func (e *Estimator) driftAt(average float64, now time.Duration) float64 {
	m := math.Log(average)
	d := e.drift.left(now, driftHalfLife)
	return m + decay.Left(now-e.sampleAt, driftHalfLife)*(d.sum-d.weight*m)/(d.weight+driftPrior)
}

// paceChange returns how much the reported pace differs from its mean, and its weight in samples.
func (e *Estimator) paceChange(now time.Duration) (change, weight float64) {
	if !e.hasPace || now-e.reportAt >= reportTTL {
		return 0, 0
	}
	p := e.pace.left(now, driftHalfLife)
	return max(e.reported-p.sum/(p.weight+driftPrior), minPaceChange), reportWeight
}

// At returns the estimate at now. average is that of Add.
func (e *Estimator) At(average float64, now time.Duration) State {
	if e.count == 0 && !e.hasPace {
		return State{
			Ratio:  average,
			Source: Mean,
		}
	}
	d := e.driftAt(average, now)
	n := e.noise.left(now, noiseHalfLife)
	change, weight := e.paceChange(now)
	if weight > 0 {
		n = mean{} // a report is less noisy than samples, and bounded
	}
	ratio := math.Exp(d + (n.sum+weight*change)/(n.weight+noisePrior+weight))
	if e.count < minSamples {
		ratio = max(ratio, average)
	}
	out := State{
		Ratio:  min(max(ratio, MinRatio), MaxRatio),
		Source: Mean,
	}
	switch {
	case weight > 0:
		out.Source = Reports
		out.Age = max(now-e.reportAt, 0)
	case e.count > 0:
		out.Source = Requests
		out.Age = max(now-e.sampleAt, 0)
	}
	return out
}

// Drift returns the ratio of the machine itself, without a mean of other replicas. It returns
// false where too few recent samples are known.
func (e *Estimator) Drift(now time.Duration) (ratio float64, ok bool) {
	d := e.drift.left(now, driftHalfLife)
	if d.weight < minSamples/2 || e.count < minSamples {
		return 0, false
	}
	return min(max(math.Exp(d.sum/d.weight), MinRatio), MaxRatio), true
}
