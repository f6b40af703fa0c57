package placement_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/pacing"
	"github.com/havenrudder/havenrudder/placement"
)

// Figures of the engines in the replay, by the sheet of the users' large installation.
const (
	replayEngines  = 52
	replaySlots    = 32
	replayMemory   = 232_000 // tokens
	replayChunk    = 2048    // prompt tokens read in a step
	replayReadRate = 38.7    // of these in a millisecond
	replayStride   = 9       // tokens of an event
	replayStep     = 5470 * time.Microsecond
	replayStepMore = 12 * time.Microsecond // for each request that runs
)

// replayKind is a kind of request.
type replayKind struct {
	rate     float64 // a second, all boxes together
	shared   int     // tokens of the part that requests of one subject share
	own      int
	out      int
	subjects int
	goal     time.Duration
	left     time.Duration
	rank     float64
}

// replayKinds are the long prompts and the long answers of a region at its peak.
var replayKinds = []replayKind{
	{
		rate:     210,
		shared:   3780,
		own:      2890,
		out:      52,
		subjects: 1171,
		goal:     1200 * time.Millisecond,
		left:     6 * time.Second,
		rank:     1,
	},
	{
		rate:     400,
		shared:   198,
		own:      430,
		out:      290,
		subjects: 3346,
		goal:     1500 * time.Millisecond,
		left:     15 * time.Second,
	},
}

const replayGap = 600 * time.Millisecond // between events that is aimed at

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
	wait  []*replayRun // not read whole yet, in order
	runs  []*replayRun
	kept  map[string]time.Duration // parts, and when they were last used
	used  int                      // tokens of them
	steps bool                     // a step is under way
}

// replayEvent is something that happens at a time.
type replayEvent struct {
	at  time.Duration
	n   int
	act func()
}

type replayAgenda []replayEvent

var _ heap.Interface = (*replayAgenda)(nil)

func (a replayAgenda) Len() int      { return len(a) }
func (a replayAgenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a replayAgenda) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].n < a[j].n)
}
func (a *replayAgenda) Push(x any) { *a = append(*a, x.(replayEvent)) }
func (a *replayAgenda) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}

// knowledge is what boxes know of each other's requests.
type knowledge int

const (
	blind   knowledge = iota // nothing
	loads                    // each tells all others what it has, four times a second
	byWords                  // the engines' words, as they spread by a beat's datagrams
)

// replay is a region: boxes before engines, in virtual time.
type replay struct {
	rnd     *rand.Rand
	now     time.Duration
	n       int
	agenda  replayAgenda
	engines []*replayEngine
	boxes   []*placement.View
	names   []string
	know    knowledge
	load    float64 // factor of the rates
	owed    int
	inTime  int
	late    int
	refused int
	again   int // shared tokens read though some engine keeps them
	seen    map[string]bool
	worst   int // most requests seen at an engine
}

func newReplay(seed uint64, boxes int, know knowledge, load float64) *replay {
	c := &replay{
		rnd:  rand.New(rand.NewPCG(seed, 3)),
		know: know,
		load: load,
		seen: make(map[string]bool),
		now:  start,
	}
	var list []catalog.Replica
	for n := range replayEngines {
		c.engines = append(c.engines, &replayEngine{
			kept: make(map[string]time.Duration),
		})
		list = append(list, catalog.Replica{
			ID:       fmt.Sprintf("engine-%02d", n),
			Service:  "engine",
			Addr:     fmt.Sprintf("127.0.0.1:%d", 1+n),
			Domain:   "hall",
			Region:   "north",
			Slots:    replaySlots,
			Revision: 1,
		})
	}
	p := policy()
	p.Services[0].Engine = &catalog.Engine{
		Slots:  replaySlots,
		Memory: replayMemory,
	}
	content := catalog.NewContent()
	content.Take(catalog.Update{
		Snapshot: &catalog.Snapshot{
			Revision: 1,
			Replicas: list,
		},
		Settled: true,
	})
	for b := range boxes {
		name := fmt.Sprintf("box-%03d", b)
		v := placement.NewView("north", "hall", pacing.New(name, terms))
		v.SetTable(catalog.NewTable(p))
		v.Take(content, start)
		v.ByWords(know == byWords, boxes)
		c.boxes = append(c.boxes, v)
		c.names = append(c.names, name)
	}
	return c
}

func (c *replay) after(d time.Duration, act func()) {
	c.n++
	heap.Push(&c.agenda, replayEvent{
		at:  c.now + d,
		n:   c.n,
		act: act,
	})
}

// play lets requests come for a time, and counts those that come after the first second.
func (c *replay) play(d time.Duration) {
	until := c.now + d
	for i := range replayKinds {
		c.arrive(&replayKinds[i])
	}
	c.tell()
	for len(c.agenda) > 0 {
		e := heap.Pop(&c.agenda).(replayEvent)
		if e.at > until {
			break
		}
		c.now = e.at
		e.act()
	}
	for _, e := range c.engines {
		for _, r := range e.runs {
			if r.first && r.pause <= replayGap && c.now-r.last <= replayGap {
				c.inTime++ // as far as it is known
			}
		}
	}
}

func (c *replay) arrive(k *replayKind) {
	gap := c.rnd.ExpFloat64() / (k.rate * c.load)
	c.after(time.Duration(gap*float64(time.Second)), func() {
		c.send(k)
		c.arrive(k)
	})
}

// send has a box choose an engine for a request.
func (c *replay) send(k *replayKind) {
	b := c.rnd.IntN(len(c.boxes))
	part := fmt.Sprint(k.shared, "-", c.rnd.IntN(k.subjects))
	out := max(1, int(float64(k.out)*math.Exp(0.7*c.rnd.NormFloat64()-0.245)))
	own := max(1, int(float64(k.own)*math.Exp(0.8*c.rnd.NormFloat64()-0.32)))
	c.owed++
	choice := c.boxes[b].Pick(placement.Request{
		Service: "engine",
		Key:     fmt.Sprint(c.n, c.rnd.Uint64()),
		Prompt:  k.shared + own,
		Out:     out,
		Gap:     replayGap,
		Steps:   replayStride,
		Rank:    k.rank,
		Parts: []placement.Part{{
			ID:     part,
			Tokens: k.shared,
		}},
	}, c.names, c.now)
	if choice.Reason != placement.None {
		c.refused++
		return
	}
	n := 0
	_, _ = fmt.Sscanf(choice.Replica, "engine-%d", &n)
	r := &replayRun{
		kind:   k,
		box:    b,
		choice: choice,
		part:   part,
		start:  c.now,
		unread: own,
		made:   -out,
	}
	c.engines[n].take(c, r)
}

// take lets a request in.
func (e *replayEngine) take(c *replay, r *replayRun) {
	if _, ok := e.kept[r.part]; !ok {
		r.unread += r.kind.shared
		if c.seen[r.part] {
			c.again += r.kind.shared
		}
		c.seen[r.part] = true
		e.used += r.kind.shared
		for e.used > replayMemory/2 { // the rest is for what runs
			e.forget()
		}
	}
	e.kept[r.part] = c.now
	e.wait = append(e.wait, r)
	c.worst = max(c.worst, len(e.wait)+len(e.runs))
	if !e.steps {
		e.steps = true
		e.step(c)
	}
}

// forget drops the part that was not used for longest.
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

// step makes a token for each request that runs, and reads a piece of those that wait.
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
	c.after(took, func() {
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

// token makes a token of a request's answer, and says whether it was the last.
func (c *replay) token(r *replayRun) (done bool) {
	r.made++
	if (r.made%replayStride != 0 || r.made > 0) && r.made < 0 {
		return false
	}
	v := c.boxes[r.box]
	if !r.first {
		r.first = true
		v.First(&r.choice, c.now-r.start, c.now)
		r.pause = 0
		if c.now-r.start > r.kind.goal {
			r.pause = time.Hour // late already
		}
	} else {
		r.pause = max(r.pause, c.now-r.last)
	}
	r.last = c.now
	if r.made < 0 {
		return false
	}
	v.End(&r.choice, placement.Answered, c.now-r.start, c.now)
	if r.pause <= replayGap {
		c.inTime++
	} else if c.now-r.start <= r.kind.left {
		c.late++
	}
	return true
}

// tell has boxes learn of each other's requests.
func (c *replay) tell() {
	switch c.know {
	case loads:
		for b, v := range c.boxes {
			told := v.Tell(c.now)
			for o, other := range c.boxes {
				if o != b {
					other.Told(c.names[b], told, c.now)
				}
			}
		}
		c.after(250*time.Millisecond, c.tell)
	case byWords:
		for n, e := range c.engines {
			c.spread(n, e)
		}
		c.after(400*time.Millisecond, c.tell)
	case blind:
	}
}

// spread takes an engine's word to all boxes, as datagrams to two boxes at each beat do.
func (c *replay) spread(n int, e *replayEngine) {
	tokens := 0
	for _, r := range e.runs {
		tokens += r.kind.shared + r.kind.own + r.kind.out
	}
	w := placement.Word{
		Requests: len(e.runs) + len(e.wait),
		Waiting:  len(e.wait),
		Tokens:   tokens,
		At:       c.now,
	}
	id := fmt.Sprintf("engine-%02d", n)
	rounds := math.Log(float64(len(c.boxes))) / math.Log(3)
	for _, v := range c.boxes {
		lag := 100*time.Millisecond + time.Duration(c.rnd.Float64()*2*rounds*float64(250*time.Millisecond)/2)
		c.after(lag, func() { v.Says(id, w) })
	}
}

// share returns the part of all requests that was served in time.
func (c *replay) share() float64 { return float64(c.inTime) / float64(c.owed) }

// The load of a region at its peak. Among 32 and 98 boxes that tell each other nothing
// some engines got twice what others did; those that sought the least loaded engine by
// what all of them knew went to the same ones, and read shared parts there again: 0.72 of
// all requests were in time, where one box that knew all had 0.97.
func TestManyBoxesServeNearlyWhatOneThatKnowsAllDoes(t *testing.T) {
	const d = 12 * time.Second
	for _, load := range []float64{0.8, 1} {
		play := func(name string, boxes int, know knowledge) *replay {
			r := newReplay(1, boxes, know, load)
			r.play(d)
			t.Logf("load %.1f %-9s %2d boxes: in time %.3f, late %.3f, refused %.3f, read again %4d kilotokens, most at an engine %d",
				load, name, boxes, r.share(), float64(r.late)/float64(r.owed), float64(r.refused)/float64(r.owed), r.again/1000, r.worst)
			return r
		}
		alone := play("knows all", 1, loads)
		for _, boxes := range []int{9, 32, 98} {
			play("nothing", boxes, blind)
			if boxes == 32 {
				play("loads", boxes, loads)
			}
			got := play("words", boxes, byWords)
			if boxes > 32 {
				continue // callers are told to use fewer
			}
			if got.share() < alone.share()-0.05 {
				t.Errorf("%d boxes serve %.3f in time, one that knows all %.3f", boxes, got.share(), alone.share())
			}
			if got.worst > 2*replaySlots {
				t.Errorf("%d boxes gave an engine %d requests, it runs %d", boxes, got.worst, replaySlots)
			}
		}
	}
}
