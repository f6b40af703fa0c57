package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// onTrial returns boxes that know of two requests with the same three ends.
func onTrial(t *testing.T, n int) *boxes {
	b := newBoxes(t, n)
	for i := range endsToQuarantine {
		b.cutBoth(fmt.Sprint("box-", i), fmt.Sprint("replica-", i))
	}
	b.run(2 * settlesIn)
	return b
}

// try has a box ask to run a request on trial until it may or a time is over.
func (b *boxes) try(name string, d Digest, within time.Duration) bool {
	for until := b.now + within; b.now < until; b.now += 40 * time.Millisecond {
		may, asks := b.watches[name].Try(d, func() []Box { return b.others(name) }, b.now)
		if may {
			return true
		}
		b.post(name, asks)
	}
	return false
}

func TestOneRunOfARequestOnTrialIsAllowedAtATime(t *testing.T) {
	is := is.New(t)
	b := onTrial(t, 9)
	allowed := 0
	for _, name := range b.names() {
		if b.try(name, innocent.Digest(), 200*time.Millisecond) {
			allowed++
		}
	}
	is.Equal(allowed, 1)
	b.now += trialFor
	is.True(b.try("box-3", innocent.Digest(), time.Second)) // the first may have been lost
}

func TestARunOnTrialIsAllowedByAnotherOwnerWhereTheFirstIsGone(t *testing.T) {
	is := is.New(t)
	b := onTrial(t, 9)
	group := newGroup("nobody", b.all())
	_, owners := group.ownersOf(innocent.Digest())
	b.lose = func(_, to string) bool { return to == owners[0].Name }
	for _, name := range b.names() {
		if name != owners[0].Name {
			is.True(b.try(name, innocent.Digest(), 2*ownerAnswers+askEvery))
			return
		}
	}
}

// all returns the boxes that run.
func (b *boxes) all() []Box { return b.others("") }

// endTrial has a replica end under a request on trial at a box.
func (b *boxes) endTrial(name, replica string, d Digest) {
	b.watches[name].BeginTrial(replica, d)
	b.end(name, replica, d)
	b.watches[name].EndTrial(replica, d)
}

func TestTheEndOfARunOnTrialIsHeldAgainstItsRequestAndFreesTheOther(t *testing.T) {
	is := is.New(t)
	b := onTrial(t, 9)
	is.True(b.try("box-4", deadly.Digest(), time.Second))
	b.endTrial("box-4", "replica-4", deadly.Digest())
	b.run(2 * settlesIn)
	is.Equal(b.quarantine(deadly.Digest()), 9)
	is.Equal(b.quarantine(innocent.Digest()), 0)
	for _, w := range b.watches {
		is.True(!w.OnTrial(innocent.Digest(), b.now)) // the other explains its ends
	}
}

func TestABoxThatHearsOfOneRequestBeforeTheOtherBlamesNone(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	l.Take(endsUnder(innocent.Digest(), endsToQuarantine, start), start)
	late := endsUnder(deadly.Digest(), endsToQuarantine, start)
	late.Ends = late.Ends[:endsToQuarantine-1] // of the latest it has not heard yet
	l.Take(late, start)
	v, _ := l.Verdict(innocent.Digest(), start+settlesIn)
	is.Equal(v, OnTrial)
	v, _ = l.Verdict(innocent.Digest(), start+settlesIn+1) // nor will it
	is.Equal(v, Quarantined)
}

func TestARequestOnTrialGoesWhereFewestOthersAre(t *testing.T) {
	is := is.New(t)
	b := onTrial(t, 3)
	w := b.watches["box-0"]
	w.BeginTrial("replica-7", deadly.Digest())
	is.Equal(w.Trials(innocent.Digest(), 0), []string{"replica-7"})
	is.Equal(w.Trials(innocent.Digest(), 1), nil)
	is.Equal(w.Trials(deadly.Digest(), 0), nil) // its own run is none of another
	w.EndTrial("replica-7", deadly.Digest())
	is.Equal(w.Trials(innocent.Digest(), 0), nil)
}

func TestNoMoreThanAFewRunsOnTrialAreMade(t *testing.T) {
	is := is.New(t)
	r := endsUnder(deadly.Digest(), endsToQuarantine, start)
	for n := range mostTrials {
		is.Equal(r.untilTrial(start), time.Duration(0))
		r.Ends = append(r.Ends, End{
			Start: Start(100 + n),
			At:    start,
			Alone: true,
		})
	}
	is.Equal(r.untilTrial(start), tryAfter)
	r.Ends[len(r.Ends)-1].At = start + trialsIn // so late that more would come later than the time of contact
	is.Equal(r.untilTrial(start+time.Hour), never.Abs())
}

func TestEndsBeyondThoseThatAreKeptAreNoNews(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	list := endsUnder(deadly.Digest(), maxEnds+4, start)
	is.True(l.Take(list, start))
	is.True(!l.Take(list, start)) // it would be told by box to box for ever
}

func TestWordsOfTrialsAreReadAsTheyWereWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		d := Datagram{
			Word:    word(rapid.IntRange(int(askWord), int(deny)).Draw(t, "word")),
			Trial:   digestOf(rapid.IntRange(0, 5).Draw(t, "trial")),
			Records: rapid.SliceOfN(rapid.Custom(drawRecord), 1, 4).Draw(t, "records"),
		}
		for i := range d.Records {
			d.Records[i].takeAlone(rapid.Byte().Draw(t, "alone"))
		}
		got, err := Decode(d.Encode(start), start)
		is.NoErr(err)
		is.Equal(got, d)
	})
}
