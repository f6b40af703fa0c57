package catalog_test

import (
	"testing"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

const catchUpTime = time.Second // for a lagging watch and a read after it

// notReader makes a box leave rereads to others.
var notReader = catalog.WithReader(func() bool { return false })

func TestABoxReadsWhatItsWatchMissedOnceAnotherBoxHasIt(t *testing.T) {
	feedTestRun(t, func(f feedTest) {
		f.set(silent)
		f.put(plainReplica("c", 0)) // ends the current watch; the next one is silent
		time.Sleep(soon)
		f.Equal(f.feed.Revision(), f.now().Revision)
		rev := f.put(plainReplica("d", 0))
		time.Sleep(catchUpTime)
		f.True(!f.has("d"))
		f.feed.NotifyRevision(rev)
		time.Sleep(catchUpTime)
		f.True(f.has("d"))
		f.Equal(f.feed.Revision(), rev)
	}, notReader, catalog.WithReread(time.Hour))
}

func TestARecordedRevisionCausesNoRead(t *testing.T) {
	feedTestRun(t, func(f feedTest) {
		rev := f.put(plainReplica("c", 0))
		f.feed.NotifyRevision(rev) // the watch delivers it in time
		time.Sleep(catchUpTime)
		f.True(f.has("c"))
		f.feed.NotifyRevision(rev)
		f.feed.NotifyRevision(rev - 1)
		time.Sleep(catchUpTime)
		reads, _ := f.calls()
		f.Equal(reads, 1)
	}, notReader, catalog.WithReread(time.Hour))
}

// Guards against a watch that misses a change but ends with the newest revision.
func TestAnEndedWatchDoesntHideMissedChanges(t *testing.T) {
	feedTestRun(t, func(f feedTest) {
		f.set(silent)
		f.put(plainReplica("c", 0))
		time.Sleep(soon)
		rev := f.put(plainReplica("d", 0))
		time.Sleep(11 * time.Second) // ends the watch
		f.True(!f.has("d"))
		f.feed.NotifyRevision(rev)
		time.Sleep(catchUpTime)
		f.True(f.has("d"))
	}, notReader, catalog.WithReread(time.Hour))
}

func TestABoxThatDoesntReadForOthersReadsMoreRarely(t *testing.T) {
	count := func(opts ...catalog.FeedOption) (n int) {
		feedTestRun(t, func(f feedTest) {
			time.Sleep(time.Minute)
			n, _ = f.calls()
		}, opts...)
		return n
	}
	reader, other := count(), count(notReader)
	if other < 2 || other > reader/2 {
		t.Fatalf("%d reads, by a reader %d", other, reader)
	}
}
