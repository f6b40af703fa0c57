package speed

import (
	"math"
	"slices"
)

// Parameters of a Figure.
const (
	figureStep  = 0.04 // natural logarithm by which one sample moves a figure at most
	figureRange = 4.0  // factor by which a figure may differ from its default
	figureSlack = 0.25 // natural logarithm of the difference from which a sample moves it by the whole step
)

// Figure is a quantity of a replica that is learned as a factor of its default, such as the time to
// prefill a prompt token. It follows the median of its samples, so that a minority of wrong ones
// moves it little. The zero value is the default.
type Figure struct {
	log   float64 // natural logarithm of the factor
	count int
}

// Add records a sample, a factor of the default.
func (f *Figure) Add(factor float64) {
	if !(factor > 0) {
		return
	}
	step := min(max((math.Log(factor)-f.log)/figureSlack, -1), 1) * figureStep
	bound := math.Log(figureRange)
	f.log = min(max(f.log+step, -bound), bound)
	f.count++
}

// Factor returns the learned factor. It returns false for few samples.
func (f *Figure) Factor() (factor float64, ok bool) {
	return math.Exp(f.log), f.count >= minSamples
}

// Median returns the median of values, or other for none. It reorders them.
func Median(values []float64, other float64) float64 {
	n := len(values)
	if n == 0 {
		return other
	}
	slices.Sort(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
