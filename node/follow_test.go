package node

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/havenrudder/havenrudder/catalog"
	"github.com/havenrudder/havenrudder/wire"
)

func TestBoxesOfASmallRegionAllWatch(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 0)
	for n := range maxSelfWatching {
		r := b.role(start)
		is.True(!r.isFollower)
		is.True(!r.sharesAge)
		b.receiveStatus(status(fmt.Sprint("box-", n), "a"), start)
		b.receiveStatus(status(fmt.Sprint("far-", n), "b"), start) // other regions do not count
	}
	is.True(b.role(start).sharesAge)
	is.True(!b.role(start + time.Minute).sharesAge) // the others are dead
}

func TestAFewBoxesOfALargeRegionWatchForTheOthers(t *testing.T) {
	is := is.New(t)
	const boxes = 30
	name := func(n int) string { return fmt.Sprintf("box-%02d", n) }
	watching := 0
	for self := range boxes {
		b := newBox(name(self), "a", 0)
		for n := range boxes {
			if n != self {
				b.receiveStatus(status(name(n), "a"), start)
			}
		}
		r := b.role(start)
		is.Equal(r.isFollower, !r.isReader)
		if !r.isFollower {
			watching++
		}
	}
	is.Equal(watching, watchersPerRegion)
}

func TestAReportedReadConfirmsAnEqualOrOlderRevision(t *testing.T) {
	is := is.New(t)
	n := &Node{
		started: time.Now().Add(-time.Minute),
	}
	n.lastRead.Store(int64(10 * time.Second))
	ageAfter := func(revision, readMs int) time.Duration {
		from := status("near", "a")
		from.Catalog = revision
		from.ReadMs = readMs
		n.confirm(from, 7, 0)
		return n.catalogAge().Round(time.Second)
	}
	is.Equal(ageAfter(7, 0), 50*time.Second)     // no read reported
	is.Equal(ageAfter(8, 1000), 50*time.Second)  // the other box has a newer revision, which is requested
	is.Equal(ageAfter(7, 55000), 50*time.Second) // older than the recorded read
	is.Equal(ageAfter(7, 3000), 3*time.Second)
	is.Equal(ageAfter(6, 1000), time.Second) // read at an earlier revision
	is.Equal(ageAfter(7, 9000), time.Second)
}

// Guards against an age of a read that omits the delay of datagrams, and so doesn't grow while boxes
// exchange it.
func TestAReadingGetsNoYoungerOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pair := []*Node{{
			settings: Settings{
				Box:    "near",
				Region: "a",
			},
			started: time.Now(),
		}, {
			settings: Settings{
				Box:    "far",
				Region: "b",
			},
			started: time.Now(),
		}}
		time.Sleep(time.Minute)
		pair[0].sendsAge.Store(true)
		pair[1].sendsAge.Store(true)
		lastRead := time.Now()
		pair[0].lastRead.Store(int64(pair[0].now()))
		pair[1].lastRead.Store(0)
		for i := range 20 {
			from, to := pair[i%2], pair[(i+1)%2]
			s := status(from.settings.Box, from.settings.Region)
			s.ReadMs = from.sharedReadMs()
			time.Sleep(farDelay)
			to.confirm(s, 0, 0)
			is.True(to.catalogAge() >= time.Since(lastRead))
		}
	})
}

// Guards against a request for confirmed removals that delays a request for a newer revision.
func TestAQuestionThatBringsNoRevisionHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newSimulation(t.Context(), 1, 6)
		defer f.end()
		f.pass(settleTime)
		n := f.boxes[0].node.Load()
		n.isFollower.Store(true)
		var asked []string
		n.fetchChanges = func(_ context.Context, addr string, _ int64) (catalog.ChangeSet, error) {
			asked = append(asked, addr)
			return catalog.ChangeSet{}, nil
		}
		receive := func(addr string, newer, lapses int) {
			s := status(addr, n.settings.Region)
			s.Peers = addr
			s.Catalog = int(n.feed.Revision()) + newer
			s.Lapses = lapses
			n.compareCatalog(t.Context(), s, 0)
			synctest.Wait()
		}
		receive("found some gone", 0, 1)
		receive("found others gone", 0, 1)
		receive("knows more", 1, 0)
		receive("knows more, too", 1, 0)
		is.Equal(asked, []string{"found some gone", "knows more"})
	})
}

func TestAFollowerAsksForReplicasThatABoxFoundGone(t *testing.T) {
	is := is.New(t)
	b := newBox("self", "a", 2)
	watcher := newBox("near", "a", 2)
	message := func() wire.BoxStatus { return watcher.message(start).From }
	is.True(!b.unreportedRemovals(message()))
	watcher.applyUpdate(catalog.Update{ // soon after an outage, in which entries may have expired
		Revision: 1,
		Changes: []catalog.Change{{
			Revision: 1,
			Removed:  "a-1",
		}},
	}, start)
	is.True(!b.unreportedRemovals(message()))
	watcher.publish(1, policy(1), replicas("a", 1)) // read again at the same revision
	is.Equal(message().Catalog, b.message(start).From.Catalog)
	is.True(b.unreportedRemovals(message()))
	b.applyUpdate(watcher.content.ChangesSince(b.content.Revision()).Update(), start)
	b.recordReportedRemovals(message())
	is.Equal(len(b.content.Replicas()), 1)
	is.True(!b.unreportedRemovals(message()))
	again := message()
	again.Inc++ // a new incarnation has confirmed removals of its own
	is.True(b.unreportedRemovals(again))
}
