package quota

import "time"

// window counts the units of a sliding window in steps.
type window struct {
	steps    []float64
	sum      float64
	lastStep int64 // index of the newest step
}

func newWindow(length time.Duration) window {
	return window{
		steps: make([]float64, int(length/windowStep)+2), // includes the current step and the one in which the window begins
	}
}

func (w *window) advance(now time.Duration) {
	at := int64(now / windowStep)
	for ; w.lastStep < at; w.lastStep++ {
		if at-w.lastStep > int64(len(w.steps)) {
			w.lastStep = at - int64(len(w.steps))
		}
		next := &w.steps[(w.lastStep+1)%int64(len(w.steps))]
		w.sum -= *next
		*next = 0
	}
}

func (w *window) add(units float64, now time.Duration) {
	w.advance(now)
	w.steps[w.lastStep%int64(len(w.steps))] += units
	w.sum += units
}

func (w *window) used(now time.Duration) float64 {
	w.advance(now)
	return max(w.sum, 0)
}
