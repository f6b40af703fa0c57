package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestThreeEndsAtThreeBoxesQuarantineARequestAtAll(t *testing.T) {
	is := is.New(t)
	b := newBoxes(t, 9)
	for i := range endsToQuarantine {
		is.Equal(b.quarantine(deadly.Digest()), 0)
		b.end(fmt.Sprint("box-", i), fmt.Sprint("replica-", i), deadly.Digest())
	}
	is.Equal(b.quarantine(deadly.Digest()), 9)
}

func TestOneEndThatThreeBoxesSeeIsOne(t *testing.T) {
	is := is.New(t)
	b := newBoxes(t, 9)
	for i := range endsToQuarantine {
		b.end(fmt.Sprint("box-", i), "replica", deadly.Digest())
	}
	b.run(time.Second)
	is.Equal(b.quarantine(deadly.Digest()), 0)
}

func TestAReplicaThatCutsAnAnswerAndLivesIsHeldAgainstNobody(t *testing.T) {
	is := is.New(t)
	w := NewWatch("box")
	is.True(!w.Cut("replica", deadly.Digest(), sentBefore, start))
	is.Equal(w.Doubtful(), []string{"replica"})
	w.Lives("replica", start-time.Second) // it was sent before
	is.Equal(w.Doubtful(), []string{"replica"})
	w.Lives("replica", start+time.Second)
	is.Equal(w.Doubtful(), nil)
	is.Equal(w.Ended("replica", start+2*time.Second), 0)
}

func TestARequestThatIsCutAfterItsReplicaIsKnownToHaveEndedCountsToo(t *testing.T) {
	is := is.New(t)
	w := NewWatch("box")
	w.Cut("replica", digestOf(1), sentBefore, start)
	is.Equal(w.Ended("replica", start), 1)
	is.Equal(w.Ended("replica", start), 0) // only once
	is.True(w.Cut("replica", deadly.Digest(), sentBefore, start))
	is.Equal(len(w.ledger.Get(deadly.Digest()).Ends), 1)
}

func TestOfReplicasThatEndTogetherOnlyWhatSeveralRanMayBeTheCause(t *testing.T) {
	is := is.New(t)
	w := NewWatch("box")
	name := func(i int) string { return fmt.Sprint("replica-", i) }
	for i := range manyReplicas {
		at := start + time.Duration(i)*together/manyReplicas
		w.Cut(name(i), digestOf(i), sentBefore, at) // each ran another one, too
		w.Cut(name(i), deadly.Digest(), sentBefore, at)
	}
	for i := range manyReplicas {
		is.Equal(w.Ended(name(i), start+Settles), 1)
		is.True(!w.Cut(name(i), digestOf(10+i), sentBefore, start+Settles)) // nor one that notices later
	}
	_, quarantined := w.Quarantined(deadly.Digest(), start+Settles)
	is.True(quarantined)
	w.Cut("alone", digestOf(20), sentBefore, start+time.Second)
	w.Cut("beside", digestOf(21), sentBefore, start+time.Second)
	is.Equal(w.Ended("alone", start+time.Second+Settles), 1)
	is.Equal(w.Ended("beside", start+time.Second+Settles), 1)
}

// A call was cut at two replicas of twelve that ended together: its retry went to the second
// a moment after that had ended, on a connection at rest.
func TestWhatWasSentAfterAReplicaHadEndedIsNotTheCause(t *testing.T) {
	is := is.New(t)
	w := NewWatch("box")
	w.Cut("replica", deadly.Digest(), sentBefore, start)
	w.Cut("replica", digestOf(1), start+time.Millisecond, start+2*time.Millisecond)
	is.Equal(w.Ended("replica", start+Settles), 1)
	is.True(!w.Cut("replica", digestOf(2), start+time.Minute, start+time.Minute))
	w.Cut("lives", digestOf(1), sentBefore, start) // it cut this one only
	w.Cut("lives", deadly.Digest(), start+dialGap, start+2*dialGap)
	is.Equal(w.Ended("lives", start+2*dialGap+Settles), 2)
}

func TestACutIsForgottenAfterAWhile(t *testing.T) {
	is := is.New(t)
	w := NewWatch("box")
	w.Cut("replica", deadly.Digest(), sentBefore, start)
	w.Forget(start + cutFor + 1)
	is.Equal(w.Ended("replica", start+cutFor+1), 0)
}

func TestABoxThatJoinsKnowsWithinTwoSecondsWhatIsQuarantined(t *testing.T) {
	is := is.New(t)
	b := newBoxes(t, 9)
	for i := range endsToQuarantine {
		b.end("box-0", fmt.Sprint("replica-", i), deadly.Digest())
	}
	b.run(time.Minute)
	b.join("young")
	b.run(2 * time.Second)
	is.Equal(b.quarantine(deadly.Digest()), 10)
}

func TestBoxesThatHeardNothingLearnItByComparing(t *testing.T) {
	is := is.New(t)
	b := newBoxes(t, 9)
	b.lose = func(string, string) bool { return true }
	for i := range endsToQuarantine {
		b.end("box-0", fmt.Sprint("replica-", i), deadly.Digest())
	}
	b.run(time.Second)
	is.Equal(b.quarantine(deadly.Digest()), 1)
	b.lose = func(string, string) bool { return false }
	b.run(5 * time.Second)
	is.Equal(b.quarantine(deadly.Digest()), 9)
}

func TestTheEndsOfOwnersThatAreGoneAreKnownToTheOthers(t *testing.T) {
	is := is.New(t)
	b := newBoxes(t, 9)
	b.end("box-0", "replica-0", deadly.Digest())
	b.end("box-1", "replica-1", deadly.Digest())
	for _, name := range b.names() {
		if b.watches[name].ledger.Get(deadly.Digest()) != nil && name != "box-2" {
			delete(b.watches, name) // those that saw an end, and the owners but perhaps one
		}
		if len(b.watches) == 2 {
			break
		}
	}
	b.end(b.names()[0], "replica-2", deadly.Digest())
	b.run(5 * time.Second)
	is.Equal(b.quarantine(deadly.Digest()), len(b.watches))
}

func TestAWholeAnswerAtAnyBoxClearsARequestAtAll(t *testing.T) {
	is := is.New(t)
	b := newBoxes(t, 9)
	for i := range endsToQuarantine {
		b.end("box-0", fmt.Sprint("replica-", i), deadly.Digest())
	}
	b.now += time.Second
	is.True(b.watches["box-5"].Clear(deadly.Digest(), b.now))
	b.tell("box-5")
	b.run(5 * time.Second)
	is.Equal(b.quarantine(deadly.Digest()), 0)
	b.end("box-1", "replica-9", deadly.Digest()) // one end more is one only
	b.run(time.Second)
	is.Equal(b.quarantine(deadly.Digest()), 0)
}

func TestOneOwnerTriesARequestThatWasAnsweredBefore(t *testing.T) {
	is := is.New(t)
	b := newBoxes(t, 9)
	for i := range endsToQuarantine {
		b.end("box-0", fmt.Sprint("replica-", i), deadly.Digest())
	}
	tries := func() (n int) {
		for _, name := range b.names() {
			if b.watches[name].Tries(deadly.Digest(), b.others(name), b.now) {
				n++
			}
		}
		return n
	}
	is.Equal(tries(), 0)
	b.now += tryAfter
	is.Equal(tries(), 1)
	is.Equal(tries(), 0) // while that is under way
	b.end("box-0", "replica-4", deadly.Digest())
	b.now += 2 * tryAfter
	is.Equal(tries(), 0) // each time later than before
	b.now += tryLater * tryAfter
	is.Equal(tries(), 1)
}

func TestChangesAreToldOnce(t *testing.T) {
	is := is.New(t)
	w := NewWatch("box")
	for i := range endsToQuarantine {
		now := start + time.Duration(i-endsToQuarantine+1)*time.Second // the last at start
		w.Cut(fmt.Sprint("replica-", i), deadly.Digest(), sentBefore, now)
		w.Ended(fmt.Sprint("replica-", i), now)
	}
	list := w.Changes(start)
	is.Equal(len(list), 1)
	is.True(list[0].Quarantined)
	is.Equal(list[0].Left, quarantinedFor)
	is.Equal(len(w.Changes(start)), 0)
	w.Clear(deadly.Digest(), start+time.Second)
	list = w.Changes(start + time.Second)
	is.Equal(len(list), 1)
	is.True(list[0].Cleared)
}

func TestAFloodOfCutRequestsPushesOutNoQuarantinedOne(t *testing.T) {
	is := is.New(t)
	w := NewWatch("box")
	w.ledger.Take(endsUnder(deadly.Digest(), endsToQuarantine, start), start)
	for i := range 100_000 {
		w.ledger.AddEnd(digestOf(i), Start(i), start+time.Duration(i)*time.Millisecond/2)
		is.True(w.ledger.Len() <= maxRecords)
	}
	_, quarantined := w.Quarantined(deadly.Digest(), start+time.Minute)
	is.True(quarantined)
}
