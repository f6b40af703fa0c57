package placement

import (
	"cmp"
	"time"
)

// Figures of the risk that an answer comes late, in thousandths of what it is
// worth in time.
const (
	riskAll  = 1000.0 // all of it
	calmWait = 0.4    // share of the goal up to which an expected wait is no risk
	lateWait = 1.0    // share of the goal at which an answer is late
	calmFail = 0.35   // share of failures up to which a replica is no worse than its requests
	allFail  = 1.0
	calmBusy = 0.6 // share of engines' time for prompts up to which running streams hardly pause
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
	risk = max(risk, rise(o.Failing, calmFail, allFail))
	if g.Left > 0 && o.Expect > g.Left {
		risk = 2 // late is still worth something, nothing isn't
	}
	return riskAll * risk
}

// Figures of the pause that reading a prompt puts into the streams that run at the
// same engine. They come from the sheet of the first users' engines: a prompt is
// read in pieces, one between two steps, and a piece takes the longer the more of
// the prompt lies before it.
const (
	pieceTokens = 2048                   // of one piece
	pieceTime   = 58 * time.Millisecond  // of a piece at the beginning of a prompt; the sheet gives 53, pauses seen were a tenth longer
	depthTime   = 1500 * time.Nanosecond // and for each token that lies before it
	stepTime    = 8 * time.Millisecond   // of a step with some thirty requests
	stepsEvent  = 5.0                    // steps until the next event of a stream, until its service's are learned
	besideTime  = 4 * time.Millisecond   // that the prompts of others add in five steps, for each request that runs: 8 prompts of 20 ms a second where 20 run
	pauseCalm   = 0.85                   // share of the aim for pauses below which no stream is late
	harmEach    = 300.0                  // thousandths of a request's worth that a stream loses by being late
)

// pause returns the longest pause between two events of a stream, which so many steps
// of the engine make, while it reads the last so many tokens of a prompt.
func pause(prompt, unread, running int, steps float64) time.Duration {
	pieces := min(float64(unread)/pieceTokens, steps)
	depth := max(float64(prompt)-steps*pieceTokens/2, float64(prompt)/2)
	piece := pieceTime + scale(depth, depthTime)
	beside := scale(float64(running)*steps/stepsEvent, besideTime)
	return scale(steps, stepTime) + scale(pieces, piece) + beside
}

// Harm returns what reading a prompt, of whose shared parts so many tokens are
// missing, is expected to cost the requests that run at the same engine, in
// thousandths of a request's worth.
func (req *Request) Harm(missing, running int) float64 {
	if req.Gap <= 0 || req.Prompt == 0 {
		return 0
	}
	steps := cmp.Or(req.Steps, stepsEvent)
	share := float64(pause(req.Prompt, missing+req.Own(), running, steps)) / float64(req.Gap)
	return harmEach * min(max((share-pauseCalm)/(1-pauseCalm), 0), 1) * float64(running)
}

// rise goes from 0 at from to 1 at to, slowly at first.
func rise(x, from, to float64) float64 {
	share := min(max((x-from)/(to-from), 0), 1)
	return share * share
}
