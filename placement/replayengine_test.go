package placement_test

import (
	"fmt"
	"time"

	"github.com/havenrudder/havenrudder/placement"
)

// replayRun is a request at an engine.
type replayRun struct {
	kind   *replayKind
	box    int
	choice placement.Choice
	part   string
	start  time.Duration
	unread int
	made   int
	first  bool
	last   time.Duration // of its last event
	pause  time.Duration
}

// replayEngine runs requests in steps.
type replayEngine struct {
	wait  []*replayRun // awaiting prefill, in order
	runs  []*replayRun
	kept  map[string]time.Duration // cached segments by time of last use
	used  int                      // tokens of cached segments
	steps bool                     // a step is in progress
}

// take accepts a request.
func (e *replayEngine) take(c *replay, r *replayRun) {
	if _, ok := e.kept[r.part]; !ok {
		r.unread += r.kind.shared
		if c.seen[r.part] {
			c.again += r.kind.shared
		}
		c.seen[r.part] = true
		e.used += r.kind.shared
		for e.used > replayMemory/2 { // the rest is for running requests
			e.forget()
		}
	}
	e.kept[r.part] = c.clock.Now()
	e.wait = append(e.wait, r)
	c.worst = max(c.worst, len(e.wait)+len(e.runs))
	if !e.steps {
		e.steps = true
		e.step(c)
	}
}

// forget evicts the least recently used segment.
func (e *replayEngine) forget() {
	oldest := ""
	for p, at := range e.kept {
		if oldest == "" || at < e.kept[oldest] {
			oldest = p
		}
	}
	shared := 0
	_, _ = fmt.Sscanf(oldest, "%d-", &shared)
	e.used -= shared
	delete(e.kept, oldest)
}

// step generates a token for each running request and prefills a chunk of waiting ones.
func (e *replayEngine) step(c *replay) {
	if len(e.wait)+len(e.runs) == 0 {
		e.steps = false
		return
	}
	took := replayStep + time.Duration(len(e.runs))*replayStepMore
	left := replayChunk
	var read []*replayRun
	for len(e.wait) > 0 && left > 0 && len(e.runs)+len(read) < replaySlots {
		r := e.wait[0]
		n := min(left, r.unread)
		left -= n
		r.unread -= n
		if r.unread > 0 {
			break
		}
		read = append(read, r)
		e.wait = e.wait[1:]
	}
	took += time.Duration(float64(replayChunk-left) / replayReadRate * float64(time.Millisecond))
	c.clock.After(took, func() {
		e.runs = append(e.runs, read...)
		kept := e.runs[:0]
		for _, r := range e.runs {
			if !c.token(r) {
				kept = append(kept, r)
			}
		}
		e.runs = kept
		e.step(c)
	})
}
