package placement_test

import (
	"fmt"
	"time"

	"github.com/havenrudder/havenrudder/placement"
)

type replayRun struct {
	kind      *replayKind
	box       int
	choice    placement.Choice
	part      string
	start     time.Duration
	unread    int
	generated int
	first     bool
	last      time.Duration // of its last event
	pause     time.Duration
}

type replayEngine struct {
	waiting  []*replayRun // awaiting prefill, in order
	running  []*replayRun
	cached   map[string]time.Duration // cached segments by time of last use
	used     int                      // tokens of cached segments
	stepping bool                     // a step is in progress
}

func (e *replayEngine) accept(c *replay, r *replayRun) {
	if _, ok := e.cached[r.part]; !ok {
		r.unread += r.kind.shared
		if c.seen[r.part] {
			c.reread += r.kind.shared
		}
		c.seen[r.part] = true
		e.used += r.kind.shared
		for e.used > replayMemory/2 { // the rest is for running requests
			e.evict()
		}
	}
	e.cached[r.part] = c.clock.Now()
	e.waiting = append(e.waiting, r)
	c.maxRequests = max(c.maxRequests, len(e.waiting)+len(e.running))
	if !e.stepping {
		e.stepping = true
		e.step(c)
	}
}

// evict drops the least recently used segment.
func (e *replayEngine) evict() {
	oldest := ""
	for p, at := range e.cached {
		if oldest == "" || at < e.cached[oldest] {
			oldest = p
		}
	}
	shared := 0
	_, _ = fmt.Sscanf(oldest, "%d-", &shared)
	e.used -= shared
	delete(e.cached, oldest)
}

// step generates a token for each running request and prefills a chunk of waiting ones.
func (e *replayEngine) step(c *replay) {
	if len(e.waiting)+len(e.running) == 0 {
		e.stepping = false
		return
	}
	took := replayStep + time.Duration(len(e.running))*replayStepMore
	left := replayChunk
	var read []*replayRun
	for len(e.waiting) > 0 && left > 0 && len(e.running)+len(read) < replaySlots {
		r := e.waiting[0]
		n := min(left, r.unread)
		left -= n
		r.unread -= n
		if r.unread > 0 {
			break
		}
		read = append(read, r)
		e.waiting = e.waiting[1:]
	}
	took += time.Duration(float64(replayChunk-left) / replayReadRate * float64(time.Millisecond))
	c.clock.After(took, func() {
		e.running = append(e.running, read...)
		kept := e.running[:0]
		for _, r := range e.running {
			if !c.token(r) {
				kept = append(kept, r)
			}
		}
		e.running = kept
		e.step(c)
	})
}
