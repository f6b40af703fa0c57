package quota

import "time"

// window counts the units of a sliding window in steps. It also keeps those of windowTail before.
type window struct {
	steps    []float64
	sum      float64
	lastStep int64 // index of the newest step
}

const tailSteps = int64(windowTail / windowStep)

func newWindow(length time.Duration) window {
	return window{
		steps: make([]float64, int64(length/windowStep)+1+tailSteps), // includes the current step
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

// subtract takes back units that were added earlier, from the oldest ones, so that those of later
// requests count for as long as these.
func (w *window) subtract(units float64, now time.Duration) {
	w.advance(now)
	for i := range int64(len(w.steps)) {
		step := &w.steps[(w.lastStep+1+i)%int64(len(w.steps))]
		part := min(units, *step)
		*step -= part
		w.sum -= part
		units -= part
	}
}

func (w *window) used(now time.Duration) float64 {
	w.advance(now)
	return max(w.sum-w.oldest(0, tailSteps), 0)
}

// usedWithTail returns the units of the window and of windowTail before.
func (w *window) usedWithTail(now time.Duration) float64 {
	w.advance(now)
	return max(w.sum, 0)
}

// expiring returns the units that leave the window in each of the next periods.
func (w *window) expiring(now, period time.Duration, periods int) []float64 {
	w.advance(now)
	steps := int64(period / windowStep)
	out := make([]float64, periods)
	for i := range out {
		first := tailSteps + int64(i)*steps
		out[i] = w.oldest(first, first+steps)
	}
	return out
}

// oldest returns the units of the steps from first to end, counted from the oldest.
func (w *window) oldest(first, end int64) (sum float64) {
	for i := first; i < end; i++ {
		sum += w.steps[(w.lastStep+1+i)%int64(len(w.steps))]
	}
	return sum
}
