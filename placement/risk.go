package placement

import "time"

// Figures of the risk that an answer comes late, in thousandths of what it is
// worth in time.
const (
	riskAll  = 1000.0
	calmWait = 0.4 // share of the goal up to which an expected wait is no risk
	lateWait = 1.0 // share of the goal at which an answer is late
	calmBusy = 0.4 // share of engines' time for prompts up to which running streams hardly pause
	lateBusy = 1.1 // share at which all of them pause for too long
)

// Goals are what an answer should keep.
type Goals struct {
	First time.Duration // until the first byte
	Gap   time.Duration // between two events of a stream; 0 for none
	Left  time.Duration // until the answer is of no use
}

// Risk returns the part of an answer's worth that is expected to be lost, in
// thousandths. Engines read prompts between the steps of running streams, so the
// busier they are with that, the longer streams pause.
func (o Outlook) Risk(g Goals) float64 {
	risk := 0.0
	if g.First > 0 {
		risk = rise(float64(o.Expect)/float64(g.First), calmWait, lateWait)
	}
	if g.Gap > 0 {
		risk = max(risk, rise(o.Busy, calmBusy, lateBusy))
	}
	if g.Left > 0 && o.Expect > g.Left {
		risk = 2 // late is still worth something, nothing isn't
	}
	return riskAll * risk
}

// rise goes from 0 at from to 1 at to, slowly at first.
func rise(x, from, to float64) float64 {
	share := min(max((x-from)/(to-from), 0), 1)
	return share * share
}
