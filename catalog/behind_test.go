package catalog_test

import (
	"testing"
	"time"

	"github.com/havenrudder/havenrudder/catalog"
)

// hears is enough for a watch that lags and for a read after it.
const hears = time.Second

// notReader is a box that leaves reading again to others.
var notReader = catalog.WithReader(func() bool { return false })

func TestWhatAnotherBoxKnowsIsReadWhenTheWatchIsSilent(t *testing.T) {
	feedTestRun(t, func(f feedTest) {
		f.set(silent)
		f.put(plainReplica("c", 0)) // ends the watch that heard, and the next one is silent
		time.Sleep(soon)
		f.Equal(f.feed.Known(), f.now().Revision)
		rev := f.put(plainReplica("d", 0))
		time.Sleep(hears)
		f.True(!f.has("d"))
		f.feed.Behind(rev)
		time.Sleep(hears)
		f.True(f.has("d"))
		f.Equal(f.feed.Known(), rev)
	}, notReader, catalog.WithReread(time.Hour))
}

func TestWhatIsKnownAlreadyIsNotReadForAnotherBox(t *testing.T) {
	feedTestRun(t, func(f feedTest) {
		rev := f.put(plainReplica("c", 0))
		f.feed.Behind(rev) // the watch brings it in time
		time.Sleep(hears)
		f.True(f.has("c"))
		f.feed.Behind(rev)
		f.feed.Behind(rev - 1)
		time.Sleep(hears)
		reads, _ := f.calls()
		f.Equal(reads, 1)
	}, notReader, catalog.WithReread(time.Hour))
}

// A watch that missed something may end with the newest revision all the same.
func TestASilentWatchThatEndsHidesNothingFromOtherBoxesWord(t *testing.T) {
	feedTestRun(t, func(f feedTest) {
		f.set(silent)
		f.put(plainReplica("c", 0))
		time.Sleep(soon)
		rev := f.put(plainReplica("d", 0))
		time.Sleep(11 * time.Second) // the watch has ended
		f.True(!f.has("d"))
		f.feed.Behind(rev)
		time.Sleep(hears)
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
