package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/common/rendezvous"
	"github.com/havenrudder/havenrudder/measure/virtual"
	"github.com/havenrudder/havenrudder/pacing"
	"github.com/havenrudder/havenrudder/placement"
)

// Parameters of the engines in the replay.
const (
	replayEngines  = 52
	replaySlots    = 32
	replayMemory   = 232_000 // tokens
	replayChunk    = 2048    // prompt tokens prefilled per step
	replayReadRate = 38.7    // prompt tokens per millisecond
	replayStride   = 9       // tokens per event
	replayStep     = 5470 * time.Microsecond
	replayStepMore = 12 * time.Microsecond // per running request
)

type replayKind struct {
	rate     float64 // per second, all boxes together
	shared   int     // tokens of the segment that requests of one subject share
	own      int
	out      int
	subjects int
	goal     time.Duration
	left     time.Duration
	rank     float64
}

// replayKinds are the long prompts and the long answers of a region at peak load.
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

const replayGap = 600 * time.Millisecond // latency target between events

// loadSharing is the way in which boxes receive each other's loads.
type loadSharing int

const (
	noReports     loadSharing = iota // not at all
	peerLoads                        // each sends its own loads to all others, four times a second
	allReports                       // load reports of all engines, with the delay of gossip
	polledReports                    // load reports of polled engines, gossiped while busy
)

// replay simulates the boxes and engines of a region in virtual time.
type replay struct {
	rnd         *rand.Rand
	clock       virtual.Clock
	engines     []*replayEngine
	boxes       []*placement.View
	names       []string
	sharing     loadSharing
	rateFactor  float64 // factor of the request rates
	total       int
	inTime      int
	late        int
	refused     int
	reread      int // shared tokens prefilled although some engine has them cached
	seen        map[string]bool
	maxRequests int // maximum at one engine
	polls       int // polls of engines
	gossiped    int // load reports sent to other boxes
}

func newReplay(seed uint64, boxes int, sharing loadSharing, rateFactor float64) *replay {
	return newReplayOf(seed, replayEngines, boxes, sharing, rateFactor)
}

func newReplayOf(seed uint64, engines, boxes int, sharing loadSharing, rateFactor float64) *replay {
	c := &replay{
		rnd:        rand.New(rand.NewPCG(seed, 3)),
		sharing:    sharing,
		rateFactor: rateFactor,
		seen:       make(map[string]bool),
	}
	c.clock.RunUntil(start)
	var list []catalog.Replica
	for n := range engines {
		c.engines = append(c.engines, &replayEngine{
			cached: make(map[string]time.Duration),
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
	content.Apply(catalog.Update{
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
		v.Apply(content, start)
		v.UseReports(sharing == allReports || sharing == polledReports, boxes)
		c.boxes = append(c.boxes, v)
		c.names = append(c.names, name)
	}
	return c
}

func (c *replay) play(d time.Duration) {
	for i := range replayKinds {
		c.arrive(&replayKinds[i])
	}
	c.exchangeLoads()
	c.clock.RunUntil(c.clock.Now() + d)
	for _, e := range c.engines {
		for _, r := range e.running {
			if r.first && r.pause <= replayGap && c.clock.Now()-r.last <= replayGap {
				c.inTime++ // on time so far
			}
		}
	}
}

func (c *replay) arrive(k *replayKind) {
	gap := c.rnd.ExpFloat64() / (k.rate * c.rateFactor)
	c.clock.After(time.Duration(gap*float64(time.Second)), func() {
		c.send(k)
		c.arrive(k)
	})
}

// send has a random box choose an engine for a request.
func (c *replay) send(k *replayKind) {
	b := c.rnd.IntN(len(c.boxes))
	part := fmt.Sprint(k.shared, "-", c.rnd.IntN(k.subjects))
	out := max(1, int(float64(k.out)*math.Exp(0.7*c.rnd.NormFloat64()-0.245)))
	own := max(1, int(float64(k.own)*math.Exp(0.8*c.rnd.NormFloat64()-0.32)))
	c.total++
	choice := c.boxes[b].Pick(placement.Request{
		Service:       "engine",
		Key:           fmt.Sprint(c.rnd.Uint64()),
		Prompt:        k.shared + own,
		AnswerTokens:  out,
		GapTarget:     replayGap,
		StepsPerEvent: replayStride,
		Rank:          k.rank,
		Segments: []placement.Segment{{
			ID:     part,
			Tokens: k.shared,
		}},
	}, c.names, c.clock.Now())
	if choice.Reason != placement.None {
		c.refused++
		return
	}
	n := 0
	_, _ = fmt.Sscanf(choice.Incarnation, "engine-%d", &n)
	r := &replayRun{
		kind:      k,
		box:       b,
		choice:    choice,
		part:      part,
		start:     c.clock.Now(),
		unread:    own,
		generated: -out,
	}
	c.engines[n].accept(c, r)
}

// token generates a token of an answer and returns true for the last one.
func (c *replay) token(r *replayRun) (done bool) {
	r.generated++
	if (r.generated%replayStride != 0 || r.generated > 0) && r.generated < 0 {
		return false
	}
	v := c.boxes[r.box]
	if !r.first {
		r.first = true
		v.RecordFirstByte(&r.choice, c.clock.Now()-r.start, c.clock.Now())
		r.pause = 0
		if c.clock.Now()-r.start > r.kind.goal {
			r.pause = time.Hour // already late
		}
	} else {
		r.pause = max(r.pause, c.clock.Now()-r.last)
	}
	r.last = c.clock.Now()
	if r.generated < 0 {
		return false
	}
	v.End(&r.choice, placement.Answered, c.clock.Now()-r.start, c.clock.Now())
	if r.pause <= replayGap {
		c.inTime++
	} else if c.clock.Now()-r.start <= r.kind.left {
		c.late++
	}
	return true
}

func (c *replay) exchangeLoads() {
	switch c.sharing {
	case peerLoads:
		for b, v := range c.boxes {
			told := v.OwnLoads(c.clock.Now())
			for o, other := range c.boxes {
				if o != b {
					other.RecordPeerLoads(c.names[b], told, c.clock.Now())
				}
			}
		}
		c.clock.After(250*time.Millisecond, c.exchangeLoads)
	case allReports:
		for n := range c.engines {
			c.polls++
			c.gossip(fmt.Sprintf("engine-%02d", n), c.report(n))
		}
		c.clock.After(placement.PollInterval, c.exchangeLoads)
	case polledReports:
		for b := range c.boxes {
			c.poll(b)
		}
		c.clock.After(placement.PollInterval, c.exchangeLoads)
	case noReports:
	}
}

// poll has a box poll engines and gossip the reports of busy ones.
func (c *replay) poll(b int) {
	now := c.clock.Now()
	v := c.boxes[b]
	isPoller := func(incarnation string) bool { return rendezvous.Top(incarnation, c.names, 1)[0] == c.names[b] }
	for _, r := range v.EnginesToPoll(now, isPoller, func(string) bool { return false }) {
		c.polls++
		n := 0
		_, _ = fmt.Sscanf(r.Incarnation(), "engine-%d", &n)
		v.RecordReport(r.Incarnation(), c.report(n))
	}
	for _, w := range v.BusyReports(now) {
		if w.At == now { // only the box that polled starts the gossip
			c.gossiped++
			c.gossip(w.Replica, w.LoadReport)
		}
	}
}

func (c *replay) report(n int) placement.LoadReport {
	e := c.engines[n]
	tokens := 0
	for _, r := range e.running {
		tokens += r.kind.shared + r.kind.own + r.kind.out
	}
	return placement.LoadReport{
		Requests: len(e.running) + len(e.waiting),
		Waiting:  len(e.waiting),
		Tokens:   tokens,
		At:       c.clock.Now(),
	}
}

// gossip sends a load report to all boxes with the delay of gossip.
func (c *replay) gossip(id string, w placement.LoadReport) {
	rounds := math.Log(float64(len(c.boxes))) / math.Log(3)
	for _, v := range c.boxes {
		lag := 100*time.Millisecond + time.Duration(c.rnd.Float64()*2*rounds*float64(250*time.Millisecond)/2)
		c.clock.After(lag, func() { v.RecordReport(id, w) })
	}
}

func (c *replay) share() float64 { return float64(c.inTime) / float64(c.total) }

// Guards against boxes that, at peak load, all choose the engine with the lowest report, or
// overload one without reports.
func TestManyBoxesServeNearlyAsManyRequestsAsASingleOne(t *testing.T) {
	const d = 12 * time.Second
	for _, load := range []float64{0.8, 1} {
		play := func(name string, boxes int, sharing loadSharing) *replay {
			r := newReplay(1, boxes, sharing, load)
			r.play(d)
			t.Logf("load %.1f %-9s %2d boxes: in time %.3f, late %.3f, refused %.3f, prefilled again %4d kilotokens, most at an engine %d, polls %d",
				load, name, boxes, r.share(), float64(r.late)/float64(r.total), float64(r.refused)/float64(r.total), r.reread/1000, r.maxRequests, r.polls)
			return r
		}
		alone := play("single", 1, peerLoads)
		for _, boxes := range []int{9, 32, 98} {
			play("none", boxes, noReports)
			if boxes == 32 {
				play("loads", boxes, peerLoads)
			}
			got := play("reports", boxes, allReports)
			if boxes > 32 {
				continue // callers use fewer boxes
			}
			if got.share() < alone.share()-0.05 {
				t.Errorf("%d boxes serve %.3f in time, a single box %.3f", boxes, got.share(), alone.share())
			}
			if got.maxRequests > 2*replaySlots {
				t.Errorf("%d boxes gave an engine %d requests, it runs %d", boxes, got.maxRequests, replaySlots)
			}
		}
	}
}

// Guards against a loss of service when only the reports of busy engines are gossiped.
func TestPolledReportsServeNearlyAsManyRequestsAsASingleBox(t *testing.T) {
	const seeds = 8
	mean := func(boxes int, sharing loadSharing) float64 {
		sum := 0.0
		for seed := range uint64(seeds) {
			r := newReplay(seed+1, boxes, sharing, 1)
			r.play(12 * time.Second)
			sum += r.share()
			if sharing == polledReports && r.maxRequests > 2*replaySlots {
				t.Errorf("seed %d: %d boxes gave an engine %d requests, it runs %d", seed+1, boxes, r.maxRequests, replaySlots)
			}
		}
		return sum / seeds
	}
	alone, all, needed := mean(1, peerLoads), mean(32, allReports), mean(32, polledReports)
	t.Logf("in time: a single box %.3f, 32 boxes with all reports %.3f, with polled ones %.3f", alone, all, needed)
	if needed < alone-0.05 {
		t.Errorf("32 boxes serve %.3f in time, a single box %.3f", needed, alone)
	}
}

// Guards against polls that grow with the number of engines at the same load.
func TestPollsDontGrowWithTheNumberOfEngines(t *testing.T) {
	const d = 8 * time.Second
	polls := make(map[int]float64)
	for _, engines := range []int{1300, 2600} {
		r := newReplayOf(1, engines, 32, polledReports, 0.25)
		r.play(d)
		t.Logf("%4d engines: %.0f polls a second, %.0f gossiped reports, in time %.3f, prefilled again %d kilotokens",
			engines, float64(r.polls)/d.Seconds(), float64(r.gossiped)/d.Seconds(), r.share(), r.reread/1000)
		polls[engines] = float64(r.polls)
	}
	if polls[2600] > 1.2*polls[1300] {
		t.Errorf("%.0f polls of 2,600 engines, %.0f of 1,300", polls[2600], polls[1300])
	}
}
