package node

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/ingress"
)

const (
	takeUpTime  = 700 * time.Millisecond // within which a stream that a caller takes up goes on or is refused
	knownAlone  = 14 * time.Second       // for which the only version has been known, more than soleBuildTime
	smallCopy   = 9                      // replicas of a small catalog
	callsOfBox  = 10                     // to the publisher by a box within a second, however many streams it is asked for
	takenUpOnce = 200                    // streams that callers take up at one box within a second
)

// halt is a machine that stands still. What arrives meanwhile is handed to it when it goes on.
type halt struct {
	mu    sync.Mutex
	until map[string]chan struct{} // by box
}

func newHalt() *halt {
	return &halt{
		until: make(map[string]chan struct{}),
	}
}

func (h *halt) begin(box string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until[box] = make(chan struct{})
}

func (h *halt) end(box string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.until[box])
	delete(h.until, box)
}

// await waits until a machine does not stand still.
func (h *halt) await(ctx context.Context, box string) {
	h.mu.Lock()
	until := h.until[box]
	h.mu.Unlock()
	if until == nil {
		return
	}
	select {
	case <-until:
	case <-ctx.Done():
	}
}

func (h *halt) standsStill(box string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.until[box] != nil
}

// source returns a source whose answers reach a machine only while it does not stand still.
func (h *halt) source(box string, s catalog.Source) catalog.Source {
	out := s
	out.Read = func(ctx context.Context) (catalog.Snapshot, error) {
		read, err := s.Read(ctx)
		h.await(ctx, box)
		return read, err
	}
	out.Newest = func(ctx context.Context) (int64, error) {
		rev, err := s.Newest(ctx)
		h.await(ctx, box)
		return rev, err
	}
	out.Wait = func(ctx context.Context, after int64, wait time.Duration) ([]catalog.Change, int64, error) {
		changes, rev, err := s.Wait(ctx, after, wait)
		h.await(ctx, box)
		return changes, rev, err
	}
	return out
}

// versionOne gives the listed replicas, of which so many stay, the first software version.
func (f *simulation) versionOne(stay int) {
	ids := f.listing.ids()
	f.listing.mu.Lock()
	defer f.listing.mu.Unlock()
	for n, id := range ids {
		r := f.listing.replicas[id]
		r.Build = "v1"
		f.listing.replicas[id] = r
		if n%(listedReplicas/stay) > 0 {
			delete(f.listing.replicas, id)
		}
	}
}

// join lists replicas of the second software version, one in each region.
func (f *simulation) join() {
	for n := range simRegions {
		r := replicas(fmt.Sprint("region-", n), 1)[0]
		r.ID += "-next"
		r.Build = "v2"
		f.listing.put(r)
	}
}

// leaveAgain removes the replicas of the second software version.
func (f *simulation) leaveAgain() {
	for n := range simRegions {
		f.listing.drop(fmt.Sprintf("region-%d-0-next", n))
	}
}

// takeUp returns the version at which a stream goes on whose caller does not name it, and how long
// the box took to find it.
func (b *simBox) takeUp(ctx context.Context, request string) (catalog.BuildID, time.Duration) {
	began := time.Now()
	build := b.node.Load().findBuild(ctx, ingress.BuildQuery{
		Route:   route(),
		Service: service,
		Request: request,
	})
	return build, time.Since(began)
}

// outOfStep is a way in which a box does not hear of what is published.
type outOfStep struct {
	name  string
	begin func(f *simulation, b *simBox)
	end   func(f *simulation, b *simBox) // before callers reach the box; nil if they reach it all along
}

func (f *simulation) cutOff(b *simBox) {
	cut := func(from, to *simBox) bool { return from == b || to == b }
	f.cut.Store(&cut)
}

var waysOutOfStep = []outOfStep{
	{"cut off from the publisher", func(f *simulation, b *simBox) { f.listing.setRejects(b.settings.Box, true) }, nil},
	{"cut off from the other boxes", func(f *simulation, b *simBox) { f.cutOff(b) }, nil},
	{"cut off from both", func(f *simulation, b *simBox) {
		f.listing.setRejects(b.settings.Box, true)
		f.cutOff(b)
	}, nil},
	{"with a silent watch", func(f *simulation, b *simBox) { f.listing.setSilent(b.settings.Box, true) }, nil},
	{
		"that stood still",
		func(f *simulation, b *simBox) {
			f.halts.begin(b.settings.Box)
			f.cutOff(b)
		},
		func(f *simulation, b *simBox) {
			f.cut.Store(nil)
			f.halts.end(b.settings.Box)
		},
	},
}

// agesOutOfStep are the times for which a box is out of step, by the number of boxes.
var agesOutOfStep = map[int][]time.Duration{
	9: {
		100 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 2900 * time.Millisecond, 5 * time.Second, 10 * time.Second,
	},
	30: {2 * time.Second},
}

// justRead returns a box whose copy has just been confirmed, a reader or not.
func (f *simulation) justRead(t *testing.T, reader bool) *simBox {
	for range 1000 {
		time.Sleep(10 * time.Millisecond)
		for _, b := range f.boxes[simRegions:] { // without the seeds
			if n := b.node.Load(); n.isReader.Load() == reader && n.catalogAge() < 50*time.Millisecond {
				return b
			}
		}
	}
	t.Fatal("no copy is confirmed")
	return nil
}

// takenUpOutOfStep has replicas of a second version join while a box is out of step, and returns at
// which version streams go on there that began at the second one.
func takenUpOutOfStep(t *testing.T, boxes, listed int, reader bool, way outOfStep, age time.Duration) (builds []catalog.BuildID, slowest time.Duration) {
	f := newSimulation(t.Context(), 1, boxes)
	defer f.end()
	f.versionOne(listed)
	f.pass(knownAlone)
	late := f.justRead(t, reader)
	way.begin(f, late)
	f.join()
	time.Sleep(age)
	if way.end != nil {
		way.end(f, late)
	}
	for n := range 3 {
		build, took := late.takeUp(t.Context(), fmt.Sprint("again-", n))
		builds = append(builds, build)
		slowest = max(slowest, took)
	}
	return builds, slowest
}

// Guards against a stream of a version that has joined just now which goes on at the one that the box
// knew alone.
func TestABoxOutOfStepTakesNoStreamUpAtTheVersionThatItKnewAlone(t *testing.T) {
	t.Parallel()
	for boxes, ages := range agesOutOfStep {
		for _, listed := range []int{smallCopy, listedReplicas} {
			for _, way := range waysOutOfStep {
				t.Run(fmt.Sprintf("%d boxes, %d replicas, %s", boxes, listed, way.name), func(t *testing.T) {
					t.Parallel()
					for _, age := range ages {
						for _, reader := range []bool{true, false} {
							t.Run(fmt.Sprintf("%v, reader %t", age, reader), func(t *testing.T) {
								synctest.Test(t, func(t *testing.T) {
									is := is.New(t)
									builds, slowest := takenUpOutOfStep(t, boxes, listed, reader, way, age)
									is.True(!slices.Contains(builds, catalog.BuildOf(service, "v1"))) // it began at v2
									is.True(slowest < takeUpTime)
								})
							})
						}
					}
				})
			}
		}
	}
}

// Guards against a stream of a version that came and went while the box heard of nothing.
func TestABoxThatWasAwayTakesNoStreamUpOfAVersionThatCameAndWentMeanwhile(t *testing.T) {
	t.Parallel()
	for _, boxes := range []int{9, 30} {
		for _, listed := range []int{smallCopy, listedReplicas} {
			t.Run(fmt.Sprintf("%d boxes, %d replicas", boxes, listed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { cameAndWent(t, boxes, listed) })
			})
		}
	}
}

func cameAndWent(t *testing.T, boxes, listed int) {
	is := is.New(t)
	f := newSimulation(t.Context(), 1, boxes)
	defer f.end()
	f.versionOne(listed)
	f.pass(knownAlone)
	away := f.boxes[simRegions]
	f.listing.setRejects(away.settings.Box, true)
	f.cutOff(away)
	f.pass(time.Second)
	f.join()
	f.pass(8 * time.Second)
	f.leaveAgain()
	f.pass(2 * time.Second)
	f.listing.setRejects(away.settings.Box, false)
	f.cut.Store(nil)
	began := time.Now()
	goesOn := func() bool {
		build, _ := away.takeUp(t.Context(), fmt.Sprint("at ", time.Now()))
		return build != 0
	}
	for time.Since(began) < soleBuildTime(route())-3*time.Second { // since it left
		is.True(!goesOn())
		time.Sleep(200 * time.Millisecond)
	}
	f.pass(soleBuildTime(route()))
	is.True(goesOn()) // the first version has been alone for long enough
}

// Guards against a publisher that lacks a version since it came back from an older copy.
func TestNoStreamGoesOnWhileAPublisherThatCameBackMayLackEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		list := replicas("a", 1)
		list[0].Build = "v1"
		b := newBox("box", "a", 0)
		b.publish(2, policy(1), list)
		time.Sleep(time.Minute)
		revision, err := catalog.RevisionIn(1, 1)
		is.NoErr(err)
		list[0].Revision = revision
		b.publish(revision, policy(1), list)
		is.True(!b.hasSynced(revision))
		time.Sleep(time.Minute)
		is.True(b.hasSynced(revision))
		is.True(!b.hasSynced(revision + 1)) // it has not arrived
	})
}

// Guards against refusing streams that may go on, and against calls that grow with the streams.
func TestStreamsGoOnWhereAVersionIsAloneAtAFewCallsToThePublisher(t *testing.T) {
	t.Parallel()
	for _, boxes := range []int{3, 9, 30} {
		for _, listed := range []int{smallCopy, listedReplicas} {
			t.Run(fmt.Sprintf("%d boxes, %d replicas", boxes, listed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { takenUpInCalm(t, boxes, listed) })
			})
		}
	}
}

func takenUpInCalm(t *testing.T, boxes, listed int) {
	is := is.New(t)
	f := newSimulation(t.Context(), 1, boxes)
	defer f.end()
	f.versionOne(listed)
	f.pass(knownAlone)
	var asked sync.WaitGroup
	before := f.listing.callCount()
	for n := range takenUpOnce {
		asked.Go(func() {
			time.Sleep(time.Duration(n) * time.Second / takenUpOnce)
			build, took := f.boxes[0].takeUp(t.Context(), fmt.Sprint("again-", n))
			is.Equal(build, catalog.BuildOf(service, "v1"))
			is.True(took < takeUpTime)
		})
	}
	asked.Wait()
	during := f.listing.callCount() - before
	before = f.listing.callCount()
	f.pass(time.Second)
	calm := f.listing.callCount() - before
	t.Logf("%d calls to the publisher in a second with %d streams, %d in one without", during, takenUpOnce, calm)
	is.True(during <= callsOfBox+boxes)
	for n, b := range f.boxes {
		build, _ := b.takeUp(t.Context(), fmt.Sprint("all-", n))
		is.Equal(build, catalog.BuildOf(service, "v1")) // each box takes streams up
	}
}
