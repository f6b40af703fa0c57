package placement

import (
	"cmp"
	"math"
)

// Parameters for learning how many engine steps one event of a service's streams takes.
const (
	stepsWeight     = 0.05 // of the newest stream; length hints of callers vary widely
	minSteps        = 1.0
	maxSteps        = 32.0
	minStreamEvents = 4 // shorter streams are ignored
)

// RecordStream updates the steps per event from a complete stream and the length in tokens that
// the caller had hinted.
func (v *View) RecordStream(service string, events, guess int) {
	if events < minStreamEvents || guess <= 0 {
		return
	}
	sample := math.Log(min(max(float64(guess)/float64(events), minSteps), maxSteps))
	old := math.Log(v.StepsPerEvent(service))
	v.steps[service] = math.Exp(old + stepsWeight*(sample-old))
}

// StepsPerEvent returns the number of engine steps per event of a service's streams.
func (v *View) StepsPerEvent(service string) float64 { return cmp.Or(v.steps[service], defaultSteps) }
