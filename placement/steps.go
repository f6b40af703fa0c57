package placement

import (
	"cmp"
	"math"
)

// Figures of learning how many steps of an engine make one event of a service's streams:
// five on the users' first installations, nine on the largest. With five taken for nine
// a prompt was thought to make pauses of 370 ms where they are 650, beyond the aim of 600.
const (
	stepsPerEventWeight = 0.05 // of the newest stream; callers' guesses are off by half as much again as a rule
	minStepsPerEvent    = 1.0
	maxStepsPerEvent    = 32.0
	minStreamEvents     = 4 // of a stream that says anything about it
)

// Streamed takes in that a whole stream had so many events, where the caller had guessed
// so many tokens. Guesses are right in the median.
func (v *View) Streamed(service string, events, guess int) {
	if events < minStreamEvents || guess <= 0 {
		return
	}
	sample := math.Log(min(max(float64(guess)/float64(events), minStepsPerEvent), maxStepsPerEvent))
	old := math.Log(v.Steps(service))
	v.stepsPerEvent[service] = math.Exp(old + stepsPerEventWeight*(sample-old))
}

// Steps returns how many steps of an engine make an event of a service's streams.
func (v *View) Steps(service string) float64 {
	return cmp.Or(v.stepsPerEvent[service], defaultStepsPerEvent)
}
