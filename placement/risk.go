package placement

import (
	"cmp"
	"time"
)

// Figures of the risk that an answer comes late, in thousandths of what it is
// worth in time.
const (
	lossScale        = 1000.0 // all of it
	waitLossStart    = 0.4    // share of the goal up to which an expected wait is no risk
	waitLossFull     = 1.0    // share of the goal at which an answer is late
	failureLossStart = 0.35   // share of failures up to which a replica is no worse than its requests
	failureLossFull  = 1.0
	prefillLossStart = 0.6 // share of engines' time for prompts up to which running streams hardly pause
	prefillLossFull  = 1.1 // share at which all of them pause for too long
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
	loss := 0.0
	if g.First > 0 {
		loss = quadraticRamp(float64(o.Expect)/float64(g.First), waitLossStart, waitLossFull)
	}
	if g.Gap > 0 {
		loss = max(loss, quadraticRamp(o.Busy, prefillLossStart, prefillLossFull))
	}
	loss = max(loss, quadraticRamp(o.Failing, failureLossStart, failureLossFull))
	if g.Left > 0 && o.Expect > g.Left {
		loss = 2 // late is still worth something, nothing isn't
	}
	return lossScale * loss
}

// Figures of the pause that reading a prompt puts into the streams that run at the
// same engine. They come from the sheet of the first users' engines: a prompt is
// read in pieces, one between two steps, and a piece takes the longer the more of
// the prompt lies before it.
const (
	chunkTokens          = 2048                   // of one piece
	chunkTime            = 58 * time.Millisecond  // of a piece at the beginning of a prompt; the sheet gives 53, pauses seen were a tenth longer
	contextTime          = 1500 * time.Nanosecond // and for each token that lies before it
	stepTime             = 8 * time.Millisecond   // of a step with some thirty requests
	defaultStepsPerEvent = 5.0                    // steps until the next event of a stream, until its service's are learned
	otherPrefillTime     = 4 * time.Millisecond   // that the prompts of others add in five steps, for each request that runs: 8 prompts of 20 ms a second where 20 run
	gapLossStart         = 0.85                   // share of the aim for pauses below which no stream is late
	lateStreamLoss       = 300.0                  // thousandths of a request's worth that a stream loses by being late
)

// longestGap returns the longest longestGap between two events of a stream, which so many steps
// of the engine make, while it reads the last so many tokens of a prompt.
func longestGap(prompt, unread, running int, steps float64) time.Duration {
	chunks := min(float64(unread)/chunkTokens, steps)
	context := max(float64(prompt)-steps*chunkTokens/2, float64(prompt)/2)
	chunk := chunkTime + scale(context, contextTime)
	others := scale(float64(running)*steps/defaultStepsPerEvent, otherPrefillTime)
	return scale(steps, stepTime) + scale(chunks, chunk) + others
}

// Harm returns what reading a prompt, of whose shared parts so many tokens are
// missing, is expected to cost the requests that run at the same engine, in
// thousandths of a request's worth.
func (req *Request) Harm(missing, running int) float64 {
	if req.Gap <= 0 || req.Prompt == 0 {
		return 0
	}
	steps := cmp.Or(req.Steps, defaultStepsPerEvent)
	share := float64(longestGap(req.Prompt, missing+req.Own(), running, steps)) / float64(req.Gap)
	return lateStreamLoss * min(max((share-gapLossStart)/(1-gapLossStart), 0), 1) * float64(running)
}

// quadraticRamp goes from 0 at from to 1 at to, slowly at first.
func quadraticRamp(x, from, to float64) float64 {
	share := min(max((x-from)/(to-from), 0), 1)
	return share * share
}
