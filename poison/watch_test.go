package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestThreeEndsAtThreeBoxesBarARequestAtAll(t *testing.T) {
	is := is.New(t)
	b := newBoxes(t, 9)
	for i := range endsToBar {
		is.Equal(b.barring(guilty.Digest()), 0)
		b.end(fmt.Sprint("box-", i), fmt.Sprint("replica-", i), guilty.Digest())
	}
	is.Equal(b.barring(guilty.Digest()), 9)
}

func TestOneEndThatThreeBoxesSeeIsOne(t *testing.T) {
	is := is.New(t)
	b := newBoxes(t, 9)
	for i := range endsToBar {
		b.end(fmt.Sprint("box-", i), "replica", guilty.Digest())
	}
	b.run(time.Second)
	is.Equal(b.barring(guilty.Digest()), 0)
}

func TestAReplicaThatCutsAnAnswerAndLivesIsHeldAgainstNobody(t *testing.T) {
	is := is.New(t)
	w := NewWatch("box")
	is.True(!w.Cut("replica", guilty.Digest(), sentBefore, start))
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
	is.True(w.Cut("replica", guilty.Digest(), sentBefore, start))
	is.Equal(len(w.ledger.Get(guilty.Digest()).Ends), 1)
}

func TestOfReplicasThatEndTogetherOnlyWhatSeveralRanIsBlamed(t *testing.T) {
	is := is.New(t)
	w := NewWatch("box")
	name := func(i int) string { return fmt.Sprint("replica-", i) }
	for i := range manyReplica {
		at := start + time.Duration(i)*together/manyReplica
		w.Cut(name(i), digestOf(i), sentBefore, at) // each ran an innocent one
		w.Cut(name(i), guilty.Digest(), sentBefore, at)
	}
	for i := range manyReplica {
		is.Equal(w.Ended(name(i), start+Settles), 1)
		is.True(!w.Cut(name(i), digestOf(10+i), sentBefore, start+Settles)) // nor one that notices later
	}
	_, barred := w.Barred(guilty.Digest(), start+Settles)
	is.True(barred)
	w.Cut("alone", digestOf(20), sentBefore, start+time.Second)
	w.Cut("beside", digestOf(21), sentBefore, start+time.Second)
	is.Equal(w.Ended("alone", start+time.Second+Settles), 1)
	is.Equal(w.Ended("beside", start+time.Second+Settles), 1)
}

// A call was cut at two replicas of twelve that ended together: its retry went to the second
// a moment after that had ended, on a connection at rest.
func TestWhatWasSentAfterAReplicaHadEndedIsNotBlamed(t *testing.T) {
	is := is.New(t)
	w := NewWatch("box")
	w.Cut("replica", guilty.Digest(), sentBefore, start)
	w.Cut("replica", digestOf(1), start+time.Millisecond, start+2*time.Millisecond)
	is.Equal(w.Ended("replica", start+Settles), 1)
	is.True(!w.Cut("replica", digestOf(2), start+time.Minute, start+time.Minute))
	w.Cut("lives", digestOf(1), sentBefore, start) // it cut this one only
	w.Cut("lives", guilty.Digest(), start+dialGap, start+2*dialGap)
	is.Equal(w.Ended("lives", start+2*dialGap+Settles), 2)
}

func TestACutIsForgottenAfterAWhile(t *testing.T) {
	is := is.New(t)
	w := NewWatch("box")
	w.Cut("replica", guilty.Digest(), sentBefore, start)
	w.Forget(start + cutFor + 1)
	is.Equal(w.Ended("replica", start+cutFor+1), 0)
}

func TestABoxThatJoinsKnowsWithinTwoSecondsWhatIsBarred(t *testing.T) {
	is := is.New(t)
	b := newBoxes(t, 9)
	for i := range endsToBar {
		b.end("box-0", fmt.Sprint("replica-", i), guilty.Digest())
	}
	b.run(time.Minute)
	b.join("young")
	b.run(2 * time.Second)
	is.Equal(b.barring(guilty.Digest()), 10)
}

func TestBoxesThatHeardNothingLearnItByComparing(t *testing.T) {
	is := is.New(t)
	b := newBoxes(t, 9)
	b.lose = func(string, string) bool { return true }
	for i := range endsToBar {
		b.end("box-0", fmt.Sprint("replica-", i), guilty.Digest())
	}
	b.run(time.Second)
	is.Equal(b.barring(guilty.Digest()), 1)
	b.lose = func(string, string) bool { return false }
	b.run(5 * time.Second)
	is.Equal(b.barring(guilty.Digest()), 9)
}

func TestTheEndsOfOwnersThatAreGoneAreKnownToTheOthers(t *testing.T) {
	is := is.New(t)
	b := newBoxes(t, 9)
	b.end("box-0", "replica-0", guilty.Digest())
	b.end("box-1", "replica-1", guilty.Digest())
	for name, w := range b.watches {
		if w.ledger.Get(guilty.Digest()) != nil && name != "box-2" {
			delete(b.watches, name) // those that saw an end, and the owners but perhaps one
		}
		if len(b.watches) == 2 {
			break
		}
	}
	for name := range b.watches {
		b.end(name, "replica-2", guilty.Digest())
		break
	}
	b.run(5 * time.Second)
	is.Equal(b.barring(guilty.Digest()), len(b.watches))
}

func TestAWholeAnswerAtAnyBoxAcquitsAtAll(t *testing.T) {
	is := is.New(t)
	b := newBoxes(t, 9)
	for i := range endsToBar {
		b.end("box-0", fmt.Sprint("replica-", i), guilty.Digest())
	}
	b.now += time.Second
	is.True(b.watches["box-5"].Acquit(guilty.Digest(), b.now))
	b.tell("box-5")
	b.run(5 * time.Second)
	is.Equal(b.barring(guilty.Digest()), 0)
	b.end("box-1", "replica-9", guilty.Digest()) // one end more is one only
	b.run(time.Second)
	is.Equal(b.barring(guilty.Digest()), 0)
}

func TestOneOwnerTriesARequestThatWasAnsweredBefore(t *testing.T) {
	is := is.New(t)
	b := newBoxes(t, 9)
	for i := range endsToBar {
		b.end("box-0", fmt.Sprint("replica-", i), guilty.Digest())
	}
	tries := func() (n int) {
		for name, w := range b.watches {
			var others []Box
			for other := range b.watches {
				if other != name {
					others = append(others, Box{
						Name: other,
						Addr: other,
					})
				}
			}
			if w.Tries(guilty.Digest(), others, b.now) {
				n++
			}
		}
		return n
	}
	is.Equal(tries(), 0)
	b.now += tryAfter
	is.Equal(tries(), 1)
	is.Equal(tries(), 0) // while that is under way
	b.end("box-0", "replica-4", guilty.Digest())
	b.now += 2 * tryAfter
	is.Equal(tries(), 0) // each time later than before
	b.now += tryLater * tryAfter
	is.Equal(tries(), 1)
}

func TestVerdictsAreToldOnce(t *testing.T) {
	is := is.New(t)
	w := NewWatch("box")
	for i := range endsToBar {
		now := start + time.Duration(i-endsToBar+1)*time.Second // the last at start
		w.Cut(fmt.Sprint("replica-", i), guilty.Digest(), sentBefore, now)
		w.Ended(fmt.Sprint("replica-", i), now)
	}
	list := w.Verdicts(start)
	is.Equal(len(list), 1)
	is.True(list[0].Barred)
	is.Equal(list[0].Left, barredFor)
	is.Equal(len(w.Verdicts(start)), 0)
	w.Acquit(guilty.Digest(), start+time.Second)
	list = w.Verdicts(start + time.Second)
	is.Equal(len(list), 1)
	is.True(list[0].Acquitted)
}

func TestAFloodOfCutRequestsPushesOutNoBarredOne(t *testing.T) {
	is := is.New(t)
	w := NewWatch("box")
	w.ledger.Take(endsUnder(guilty.Digest(), endsToBar, start), start)
	for i := range 100_000 {
		w.ledger.Charge(digestOf(i), Start(i), start+time.Duration(i)*time.Millisecond/2)
		is.True(w.ledger.Len() <= maxRecords)
	}
	_, barred := w.Barred(guilty.Digest(), start+time.Minute)
	is.True(barred)
}
