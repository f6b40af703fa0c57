package quota

import "time"

// window counts the units of a sliding window, in steps.
type window struct {
	steps []float64
	sum   float64
	last  int64 // number of the newest step
}

// newWindow returns the counts of a window of a length, of which nothing is used.
func newWindow(length time.Duration) window {
	return window{
		steps: make([]float64, int(length/step)+2), // the one that is under way, and one that the window begins in
	}
}

// advance forgets what is out of the window.
func (w *window) advance(now time.Duration) {
	at := int64(now / step)
	for ; w.last < at; w.last++ {
		if at-w.last > int64(len(w.steps)) {
			w.last = at - int64(len(w.steps))
		}
		next := &w.steps[(w.last+1)%int64(len(w.steps))]
		w.sum -= *next
		*next = 0
	}
}

// add takes units in.
func (w *window) add(units float64, now time.Duration) {
	w.advance(now)
	w.steps[w.last%int64(len(w.steps))] += units
	w.sum += units
}

// used returns the units of the window.
func (w *window) used(now time.Duration) float64 {
	w.advance(now)
	return max(w.sum, 0)
}
