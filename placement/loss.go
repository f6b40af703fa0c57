package placement

import (
	"cmp"
	"time"
)

// Thresholds of the expected loss of an answer's value.
const (
	lossScale        = 1000.0 // thousandths of the value
	waitLossStart    = 0.4    // share of the latency target above which a wait costs value
	waitLossFull     = 1.0    // share of the latency target at which an answer is late
	failureLossStart = 0.35   // share of failures up to which the requests, not the replica, are the likely cause
	failureLossFull  = 1.0
	prefillLossStart = 0.6 // share of the engines' time spent on prefill above which streams slow down
	prefillLossFull  = 1.1 // share at which all streams miss their targets
)

// Targets are the latency targets of an answer.
type Targets struct {
	FirstByte time.Duration // until the first byte
	Gap       time.Duration // between two events of a stream; 0 for none
	Deadline  time.Duration // until the answer is useless
}

// ExpectedLoss returns the expected loss of an answer's value, in thousandths. Engines prefill
// between the steps of running streams, so the gaps between events grow with the time spent
// on prefill.
func (o Estimate) ExpectedLoss(g Targets) float64 {
	loss := 0.0
	if g.FirstByte > 0 {
		loss = quadraticRamp(float64(o.Expect)/float64(g.FirstByte), waitLossStart, waitLossFull)
	}
	if g.Gap > 0 {
		loss = max(loss, quadraticRamp(o.Utilization, prefillLossStart, prefillLossFull))
	}
	loss = max(loss, quadraticRamp(o.Failing, failureLossStart, failureLossFull))
	if g.Deadline > 0 && o.Expect > g.Deadline {
		loss = 2 // a late answer keeps some value, a useless one none
	}
	return lossScale * loss
}

// Parameters of the interference between a prefill and the streams that run at the same
// engine. An engine prefills a prompt in chunks, one between two steps, and a chunk takes
// longer the more of the prompt precedes it.
const (
	chunkTokens      = 2048
	chunkTime        = 58 * time.Millisecond  // of a chunk at the start of a prompt
	contextTime      = 1500 * time.Nanosecond // additional time per token that precedes the chunk
	stepTime         = 8 * time.Millisecond   // of a step with some thirty requests
	defaultSteps     = 5.0                    // until learned from the service's streams
	otherPrefillTime = 4 * time.Millisecond   // prefill of other prompts in defaultSteps steps, per running request
	gapLossStart     = 0.85                   // share of the latency target above which streams may be late
	lateStreamLoss   = 300.0                  // thousandths of its value that a late stream loses
)

// longestGap estimates the longest gap between two events of a stream while the engine
// prefills the unread tokens at the end of a prompt. steps is the number of steps per event.
func longestGap(prompt, unread, running int, steps float64) time.Duration {
	chunks := min(float64(unread)/chunkTokens, steps)
	context := max(float64(prompt)-steps*chunkTokens/2, float64(prompt)/2)
	chunk := chunkTime + scale(context, contextTime)
	others := scale(float64(running)*steps/defaultSteps, otherPrefillTime)
	return scale(steps, stepTime) + scale(chunks, chunk) + others
}

// InterferenceCost returns the interference cost of a prompt to the requests that run at the same
// engine, in thousandths of a request's value. missing is the number of shared tokens that
// the engine has to prefill.
func (req *Request) InterferenceCost(missing, running int) float64 {
	if req.GapTarget <= 0 || req.Prompt == 0 {
		return 0
	}
	steps := cmp.Or(req.StepsPerEvent, defaultSteps)
	share := float64(longestGap(req.Prompt, missing+req.UniqueTokens(), running, steps)) / float64(req.GapTarget)
	return lateStreamLoss * min(max((share-gapLossStart)/(1-gapLossStart), 0), 1) * float64(running)
}

// quadraticRamp rises from 0 at from to 1 at to.
func quadraticRamp(x, from, to float64) float64 {
	share := min(max((x-from)/(to-from), 0), 1)
	return share * share
}
